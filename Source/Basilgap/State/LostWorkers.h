#pragma once

#include <map>
#include <vector>

#include "Basilgap/State/JobTable.h"
#include "Basilgap/State/WorkRefs.h"
#include "State.pb.h"

namespace basilgap::state {

// A run that ended when its worker was lost.
struct LostRun
{
    StepTaskRef task;
    // Added to the task's crash points if the worker has crashed.
    uint32_t crashPoints = 0;
    // The worker was lost just after the start of the run.
    bool isAtStart = false;
};

// Whether the registration of `later` shows that `earlier` has ended: another incarnation has the
// same id, or was started later at the same address.
bool replaces(const schema::WorkerLife &later, const schema::WorkerLife &earlier);

// Workers that fell silent while tasks ran on them and of which it is not known yet whether they
// have crashed or are only cut off.
class LostWorkers
{
public:
    void add(const schema::WorkerLife &life, const LostRun &run);
    // Forgets the worker and returns the runs that were lost with it.
    std::vector<LostRun> take(WorkerNumber worker);
    // The same for all workers that the incarnation replaces.
    std::vector<LostRun> takeReplacedBy(const schema::WorkerLife &successor);

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
