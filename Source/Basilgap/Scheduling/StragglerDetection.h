#pragma once

#include <map>
#include <optional>
#include <vector>

#include "Basilgap/Common/Millis.h"
#include "Basilgap/State/WorkTable.h"

namespace basilgap::scheduling {

// What is known of a run that goes on.
struct RunObservation
{
    state::StepTask task;
    state::WorkerNumber worker;
    // How far it was when that was first known, and how far it is, 0 to 100; the time between.
    int firstPercent = 0;
    int percent = 0;
    Millis elapsed;
    // Since the percent last rose.
    Millis sinceProgress;
    // What finished tasks of the step took on a usual worker; estimates are too rough to judge by
    // alone.
    std::optional<Millis> measuredDuration;
    // What the task should take by its estimate and the experience with its queue.
    std::optional<Millis> correctedEstimate;
    // Reports in a row, some hundred milliseconds apart, in which the percent stayed the same.
    int stalledReports = 0;
    // Some progress is kept when it is stopped.
    bool keepsProgress = false;
    // It was given up before for being slow: it may be a long task.
    bool wasStoppedAsSlow = false;
};

enum class StragglerKind { Stalled, Slow };

struct Straggler
{
    state::StepTask task;
    state::WorkerNumber worker;
    StragglerKind kind = StragglerKind::Stalled;
};

struct StragglerFindings
{
    std::vector<Straggler> stragglers;
    // Workers whose runs are all slower than they should be, and by how much.
    std::map<state::WorkerNumber, double> slowWorkers;
};

// Finds runs that stand still, workers that have turned slow, and runs on those that would be done
// much sooner elsewhere. Tasks of one step differ in length, so that one slow run says nothing of
// its worker; several at a time do, if they are slow against their siblings and against their
// estimates: either alone happens by chance somewhere all the time.
StragglerFindings detectStragglers(const std::vector<RunObservation> &runs);

} // namespace basilgap::scheduling
