// A run that a worker's later incarnation has taken before it registered, from an order to the
// earlier one.

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "ModelLeader.h"

namespace basilgap::dispatch {
namespace {

constexpr Millis RunTime{ 300 };
constexpr Millis AnnouncementDelay{ 1000 };

// A cell with one worker and one job of one task.
class SupersededRunCell
{
public:
    SupersededRunCell()
    {
        workers_["w1"] = std::make_unique<ModelWorker>(ModelWorker::Options{
            .time = time_,
            .id = "w1",
            .millicores = 8000,
            .model =
                [](const TaskName &) {
                    return ModelWorker::TaskModel{ .millicores = 1000, .duration = RunTime };
                },
            .onStart = [this](const TaskName &, uint32_t run) { startedRuns_.push_back(run); },
            .onEnd = [](const TaskName &, uint32_t, schema::RunOutcome) {},
            .onEndAcknowledged = [this](const TaskName &,
                                     uint32_t run) { acknowledgedRuns_.push_back(run); },
            .onViolation = [](const std::string &text) { ADD_FAILURE() << text; },
        });
        registerIncarnation();
        leader_ = std::make_unique<ModelLeader>(ModelLeader::Options{ .time = time_,
            .workers = workers_,
            .table = table_,
            .term = 1,
            .millicoresOf = [](const StepTaskRef &) { return int64_t(1000); },
            .usesTickets = true });
    }

    // The worker restarts unnoticed and takes a start for its earlier incarnation. While it is out
    // of reach the run ends as done, and the later incarnation registers.
    void play(Millis timeOutOfReach)
    {
        runFor(Millis(100));
        worker().restart(Millis(15), [] {});
        runFor(Millis(20));
        submit();
        runFor(Millis(100));
        ASSERT_EQ(startedRuns_.size(), 1U);
        worker().setLinkUp(false);
        runFor(AnnouncementDelay);
        registerIncarnation();
        leader_->reconcile();
        runFor(timeOutOfReach - AnnouncementDelay);
        worker().setLinkUp(true);
        runFor(Millis(10000));
    }

    const std::vector<uint32_t> &startedRuns() const { return startedRuns_; }
    // Runs whose end as done was acknowledged while the lease held.
    const std::vector<uint32_t> &acknowledgedRuns() const { return acknowledgedRuns_; }

private:
    ModelWorker &worker() { return *workers_.at("w1"); }

    void runFor(Millis time) { time_.runUntil(time_.now() + time); }

    uint64_t nowMs() const { return static_cast<uint64_t>(time_.now().count()); }

    void registerIncarnation()
    {
        const schema::WorkerLife *previous = table_.newestIncarnation("w1");
        schema::RunBatch batch;
        schema::WorkerLife *incarnation = batch.add_workers();
        incarnation->set_number(table_.nextWorker().value());
        incarnation->set_id("w1");
        incarnation->set_address("w1");
        incarnation->set_born_ms(worker().incarnationStartMs());
        incarnation->set_millicores(8000);
        if (previous != nullptr) {
            schema::WorkerLife *gone = batch.add_workers();
            *gone = *previous;
            gone->set_gone(true);
        }
        table_.apply(batch, nowMs());
    }

    void submit()
    {
        schema::SubmitWork submit;
        submit.set_id("0000000000000001");
        submit.set_max_attempts(2);
        schema::StepSpec *step = submit.mutable_spec()->add_steps();
        step->set_count(1);
        step->set_millicores(1000);
        table_.submit(submit, nowMs());
    }

    // The later incarnation's clock is behind that of the earlier one, so that the start for the
    // earlier one grants the longest lease.
    SimulatedTime time_{ 1 };
    state::WorkTable table_;
    ModelNetwork::Workers workers_;
    std::unique_ptr<ModelLeader> leader_;
    std::vector<uint32_t> startedRuns_;
    std::vector<uint32_t> acknowledgedRuns_;
};

// Guards against TWICE: the session with the earlier incarnation released the run some time after
// the later one had taken its stop, and before the list that told its end as done had come. The
// task started again, and that end was acknowledged.
TEST(SupersededRunTest, aRunThatIsDoneOnTheLaterIncarnationIsNotStartedAgain)
{
    for (Millis outOfReach{ 1500 }; outOfReach <= Millis(8000); outOfReach += Millis(50)) {
        SupersededRunCell cell;
        ASSERT_NO_FATAL_FAILURE(cell.play(outOfReach));
        EXPECT_EQ(cell.startedRuns(), std::vector<uint32_t>{ 1 }) << outOfReach.count() << " ms";
        EXPECT_EQ(cell.acknowledgedRuns(), std::vector<uint32_t>{ 1 })
            << outOfReach.count() << " ms";
    }
}

} // namespace
} // namespace basilgap::dispatch
