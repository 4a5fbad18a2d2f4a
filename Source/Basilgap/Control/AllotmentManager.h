#pragma once

#include <map>
#include <optional>

#include "Basilgap/Common/Ids.h"
#include "Basilgap/Control/BackendRegistry.h"
#include "Basilgap/Control/EntrySessions.h"
#include "Basilgap/Scheduling/AllotmentPlan.h"
#include "Basilgap/Scheduling/FairShare.h"
#include "Basilgap/State/CellState.h"

namespace basilgap::control {

// Divides backend servers' slots and teams' limits between the entries. What is handed out comes
// back only when the entry returned it, or when the entry's lease is over and the backend servers
// report nothing of that entry running, or its requests must have ended.
class AllotmentManager
{
public:
    AllotmentManager(
        const state::CellState &state, BackendRegistry &backends, EntrySessions &sessions);

    // The change to propose next, if any. Call again only once it is applied.
    std::optional<schema::AllotmentBatch> plan(Millis now);

    // What the entry should hold of each key.
    std::map<uint32_t, schema::AllotmentView> viewFor(EntryNumber entry) const;

    // The backend servers as the entries should see them, by key.
    std::map<uint32_t, schema::BackendView> backendViews(Millis now) const;

    // Weights of the teams in the queue of one entry.
    std::map<std::string, uint32_t> weightsFor(EntryNumber entry) const;

private:
    void addKeys(Millis now, schema::AllotmentBatch *batch);
    void planPools(Millis now);
    void planTeams(Millis now);
    void planDeadKeys();
    void takeReturns(Millis now, schema::AllotmentBatch *batch);
    void giveMore(schema::AllotmentBatch *batch);
    void dropKeys(Millis now, schema::AllotmentBatch *batch);
    void gatherDemand();
    scheduling::TeamDemand demandOf(
        const std::string &pool, const schema::TeamConfig &config) const;
    void noteWeights(const std::vector<EntryNumber> &entries);
    std::vector<EntryNumber> entriesInService(Millis now) const;
    bool isRecent(const EntryLink &link, Millis now) const;
    bool mayRelease(
        const schema::SessionState &session, const std::string &keyName, Millis now) const;
    uint32_t amountOf(const std::string &keyName, Millis now) const;
    scheduling::KeyAmounts currentOf(const std::vector<scheduling::AllotmentCapacity> &keys) const;
    uint64_t longestTimeoutMs() const;

    const state::CellState &state_;
    BackendRegistry &backends_;
    EntrySessions &sessions_;
    scheduling::KeyAmounts targets_;
    std::map<scheduling::AllotmentKeyNumber, uint32_t> amounts_;
    struct DemandKey
    {
        std::string pool;
        std::string team;
        auto operator<=>(const DemandKey &) const = default;
    };

    struct Weight
    {
        double part = 0;
        double sent = 0;
    };

    std::map<DemandKey, std::map<EntryNumber, scheduling::EntryDemand>> demand_;
    std::map<EntryNumber, std::map<std::string, Weight>> weights_;
};

} // namespace basilgap::control
