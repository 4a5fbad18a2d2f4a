#pragma once

#include <gtest/gtest.h>

#include "Basilgap/Dispatch/WorkerSession.h"
#include "FakeWorkerPort.h"

namespace basilgap::dispatch {

constexpr uint64_t FencingToken = 7;
// Of the same leader's orders to a later incarnation.
constexpr uint64_t LaterFencingToken = 8;
constexpr uint64_t IncarnationStartMs = 1000;
const int64_t MinPollIntervalMs = SessionTimes().minPollInterval.count();
constexpr const char *WorkId = "5c0e7a21d94b36f8";

// A session with one worker, over a table with one job of four tasks, on a simulated clock.
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
        logCapacity(8000);
    }

    // Applies the record of an announcement of the worker with the given capacity.
    void logCapacity(uint64_t millicores)
    {
        schema::RunBatch batch;
        schema::WorkerLife *incarnation = batch.add_workers();
        incarnation->set_number(1);
        incarnation->set_id("w1");
        incarnation->set_born_ms(IncarnationStartMs);
        incarnation->set_millicores(millicores);
        table.apply(batch, 1);
    }

    void openSession(Millis graceEnd = Millis())
    {
        session = std::make_unique<WorkerSession>(
            WorkerSession::Options{
                .number = WorkerNumber(1),
                .endpoint = { "w1", "127.0.0.1:1" },
                .incarnationStartMs = IncarnationStartMs,
                .isRestart = isRestart,
                .fencingToken = FencingToken,
                .graceEnd = graceEnd,
                .times = {},
                .callLoss = callLoss,
                .port = port,
                .table = table,
                .events = {
                    .onRunEnd = [this](const EndedRun &ended) { ends.push_back(ended); },
                    .onOtherEnd = [this](const StepTaskRef &task,
                                      const EndReport &) { otherEnds.push_back(task); },
                    .onAvailabilityChanged = [] {},
                    .onFenced = [this] { fenced = true; },
                    .maySendOrders = [this] { return isLeaderConfirmed; },
                    .onTicketRefused = [](const StepTaskRef &) {},
                    .hasNewestListedEndsSince = [this](Millis time) { return newestListedEndsAt.value_or(now) > time; },
                    .isMissingOnNewestSince = [this](const state::RunRef &, Millis time) { return newestLacksRunSince && *newestLacksRunSince > time; },
                    .onEarlierLeasesOver = [this] { earlierLeasesOver++; },
                    .pollDelay = [this] { return pollDelay; },
                },
                .clock = [this] { return now; },
                .wallClock = [this] { return now; },
            },
            now);
    }

    StepTaskRef taskOf(uint32_t index) const { return { { state::WorkSerial(1), 0, 0 }, index }; }

    // Applies the record of a start, which the leader commits before it sends the start.
    void logStart(uint32_t index, uint32_t run, Millis loggedAt = Millis(2))
    {
        schema::RunBatch batch;
        schema::RunStart *start = batch.add_starts();
        start->set_work(1);
        start->set_index(index);
        start->set_run(run);
        start->set_worker(1);
        table.apply(batch, static_cast<uint64_t>(loggedAt.count()));
    }

    // Applies records after which the first run of the task may have crashed another worker.
    void markAsSuspect(uint32_t index)
    {
        schema::RunBatch batch;
        for (const uint64_t number : { 2, 3 }) {
            schema::WorkerLife *life = batch.add_workers();
            life->set_number(static_cast<uint32_t>(number));
            life->set_id("w" + std::to_string(number));
            life->set_address("crashed");
            life->set_born_ms(number);
        }
        schema::RunStart *start = batch.add_starts();
        start->set_work(1);
        start->set_index(index);
        start->set_run(1);
        start->set_worker(2);
        table.apply(batch, 2);
        schema::RunBatch loss;
        schema::RunEnd *end = loss.add_ends();
        end->set_work(1);
        end->set_index(index);
        end->set_run(1);
        end->set_outcome(schema::RUN_LAPSED);
        end->set_worker_loss(schema::WORKER_LOST_AT_START);
        table.apply(loss, 2);
    }

    // The session is not told.
    void cancelJob()
    {
        schema::CancelWork cancel;
        cancel.set_id(WorkId);
        table.cancel(cancel, 3);
    }

    PollAnswer pollAnswer(const std::vector<uint32_t> &indexes, uint32_t run = 1) const
    {
        PollAnswer answer;
        answer.result = OrderResult::Accepted;
        answer.workerClock = now;
        answer.incarnationStartMs = IncarnationStartMs;
        for (const uint32_t index : indexes)
            answer.running.push_back({ { WorkId, 0, 0, index }, run, "", 10, 0 });
        return answer;
    }

    static EndReport endOf(uint32_t index, uint64_t sequence)
    {
        return { sequence, { WorkId, 0, 0, index }, 1, schema::RUN_DONE, "" };
    }

    void advanceAndTick(int64_t ms)
    {
        now += Millis(ms);
        session->tick(now);
    }

    // Leaves all sends of the last start unanswered.
    void dropAllStartAnswers()
    {
        for (size_t sent = 0; sent != port.starts.size();) {
            sent = port.starts.size();
            port.starts.back().done({});
        }
    }

    void completeFirstPoll()
    {
        advanceAndTick(0);
        port.polls.back().done(pollAnswer({}));
    }

    state::WorkTable table;
    FakeWorkerPort port;
    CallLossTracker callLoss;
    std::unique_ptr<WorkerSession> session;
    std::vector<EndedRun> ends;
    // Tasks of ends that are none of the session's runs.
    std::vector<StepTaskRef> otherEnds;
    bool fenced = false;
    // How often the session has reported that the leases of earlier calls are over.
    int earlierLeasesOver = 0;
    bool isLeaderConfirmed = true;
    // For openSession().
    bool isRestart = false;
    // When the newest incarnation was last asked for a list of ends that was complete; absent: now.
    std::optional<Millis> newestListedEndsAt;
    // When the newest incarnation was last asked for a list of runs, which did not contain the
    // session's; absent: it has listed none.
    std::optional<Millis> newestLacksRunSince;
    Millis pollDelay;
    Millis now{ 100000 };
};

} // namespace basilgap::dispatch
