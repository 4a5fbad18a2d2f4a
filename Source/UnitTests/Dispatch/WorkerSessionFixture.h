#pragma once

#include <gtest/gtest.h>

#include "Basilgap/Dispatch/WorkerSession.h"
#include "FakeWorkerPort.h"

namespace basilgap::dispatch {

constexpr uint64_t Fence = 7;
constexpr uint64_t Born = 1000;
const int64_t Gap = SessionTimes().holdGap.count();
constexpr const char *WorkId = "5c0e7a21d94b36f8";

struct SeenEnd
{
    StepTaskRef task;
    uint32_t run = 0;
    schema::RunOutcome outcome = schema::RUN_DONE;
    std::string checkpoint;
};

// A session of one worker over a table with one job of four tasks, with time set by hand.
class WorkerSessionTest : public testing::Test
{
protected:
    void SetUp() override
    {
        schema::SubmitWork submit;
        submit.set_id(WorkId);
        submit.set_max_attempts(3);
        submit.mutable_spec()->set_payload("payload");
        schema::StepSpec *step = submit.mutable_spec()->add_steps();
        step->set_count(4);
        step->set_millicores(1000);
        table.submit(submit, 1);
        schema::RunBatch batch;
        schema::WorkerLife *life = batch.add_workers();
        life->set_number(1);
        life->set_id("w1");
        life->set_born_ms(Born);
        life->set_millicores(8000);
        table.apply(batch, 1);
    }

    void open(Millis graceEnd = Millis())
    {
        session = std::make_unique<WorkerSession>(
            WorkerSession::Options{
                .number = WorkerNumber(1),
                .endpoint = { "w1", "127.0.0.1:1" },
                .bornMs = Born,
                .fence = Fence,
                .graceEnd = graceEnd,
                .times = {},
                .trouble = trouble,
                .port = port,
                .table = table,
                .events = {
                    .onEnd =
                        [this](const StepTaskRef &task, uint32_t run, schema::RunOutcome outcome,
                            const std::string &checkpoint) {
                            ends.push_back({ task, run, outcome, checkpoint });
                        },
                    .onChanged = [] {},
                    .onFenced = [this] { fenced = true; },
                    .mayOrder = [this] { return isConfirmed; },
                    .onTicketRefused = [](const StepTaskRef &) {},
                    .restBeforeHold = [this] { return rest; },
                },
                .clock = [this] { return now; },
            },
            now);
    }

    StepTaskRef taskOf(uint32_t index) const { return { { state::WorkSerial(1), 0, 0 }, index }; }

    // Logs a start, as the leader does before it is sent.
    void log(uint32_t index, uint32_t run)
    {
        schema::RunBatch batch;
        schema::RunStart *start = batch.add_starts();
        start->set_work(1);
        start->set_index(index);
        start->set_run(run);
        start->set_worker(1);
        table.apply(batch, 2);
    }

    HoldAnswer listing(const std::vector<uint32_t> &indexes, uint32_t run = 1) const
    {
        HoldAnswer answer;
        answer.result = OrderResult::Accepted;
        answer.workerClock = now;
        answer.bornMs = Born;
        for (const uint32_t index : indexes)
            answer.running.push_back({ { WorkId, 0, 0, index }, run, "", 10, 0 });
        return answer;
    }

    void tickAfter(int64_t ms)
    {
        now += Millis(ms);
        session->tick(now);
    }

    // Lets all sendings of the newest start go without an answer.
    void leaveUnanswered()
    {
        for (size_t sent = 0; sent != port.starts.size();) {
            sent = port.starts.size();
            port.starts.back().done({});
        }
    }

    void sync()
    {
        tickAfter(0);
        port.holds.back().done(listing({}));
    }

    state::WorkTable table;
    FakeWorkerPort port;
    CallTrouble trouble;
    std::unique_ptr<WorkerSession> session;
    std::vector<SeenEnd> ends;
    bool fenced = false;
    bool isConfirmed = true;
    Millis rest;
    Millis now{ 100000 };
};

} // namespace basilgap::dispatch
