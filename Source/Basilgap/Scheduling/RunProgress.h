#pragma once

#include <optional>

#include "Basilgap/Common/Millis.h"

namespace basilgap::scheduling {

// Progress of a run in percent between the first and the latest report of its worker.
struct RunProgress
{
    int firstPercent = 0;
    int percent = 0;
    Millis firstAt;
    // Time at which the percentage last increased.
    Millis progressAt;

    // Duration of the whole task at the speed so far; absent while too little progress is known.
    std::optional<Millis> projectedDuration() const;
    // Time of the end at the speed so far.
    std::optional<Millis> projectedEnd() const;
};

} // namespace basilgap::scheduling
