#include <algorithm>

#include "Basilgap/State/WorkTable.h"

namespace basilgap::state {

schema::WorkSnapshot WorkTable::save() const
{
    schema::WorkSnapshot snapshot;
    snapshot.set_next_serial(nextSerial_);
    snapshot.set_next_worker(nextWorker_);
    for (const auto &[number, incarnation] : workers_)
        *snapshot.add_workers() = incarnation;
    lostWorkers_.save(&snapshot);
    earlyCancellations_.save(&snapshot);
    snapshot.set_duration_model(durations_.save());
    for (const auto &[serial, work] : works_) {
        schema::WorkState *state = snapshot.add_works();
        state->set_serial(serial.value());
        state->set_id(work.id);
        state->set_queue_id(work.queue.value());
        state->set_account(work.account.value());
        *state->mutable_spec() = work.spec;
        state->set_max_attempts(work.maxAttempts);
        state->set_phase(static_cast<uint32_t>(work.phase));
        state->set_started(work.started);
        state->set_submitted_ms(work.submittedMs);
        state->set_finished_ms(work.finishedMs);
        for (const auto &steps : work.occurrences) {
            for (const WorkStep &step : steps) {
                schema::WorkStepState *stepState = state->add_steps();
                stepState->set_last_failed_run(step.lastFailedRun);
                for (const WorkTask &task : step.tasks) {
                    schema::WorkTaskState *taskState = stepState->add_tasks();
                    if (work.isSettled())
                        continue;
                    taskState->set_phase(static_cast<uint32_t>(task.phase));
                    taskState->set_worker(task.worker.value());
                    taskState->set_run(task.run);
                    taskState->set_failures(task.failures);
                    taskState->set_checkpoint(task.checkpoint);
                    taskState->set_since_ms(task.phaseSinceMs);
                    if (task.startCrashes.total > 0) {
                        taskState->mutable_start_crashes()->set_total(task.startCrashes.total);
                        taskState->mutable_start_crashes()->set_begun(task.startCrashes.begun);
                    }
                }
            }
        }
    }
    return snapshot;
}

void WorkTable::restore(const schema::WorkSnapshot &snapshot)
{
    WorkChanges changes = std::move(changes_);
    *this = WorkTable();
    changes_ = std::move(changes);
    changes_.invalidate();
    nextSerial_ = std::max<uint64_t>(1, snapshot.next_serial());
    for (const auto &incarnation : snapshot.workers()) {
        const WorkerNumber number(incarnation.number());
        storeIncarnation(incarnation);
        WorkerNumber &newest = newestIncarnations_[incarnation.id()];
        newest = std::max(newest, number);
    }
    nextWorker_ = std::max(1U, snapshot.next_worker());
    for (const auto &state : snapshot.works()) {
        Work work;
        work.serial = WorkSerial(state.serial());
        work.id = state.id();
        work.queue = QueueId(state.queue_id().empty() ? state.queue() : state.queue_id());
        work.account = AccountName(state.account());
        work.spec = state.spec();
        work.maxAttempts = state.max_attempts();
        work.phase = static_cast<WorkPhase>(state.phase());
        work.started = state.started();
        work.submittedMs = state.submitted_ms();
        work.finishedMs = state.finished_ms();
        buildSteps(&work);
        work.waitingTasks = 0;
        int stepPosition = 0;
        for (uint32_t occurrence = 0; occurrence < work.occurrences.size(); occurrence++) {
            for (uint32_t i = 0; i < work.occurrences[occurrence].size(); i++) {
                WorkStep &step = work.occurrences[occurrence][i];
                const schema::WorkStepState &stepState = state.steps(stepPosition++);
                step.lastFailedRun = stepState.last_failed_run();
                step.waiting = 0;
                for (uint32_t t = 0; t < step.tasks.size(); t++) {
                    const schema::WorkTaskState &savedTask = stepState.tasks(static_cast<int>(t));
                    WorkTask &task = step.tasks[t];
                    task.phase = static_cast<RunPhase>(savedTask.phase());
                    task.worker = WorkerNumber(savedTask.worker());
                    task.run = savedTask.run();
                    task.failures = savedTask.failures();
                    task.checkpoint = savedTask.checkpoint();
                    task.phaseSinceMs = savedTask.since_ms();
                    task.startCrashes = { savedTask.start_crashes().total(),
                        savedTask.start_crashes().begun() };
                    if (task.phase == RunPhase::Waiting) {
                        step.waiting++;
                        work.waitingTasks++;
                        continue;
                    }
                    if (task.phase == RunPhase::Done) {
                        step.done++;
                        continue;
                    }
                    const schema::StepSpec &spec = work.spec.steps(static_cast<int>(i));
                    step.running++;
                    work.runningTasks++;
                    running_++;
                    const StepTaskRef ref{ { work.serial, occurrence, i }, t };
                    runs_[task.worker][ref] = task.run;
                    runsByAccount_[work.account].insert(ref);
                    reserved_[task.worker] += reservationOf(spec);
                    usage_[work.account] += Resources{ static_cast<int64_t>(spec.millicores()),
                        static_cast<int64_t>(spec.memory_mb()),
                        static_cast<int64_t>(spec.accelerators()) };
                }
            }
        }
        if (!work.isActive()) {
            releasePayload(&work);
            finished_.emplace(work.finishedMs, work.serial);
        }
        byId_[work.id] = work.serial;
        const WorkSerial serial = work.serial;
        Work &stored = works_.emplace(serial, std::move(work)).first->second;
        addToIndex(&stored);
        updateIndexes(stored);
    }
    durations_.restore(snapshot.duration_model());
    earlyCancellations_.restore(snapshot);
    lostWorkers_.restore(snapshot);
    for (const LostRun &run : lostWorkers_.runs()) {
        if (WorkTask *task = findMutable(run.task))
            task->unconfirmedStartCrashes += run.crash();
    }
}

} // namespace basilgap::state
