#pragma once

#include <map>
#include <string>
#include <unordered_map>

#include "Basilgap/Common/Millis.h"
#include "Basilgap/Scheduling/EmptyCapacity.h"
#include "Basilgap/Scheduling/WaitingSteps.h"
#include "Basilgap/State/WorkConfigState.h"
#include "Basilgap/State/WorkTable.h"

namespace basilgap::scheduling {

// Tracks the decaying peak of the capacity that urgent work needed at a time, for each pool and for
// each account, so that deferrable work leaves that much headroom. Tasks that can't be placed, or
// are so late that they are treated as deferrable, need none. Load pattern: bursts of urgent jobs
// on an account whose limit, or a pool whose capacity, is full of deferrable work.
class UrgentDemand
{
public:
    // Lower priority numbers are urgent.
    explicit UrgentDemand(uint32_t deferrablePriority)
        : deferrablePriority_(deferrablePriority)
    {}

    // The capacity of the workers has changed, so that all jobs are read again in the next update.
    void reset() { reader_.reset(); }

    // Reads the jobs that have changed. Takes the present time on the steady clock and in Unix
    // milliseconds.
    void update(const state::WorkTable &table, const state::WorkConfigState &config,
        const EmptyCapacity &capacity, Millis now, uint64_t wallMs);

    // Headroom for urgent work beyond what it uses now.
    state::Resources headroomFor(const state::AccountName &account) const;
    state::Resources poolHeadroom(const std::string &pool) const;

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

    // What the steps of one job use and wait for.
    struct WorkDemand
    {
        state::AccountName account;
        std::string pool;
        state::Resources running;
        state::Resources waitingDemand;
    };

    void clearWorks();
    void readAgain(const state::WorkTable &table, const state::WorkConfigState &config,
        state::WorkSerial serial, const EmptyCapacity &capacity, uint64_t wallMs);
    WorkDemand demandOf(const state::Work &work, const schema::QueueConfig &queue,
        const schema::AccountConfig *account, const EmptyCapacity &capacity, uint64_t wallMs);

    uint32_t deferrablePriority_;
    std::map<state::AccountName, Demand> accounts_;
    std::map<std::string, Demand> pools_;
    std::unordered_map<state::WorkSerial, WorkDemand> works_;
    WorkReader reader_;
    Millis observedAt_;
};

} // namespace basilgap::scheduling
