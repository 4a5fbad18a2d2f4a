#pragma once

#include <map>

#include "Basilgap/Common/Millis.h"
#include "Basilgap/State/WorkConfigState.h"
#include "Basilgap/State/WorkTable.h"

namespace basilgap::scheduling {

// Tracks the decaying peak of the capacity that urgent work needed at a time, for the cell and for
// each account, so that deferrable work leaves that much headroom. Load pattern: bursts of urgent
// jobs on an account whose limit, or a cell whose capacity, is full of deferrable work.
class UrgentDemand
{
public:
    // Lower priority numbers are urgent.
    explicit UrgentDemand(uint32_t deferrablePriority)
        : deferrablePriority_(deferrablePriority)
    {}

    void update(const state::WorkTable &table, const state::WorkConfigState &config, Millis now);

    // Headroom for urgent work beyond what it uses now.
    state::Resources headroomFor(const state::AccountName &account) const;
    state::Resources cellHeadroom() const;

private:
    struct Demand
    {
        state::Resources running;
        state::Resources waitingDemand;
        // Decaying peak of the sum of both.
        double peakMillicores = 0;
        double peakMemoryMb = 0;

        void decay(double factor);
        state::Resources headroom() const;
    };

    uint32_t deferrablePriority_;
    std::map<state::AccountName, Demand> accounts_;
    Demand cellDemand_;
    Millis observedAt_;
};

} // namespace basilgap::scheduling
