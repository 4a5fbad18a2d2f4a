#pragma once

#include <optional>

#include "Basilgap/Common/Millis.h"

namespace basilgap::scheduling {

// How far a run has got, in percent, between two reports of its worker.
struct RunProgress
{
    int firstPercent = 0;
    int percent = 0;
    Millis firstAt;
    // When the percent last rose.
    Millis progressAt;

    // Time that the whole task takes at the speed so far; nothing while too little is known.
    std::optional<Millis> projectedDuration() const;
    // When it should be done at the speed so far.
    std::optional<Millis> projectedEnd() const;
};

} // namespace basilgap::scheduling
