#pragma once

#include <map>
#include <vector>

#include "Basilgap/State/JobTable.h"
#include "Basilgap/State/WorkRefs.h"
#include "State.pb.h"

namespace basilgap::state {

// A task that crashes its workers does so at the start of each run. A job is given up only after
// crashes at the start of that many runs of one task in a row, since workers that crash by
// themselves hit some tasks twice.
constexpr uint32_t MaxStartCrashes = 4;
// At least that many of these runs must be known to have begun; a worker may have been gone when
// the order to start arrived.
constexpr uint32_t MinBegunStartCrashes = 2;

// Crashes of workers just after the start of one task's runs (the schema's StartCrashes).
struct StartCrashes
{
    uint32_t total = 0;
    uint32_t begun = 0;

    // Whether the task is taken to have caused them.
    bool areConclusive() const { return total >= MaxStartCrashes && begun >= MinBegunStartCrashes; }

    StartCrashes &operator+=(const StartCrashes &other)
    {
        total += other.total;
        begun += other.begun;
        return *this;
    }
    StartCrashes &operator-=(const StartCrashes &other)
    {
        total -= other.total;
        begun -= other.begun;
        return *this;
    }
    friend StartCrashes operator+(StartCrashes left, const StartCrashes &right)
    {
        return left += right;
    }
};

// A run that ended when its worker was lost just after the start.
struct LostRun
{
    StepTaskRef task;
    // The worker had accepted or listed the run.
    bool hasBegun = false;

    // Counts against the task if the worker has crashed.
    StartCrashes crash() const { return { 1, hasBegun ? 1U : 0U }; }
};

// Whether the registration of `later` shows that `earlier` has ended: another incarnation has the
// same id, or was started later at the same address.
bool replaces(const schema::WorkerLife &later, const schema::WorkerLife &earlier);

// Workers that fell silent just after the start of tasks and of which it is not known yet whether
// they have crashed or are only cut off.
class LostWorkers
{
public:
    void add(const schema::WorkerLife &life, const LostRun &run);
    // Forgets the worker and returns the runs that were lost with it.
    std::vector<LostRun> take(WorkerNumber worker);
    // The same for all workers that the incarnation replaces.
    std::vector<LostRun> takeReplacedBy(const schema::WorkerLife &successor);

    // Forgets the runs of the task.
    void dismiss(const StepTaskRef &task);

    bool empty() const { return workers_.empty(); }
    bool contains(WorkerNumber worker) const { return workers_.contains(worker); }

    void save(schema::WorkSnapshot *snapshot) const;
    void restore(const schema::WorkSnapshot &snapshot);
    // All runs that were lost.
    std::vector<LostRun> runs() const;
    // Those that were lost with workers that the incarnation replaces.
    std::vector<LostRun> runsReplacedBy(const schema::WorkerLife &successor) const;

private:
    struct LostWorker
    {
        schema::WorkerLife life;
        std::vector<LostRun> runs;
    };

    std::map<WorkerNumber, LostWorker> workers_;
};

} // namespace basilgap::state
