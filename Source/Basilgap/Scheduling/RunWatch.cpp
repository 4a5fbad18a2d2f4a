#include "Basilgap/Scheduling/RunWatch.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace basilgap::scheduling {

namespace {

// Reports come every 1.4 s at the least; a long task may show no progress in one of them.
constexpr Millis LeastStandstill{ 2900 };
// The same where several reports in a row have told so. A part of the expected time goes on top,
// since a percent of a long task takes a while.
constexpr int LeastStalledReports = 3;
constexpr Millis ReportedStandstill{ 800 };
constexpr double StandstillShare = 0.05;

// Progress and time below these say little of the speed.
constexpr int LeastProgress = 5;
constexpr Millis LeastElapsed{ 300 };

// Slower than this, by several steps together, is not chance any more.
constexpr double SlowFactor = 2.2;

// The same against the estimates, which are off by half and more, over all steps together.
constexpr double SlowAgainstEstimate = 1.7;

// Weight of "as fast as the others" beside what its steps say, and how many must say so.
constexpr double PriorSteps = 0.5;
constexpr int LeastSteps = 2;

// A run is given up for a new one only when that is done in this part of the time.
constexpr double WorthwhileGain = 1.5;

// What a stop, advice and a start elsewhere take.
constexpr double MoveCostMs = 500;

// Time that the whole task takes at the speed so far, in milliseconds.
std::optional<double> projected(const WatchedRun &run)
{
    const int done = run.percent - run.firstPercent;
    if (done < LeastProgress || run.elapsed < LeastElapsed)
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

// Logarithms of the times of a step's tasks, by worker; the one of no worker is of finished tasks.
using StepTimes = std::map<state::WorkerNumber, Mean>;

std::map<state::StepRef, StepTimes> collectTimes(const std::vector<WatchedRun> &runs)
{
    std::map<state::StepRef, StepTimes> steps;
    for (const WatchedRun &run : runs) {
        StepTimes &times = steps[run.task.step];
        if (run.measured && !times.contains(state::WorkerNumber()))
            times[state::WorkerNumber()].add(
                std::log(std::max<double>(1, static_cast<double>(run.measured->count()))));
        if (const auto whole = projected(run))
            times[run.worker].add(std::log(*whole));
    }
    return steps;
}

bool isHanging(const WatchedRun &run)
{
    if (run.percent >= 100)
        return false;
    if (run.sinceProgress > LeastStandstill)
        return true;
    if (run.stalledReports < LeastStalledReports || !run.estimated)
        return false;
    const auto share =
        static_cast<int64_t>(static_cast<double>(run.estimated->count()) * StandstillShare);
    return run.sinceProgress > ReportedStandstill + Millis(share);
}

// What the step's tasks take on other workers, in milliseconds.
std::optional<double> elsewhere(const StepTimes &times, state::WorkerNumber worker)
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

// How much longer the runs of each worker take than estimated, as logarithms.
std::map<state::WorkerNumber, Mean> compareWithEstimates(const std::vector<WatchedRun> &runs)
{
    std::map<std::pair<state::WorkerNumber, state::StepRef>, Mean> ofSteps;
    for (const WatchedRun &run : runs) {
        const auto whole = projected(run);
        if (whole && run.estimated && run.estimated->count() > 0)
            ofSteps[{ run.worker, run.task.step }].add(
                std::log(*whole / static_cast<double>(run.estimated->count())));
    }
    std::map<state::WorkerNumber, Mean> workers;
    for (const auto &[key, mean] : ofSteps)
        workers[key.first].add(mean.sum / mean.count);
    return workers;
}

std::map<state::WorkerNumber, double> findSlowWorkers(
    const std::map<state::StepRef, StepTimes> &steps, const std::vector<WatchedRun> &runs)
{
    const auto estimates = compareWithEstimates(runs);
    const auto agrees = [&estimates](state::WorkerNumber worker) {
        const auto found = estimates.find(worker);
        return found == estimates.end()
            || std::exp(found->second.sum / (found->second.count + PriorSteps))
            > SlowAgainstEstimate;
    };
    std::map<state::WorkerNumber, Mean> ratios;
    for (const auto &[step, times] : steps) {
        for (const auto &[worker, mean] : times) {
            const auto usual = elsewhere(times, worker);
            if (worker != state::WorkerNumber() && usual)
                ratios[worker].add(mean.sum / mean.count - std::log(*usual));
        }
    }
    std::map<state::WorkerNumber, double> slow;
    for (const auto &[worker, ratio] : ratios) {
        const double factor = std::exp(ratio.sum / (ratio.count + PriorSteps));
        if (ratio.count >= LeastSteps && factor > SlowFactor && agrees(worker))
            slow[worker] = factor;
    }
    return slow;
}

bool isBetterElsewhere(const WatchedRun &run, const StepTimes &times)
{
    const auto whole = projected(run);
    const auto usual = elsewhere(times, run.worker);
    if (!whole || !usual || run.wasGivenUp)
        return false;
    const double part = (100.0 - run.percent) / 100.0;
    const double anew = MoveCostMs + (run.keepsProgress ? *usual * part : *usual);
    return *whole * part > anew * WorthwhileGain;
}

} // namespace

WatchFindings watchRuns(const std::vector<WatchedRun> &runs)
{
    WatchFindings findings;
    const auto steps = collectTimes(runs);
    findings.slow = findSlowWorkers(steps, runs);
    for (const WatchedRun &run : runs) {
        if (isHanging(run))
            findings.troubled.push_back({ run.task, run.worker, RunTrouble::Hanging });
        else if (findings.slow.contains(run.worker)
            && isBetterElsewhere(run, steps.at(run.task.step)))
            findings.troubled.push_back({ run.task, run.worker, RunTrouble::Crawling });
    }
    return findings;
}

} // namespace basilgap::scheduling
