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

// Divides the slots of backend servers and the limits of teams between the entries. An allotted
// amount is reclaimed only when the entry returned it, or when the entry's lease has expired and
// either the backend servers report no running requests of that entry or its requests have timed
// out.
class AllotmentManager
{
public:
    AllotmentManager(
        const state::CellState &state, BackendRegistry &backends, EntrySessions &sessions);

    // Plans the next change to propose, if any. Call again only after that change is applied.
    std::optional<schema::AllotmentBatch> plan(Millis now);

    // The allotment of the entry for each key: its amount now and its target.
    std::map<uint32_t, schema::AllotmentView> allotmentViews(EntryNumber entry) const;

    // The backend servers to send to the entries, by key.
    std::map<uint32_t, schema::BackendView> backendViews(Millis now) const;

    // Weights of the teams in the fair queue of one entry.
    std::map<std::string, uint32_t> weightsFor(EntryNumber entry) const;

private:
    void addKeys(Millis now, schema::AllotmentBatch *batch);
    void planPools(Millis now);
    void planTeams(Millis now);
    void planRemovedKeys();
    void reclaimAllotments(Millis now, schema::AllotmentBatch *batch);
    void grantAllotments(schema::AllotmentBatch *batch);
    void dropUnusedKeys(Millis now, schema::AllotmentBatch *batch);
    void collectDemand();
    scheduling::TeamDemand demandOf(
        const std::string &pool, const schema::TeamConfig &config) const;
    void updateWeights(const std::vector<EntryNumber> &entries);
    std::vector<EntryNumber> entriesInService(Millis now) const;
    bool canReclaim(
        const schema::SessionState &session, const std::string &keyName, Millis now) const;
    uint32_t totalAmountOf(const std::string &keyName, Millis now) const;
    scheduling::KeyAmounts currentAmounts(
        const std::vector<scheduling::AllotmentCapacity> &keys) const;
    uint64_t maxRouteTimeoutMs() const;

    const state::CellState &state_;
    BackendRegistry &backends_;
    EntrySessions &sessions_;
    scheduling::KeyAmounts targetAmounts_;
    std::map<scheduling::AllotmentKeyNumber, uint32_t> totalAmounts_;
    struct DemandKey
    {
        std::string pool;
        std::string team;
        auto operator<=>(const DemandKey &) const = default;
    };

    struct SmoothedWeight
    {
        double demandFraction = 0;
        double lastSentWeight = 0;
    };

    std::map<DemandKey, std::map<EntryNumber, scheduling::EntryDemand>> demand_;
    std::map<EntryNumber, std::map<std::string, SmoothedWeight>> weights_;
};

} // namespace basilgap::control
