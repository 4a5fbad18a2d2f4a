#include "Basilgap/State/LostWorkers.h"

#include <iterator>
#include <utility>

namespace basilgap::state {

bool replaces(const schema::WorkerLife &later, const schema::WorkerLife &earlier)
{
    if (later.id() == earlier.id())
        return later.number() > earlier.number();
    return later.address() == earlier.address() && later.born_ms() > earlier.born_ms();
}

void LostWorkers::add(const schema::WorkerLife &life, const LostRun &run)
{
    LostWorker &worker = workers_[WorkerNumber(life.number())];
    worker.life = life;
    worker.runs.push_back(run);
}

std::vector<LostRun> LostWorkers::take(WorkerNumber worker)
{
    auto taken = workers_.extract(worker);
    return taken.empty() ? std::vector<LostRun>() : std::move(taken.mapped().runs);
}

std::vector<LostRun> LostWorkers::takeReplacedBy(const schema::WorkerLife &successor)
{
    std::vector<LostRun> runs = runsReplacedBy(successor);
    std::erase_if(
        workers_, [&](const auto &entry) { return replaces(successor, entry.second.life); });
    return runs;
}

void LostWorkers::dismiss(const StepTaskRef &task)
{
    for (auto worker = workers_.begin(); worker != workers_.end();) {
        std::vector<LostRun> &runs = worker->second.runs;
        std::erase_if(runs, [&task](const LostRun &run) { return run.task == task; });
        worker = runs.empty() ? workers_.erase(worker) : std::next(worker);
    }
}

std::vector<LostRun> LostWorkers::runs() const
{
    std::vector<LostRun> runs;
    for (const auto &[number, worker] : workers_)
        runs.insert(runs.end(), worker.runs.begin(), worker.runs.end());
    return runs;
}

std::vector<LostRun> LostWorkers::runsReplacedBy(const schema::WorkerLife &successor) const
{
    std::vector<LostRun> runs;
    for (const auto &[number, worker] : workers_) {
        if (replaces(successor, worker.life))
            runs.insert(runs.end(), worker.runs.begin(), worker.runs.end());
    }
    return runs;
}

void LostWorkers::save(schema::WorkSnapshot *snapshot) const
{
    for (const auto &[number, worker] : workers_) {
        schema::LostWorkerState *state = snapshot->add_lost_workers();
        *state->mutable_life() = worker.life;
        for (const LostRun &run : worker.runs) {
            schema::LostRunState *runState = state->add_runs();
            runState->set_work(run.task.step.work.value());
            runState->set_occurrence(run.task.step.occurrence);
            runState->set_step(run.task.step.step);
            runState->set_index(run.task.index);
            runState->set_has_begun(run.hasBegun);
        }
    }
}

void LostWorkers::restore(const schema::WorkSnapshot &snapshot)
{
    workers_.clear();
    for (const auto &state : snapshot.lost_workers()) {
        for (const auto &run : state.runs()) {
            const StepRef step{ WorkSerial(run.work()), run.occurrence(), run.step() };
            add(state.life(), { { step, run.index() }, run.has_begun() });
        }
    }
}

} // namespace basilgap::state
