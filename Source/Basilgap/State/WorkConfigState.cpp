#include "Basilgap/State/WorkConfigState.h"

#include <algorithm>
#include <atomic>
#include <utility>

namespace basilgap::state {

namespace {

std::atomic<uint64_t> nextRevision{ 1 };

} // namespace

schema::CommandOutcome WorkConfigState::apply(
    const schema::PutWorkConfig &command, const std::function<std::set<QueueId>()> &activeQueues)
{
    schema::CommandOutcome outcome;
    if (command.version() > current_.version()) {
        const schema::PutWorkConfig former = std::exchange(current_, command);
        rebuildIndexes();
        retireQueues(former.config(), activeQueues);
    } else {
        outcome.set_again(true);
    }
    outcome.set_version(current_.version());
    outcome.set_hash(current_.hash());
    return outcome;
}

schema::CommandOutcome WorkConfigState::apply(const schema::EvacuateZone &command)
{
    if (command.out())
        zonesOut_.insert(ZoneName(command.zone()));
    else
        zonesOut_.erase(ZoneName(command.zone()));
    return {};
}

schema::CommandOutcome WorkConfigState::apply(const schema::UpkeepWave &command, uint64_t stampMs)
{
    schema::CommandOutcome outcome;
    if (waves_.contains(command.id())) {
        outcome.set_again(true);
        return outcome;
    }
    schema::UpkeepWave &wave = waves_[command.id()];
    wave = command;
    wave.set_ordered_ms(stampMs);
    wave.set_completed(command.machines_size() == 0);
    return outcome;
}

schema::CommandOutcome WorkConfigState::apply(const schema::UpkeepProgress &command)
{
    const auto found = waves_.find(command.wave());
    if (found == waves_.end())
        return {};
    schema::UpkeepWave &wave = found->second;
    auto *list = command.finished() ? wave.mutable_finished() : wave.mutable_begun();
    if (std::find(list->begin(), list->end(), command.machine()) == list->end())
        *list->Add() = command.machine();
    wave.set_completed(wave.finished_size() >= wave.machines_size());
    return {};
}

void WorkConfigState::retireQueues(
    const schema::WorkConfig &former, const std::function<std::set<QueueId>()> &activeQueues)
{
    for (const schema::QueueConfig &queue : former.queues())
        retired_[queueIdOf(queue)] = queue;
    std::erase_if(
        retired_, [this](const auto &entry) { return queues_.contains(entry.first.value()); });
    if (retired_.empty())
        return;
    const std::set<QueueId> active = activeQueues();
    std::erase_if(retired_, [&active](const auto &entry) { return !active.contains(entry.first); });
}

void WorkConfigState::rebuildIndexes()
{
    revision_ = nextRevision.fetch_add(1);
    queues_.clear();
    queuesByName_.clear();
    byHost_.clear();
    accounts_.clear();
    keys_.clear();
    const schema::WorkConfig &config = current_.config();
    for (int i = 0; i < config.queues_size(); i++) {
        queues_[queueIdOf(config.queues(i)).value()] = i;
        queuesByName_[config.queues(i).name()] = i;
        byHost_[config.queues(i).host()].push_back(i);
    }
    for (int i = 0; i < config.accounts_size(); i++) {
        accounts_[config.accounts(i).name()] = i;
        for (const std::string &key : config.accounts(i).keys())
            keys_[key] = i;
    }
}

const schema::QueueConfig *WorkConfigState::findQueue(const QueueId &id) const
{
    const auto found = queues_.find(id.value());
    if (found != queues_.end())
        return &config().queues(found->second);
    const auto retired = retired_.find(id);
    if (retired != retired_.end())
        return &retired->second;
    // Earlier versions stored the name of the route, which may have been removed since.
    return findQueueByName(id.value());
}

const schema::QueueConfig *WorkConfigState::findQueueByName(const std::string &name) const
{
    const auto found = queuesByName_.find(name);
    return found == queuesByName_.end() ? nullptr : &config().queues(found->second);
}

const schema::QueueConfig *WorkConfigState::route(
    const std::string &host, const std::string &path) const
{
    const auto found = byHost_.find(host);
    if (found == byHost_.end())
        return nullptr;
    const schema::QueueConfig *best = nullptr;
    for (const int position : found->second) {
        const schema::QueueConfig &queue = config().queues(position);
        if (path.starts_with(queue.prefix())
            && (best == nullptr || queue.prefix().size() > best->prefix().size()))
            best = &queue;
    }
    return best;
}

const schema::AccountConfig *WorkConfigState::findAccount(const AccountName &name) const
{
    const auto found = accounts_.find(name.value());
    return found == accounts_.end() ? nullptr : &config().accounts(found->second);
}

const schema::AccountConfig *WorkConfigState::findAccountByKey(const std::string &key) const
{
    const auto found = keys_.find(key);
    return found == keys_.end() ? nullptr : &config().accounts(found->second);
}

schema::WorkConfigSnapshot WorkConfigState::save() const
{
    schema::WorkConfigSnapshot snapshot;
    *snapshot.mutable_current() = current_;
    for (const ZoneName &zone : zonesOut_)
        snapshot.add_zones_out(zone.value());
    for (const auto &[id, wave] : waves_)
        *snapshot.add_waves() = wave;
    for (const auto &[id, queue] : retired_)
        *snapshot.add_retired_queues() = queue;
    return snapshot;
}

void WorkConfigState::restore(const schema::WorkConfigSnapshot &snapshot)
{
    *this = WorkConfigState();
    current_ = snapshot.current();
    for (const std::string &zone : snapshot.zones_out())
        zonesOut_.insert(ZoneName(zone));
    for (const auto &wave : snapshot.waves())
        waves_[wave.id()] = wave;
    for (const schema::QueueConfig &queue : snapshot.retired_queues())
        retired_[queueIdOf(queue)] = queue;
    rebuildIndexes();
}

} // namespace basilgap::state
