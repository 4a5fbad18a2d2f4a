#include <gtest/gtest.h>

#include "Basilgap/Dispatch/PlanWorkers.h"

namespace basilgap::dispatch {

namespace {

using scheduling::StepWorker;
using state::WorkerNumber;

constexpr uint32_t FleetSize = 3000;

} // namespace

// Load pattern: a large fleet, of which each round concerns a few workers. The cost of a round does
// not depend on the size of the fleet.
TEST(PlanWorkers, aRoundReadsOnlyWhatHasChanged)
{
    std::vector<StepWorker> fleet(FleetSize);
    for (uint32_t i = 0; i < FleetSize; i++)
        fleet[i].number = WorkerNumber(i + 1);
    PlanWorkers workers;
    workers.assign(fleet);
    std::vector<WorkerNumber> updated;
    const auto update = [&](StepWorker &worker) {
        updated.push_back(worker.number);
        worker.reserved.millicores += 1000;
    };
    EXPECT_EQ(workers.refresh(update).size(), FleetSize);
    EXPECT_EQ(updated.size(), FleetSize);
    updated.clear();
    workers.refresh(update);
    EXPECT_TRUE(updated.empty());
    for (const uint32_t number : { 7U, 2999U, 7U, FleetSize + 1 })
        workers.markChanged(WorkerNumber(number));
    std::vector<StepWorker> &current = workers.refresh(update);
    EXPECT_EQ(updated, (std::vector<WorkerNumber>{ WorkerNumber(7), WorkerNumber(2999) }));
    EXPECT_EQ(current[6].reserved.millicores, 2000);
    EXPECT_EQ(current[7].reserved.millicores, 1000);
}

} // namespace basilgap::dispatch
