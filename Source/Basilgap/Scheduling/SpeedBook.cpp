#include "Basilgap/Scheduling/SpeedBook.h"

#include <algorithm>
#include <cmath>

namespace basilgap::scheduling {

namespace {

// Samples over which a mean forgets: workers change within seconds, queues hardly.
constexpr double WorkerMemory = 12;
constexpr double StepMemory = 1000;
constexpr double QueueMemory = 200;

// Weight of "as fast as the others" before anything was seen.
constexpr double PriorWeight = 4;

double logarithm(double milliseconds)
{
    return std::log(std::max(1.0, milliseconds));
}

} // namespace

void SpeedBook::Mean::add(double sample, double longestMemory)
{
    weight = std::min(weight + 1, longestMemory);
    value += (sample - value) / weight;
}

void SpeedBook::noteDone(const state::Work &work, const state::StepRef &step,
    state::WorkerNumber worker, Millis duration)
{
    const double taken = logarithm(static_cast<double>(duration.count()));
    const auto known = workers_.find(worker);
    const double slow = known == workers_.end() ? 0 : known->second.value;
    Mean &usual = steps_[step];
    if (usual.weight >= 2) {
        Mean &mean = workers_[worker];
        if (mean.weight == 0)
            mean.weight = PriorWeight;
        mean.add(taken - usual.value, WorkerMemory);
    }
    usual.add(taken - slow, StepMemory);
    const double estimate = logarithm(static_cast<double>(work.specOf(step).estimate_ms()));
    queues_[work.queue].add(taken - slow - estimate, QueueMemory);
}

double SpeedBook::slowness(state::WorkerNumber worker) const
{
    const auto found = workers_.find(worker);
    return found == workers_.end() ? 1.0 : std::exp(found->second.value);
}

Millis SpeedBook::expected(const state::Work &work, const state::StepRef &step) const
{
    const auto done = steps_.find(step);
    if (done != steps_.end() && done->second.weight >= 1)
        return Millis(static_cast<int64_t>(std::exp(done->second.value)));
    return estimated(work, step);
}

Millis SpeedBook::estimated(const state::Work &work, const state::StepRef &step) const
{
    const auto queue = queues_.find(work.queue);
    const double factor = queue == queues_.end() ? 1.0 : std::exp(queue->second.value);
    return Millis(
        static_cast<int64_t>(static_cast<double>(work.specOf(step).estimate_ms()) * factor));
}

std::optional<Millis> SpeedBook::measured(const state::StepRef &step) const
{
    const auto done = steps_.find(step);
    if (done == steps_.end() || done->second.weight < 2)
        return std::nullopt;
    return Millis(static_cast<int64_t>(std::exp(done->second.value)));
}

void SpeedBook::retain(const state::WorkTable &table)
{
    std::erase_if(steps_, [&table](const auto &entry) {
        const state::Work *work = table.find(entry.first.work);
        return work == nullptr || !work->isActive() || work->stepAt(entry.first).isDone();
    });
}

} // namespace basilgap::scheduling
