#pragma once

#include <map>

#include "Basilgap/Common/Millis.h"
#include "Basilgap/State/WorkConfigState.h"
#include "Basilgap/State/WorkTable.h"

namespace basilgap::scheduling {

// Remembers how much room urgent work has lately needed at a time, for the cell and for each
// account, so that work that may wait leaves that much. Answers bursts of urgent jobs on an account
// whose limit, or a cell whose room, is full of patient work.
class UrgentDemand
{
public:
    // Priorities below this one are urgent.
    explicit UrgentDemand(uint32_t deferrablePriority)
        : deferrablePriority_(deferrablePriority)
    {}

    void update(const state::WorkTable &table, const state::WorkConfigState &config, Millis now);

    // Room to be left for urgent work beyond what it holds now.
    state::Resources headroomFor(const state::AccountName &account) const;
    state::Resources cellHeadroom() const;

private:
    struct Demand
    {
        state::Resources running;
        state::Resources waitingDemand;
        // Highest sum of both, fading.
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
