#include "Basilgap/Scheduling/PendingRunEnds.h"

#include <algorithm>

namespace basilgap::scheduling {

bool PendingRunEnds::isReady(const state::Work &work, const state::StepRef &ref) const
{
    const auto &after = work.specOf(ref).after();
    return std::all_of(after.begin(), after.end(), [&](uint32_t before) {
        const state::StepRef other{ ref.work, ref.occurrence, before };
        return work.stepAt(other).isDone() || doneSteps.contains(other);
    });
}

uint32_t PendingRunEnds::waitingTasks(const state::Work &work, const state::StepRef &ref) const
{
    const auto freed = requeuedTasks.find(ref);
    const size_t more = freed == requeuedTasks.end() ? 0 : freed->second.size();
    return work.stepAt(ref).waiting + static_cast<uint32_t>(more);
}

bool PendingRunEnds::isWaiting(const state::Work &work, const state::StepTaskRef &task) const
{
    if (work.stepAt(task.step).tasks[task.index].phase == state::RunPhase::Waiting)
        return true;
    const auto freed = requeuedTasks.find(task.step);
    return freed != requeuedTasks.end() && freed->second.contains(task.index);
}

PendingRunEnds collectPendingRunEnds(const state::WorkTable &table, const schema::RunBatch &batch)
{
    PendingRunEnds pending;
    std::map<state::StepRef, uint32_t> done;
    for (const auto &end : batch.ends()) {
        const state::StepRef ref{ state::WorkSerial(end.work()), end.occurrence(), end.step() };
        const state::Work *work = table.find(ref.work);
        const state::WorkTask *task = table.find(state::StepTaskRef{ ref, end.index() });
        const bool counts = task != nullptr && work->isActive()
            && task->phase == state::RunPhase::Running && task->run == end.run();
        // Tasks of a gang start and end together: their ends are only considered once they are
        // applied.
        if (!counts || work->specOf(ref).gang())
            continue;
        const bool isDone = end.outcome() == schema::RUN_DONE && !work->specOf(ref).service();
        const bool isLastAttempt = end.outcome() == schema::RUN_FAILED
            && !work->specOf(ref).service() && task->failures + 1 >= work->maxAttempts;
        if (isDone && ++done[ref] + work->stepAt(ref).done == work->stepAt(ref).tasks.size())
            pending.doneSteps.insert(ref);
        // A task whose worker was lost waits for the record, which shows whether it is a crash
        // suspect.
        else if (!isDone && !isLastAttempt && end.worker_loss() == schema::WORKER_NOT_LOST)
            pending.requeuedTasks[ref].insert(end.index());
    }
    return pending;
}

} // namespace basilgap::scheduling
