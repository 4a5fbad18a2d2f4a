#include "Basilgap/Scheduling/JobScheduler.h"

#include "Basilgap/Scheduling/ScheduleRound.h"

namespace basilgap::scheduling {

JobScheduler::JobScheduler(ScheduleOptions options)
    : options_(options)
{}

SchedulePlan JobScheduler::plan(const ScheduleInput &input)
{
    std::erase_if(lastGangReservationMs_, [&input](const auto &entry) {
        const state::Job *job = input.jobs.find(entry.first);
        return job == nullptr || job->isFinished();
    });
    return ScheduleRound(this, input).run();
}

std::string JobScheduler::waitReason(JobId job) const
{
    const auto found = waitReasons_.find(job);
    return found == waitReasons_.end() ? "" : found->second;
}

} // namespace basilgap::scheduling
