#include "Basilgap/State/CellState.h"

#include <algorithm>
#include <vector>

namespace basilgap::state {

schema::CommandOutcome CellState::apply(LogIndex index, const schema::Command &command)
{
    // The clocks of successive leaders differ; the clock of the state never goes backwards.
    clockMs_ = std::max(clockMs_, command.stamp_ms());
    switch (command.body_case()) {
    case schema::Command::kApplyCell:
        return config_.apply(command.apply_cell());
    case schema::Command::kZone:
        return config_.apply(command.zone(), clockMs_);
    case schema::Command::kOpenSession:
        return sessions_.apply(command.open_session(), clockMs_);
    case schema::Command::kCloseSession: {
        const schema::CommandOutcome outcome = sessions_.apply(command.close_session(), clockMs_);
        removeUnusedSessions();
        return outcome;
    }
    case schema::Command::kAllotments: {
        const schema::CommandOutcome outcome =
            allotments_.apply(command.allotments(), index.value());
        removeUnusedSessions();
        return outcome;
    }
    case schema::Command::kClaimOpen:
        return claims_.apply(command.claim_open(), sessions_, clockMs_);
    case schema::Command::kClaimEnd:
        return claims_.apply(command.claim_end(), clockMs_);
    case schema::Command::kSubmitJob:
        return submitJob(command.submit_job());
    case schema::Command::kCancelJobs:
        jobs_.cancel(command.cancel_jobs(), clockMs_);
        return {};
    case schema::Command::kTasks:
        return jobs_.apply(command.tasks(), clockMs_);
    case schema::Command::kExpire:
        expire();
        return {};
    case schema::Command::kPutWorkConfig:
        return workConfig_.apply(
            command.put_work_config(), [this] { return works_.activeQueues(); });
    case schema::Command::kEvacuateZone:
        return workConfig_.apply(command.evacuate_zone());
    case schema::Command::kSubmitWork:
        return submitWork(command.submit_work());
    case schema::Command::kCancelWork:
        return works_.cancel(command.cancel_work(), clockMs_);
    case schema::Command::kRuns:
        works_.apply(command.runs(), clockMs_);
        return {};
    case schema::Command::kStartWave:
        return workConfig_.apply(command.start_wave(), clockMs_);
    case schema::Command::kUpkeep:
        return workConfig_.apply(command.upkeep());
    case schema::Command::BODY_NOT_SET:
        return {};
    }
    return {};
}

schema::CommandOutcome CellState::submitJob(const schema::SubmitJob &command)
{
    const schema::CommandOutcome outcome =
        claims_.claimJob(command, jobs_.nextJob().value(), clockMs_);
    if (outcome.code() == schema::ACCEPTED && !outcome.again())
        jobs_.submit(command, clockMs_);
    return outcome;
}

schema::CommandOutcome CellState::submitWork(const schema::SubmitWork &command)
{
    if (command.queue_id().empty()) {
        schema::SubmitWork withId = command;
        withId.set_queue_id(queueIdOf(command.queue()));
        return works_.submit(withId, clockMs_);
    }
    const bool isKnown = works_.find(command.id()) != nullptr;
    if (!isKnown && !workConfig_.isConfigured(QueueId(command.queue_id()))) {
        schema::CommandOutcome outcome;
        outcome.set_code(schema::NOT_FOUND);
        return outcome;
    }
    return works_.submit(command, clockMs_);
}

// Earlier versions knew a queue by the name of its route.
std::string CellState::queueIdOf(const std::string &routeName) const
{
    const schema::QueueConfig *queue = workConfig_.findQueueByName(routeName);
    return queue == nullptr ? routeName : state::queueIdOf(*queue).value();
}

void CellState::removeUnusedSessions()
{
    std::vector<EntryNumber> idle;
    for (const auto &[number, session] : sessions_.all()) {
        if (session.closed() && !allotments_.hasAllotment(number))
            idle.push_back(number);
    }
    for (const EntryNumber number : idle)
        sessions_.remove(number);
}

void CellState::expire()
{
    config_.expire(clockMs_);
    claims_.expire(clockMs_, config_.retention().claim_ms());
    jobs_.expire(clockMs_, config_.retention().job_ms());
    works_.expire(clockMs_, WorkRetentionMs);
}

bool CellState::hasExpired(uint64_t nowMs) const
{
    const uint64_t oldestClaimMs = claims_.oldestStampMs();
    const uint64_t oldestJobMs = jobs_.oldestFinishMs();
    return (oldestClaimMs != 0 && oldestClaimMs + config_.retention().claim_ms() < nowMs)
        || (oldestJobMs != 0 && oldestJobMs + config_.retention().job_ms() < nowMs)
        || works_.hasExpired(nowMs, WorkRetentionMs);
}

std::string CellState::save() const
{
    schema::CellSnapshot snapshot;
    *snapshot.mutable_config() = config_.save();
    *snapshot.mutable_sessions() = sessions_.save();
    *snapshot.mutable_allotments() = allotments_.save();
    *snapshot.mutable_claims() = claims_.save();
    *snapshot.mutable_jobs() = jobs_.save();
    *snapshot.mutable_works() = works_.save();
    *snapshot.mutable_work_config() = workConfig_.save();
    snapshot.set_clock_ms(clockMs_);
    return snapshot.SerializeAsString();
}

bool CellState::restore(const std::string &bytes)
{
    schema::CellSnapshot snapshot;
    if (!snapshot.ParseFromString(bytes))
        return false;
    config_.restore(snapshot.config());
    sessions_.restore(snapshot.sessions());
    allotments_.restore(snapshot.allotments());
    claims_.restore(snapshot.claims());
    jobs_.restore(snapshot.jobs());
    workConfig_.restore(snapshot.work_config());
    for (schema::WorkState &work : *snapshot.mutable_works()->mutable_works()) {
        if (work.queue_id().empty())
            work.set_queue_id(queueIdOf(work.queue()));
    }
    works_.restore(snapshot.works());
    clockMs_ = snapshot.clock_ms();
    return true;
}

} // namespace basilgap::state
