#pragma once

#include <string>
#include <unordered_map>

#include "Basilgap/Common/Millis.h"
#include "Basilgap/State/WorkTable.h"

namespace basilgap::scheduling {

// The decisions that use the forecast of durations.
struct ForecastUses
{
    // DurationEstimator::expectedDuration(), on which the order of steps and the choice of workers
    // rely.
    bool expectedDuration = false;
    // A run is no straggler below the 90th percentile of its forecast.
    bool stragglers = false;
    // Advice is requested when the tasks of the step before should end soon.
    bool advicePrefetch = false;
    // A run that should end sooner than a stop takes effect is not preempted.
    bool preemption = false;
    // Workers without measured runs are taken to be as fast as others of their kind.
    bool workerKinds = false;
};

// Reads forecasts of durations from the replicated state. The answers for tasks of one kind are
// kept until a share of the runs behind them is new.
class DurationForecast
{
public:
    explicit DurationForecast(const state::WorkTable &table)
        : table_(table)
    {}

    // Absent if no run says anything about the step.
    std::optional<state::DurationQuantiles> forecast(
        const state::Work &work, const state::StepRef &step) const;

    // Duration on workers of the kind relative to a typical worker; 1 if nothing is known of it.
    double kindSlowdown(const std::string &kind) const;

private:
    struct Entry
    {
        state::DurationBasis basis;
        // Number of runs in the model from which on the basis is computed again.
        uint64_t validUntilRun = 0;
    };

    const state::WorkTable &table_;
    mutable std::unordered_map<uint64_t, Entry> entries_;
};

// Whether a run ends about now by itself, so that stopping it frees nothing sooner. A run that is
// long past its expected end says that the expectation was wrong.
bool isAboutToEnd(Millis expectedEnd, Millis now, Millis stopTime);

} // namespace basilgap::scheduling
