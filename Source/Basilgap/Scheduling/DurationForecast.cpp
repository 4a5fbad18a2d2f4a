#include "Basilgap/Scheduling/DurationForecast.h"

#include <algorithm>

namespace basilgap::scheduling {

namespace {

// A basis is used until the model has counted an eighth as many runs as are behind it, at most this
// many. A cell ends 1,450 runs per second, so that each basis is read 20 times a second.
constexpr uint64_t MaxNewRuns = 64;
constexpr uint64_t NewRunsDivisor = 8;

// More than the model has groups.
constexpr size_t MaxEntries = 1024;

uint64_t validityOf(const state::DurationBasis &basis)
{
    const uint64_t runs = basis.duration ? basis.duration->runs : 0;
    return std::clamp<uint64_t>(runs / NewRunsDivisor, 1, MaxNewRuns);
}

} // namespace

std::optional<state::DurationQuantiles> DurationForecast::forecast(
    const state::Work &work, const state::StepRef &step) const
{
    const state::DurationModel &model = table_.durations();
    const state::DurationSubject subject = state::durationSubjectOf(work, step);
    const uint64_t key = subject.key();
    auto found = entries_.find(key);
    if (found == entries_.end() || model.runs() >= found->second.validUntilRun) {
        if (entries_.size() >= MaxEntries)
            entries_.clear();
        const state::DurationBasis basis = model.basis(subject);
        found =
            entries_.insert_or_assign(key, Entry{ basis, model.runs() + validityOf(basis) }).first;
    }
    return found->second.basis.forEstimate(subject.spec.estimate_ms());
}

double DurationForecast::kindSlowdown(const std::string &kind) const
{
    const auto ratio = table_.durations().kindRatio(kind);
    return ratio
        ? static_cast<double>(*ratio) / static_cast<double>(state::DurationBasis::RatioUnit)
        : 1.0;
}

bool isAboutToEnd(Millis expectedEnd, Millis now, Millis stopTime)
{
    return expectedEnd <= now + stopTime && expectedEnd >= now - stopTime;
}

} // namespace basilgap::scheduling
