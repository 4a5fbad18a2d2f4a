#include "ModelNetwork.h"

#include <utility>

namespace basilgap::dispatch {

namespace {

constexpr int64_t MaxUsualDelayMs = 4;
constexpr int64_t MinLateMs = 100;
constexpr int64_t MaxLateMs = 12000;
constexpr int64_t MaxQueueMs = 600;

template<typename Answer>
Answer answerOf(OrderResult result)
{
    Answer answer;
    answer.result = result;
    return answer;
}

} // namespace

void ModelNetwork::thaw()
{
    isFrozen_ = false;
    for (const auto &event : std::exchange(waitingEvents_, {}))
        event();
}

void ModelNetwork::runInLeader(std::function<void()> event)
{
    if (isFrozen_)
        waitingEvents_.push_back(std::move(event));
    else
        event();
}

template<typename Answer>
void ModelNetwork::call(const std::string &worker, Millis timeout,
    const std::function<bool()> &isStillWanted, Execute<Answer> execute,
    std::function<void(Answer)> done)
{
    if (!time_.chance(trouble_.queued))
        return send(worker, timeout, std::move(execute), std::move(done));
    time_.after(time_.millisBetween(1, MaxQueueMs),
        [this, worker, timeout, isStillWanted, execute = std::move(execute),
            done = std::move(done)] {
            runInLeader([this, worker, timeout, isStillWanted, execute, done] {
                if (isStillWanted && !isStillWanted())
                    return done(answerOf<Answer>(OrderResult::Dropped));
                send(worker, timeout, execute, done);
            });
        });
}

template<typename Answer>
void ModelNetwork::send(const std::string &worker, Millis timeout, Execute<Answer> execute,
    std::function<void(Answer)> done)
{
    // Only the first of the answer and the timeout is reported.
    const auto report = [this, done = std::move(done), isOver = std::make_shared<bool>(false)](
                            const Answer &answer) {
        runInLeader([done, isOver, answer] {
            if (!std::exchange(*isOver, true))
                done(answer);
        });
    };
    const bool isSent = !time_.chance(trouble_.notSent);
    time_.after(timeout, [report, isSent] {
        report(answerOf<Answer>(isSent ? OrderResult::Unanswered : OrderResult::NotSent));
    });
    if (!isSent || time_.chance(trouble_.lost))
        return;
    const bool isLate = time_.chance(trouble_.late);
    const bool isAnswerLost = time_.chance(trouble_.answerLost);
    const bool isUnavailable = time_.chance(trouble_.unavailable);
    const Millis late = isLate ? time_.millisBetween(MinLateMs, MaxLateMs) : Millis();
    const auto carryOut = [this, execute = std::move(execute), report, isAnswerLost, isUnavailable](
                              ModelWorker &target) {
        const auto answer = [this, &target, report, isAnswerLost](const Answer &result) {
            if (!isAnswerLost && target.isLinkUp())
                time_.after(
                    time_.millisBetween(0, MaxUsualDelayMs), [report, result] { report(result); });
        };
        if (isUnavailable)
            return answer(answerOf<Answer>(OrderResult::Unavailable));
        execute(target, answer);
    };
    // Without the option, a late call is lost with the incarnation that received it.
    const bool isKeptOverRestarts = trouble_.isCarriedOutAfterRestarts;
    time_.after(time_.millisBetween(0, MaxUsualDelayMs),
        [this, worker, late, carryOut, isKeptOverRestarts] {
            ModelWorker &target = *workers_.at(worker);
            if (!target.isLinkUp() || (!target.isUp() && !isKeptOverRestarts))
                return;
            const uint64_t incarnation = target.incarnationStartMs();
            time_.after(late, [&target, incarnation, carryOut, isKeptOverRestarts] {
                if (target.isUp()
                    && (isKeptOverRestarts || target.incarnationStartMs() == incarnation))
                    carryOut(target);
            });
        });
}

void ModelNetwork::start(const WorkerEndpoint &worker, const StartOrder &order, Millis timeout,
    std::function<void(OrderAnswer)> done)
{
    call<OrderAnswer>(
        worker.id, timeout, order.isStillWanted,
        [order](ModelWorker &target, const std::function<void(OrderAnswer)> &answer) {
            answer(target.start(order));
        },
        std::move(done));
}

void ModelNetwork::stop(const WorkerEndpoint &worker, const StopOrder &order, Millis timeout,
    std::function<void(OrderAnswer)> done)
{
    call<OrderAnswer>(
        worker.id, timeout, {},
        [order](ModelWorker &target, const std::function<void(OrderAnswer)> &answer) {
            answer(target.stop(order));
        },
        std::move(done));
}

void ModelNetwork::throttle(
    const WorkerEndpoint &, const ThrottleOrder &, Millis, std::function<void(OrderAnswer)> done)
{
    done({ OrderResult::Accepted, std::nullopt });
}

void ModelNetwork::poll(const WorkerEndpoint &worker, const PollRequest &order, Millis timeout,
    std::function<void(PollAnswer)> done)
{
    call<PollAnswer>(
        worker.id, timeout, order.isStillWanted,
        [order](ModelWorker &target, const std::function<void(PollAnswer)> &answer) {
            target.poll(order, answer);
        },
        std::move(done));
}

} // namespace basilgap::dispatch
