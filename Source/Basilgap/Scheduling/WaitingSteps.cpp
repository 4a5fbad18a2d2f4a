#include "Basilgap/Scheduling/WaitingSteps.h"

#include <algorithm>
#include <tuple>

#include "Basilgap/Scheduling/Lateness.h"

namespace basilgap::scheduling {

namespace {

constexpr uint64_t MaxClockStepMs = 1000;

} // namespace

bool WaitingStep::operator<(const WaitingStep &other) const
{
    return std::tie(latenessBand, priority, orderMs, ref)
        < std::tie(other.latenessBand, other.priority, other.orderMs, other.ref);
}

void TimedChanges::add(uint64_t wallMs, state::WorkSerial work)
{
    const auto [known, isNew] = earliest_.try_emplace(work, wallMs);
    if (!isNew && known->second <= wallMs)
        return;
    known->second = wallMs;
    due_.emplace(wallMs, work);
}

void TimedChanges::clear()
{
    due_ = {};
    earliest_.clear();
}

void TimedChanges::takeDue(uint64_t wallMs, const std::function<void(state::WorkSerial)> &callback)
{
    while (!due_.empty() && due_.top().first <= wallMs) {
        const state::WorkSerial work = due_.top().second;
        due_.pop();
        earliest_.erase(work);
        callback(work);
    }
}

void WorkReader::readChanges(const state::WorkTable &table, const state::WorkConfigState &config,
    uint64_t wallMs, const std::function<void()> &onReset,
    const std::function<void(state::WorkSerial)> &callback)
{
    // Queues and accounts have changed, or the lateness of jobs, which otherwise only grows.
    if (config.revision() != configRevision_ || wallMs + MaxClockStepMs < readAtMs_)
        reset();
    configRevision_ = config.revision();
    readAtMs_ = wallMs;
    changed_.clear();
    const auto collect = [this](state::WorkSerial work) { changed_.push_back(work); };
    if (!table.changes().forEachSince(position_, collect)) {
        timed_.clear();
        onReset();
        changed_.assign(table.active().begin(), table.active().end());
    }
    position_ = table.changes().end();
    timed_.takeDue(wallMs, collect);
    std::sort(changed_.begin(), changed_.end());
    changed_.erase(std::unique(changed_.begin(), changed_.end()), changed_.end());
    for (const state::WorkSerial work : changed_)
        callback(work);
}

void WaitingSteps::refresh(
    const state::WorkTable &table, const state::WorkConfigState &config, uint64_t wallMs)
{
    const auto clear = [this] {
        ordered_.clear();
        entries_.clear();
        waitingMillicores_.clear();
    };
    reader_.readChanges(table, config, wallMs, clear,
        [&](state::WorkSerial work) { readAgain(table, config, work, wallMs); });
}

void WaitingSteps::readAgain(const state::WorkTable &table, const state::WorkConfigState &config,
    state::WorkSerial serial, uint64_t wallMs)
{
    const auto known = entries_.find(serial);
    if (known != entries_.end()) {
        for (const auto &entry : known->second.steps)
            ordered_.erase(entry);
        addWaiting(known->second.key, -known->second.waitingMillicores);
        entries_.erase(known);
    }
    const state::Work *work = table.find(serial);
    if (work == nullptr || !work->isActive() || work->waitingTasks == 0)
        return;
    const schema::QueueConfig *queue = config.findQueue(work->queue);
    if (queue != nullptr)
        add(*work, *queue, wallMs);
}

void WaitingSteps::addWaiting(const MillicoresByAccount::key_type &key, int64_t millicores)
{
    const auto waits = waitingMillicores_.try_emplace(key, 0).first;
    waits->second += millicores;
    if (waits->second == 0)
        waitingMillicores_.erase(waits);
}

void WaitingSteps::add(const state::Work &work, const schema::QueueConfig &queue, uint64_t wallMs)
{
    Entries entries{ .steps = {}, .key = { queue.priority(), work.account } };
    for (uint32_t occurrence = 0; occurrence < work.occurrences.size(); occurrence++) {
        if (work.dueMs(occurrence) > wallMs) {
            reader_.readAgainAt(work.dueMs(occurrence), work.serial);
            continue;
        }
        const LatencyBounds bounds = latencyBoundsOf(work, queue, occurrence, durations_);
        const int band = bounds.bandAt(wallMs);
        bool hasEntry = false;
        for (uint32_t step = 0; step < work.occurrences[occurrence].size(); step++) {
            const state::StepRef ref{ work.serial, occurrence, step };
            if (work.stepAt(ref).waiting == 0 || !work.isReady(ref))
                continue;
            hasEntry = true;
            const schema::StepSpec &spec = work.specOf(ref);
            if (!spec.service())
                entries.waitingMillicores += state::reservationOf(spec).millicores
                    * static_cast<int64_t>(work.stepAt(ref).waiting);
            entries.steps.push_back(ordered_
                                        .insert({
                                            .ref = ref,
                                            .work = &work,
                                            .queue = &queue,
                                            .priority = queue.priority(),
                                            .latenessBand = spec.service() ? 0 : band,
                                            .orderMs = bounds.orderMs,
                                        })
                                        .first);
        }
        if (hasEntry && band < 2)
            reader_.readAgainAt(static_cast<uint64_t>(std::max<int64_t>(
                                    0, band == 0 ? bounds.latestStartMs + 1 : bounds.expiryMs)),
                work.serial);
    }
    if (entries.steps.empty())
        return;
    addWaiting(entries.key, entries.waitingMillicores);
    entries_[work.serial] = std::move(entries);
}

} // namespace basilgap::scheduling
