#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "Basilgap/Common/Ids.h"
#include "Basilgap/State/WorkTable.h"
#include "State.pb.h"

namespace basilgap::state {

// The configuration of queues, pools and accounts, the evacuated zones and the maintenance waves
// (UpkeepWave).
class WorkConfigState
{
public:
    // A version that is not higher than the current one is accepted without any effect. A queue
    // that is no longer configured is kept as it was while it is among the active queues, whose
    // jobs have been accepted.
    schema::CommandOutcome apply(
        const schema::PutWorkConfig &command,
        const std::function<std::set<QueueId>()> &activeQueues = [] {
            return std::set<QueueId>();
        });
    schema::CommandOutcome apply(const schema::EvacuateZone &command);
    schema::CommandOutcome apply(const schema::UpkeepWave &command, uint64_t stampMs);
    schema::CommandOutcome apply(const schema::UpkeepProgress &command);

    bool isConfigured() const { return current_.version() > 0; }
    bool isConfigured(const QueueId &queue) const { return queues_.contains(queue.value()); }
    uint64_t version() const { return current_.version(); }
    // Differs whenever queues and accounts may have been replaced, also by a restored snapshot with
    // the same version. Not replicated.
    uint64_t revision() const { return revision_; }
    const std::string &document() const { return current_.document(); }
    const schema::WorkConfig &config() const { return current_.config(); }
    bool isZoneOut(const ZoneName &zone) const { return zonesOut_.contains(zone); }
    const std::map<std::string, schema::UpkeepWave> &waves() const { return waves_; }

    // Also finds queues that are kept for their jobs.
    const schema::QueueConfig *findQueue(const QueueId &id) const;
    // The configured queue whose route has this name, or null.
    const schema::QueueConfig *findQueueByName(const std::string &name) const;
    // Queues that are kept for their jobs, but take no calls.
    const std::map<QueueId, schema::QueueConfig> &retiredQueues() const { return retired_; }
    // The queue of the host with the longest matching path prefix, or null.
    const schema::QueueConfig *route(const std::string &host, const std::string &path) const;
    const schema::AccountConfig *findAccount(const AccountName &name) const;
    // The account that holds the key, or null.
    const schema::AccountConfig *findAccountByKey(const std::string &key) const;

    schema::WorkConfigSnapshot save() const;
    void restore(const schema::WorkConfigSnapshot &snapshot);

private:
    void rebuildIndexes();
    void retireQueues(
        const schema::WorkConfig &former, const std::function<std::set<QueueId>()> &activeQueues);

    schema::PutWorkConfig current_;
    uint64_t revision_ = 0;
    std::set<ZoneName> zonesOut_;
    std::map<std::string, schema::UpkeepWave> waves_;
    std::map<QueueId, schema::QueueConfig> retired_;
    std::unordered_map<std::string, int> queues_;
    std::unordered_map<std::string, int> queuesByName_;
    std::unordered_map<std::string, std::vector<int>> byHost_;
    std::unordered_map<std::string, int> accounts_;
    std::unordered_map<std::string, int> keys_;
};

} // namespace basilgap::state
