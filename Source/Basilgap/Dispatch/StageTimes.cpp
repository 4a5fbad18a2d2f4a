#include "Basilgap/Dispatch/StageTimes.h"

#include <algorithm>
#include <cmath>
#include <string>

#include "Basilgap/Common/EventLog.h"

namespace basilgap::dispatch {

namespace {

constexpr std::array<const char *, 6> StageNames{ "log", "advice", "plan", "commit", "start",
    "end" };

} // namespace

void StageTimes::add(const state::QueueId &queue, Stage stage, Millis time)
{
    queues_[queue][static_cast<size_t>(stage)].add(
        static_cast<double>(std::max<int64_t>(0, time.count())));
}

void StageTimes::log()
{
    static_assert(StageNames.size() == StageCount);
    for (const auto &[queue, stages] : queues_) {
        LogEvent line("stage-times");
        line.with("queue", queue.value());
        for (size_t i = 0; i < StageCount; i++) {
            if (stages[i].count() == 0)
                continue;
            const std::string name = StageNames[i];
            line.with(name, stages[i].count())
                .with(name + "50", std::lround(stages[i].percentile(0.5)))
                .with(name + "95", std::lround(stages[i].percentile(0.95)));
        }
    }
    queues_.clear();
}

uint64_t readySinceMs(const state::Work &work, const state::StepRef &ref)
{
    uint64_t since = std::max(work.submittedMs, work.dueMs(ref.occurrence));
    for (const uint32_t before : work.specOf(ref).after()) {
        for (const state::WorkTask &task : work.occurrences[ref.occurrence][before].tasks)
            since = std::max(since, task.phaseSinceMs);
    }
    return since;
}

} // namespace basilgap::dispatch
