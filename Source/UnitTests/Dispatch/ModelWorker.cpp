#include "ModelWorker.h"

#include <algorithm>

namespace basilgap::dispatch {

namespace {

constexpr Millis MaxLease{ 10000 };
constexpr int64_t MaxStopMs = 200;
// Ends in one answer to a poll; small, so that lists are often cut.
constexpr size_t MaxListedEnds = 2;
// The clock of an incarnation may be ahead of that of the earlier one, or behind it.
constexpr int64_t MaxClockStartMs = 100000;
// A steady clock may run 2 % slow.
constexpr int64_t MaxSlownessPerMille = 20;

std::string describe(const TaskName &task, uint32_t run)
{
    return task.work + "." + std::to_string(task.index) + " run " + std::to_string(run);
}

} // namespace

ModelWorker::ModelWorker(Options options)
    : options_(std::move(options))
    , incarnationStartMs_(static_cast<uint64_t>(options_.time.now().count()))
    , startedAt_(options_.time.now())
    , clockStart_(options_.time.millisBetween(0, MaxClockStartMs))
    , slownessPerMille_(options_.time.between(0, MaxSlownessPerMille))
{}

Millis ModelWorker::clock() const
{
    const int64_t elapsed = (options_.time.now() - startedAt_).count();
    return clockStart_ + Millis(elapsed * (1000 - slownessPerMille_) / 1000);
}

// Runs the event unless the worker has restarted by then.
void ModelWorker::after(Millis delay, std::function<void()> event)
{
    options_.time.after(delay, [this, incarnation = incarnationStartMs_, event = std::move(event)] {
        if (isUp_ && incarnationStartMs_ == incarnation)
            event();
    });
}

bool ModelWorker::seeToken(uint64_t token)
{
    if (token < highestToken_)
        return false;
    highestToken_ = token;
    return true;
}

void ModelWorker::recordLeaseExpiry()
{
    if (clock() > leaseEnd_)
        lastEndBeforeExpiry_ = lastEndSequence_;
}

void ModelWorker::extendLease(Millis end)
{
    recordLeaseExpiry();
    leaseEnd_ = std::max(leaseEnd_, std::min(end, clock() + MaxLease));
    checkLease();
}

void ModelWorker::checkLease()
{
    if (running_.empty())
        return;
    if (clock() <= leaseEnd_)
        return after(leaseEnd_ - clock() + Millis(1), [this] { checkLease(); });
    for (const auto &[task, run] : std::map(running_))
        endRun(task, run.run, schema::RUN_LAPSED);
}

OrderAnswer ModelWorker::start(const StartOrder &order)
{
    if (!seeToken(order.fencingToken))
        return { OrderResult::Fenced, clock() };
    if (order.leaseEnd < clock())
        return { OrderResult::LeaseExpired, clock() };
    const auto present = running_.find(order.task);
    if (present != running_.end() && present->second.run == order.run) {
        extendLease(order.leaseEnd);
        return { OrderResult::Accepted, clock() };
    }
    const auto closed = closedRuns_.find(order.task);
    if (closed != closedRuns_.end() && order.run <= closed->second) {
        extendLease(order.leaseEnd);
        return { OrderResult::StaleRun, clock() };
    }
    // A ticket is valid during one incarnation.
    if (!order.ticket.empty() && order.ticket != std::to_string(incarnationStartMs_))
        return { OrderResult::NoTicket, clock() };
    if (options_.guardsCapacity && usedWith(options_.model(order.task)) > options_.millicores) {
        extendLease(order.leaseEnd);
        return { OrderResult::NoCapacity, clock() };
    }
    options_.onStart(order.task, order.run);
    const TaskModel model = options_.model(order.task);
    const int64_t used = usedWith(model);
    if (used > options_.millicores)
        options_.onViolation("LIMIT: " + describe(order.task, order.run) + " brings " + options_.id
            + " to " + std::to_string(used) + " of " + std::to_string(options_.millicores));
    running_[order.task] = { .run = order.run, .millicores = model.millicores };
    extendLease(order.leaseEnd);
    if (!model.duration)
        return { OrderResult::Accepted, clock() };
    after(*model.duration, [this, task = order.task, run = order.run, outcome = model.outcome] {
        endRun(task, run, outcome);
    });
    return { OrderResult::Accepted, clock() };
}

int64_t ModelWorker::usedWith(const TaskModel &more) const
{
    int64_t used = more.millicores;
    for (const auto &[task, run] : running_)
        used += run.millicores;
    return used;
}

OrderAnswer ModelWorker::stop(const StopOrder &order)
{
    if (!seeToken(order.fencingToken))
        return { OrderResult::Fenced, clock() };
    const auto present = running_.find(order.task);
    if (present == running_.end() || present->second.run != order.run) {
        uint32_t &closed = closedRuns_[order.task];
        closed = std::max(closed, order.run);
    } else if (!present->second.isStopping) {
        present->second.isStopping = true;
        after(options_.time.millisBetween(0, MaxStopMs),
            [this, order] { endRun(order.task, order.run, schema::RUN_STOPPED); });
    }
    return { OrderResult::Accepted, clock() };
}

void ModelWorker::endRun(const TaskName &task, uint32_t run, schema::RunOutcome outcome)
{
    const auto present = running_.find(task);
    if (present == running_.end() || present->second.run != run)
        return;
    running_.erase(present);
    uint32_t &closed = closedRuns_[task];
    closed = std::max(closed, run);
    ended_.push_back({ ++lastEndSequence_, task, run, outcome, "" });
    answerPolls();
    options_.onEnd(task, run, outcome);
}

void ModelWorker::poll(const PollRequest &order, std::function<void(PollAnswer)> done)
{
    if (!seeToken(order.fencingToken)) {
        PollAnswer answer;
        answer.result = OrderResult::Fenced;
        answer.workerClock = clock();
        return done(answer);
    }
    recordLeaseExpiry();
    std::erase_if(ended_, [this, &order](const EndReport &end) {
        const bool isAcknowledged = end.sequence <= order.ackedEndSequence;
        if (isAcknowledged && end.outcome == schema::RUN_DONE
            && end.sequence > lastEndBeforeExpiry_)
            options_.onEndAcknowledged(end.task, end.run);
        return isAcknowledged;
    });
    if (order.leaseEnd)
        extendLease(*order.leaseEnd);
    if (!ended_.empty() || order.wait == Millis())
        return done(currentAnswer());
    waitingPolls_.push_back({ ++lastPollNumber_, std::move(done) });
    after(order.wait, [this, number = lastPollNumber_] {
        const auto waiting = std::find_if(waitingPolls_.begin(), waitingPolls_.end(),
            [number](const WaitingPoll &poll) { return poll.number == number; });
        if (waiting == waitingPolls_.end())
            return;
        const auto answer = std::move(waiting->done);
        waitingPolls_.erase(waiting);
        answer(currentAnswer());
    });
}

void ModelWorker::answerPolls()
{
    const auto waiting = std::exchange(waitingPolls_, {});
    for (const WaitingPoll &poll : waiting)
        poll.done(currentAnswer());
}

PollAnswer ModelWorker::currentAnswer() const
{
    PollAnswer answer;
    answer.result = OrderResult::Accepted;
    answer.workerClock = clock();
    answer.incarnationStartMs = incarnationStartMs_;
    for (const auto &[task, run] : running_)
        answer.running.push_back({ task, run.run, "", 50, 0 });
    answer.ended.assign(ended_.begin(),
        ended_.begin() + static_cast<std::ptrdiff_t>(std::min(ended_.size(), MaxListedEnds)));
    answer.mayHaveMoreEnds = answer.ended.size() == MaxListedEnds;
    return answer;
}

std::vector<std::pair<TaskName, uint32_t>> ModelWorker::runs() const
{
    std::vector<std::pair<TaskName, uint32_t>> runs;
    for (const auto &[task, run] : running_)
        runs.emplace_back(task, run.run);
    return runs;
}

void ModelWorker::restart(Millis downtime, std::function<void()> onUp)
{
    isUp_ = false;
    running_.clear();
    closedRuns_.clear();
    ended_.clear();
    waitingPolls_.clear();
    lastEndSequence_ = 0;
    lastEndBeforeExpiry_ = 0;
    highestToken_ = 0;
    leaseEnd_ = Millis();
    options_.time.after(downtime, [this, onUp = std::move(onUp)] {
        isUp_ = true;
        incarnationStartMs_ = static_cast<uint64_t>(options_.time.now().count());
        startedAt_ = options_.time.now();
        clockStart_ = options_.time.millisBetween(0, MaxClockStartMs);
        onUp();
    });
}

} // namespace basilgap::dispatch
