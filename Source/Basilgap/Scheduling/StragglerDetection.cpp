#include "Basilgap/Scheduling/StragglerDetection.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace basilgap::scheduling {

namespace {

// Reports arrive at least every 1.4 s; a long task may show no progress in one of them.
constexpr Millis StallTimeout{ 2900 };
// Shorter timeout for runs with several consecutive reports without progress. A share of the
// expected duration is added, since one percent of a long task takes a while.
constexpr int MinStalledReports = 3;
constexpr Millis ReportedStallTimeout{ 800 };
constexpr double StallShareOfEstimate = 0.05;
// The time without progress doubles with each stop of the task, up to this many times, so that long
// tasks end.
constexpr uint32_t MaxStallDoublings = 8;

// Smaller progress and shorter times are too inaccurate to derive a speed.
constexpr int MinProgressPercent = 5;
constexpr Millis MinElapsed{ 300 };

// A mean slowdown over several steps above this is not chance.
constexpr double SlowFactor = 2.2;

// Limit of the slowdown against the estimates, over all steps together; estimates are off by half
// and more.
constexpr double SlowFactorAgainstEstimate = 1.7;

// Weight of the prior that a worker is as fast as the others, and the least number of steps that is
// evidence.
constexpr double PriorWeight = 0.5;
constexpr int MinSteps = 2;

// A run is restarted elsewhere only if that is faster by this factor.
constexpr double MinSpeedup = 1.5;

// Cost of a stop, an advice request and a start on another worker.
constexpr double MigrationCostMs = 500;

// Duration of the whole task at the speed so far, in milliseconds.
std::optional<double> projectedDurationMs(const RunObservation &run)
{
    const int done = run.percent - run.firstPercent;
    if (done < MinProgressPercent || run.elapsed < MinElapsed)
        return std::nullopt;
    return static_cast<double>(run.elapsed.count()) * 100.0 / done;
}

struct Mean
{
    double sum = 0;
    int count = 0;

    void add(double sample)
    {
        sum += sample;
        count++;
    }
};

// Means of the logarithms of a step's task durations by worker. Worker 0 stands for finished tasks.
using StepTimes = std::map<state::WorkerNumber, Mean>;

std::map<state::StepRef, StepTimes> collectTimes(const std::vector<RunObservation> &runs)
{
    std::map<state::StepRef, StepTimes> steps;
    for (const RunObservation &run : runs) {
        StepTimes &times = steps[run.task.step];
        if (run.measuredDuration && !times.contains(state::WorkerNumber()))
            times[state::WorkerNumber()].add(
                std::log(std::max<double>(1, static_cast<double>(run.measuredDuration->count()))));
        if (const auto projectedMs = projectedDurationMs(run))
            times[run.worker].add(std::log(*projectedMs));
    }
    return steps;
}

bool isStalled(const RunObservation &run)
{
    if (run.percent >= 100)
        return false;
    const int64_t factor = int64_t{ 1 } << std::min(run.earlierStalls, MaxStallDoublings);
    if (run.sinceProgress > StallTimeout * factor)
        return true;
    if (run.stalledReports < MinStalledReports || !run.correctedEstimate)
        return false;
    const auto share = static_cast<int64_t>(
        static_cast<double>(run.correctedEstimate->count()) * StallShareOfEstimate);
    return run.sinceProgress > (ReportedStallTimeout + Millis(share)) * factor;
}

// Typical duration of the step's tasks on other workers, in milliseconds.
std::optional<double> typicalElsewhere(const StepTimes &times, state::WorkerNumber worker)
{
    Mean others;
    for (const auto &[other, mean] : times) {
        if (other != worker)
            others.add(mean.sum / mean.count);
    }
    if (others.count == 0)
        return std::nullopt;
    return std::exp(others.sum / others.count);
}

// Logarithm of the ratio of projected to estimated duration, by worker.
std::map<state::WorkerNumber, Mean> compareWithEstimates(const std::vector<RunObservation> &runs)
{
    std::map<std::pair<state::WorkerNumber, state::StepRef>, Mean> byStep;
    for (const RunObservation &run : runs) {
        const auto projectedMs = projectedDurationMs(run);
        if (projectedMs && run.correctedEstimate && run.correctedEstimate->count() > 0)
            byStep[{ run.worker, run.task.step }].add(
                std::log(*projectedMs / static_cast<double>(run.correctedEstimate->count())));
    }
    std::map<state::WorkerNumber, Mean> workers;
    for (const auto &[key, mean] : byStep)
        workers[key.first].add(mean.sum / mean.count);
    return workers;
}

std::map<state::WorkerNumber, double> findSlowWorkers(
    const std::map<state::StepRef, StepTimes> &steps, const std::vector<RunObservation> &runs)
{
    const auto estimates = compareWithEstimates(runs);
    const auto agrees = [&estimates](state::WorkerNumber worker) {
        const auto found = estimates.find(worker);
        return found == estimates.end()
            || std::exp(found->second.sum / (found->second.count + PriorWeight))
            > SlowFactorAgainstEstimate;
    };
    std::map<state::WorkerNumber, Mean> ratios;
    for (const auto &[step, times] : steps) {
        for (const auto &[worker, mean] : times) {
            const auto typicalMs = typicalElsewhere(times, worker);
            if (worker != state::WorkerNumber() && typicalMs)
                ratios[worker].add(mean.sum / mean.count - std::log(*typicalMs));
        }
    }
    std::map<state::WorkerNumber, double> slowWorkers;
    for (const auto &[worker, ratio] : ratios) {
        const double factor = std::exp(ratio.sum / (ratio.count + PriorWeight));
        if (ratio.count >= MinSteps && factor > SlowFactor && agrees(worker))
            slowWorkers[worker] = factor;
    }
    return slowWorkers;
}

bool isFasterElsewhere(const RunObservation &run, const StepTimes &times)
{
    const auto projectedMs = projectedDurationMs(run);
    const auto typicalMs = typicalElsewhere(times, run.worker);
    if (!projectedMs || !typicalMs || run.wasStoppedAsSlow)
        return false;
    const double part = (100.0 - run.percent) / 100.0;
    const double restartMs = MigrationCostMs + (run.keepsProgress ? *typicalMs * part : *typicalMs);
    return *projectedMs * part > restartMs * MinSpeedup;
}

} // namespace

StragglerFindings detectStragglers(const std::vector<RunObservation> &runs)
{
    StragglerFindings findings;
    const auto steps = collectTimes(runs);
    findings.slowWorkers = findSlowWorkers(steps, runs);
    for (const RunObservation &run : runs) {
        if (run.forecastHigh && run.age < *run.forecastHigh)
            continue;
        if (isStalled(run))
            findings.stragglers.push_back({ run.task, run.worker, StragglerKind::Stalled });
        else if (findings.slowWorkers.contains(run.worker)
            && isFasterElsewhere(run, steps.at(run.task.step)))
            findings.stragglers.push_back({ run.task, run.worker, StragglerKind::Slow });
    }
    return findings;
}

} // namespace basilgap::scheduling
