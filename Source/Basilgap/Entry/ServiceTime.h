#pragma once

#include <algorithm>
#include <cmath>

#include "Basilgap/Common/Millis.h"

namespace basilgap::entry {

// Estimates the service time of one flow by exponential moving averages of the time and of its
// absolute deviation.
class ServiceTime
{
public:
    void add(double milliseconds)
    {
        if (!hasSamples_) {
            meanMs_ = milliseconds;
            deviationMs_ = milliseconds / 2;
            hasSamples_ = true;
            return;
        }
        deviationMs_ += DeviationSmoothing * (std::abs(milliseconds - meanMs_) - deviationMs_);
        meanMs_ += MeanSmoothing * (milliseconds - meanMs_);
    }

    bool hasSamples() const { return hasSamples_; }

    double meanMs() const { return meanMs_; }

    // A bound within which nearly all requests are answered.
    double upperEstimateMs() const { return meanMs_ + UpperEstimateDeviations * deviationMs_; }

private:
    static constexpr double MeanSmoothing = 0.125;
    static constexpr double DeviationSmoothing = 0.25;
    static constexpr double UpperEstimateDeviations = 4;

    bool hasSamples_ = false;
    double meanMs_ = 0;
    double deviationMs_ = 0;
};

// Arrivals per second, exponentially averaged over about one second.
class ArrivalRate
{
public:
    void add(Millis now)
    {
        perSecond_ = perSecondAt(now) + 1000 / AveragingMs;
        updatedAt_ = now;
    }

    double perSecondAt(Millis now) const
    {
        const auto elapsedMs = static_cast<double>((now - updatedAt_).count());
        return perSecond_ * std::exp(-elapsedMs / AveragingMs);
    }

private:
    static constexpr double AveragingMs = 1000;

    double perSecond_ = 0;
    Millis updatedAt_;
};

} // namespace basilgap::entry
