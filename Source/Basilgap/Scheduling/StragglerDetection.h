#pragma once

#include <map>
#include <optional>
#include <vector>

#include "Basilgap/Common/Millis.h"
#include "Basilgap/State/WorkTable.h"

namespace basilgap::scheduling {

// Observed state of a run in progress.
struct RunObservation
{
    state::StepTaskRef task;
    state::WorkerNumber worker;
    // Progress in the first and the latest report, 0 to 100, and the time between them.
    int firstPercent = 0;
    int percent = 0;
    Millis elapsed;
    // Time since the percentage last increased.
    Millis sinceProgress;
    // Mean duration of the step's finished tasks on a typical worker. Estimates alone are too
    // inexact to judge a run.
    std::optional<Millis> measuredDuration;
    // Duration by the task's estimate, corrected by the measured error of its queue's estimates.
    std::optional<Millis> correctedEstimate;
    // Time since the start of the run, and the 90th percentile of the forecast of its duration,
    // below which it is no straggler. Absent: no such limit.
    Millis age;
    std::optional<Millis> forecastHigh;
    // Consecutive reports, some hundred milliseconds apart, without an increase of the percentage.
    int stalledReports = 0;
    // The task writes checkpoints, so a stop loses only part of its progress.
    bool keepsProgress = false;
    // The task was stopped as a slow straggler before; it may simply be a long task.
    bool wasStoppedAsSlow = false;
    // How many earlier runs of the task were stopped as stalled. It may be one whose percentage
    // rises slowly.
    uint32_t earlierStalls = 0;
};

enum class StragglerKind { Stalled, Slow };

struct Straggler
{
    state::StepTaskRef task;
    state::WorkerNumber worker;
    StragglerKind kind = StragglerKind::Stalled;
};

struct StragglerFindings
{
    std::vector<Straggler> stragglers;
    // Slow workers with their slowdown factor.
    std::map<state::WorkerNumber, double> slowWorkers;
};

// Detects stalled runs, slow workers, and runs on slow workers that would finish much earlier
// elsewhere. Tasks of one step differ in length, so a single slow run is no evidence against its
// worker. Several steps must be slow both against their siblings and against their estimates, since
// either alone often happens by chance. Load pattern: stragglers, by stalled tasks and degraded
// workers.
StragglerFindings detectStragglers(const std::vector<RunObservation> &runs);

} // namespace basilgap::scheduling
