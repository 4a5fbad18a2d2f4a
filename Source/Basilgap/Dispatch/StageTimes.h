#pragma once

#include <array>
#include <map>

#include "Basilgap/Common/LatencyHistogram.h"
#include "Basilgap/Common/Millis.h"
#include "Basilgap/State/WorkTable.h"

namespace basilgap::dispatch {

// The stages between the submission of a job and the end of its tasks, as the leader sees them.
enum class Stage {
    // From the submission until its record is applied.
    Log,
    // One call for advice.
    Advice,
    // From when a step is ready until the first run of a task is planned.
    Plan,
    // From the plan until the record of the start is applied and the order is sent.
    Commit,
    // From the order until the worker accepts it.
    Start,
    // From when the worker's report of an end arrives until its record is applied.
    End,
};

// Times of the stages since the last log line, by queue.
class StageTimes
{
public:
    void add(const state::QueueId &queue, Stage stage, Millis time);

    // Logs one line for each queue with the count, the median and the 95th percentile of each
    // stage, and starts anew.
    void log();

private:
    static constexpr size_t StageCount = 6;

    std::map<state::QueueId, std::array<LatencyHistogram, StageCount>> queues_;
};

// When the last of the steps that this one depends on was done, or the job was logged or due, in
// Unix milliseconds.
uint64_t readySinceMs(const state::Work &work, const state::StepRef &ref);

} // namespace basilgap::dispatch
