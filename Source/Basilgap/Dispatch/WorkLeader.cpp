#include "Basilgap/Dispatch/WorkLeader.h"

#include "Basilgap/Common/EventLog.h"

namespace basilgap::dispatch {

namespace {

constexpr Millis TickInterval{ 25 };

// Plans are made anew after this time even when nothing is known to have changed.
constexpr Millis IdlePlanInterval{ 100 };
constexpr Millis ExpireInterval{ 5000 };
constexpr Millis DropInterval{ 1000 };

// Longer than cuts of some seconds, after which a worker goes on under the same life. One that
// comes back later announces itself, as each does every second or two.
constexpr Millis SilenceBeforeDrop{ 12000 };

// Less than the shortest silence after which another replica may be elected.
constexpr Millis RenewalConfirmationAge{ 300 };
// Workers that fail everything recover within seconds here; one task then shows whether they did.
constexpr size_t FailedJobsToQuarantine = 2;
constexpr Millis FirstQuarantine{ 2000 };
constexpr Millis LongestQuarantine{ 8000 };

} // namespace

WorkLeader::WorkLeader(network::EventLoop &loop, Options options)
    : options_(std::move(options))
    , state_(options_.replica.state())
    , advisers_(options_.advice)
    , health_({ .minFailedJobs = FailedJobsToQuarantine,
          .initialQuarantine = FirstQuarantine,
          .maxQuarantine = LongestQuarantine })
    , leadSince_(steadyNow())
    , ticker_(loop, [this] { tick(); })
    , pumper_(loop, [this] { pump(); })
{
    reconcileSessions();
    ticker_.startRepeating(TickInterval);
}

WorkLeader::~WorkLeader() = default;

void WorkLeader::noteProcess(network::PeerStream &stream)
{
    streams_[stream.id()] = &stream;
    advisers_.addHelper(stream);
}

bool WorkLeader::receive(network::PeerStream &stream, const schema::PeerMessage &message)
{
    if (message.has_advice_reply()) {
        advisers_.received(message.advice_reply());
        return true;
    }
    if (!message.has_rpc_request())
        return false;
    handleRequest(message.rpc_request(), guarded([this, id = stream.id()](schema::RpcReply reply) {
        const auto found = streams_.find(id);
        if (found == streams_.end())
            return;
        schema::PeerMessage out;
        *out.mutable_rpc_reply() = std::move(reply);
        found->second->send(out);
    }));
    return true;
}

void WorkLeader::streamClosed(network::PeerStream &stream)
{
    streams_.erase(stream.id());
    advisers_.removeHelper(stream);
}

void WorkLeader::applied(const schema::Command &command, const schema::CommandOutcome &)
{
    planDue_ = true;
    if (command.has_submit_work())
        takeEarlyAdvice(command.submit_work().id());
    workersChanged_ = workersChanged_ || command.has_evacuate_zone();
    if (command.has_runs()) {
        if (command.runs().workers_size() > 0)
            reconcileSessions();
        forgetEnded(command.runs());
    }
    schedulePump();
}

// The end of one member stands for its whole gang, so all tasks of the step are looked at.
void WorkLeader::forgetEnded(const schema::RunBatch &batch)
{
    for (const auto &end : batch.ends()) {
        const state::Work *work = state_.works().find(state::WorkSerial(end.work()));
        if (work == nullptr)
            continue;
        const state::StepRef ref{ work->serial, end.occurrence(), end.step() };
        const auto &tasks = work->at(ref).tasks;
        for (uint32_t i = 0; i < tasks.size(); i++) {
            const auto session = sessions_.find(tasks[i].worker);
            if (tasks[i].phase != state::RunPhase::Running && session != sessions_.end())
                session->second->forgetRun({ ref, i }, tasks[i].run);
        }
    }
}

void WorkLeader::reconcileSessions()
{
    const Millis now = steadyNow();
    workersChanged_ = true;
    std::erase_if(sessions_, [this](const auto &entry) {
        const bool isGone = state_.works().worker(entry.first) == nullptr;
        if (isGone)
            options_.workers.forget(entry.second->endpoint());
        return isGone;
    });
    for (const auto &[number, life] : state_.works().workers()) {
        const auto found = sessions_.find(number);
        if (found == sessions_.end())
            openSession(life, now);
        else
            found->second->setAddress(life.address());
        const schema::WorkerLife *newest = state_.works().newestLife(life.id());
        if (life.gone() || newest == nullptr || newest->number() != life.number())
            sessions_.at(number)->supersede(now);
    }
}

void WorkLeader::openSession(const schema::WorkerLife &life, Millis now)
{
    const state::WorkerNumber number(life.number());
    // An earlier leader renewed leases only while a quorum confirmed it, which ended before this
    // lead began; a life that came later has none of its leases.
    const auto lease = static_cast<double>(options_.times.lease.count());
    const Millis longest(static_cast<int64_t>(lease / (1.0 - options_.times.clockDrift)));
    sessions_[number] = std::make_unique<WorkerSession>(
        WorkerSession::Options{
            .number = number,
            .endpoint = { life.id(), life.address() },
            .bornMs = life.born_ms(),
            .fence = options_.replica.core().term().value(),
            .graceEnd = leadSince_ + longest + Millis(500),
            .times = options_.times,
            .trouble = trouble_,
            .port = options_.workers,
            .table = state_.works(),
            .events = {
                .onEnd =
                    [this, number](const StepTask &task, uint32_t run, schema::RunOutcome outcome,
                        const std::string &checkpoint) {
                        noteEnd(number, task, run, outcome, checkpoint);
                    },
                .onChanged =
                    [this] {
                        planDue_ = true;
                        schedulePump();
                    },
                .onFenced = [this] { fenced_ = true; },
                .mayOrder = [this] { return mayOrder(); },
                .onTicketRefused =
                    [this, number](
                        const StepTask &task) { permits_.invalidateTicket(task.step, number); },
                .restBeforeHold = [this, number] { return restBeforeLook(number); },
            },
        },
        now);
}

void WorkLeader::noteEnd(state::WorkerNumber worker, const StepTask &task, uint32_t run,
    schema::RunOutcome outcome, const std::string &checkpoint)
{
    const state::Work *work = state_.works().find(task.step.work);
    const auto session = sessions_.find(worker);
    LogEvent("run-ended")
        .with("work", work == nullptr ? "" : work->id)
        .with("step", task.step.step)
        .with("task", task.index)
        .with("run", run)
        .with("worker", session == sessions_.end() ? "" : session->second->endpoint().id)
        .with("outcome", schema::RunOutcome_Name(outcome));
    learn(worker, task, outcome);
    schema::RunEnd &end = pendingEnds_.emplace_back();
    end.set_work(task.step.work.value());
    end.set_occurrence(task.step.occurrence);
    end.set_step(task.step.step);
    end.set_index(task.index);
    end.set_run(run);
    end.set_outcome(outcome);
    end.set_checkpoint(checkpoint);
    schedulePump();
}

void WorkLeader::tick()
{
    const Millis now = steadyNow();
    advisers_.tick(now);
    // A leader that no quorum confirms must not renew leases: its successor counts them as over.
    // One that was frozen would judge runs by what it knew before.
    if (mayOrder())
        tendWorkers(now);
    if (now >= nextCellLine_)
        logCell();
    if (now >= nextExpire_)
        expireOld();
    if (planDue_ || now >= nextPlan_)
        pump();
}

bool WorkLeader::mayOrder() const
{
    return !fenced_ && options_.replica.isConfirmedLeader(RenewalConfirmationAge);
}

void WorkLeader::tendWorkers(Millis now)
{
    for (const auto &[number, session] : sessions_)
        session->tick(now);
    if (now < nextWatch_)
        return;
    watchRuns();
    paceFilling();
    if (now >= nextDrop_)
        dropSilentWorkers(now);
}

void WorkLeader::dropSilentWorkers(Millis now)
{
    nextDrop_ = now + DropInterval;
    schema::Command command;
    std::vector<state::WorkerNumber> dropped;
    for (const auto &[number, session] : sessions_) {
        const schema::WorkerLife *life = state_.works().worker(number);
        const bool isOver = session->isSuspect() && session->runs().empty()
            && now - session->lastAnswer() > SilenceBeforeDrop;
        if (!isOver || life == nullptr || life->gone() || !dropping_.insert(number).second)
            continue;
        LogEvent("worker-dropped")
            .with("worker", life->id())
            .with("number", number.value())
            .with("silentMs", now - session->lastAnswer());
        schema::WorkerLife *gone = command.mutable_runs()->add_workers();
        *gone = *life;
        gone->set_gone(true);
        dropped.push_back(number);
    }
    if (dropped.empty())
        return;
    options_.replica.propose(
        std::move(command), guarded([this, dropped](const schema::CommandOutcome &) {
            for (const state::WorkerNumber number : dropped)
                dropping_.erase(number);
        }));
}

void WorkLeader::schedulePump()
{
    if (!pumper_.isPending())
        pumper_.startOnce(Millis(0));
}

void WorkLeader::pump()
{
    if (proposing_ || fenced_ || !options_.replica.isLeading())
        return;
    std::map<state::WorkerNumber, uint64_t> ends;
    for (const auto &[number, session] : sessions_)
        ends[number] = session->highestEnd();
    schema::Command command;
    schema::RunBatch *batch = command.mutable_runs();
    const bool hasEnds = !pendingEnds_.empty();
    for (schema::RunEnd &end : pendingEnds_)
        *batch->add_ends() = std::move(end);
    pendingEnds_.clear();
    const Millis now = steadyNow();
    if (planDue_ || hasEnds || now >= nextPlan_) {
        planDue_ = false;
        nextPlan_ = now + IdlePlanInterval;
        plan(batch);
    }
    if (batch->ends_size() == 0 && batch->starts_size() == 0)
        return ackEnds(ends);
    proposing_ = true;
    const schema::RunBatch sent = *batch;
    options_.replica.propose(
        std::move(command), guarded([this, sent, ends](const schema::CommandOutcome &outcome) {
            proposing_ = false;
            if (outcome.code() != schema::ACCEPTED)
                return;
            ackEnds(ends);
            sendStarts(sent);
            schedulePump();
        }));
}

void WorkLeader::ackEnds(const std::map<state::WorkerNumber, uint64_t> &ends)
{
    for (const auto &[number, end] : ends) {
        const auto session = sessions_.find(number);
        if (session != sessions_.end())
            session->second->ackEnds(end);
    }
}

void WorkLeader::sendStarts(const schema::RunBatch &batch)
{
    const Millis now = steadyNow();
    for (const auto &start : batch.starts()) {
        const StepTask task{ { state::WorkSerial(start.work()), start.occurrence(), start.step() },
            start.index() };
        const auto ticket = tickets_.extract(task);
        const state::WorkTask *state = state_.works().find(task);
        const state::WorkerNumber worker(start.worker());
        const auto session = sessions_.find(worker);
        const bool holds = state != nullptr && state->phase == state::RunPhase::Running
            && state->run == start.run() && state->worker == worker;
        if (!holds || session == sessions_.end())
            continue;
        const state::Work *work = state_.works().find(task.step.work);
        LogEvent("run-ordered")
            .with("work", work->id)
            .with("step", task.step.step)
            .with("task", task.index)
            .with("run", start.run())
            .with("worker", session->second->endpoint().id);
        begun_[task] = now;
        session->second->start(
            task, start.run(), ticket.empty() ? std::string() : ticket.mapped(), now);
    }
}

void WorkLeader::expireOld()
{
    nextExpire_ = steadyNow() + ExpireInterval;
    if (!state_.hasExpired(static_cast<uint64_t>(wallNow().count())))
        return;
    schema::Command command;
    command.mutable_expire();
    options_.replica.propose(std::move(command), [](const schema::CommandOutcome &) {});
}

} // namespace basilgap::dispatch
