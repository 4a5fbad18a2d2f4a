#include "Basilgap/Scheduling/EndsAhead.h"

#include <algorithm>

namespace basilgap::scheduling {

bool EndsAhead::isReady(const state::Work &work, const state::StepRef &ref) const
{
    const auto &after = work.specOf(ref).after();
    return std::all_of(after.begin(), after.end(), [&](uint32_t before) {
        const state::StepRef other{ ref.work, ref.occurrence, before };
        return work.stepAt(other).isDone() || doneSteps.contains(other);
    });
}

uint32_t EndsAhead::waiting(const state::Work &work, const state::StepRef &ref) const
{
    const auto freed = freedTasks.find(ref);
    const size_t more = freed == freedTasks.end() ? 0 : freed->second.size();
    return work.stepAt(ref).waiting + static_cast<uint32_t>(more);
}

bool EndsAhead::isWaiting(const state::Work &work, const state::StepTaskRef &task) const
{
    if (work.stepAt(task.step).tasks[task.index].phase == state::RunPhase::Waiting)
        return true;
    const auto freed = freedTasks.find(task.step);
    return freed != freedTasks.end() && freed->second.contains(task.index);
}

EndsAhead endsAhead(const state::WorkTable &table, const schema::RunBatch &batch)
{
    EndsAhead ahead;
    std::map<state::StepRef, uint32_t> done;
    for (const auto &end : batch.ends()) {
        const state::StepRef ref{ state::WorkSerial(end.work()), end.occurrence(), end.step() };
        const state::Work *work = table.find(ref.work);
        const state::WorkTask *task = table.find(state::StepTaskRef{ ref, end.index() });
        const bool counts = task != nullptr && work->isActive()
            && task->phase == state::RunPhase::Running && task->run == end.run();
        // The members of a gang begin and end together: their ends are looked at once applied.
        if (!counts || work->specOf(ref).gang())
            continue;
        const bool isDone = end.outcome() == schema::RUN_DONE && !work->specOf(ref).service();
        const bool isLastAttempt = end.outcome() == schema::RUN_FAILED
            && !work->specOf(ref).service() && task->failures + 1 >= work->maxAttempts;
        if (isDone && ++done[ref] + work->stepAt(ref).done == work->stepAt(ref).tasks.size())
            ahead.doneSteps.insert(ref);
        else if (!isDone && !isLastAttempt)
            ahead.freedTasks[ref].insert(end.index());
    }
    return ahead;
}

} // namespace basilgap::scheduling
