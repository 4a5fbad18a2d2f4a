#pragma once

#include <algorithm>
#include <cmath>

#include "Basilgap/Common/Millis.h"

namespace basilgap::entry {

// How long requests of one kind take: a moving average and a moving average of the distance to it.
class ServiceTime
{
public:
    void add(double milliseconds)
    {
        if (!known_) {
            mean_ = milliseconds;
            deviation_ = milliseconds / 2;
            known_ = true;
            return;
        }
        deviation_ += DeviationSmoothing * (std::abs(milliseconds - mean_) - deviation_);
        mean_ += MeanSmoothing * (milliseconds - mean_);
    }

    bool isKnown() const { return known_; }

    // Milliseconds that a request takes on average.
    double mean() const { return mean_; }

    // Milliseconds within which nearly all requests are answered.
    double likelyMost() const { return mean_ + DeviationsToMost * deviation_; }

private:
    static constexpr double MeanSmoothing = 0.125;
    static constexpr double DeviationSmoothing = 0.25;
    static constexpr double DeviationsToMost = 4;

    bool known_ = false;
    double mean_ = 0;
    double deviation_ = 0;
};

// Arrivals a second, averaged over about the last second.
class ArrivalRate
{
public:
    void add(Millis now)
    {
        perSecond_ = at(now) + 1000 / AveragingMs;
        updated_ = now;
    }

    double at(Millis now) const
    {
        const auto passed = static_cast<double>((now - updated_).count());
        return perSecond_ * std::exp(-passed / AveragingMs);
    }

private:
    static constexpr double AveragingMs = 1000;

    double perSecond_ = 0;
    Millis updated_;
};

} // namespace basilgap::entry
