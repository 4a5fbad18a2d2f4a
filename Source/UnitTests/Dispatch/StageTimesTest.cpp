#include <gtest/gtest.h>

#include "Basilgap/Dispatch/StageTimes.h"

namespace basilgap::dispatch {
namespace {

constexpr uint64_t SubmittedMs = 1000;
constexpr uint64_t StartMs = 1200;
constexpr uint64_t EndMs = 1700;

// The wait of a step begins when the step before it is done, not when the job was handed in.
TEST(StageTimes, stepIsReadySinceTheLastEndBeforeIt)
{
    state::WorkTable table;
    schema::SubmitWork command;
    command.set_id("job");
    command.mutable_spec()->add_steps()->set_count(1);
    schema::StepSpec *second = command.mutable_spec()->add_steps();
    second->set_count(1);
    second->add_after(0);
    table.submit(command, SubmittedMs);
    const state::Work &work = *table.find("job");
    EXPECT_EQ(readySinceMs(work, { work.serial, 0, 0 }), SubmittedMs);

    schema::RunBatch start;
    start.add_starts()->set_work(work.serial.value());
    start.mutable_starts(0)->set_run(1);
    start.mutable_starts(0)->set_worker(1);
    table.apply(start, StartMs);
    schema::RunBatch end;
    end.add_ends()->set_work(work.serial.value());
    end.mutable_ends(0)->set_run(1);
    end.mutable_ends(0)->set_outcome(schema::RUN_DONE);
    table.apply(end, EndMs);
    EXPECT_EQ(readySinceMs(work, { work.serial, 0, 1 }), EndMs);
}

} // namespace
} // namespace basilgap::dispatch
