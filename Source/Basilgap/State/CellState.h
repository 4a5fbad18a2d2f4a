#pragma once

#include <string>

#include "Basilgap/State/AllotmentTable.h"
#include "Basilgap/State/ClaimTable.h"
#include "Basilgap/State/ConfigState.h"
#include "Basilgap/State/JobTable.h"
#include "Basilgap/State/SessionTable.h"
#include "Basilgap/State/WorkConfigState.h"
#include "Basilgap/State/WorkTable.h"
#include "State.pb.h"

namespace basilgap::state {

// The replicated state machine of a cell. Applying the same commands in the same order gives the
// same state on every replica.
class CellState
{
public:
    // Applies a committed command. `index` is the index of its log record.
    schema::CommandOutcome apply(LogIndex index, const schema::Command &command);

    const ConfigState &config() const { return config_; }
    const SessionTable &sessions() const { return sessions_; }
    const AllotmentTable &allotments() const { return allotments_; }
    const ClaimTable &claims() const { return claims_; }
    const JobTable &jobs() const { return jobs_; }
    const WorkTable &works() const { return works_; }
    const WorkConfigState &workConfig() const { return workConfig_; }

    // Highest timestamp of all applied commands, in Unix milliseconds.
    uint64_t clockMs() const { return clockMs_; }

    // Whether an Expire command applied at that time would remove a claim or a job.
    bool hasExpired(uint64_t nowMs) const;

    std::string save() const;
    bool restore(const std::string &bytes);

private:
    schema::CommandOutcome submitJob(const schema::SubmitJob &command);
    schema::CommandOutcome submitWork(const schema::SubmitWork &command);
    std::string queueIdOf(const std::string &routeName) const;
    void removeUnusedSessions();
    void expire();

    ConfigState config_;
    SessionTable sessions_;
    AllotmentTable allotments_;
    ClaimTable claims_;
    JobTable jobs_;
    WorkTable works_;
    WorkConfigState workConfig_;
    uint64_t clockMs_ = 0;
};

} // namespace basilgap::state
