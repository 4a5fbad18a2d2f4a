// Requests of callers, workers and operators.

#include <cmath>

#include "Basilgap/Common/EventLog.h"
#include "Basilgap/Dispatch/Announcements.h"
#include "Basilgap/Dispatch/WorkDispatcher.h"

namespace basilgap::dispatch {

namespace {

// An answer from local state needs a quorum's confirmation no older than this, since another leader
// may have changed the state.
constexpr Millis MaxConfirmationAge{ 400 };

constexpr size_t WorkIdLength = 16;

// A full disk is not freed within moments.
constexpr uint32_t LowSpaceRetryAfterSeconds = 5;

constexpr double MillicoresPerCore = 1000;
constexpr int64_t MillisPerSecond = 1000;

constexpr uint32_t Ok = 200;
constexpr uint32_t BadRequest = 400;
constexpr uint32_t Unauthorized = 401;
constexpr uint32_t NotFound = 404;
constexpr uint32_t Gone = 410;
constexpr uint32_t TooLarge = 413;
constexpr uint32_t Unavailable = 503;
constexpr uint32_t OutcomeUnknown = 504;

bool isWorkId(const std::string &id)
{
    return id.size() == WorkIdLength
        && id.find_first_not_of("0123456789abcdefABCDEF") == std::string::npos;
}

schema::CallReply makeReply(uint32_t status, const std::string &error = {})
{
    schema::CallReply reply;
    reply.set_status(status);
    reply.set_error(error);
    return reply;
}

schema::CallReply makeLowSpaceReply()
{
    schema::CallReply reply = makeReply(Unavailable, "disk space is low");
    reply.set_retry_after_s(LowSpaceRetryAfterSeconds);
    return reply;
}

schema::CallReply makeCancellationLimitReply(uint32_t retryAfterSeconds)
{
    schema::CallReply reply =
        makeReply(Unavailable, "not canceled: too many cancellations of unknown jobs");
    reply.set_retry_after_s(retryAfterSeconds);
    return reply;
}

schema::RpcReply makeRpcReply(const schema::RpcRequest &request, schema::CallReply call)
{
    schema::RpcReply reply;
    reply.set_id(request.id());
    *reply.mutable_call() = std::move(call);
    return reply;
}

schema::RpcReply makeUnavailableReply(const schema::RpcRequest &request)
{
    schema::RpcReply reply;
    reply.set_id(request.id());
    reply.mutable_outcome()->set_code(schema::UNAVAILABLE);
    return reply;
}

const char *stateName(const state::Work &work)
{
    switch (work.phase) {
    case state::WorkPhase::Completed:
        return "completed";
    case state::WorkPhase::Failed:
        return "failed";
    case state::WorkPhase::Canceled:
        return "canceled";
    case state::WorkPhase::Active:
        break;
    }
    return work.started ? "running" : "queued";
}

} // namespace

void WorkDispatcher::handleRequest(const schema::RpcRequest &request, const ReplyCallback &reply)
{
    switch (request.body_case()) {
    case schema::RpcRequest::kQueueCall:
        return answerQueueCall(request, reply);
    case schema::RpcRequest::kOperatorCall:
        return answerOperatorCall(request, reply);
    case schema::RpcRequest::kAnnouncement:
        return handleAnnouncement(request, reply);
    default:
        return reply(makeRpcReply(request, makeReply(BadRequest, "unknown request")));
    }
}

void WorkDispatcher::answerWhenConfirmed(const schema::RpcRequest &request,
    const ReplyCallback &reply, std::function<schema::CallReply()> answer)
{
    if (options_.replica.isConfirmedLeader(MaxConfirmationAge))
        return reply(makeRpcReply(request, answer()));
    schema::RpcRequest idOnly;
    idOnly.set_id(request.id());
    options_.replica.confirmLeadership(guarded([idOnly, reply, answer](bool confirmed) {
        reply(confirmed ? makeRpcReply(idOnly, answer()) : makeUnavailableReply(idOnly));
    }));
}

void WorkDispatcher::propose(const schema::RpcRequest &request, schema::Command command,
    const ReplyCallback &reply,
    std::function<schema::CallReply(const schema::CommandOutcome &)> answer)
{
    schema::RpcRequest idOnly;
    idOnly.set_id(request.id());
    options_.replica.propose(
        std::move(command), [idOnly, reply, answer](const schema::CommandOutcome &outcome) {
            const bool isKnown = outcome.code() != schema::UNAVAILABLE;
            reply(isKnown ? makeRpcReply(idOnly, answer(outcome)) : makeUnavailableReply(idOnly));
        });
}

void WorkDispatcher::answerQueueCall(const schema::RpcRequest &request, const ReplyCallback &reply)
{
    const schema::QueueCall &call = request.queue_call();
    const state::WorkConfigState &config = state_.workConfig();
    const auto refuse = [&](uint32_t status, const std::string &why) {
        answerWhenConfirmed(request, reply, [status, why] {
            schema::CallReply refusal = makeReply(status, why);
            if (status == Unavailable)
                refusal.set_retry_after_s(1);
            return refusal;
        });
    };
    if (!config.isConfigured())
        return refuse(Unavailable, "no configuration yet");
    const schema::QueueConfig *queue = config.route(call.host(), call.path());
    if (queue == nullptr)
        return refuse(NotFound, "no such queue");
    const schema::AccountConfig *account = config.findAccountByKey(call.key());
    if (account == nullptr && !queue->open())
        return refuse(Unauthorized, "unknown key");
    const std::string id = call.path().substr(queue->prefix().size());
    if (call.kind() == schema::QueueCall::STATUS && id.empty()) {
        return answerWhenConfirmed(request, reply, [this, queueId = state::queueIdOf(*queue)] {
            schema::CallReply count = makeReply(Ok);
            count.set_waiting_count(state_.works().unstartedCount(queueId));
            return count;
        });
    }
    if (!isWorkId(id))
        return refuse(BadRequest, "the id is not 16 hexadecimal digits");
    if (call.kind() == schema::QueueCall::SUBMIT)
        return submit(request, *queue, id, account == nullptr ? "" : account->name(), reply);
    if (call.kind() == schema::QueueCall::CANCEL)
        return cancel(request, id, account == nullptr ? "" : account->name(), reply);
    answerState(request, id, reply);
}

void WorkDispatcher::submit(const schema::RpcRequest &request, const schema::QueueConfig &queue,
    const std::string &id, const std::string &account, const ReplyCallback &reply)
{
    const schema::QueueCall &call = request.queue_call();
    const state::WorkConfigState &config = state_.workConfig();
    const auto log = [&](const char *event, const std::string &why) {
        LogEvent(event)
            .with("work", id)
            .with("queue", queue.name())
            .with("account", account)
            .with("version", config.version())
            .with("reason", why);
    };
    if (state_.works().find(id) != nullptr) {
        log("work-resent", "");
        return answerWhenConfirmed(request, reply, [] { return makeReply(Ok); });
    }
    if (config.config().max_body_bytes() > 0
        && call.body_bytes() > config.config().max_body_bytes()) {
        log("work-refused", "body too large");
        return reply(makeRpcReply(request, makeReply(TooLarge, "the body is too large")));
    }
    if (!call.body_error().empty()) {
        log("work-refused", call.body_error());
        return reply(makeRpcReply(request, makeReply(BadRequest, call.body_error())));
    }
    if (!options_.replica.spaceError().empty()) {
        log("work-refused", options_.replica.spaceError());
        return reply(makeRpcReply(request, makeLowSpaceReply()));
    }
    const bool isCanceled = state_.works().earlyCancellations().contains(id);
    // A job that is being logged may be accepted, so that its refusal would not be true. One that
    // was canceled before needs no room.
    if (!pendingSubmissions_.contains(id) && !isCanceled) {
        if (const auto refusal = decideAdmission(id, queue, account, call.spec()))
            return refuseForBacklog(request, id, queue.name(), account, *refusal, reply);
    }
    schema::Command command;
    schema::SubmitWork *submit = command.mutable_submit_work();
    submit->set_id(id);
    submit->set_queue_id(state::queueIdOf(queue).value());
    submit->set_account(account);
    *submit->mutable_spec() = call.spec();
    submit->set_max_attempts(queue.max_attempts());
    log("work-taken", "");
    if (!isCanceled)
        prefetchAdvice(id, queue, call.spec());
    pendingSubmissions_[id]++;
    const auto replyOnce = [this, alive = std::weak_ptr<bool>(alive_), id, reply](
                               schema::RpcReply answer) {
        if (!alive.expired() && --pendingSubmissions_[id] == 0)
            pendingSubmissions_.erase(id);
        reply(std::move(answer));
    };
    propose(request, std::move(command), replyOnce,
        [this, alive = std::weak_ptr<bool>(alive_), queueId = state::queueIdOf(queue),
            takenAt = steadyNow()](const schema::CommandOutcome &outcome) {
            // The queue was removed while the job was being logged.
            if (outcome.code() == schema::NOT_FOUND)
                return makeReply(NotFound, "no such queue");
            if (!alive.expired())
                stageTimes_.add(queueId, Stage::Log, steadyNow() - takenAt);
            return makeReply(Ok);
        });
}

// Another leader may have accepted the job, so the refusal needs a quorum's confirmation. While
// that is awaited, a resent call may have submitted the job.
void WorkDispatcher::refuseForBacklog(const schema::RpcRequest &request, const std::string &id,
    const std::string &queue, const std::string &account,
    const scheduling::AdmissionRefusal &refusal, const ReplyCallback &reply)
{
    answerWhenConfirmed(request, reply, [this, id, queue, account, refusal] {
        if (state_.works().find(id) != nullptr)
            return makeReply(Ok);
        if (pendingSubmissions_.contains(id))
            return makeReply(OutcomeUnknown, "outcome unknown");
        LogEvent("work-refused")
            .with("work", id)
            .with("queue", queue)
            .with("account", account)
            .with("reason", "backlog")
            .with("backlogCoreMs", std::llround(refusal.backlogCoreMs))
            .with("drainMillicores", std::llround(refusal.drainCores * MillicoresPerCore))
            .with("waitMs", refusal.wait)
            .with("objectiveMs", refusal.objective)
            .with("retryAfterS", refusal.retryAfterSeconds);
        schema::CallReply answer = makeReply(
            Unavailable, "not run: the account's backlog is too long for the job's objective");
        answer.set_retry_after_s(refusal.retryAfterSeconds);
        return answer;
    });
}

// The submission may still be on its way: in the log, in another entry, or in the hands of a caller
// that resends it. So a job that is not known is canceled by a record, too, which its submission
// meets in the log.
void WorkDispatcher::cancel(const schema::RpcRequest &request, const std::string &id,
    const std::string &account, const ReplyCallback &reply)
{
    if (const auto refusal = refuseEarlyCancellation(id, account)) {
        LogEvent("cancellation-refused")
            .with("work", id)
            .with("account", account)
            .with("reason", refusal->error());
        return reply(makeRpcReply(request, *refusal));
    }
    schema::Command command;
    schema::CancelWork *cancel = command.mutable_cancel_work();
    cancel->set_id(id);
    cancel->set_account(account);
    cancel->set_covers_later_submission(true);
    propose(request, std::move(command), reply,
        [this, alive = std::weak_ptr<bool>(alive_), id, account](
            const schema::CommandOutcome &outcome) {
            if (!alive.expired())
                logCancellation(id, account);
            if (outcome.code() == schema::LIMIT_REACHED)
                return makeCancellationLimitReply(
                    alive.expired() ? 1 : cancellationRetryAfterSeconds(account));
            return outcome.code() == schema::ACCEPTED ? makeReply(Ok)
                                                      : makeReply(Gone, "no such job");
        });
}

void WorkDispatcher::logCancellation(const std::string &id, const std::string &account) const
{
    const state::Work *work = state_.works().find(id);
    const bool isKept = state_.works().earlyCancellations().contains(id);
    const char *unknownState = isKept ? "unknown" : "not kept";
    LogEvent("work-canceled")
        .with("work", id)
        .with("account", account)
        .with("state", work == nullptr ? unknownState : stateName(*work));
}

std::optional<schema::CallReply> WorkDispatcher::refuseEarlyCancellation(
    const std::string &id, const std::string &account) const
{
    const state::EarlyCancellations &early = state_.works().earlyCancellations();
    const bool isKnown = state_.works().find(id) != nullptr || pendingSubmissions_.contains(id);
    if (isKnown || early.contains(id))
        return std::nullopt;
    if (!options_.replica.spaceError().empty())
        return makeLowSpaceReply();
    if (early.hasRoomFor(state::AccountName(account)))
        return std::nullopt;
    return makeCancellationLimitReply(cancellationRetryAfterSeconds(account));
}

// Until the oldest of the cancellations that take up the room is removed.
uint32_t WorkDispatcher::cancellationRetryAfterSeconds(const std::string &account) const
{
    const auto since =
        state_.works().earlyCancellations().roomTakenSinceMs(state::AccountName(account));
    const Millis roomAt(static_cast<int64_t>(since.value_or(0) + state::WorkRetentionMs));
    const int64_t seconds = (roomAt - stateNow()).count() / MillisPerSecond;
    return static_cast<uint32_t>(std::max<int64_t>(0, seconds)) + 1;
}

void WorkDispatcher::answerState(
    const schema::RpcRequest &request, const std::string &id, const ReplyCallback &reply)
{
    answerWhenConfirmed(request, reply, [this, id] {
        const state::Work *work = state_.works().find(id);
        if (work == nullptr)
            return makeReply(Gone, "no such job");
        schema::CallReply answer = makeReply(Ok);
        answer.set_state(stateName(*work));
        return answer;
    });
}

void WorkDispatcher::answerOperatorCall(
    const schema::RpcRequest &request, const ReplyCallback &reply)
{
    const schema::OperatorCall &call = request.operator_call();
    const state::WorkConfigState &config = state_.workConfig();
    schema::Command command;
    switch (call.body_case()) {
    case schema::OperatorCall::kPutConfig:
        if (!options_.replica.spaceError().empty()
            && call.put_config().version() > config.version()) {
            LogEvent("configuration-refused")
                .with("version", call.put_config().version())
                .with("reason", options_.replica.spaceError());
            return reply(makeRpcReply(request, makeReply(Unavailable, "disk space is low")));
        }
        *command.mutable_put_work_config() = call.put_config();
        return propose(request, std::move(command), reply,
            [version = call.put_config().version()](const schema::CommandOutcome &outcome) {
                LogEvent("configuration")
                    .with("version", version)
                    .with("inForce", outcome.version())
                    .with("changed", outcome.again() ? 0 : 1);
                return makeReply(Ok);
            });
    case schema::OperatorCall::kGetConfig:
        return answerWhenConfirmed(request, reply, [&config] {
            schema::CallReply answer = makeReply(config.isConfigured() ? Ok : Unavailable);
            answer.set_document(config.document());
            return answer;
        });
    case schema::OperatorCall::kEvacuate:
        *command.mutable_evacuate_zone() = call.evacuate();
        LogEvent("zone")
            .with("zone", call.evacuate().zone())
            .with("out", call.evacuate().out() ? 1 : 0);
        return propose(request, std::move(command), reply,
            [](const schema::CommandOutcome &) { return makeReply(Ok); });
    case schema::OperatorCall::kStartWave:
        *command.mutable_start_wave() = call.start_wave();
        return propose(request, std::move(command), reply,
            [](const schema::CommandOutcome &) { return makeReply(Ok); });
    case schema::OperatorCall::kGetWave:
        return answerWhenConfirmed(request, reply, [&config, id = call.get_wave()] {
            const auto wave = config.waves().find(id);
            if (wave == config.waves().end())
                return makeReply(NotFound, "no such wave");
            schema::CallReply answer = makeReply(Ok);
            answer.set_state(wave->second.completed() ? "completed" : "running");
            return answer;
        });
    case schema::OperatorCall::BODY_NOT_SET:
        return reply(makeRpcReply(request, makeReply(BadRequest, "unknown order")));
    }
}

// The announcement is acknowledged only after its changes are committed.
void WorkDispatcher::handleAnnouncement(
    const schema::RpcRequest &request, const ReplyCallback &reply)
{
    const schema::WorkerAnnouncement &announcement = request.announcement();
    // What it says is compared with the incarnation that is being registered, once that is known.
    const auto pending = pendingRegistrations_.find(announcement.life().id());
    if (pending != pendingRegistrations_.end()) {
        pending->second.push_back({ request, reply });
        return;
    }
    const schema::WorkerLife *known = state_.works().newestIncarnation(announcement.life().id());
    const Millis now = steadyNow();
    const auto session =
        known == nullptr ? sessions_.end() : sessions_.find(state::WorkerNumber(known->number()));
    const AnnouncementEffect effect = effectOf(announcement, known,
        session == sessions_.end() ? std::nullopt : session->second->workerTime(now));
    if (effect == AnnouncementEffect::NewIncarnation)
        return registerIncarnation(request, reply);
    if (session != sessions_.end() && !announcement.ended()
        && isSameIncarnation(announcement, *known))
        session->second->seedClock(Millis(static_cast<int64_t>(announcement.clock_ms())), now);
    if (effect == AnnouncementEffect::None)
        return reply(makeRpcReply(request, makeReply(Ok)));
    const schema::WorkerLife updated = updatedLife(announcement, *known);
    LogEvent("worker-changed")
        .with("worker", updated.id())
        .with("leaving", updated.leaving() ? 1 : 0)
        .with("millicores", updated.millicores())
        .with("memoryMb", updated.memory_mb())
        .with("accelerators", updated.accelerators())
        .with("address", updated.address());
    schema::Command command;
    *command.mutable_runs()->add_workers() = updated;
    propose(request, std::move(command), reply,
        [](const schema::CommandOutcome &) { return makeReply(Ok); });
}

void WorkDispatcher::registerIncarnation(
    const schema::RpcRequest &request, const ReplyCallback &reply)
{
    const schema::WorkerAnnouncement &announcement = request.announcement();
    const std::string &id = announcement.life().id();
    pendingRegistrations_[id].push_back({ request, reply });
    nextWorkerNumber_ = std::max(nextWorkerNumber_, state_.works().nextWorker().value());
    schema::Command command;
    schema::RunBatch *batch = command.mutable_runs();
    const schema::WorkerLife *previous = state_.works().newestIncarnation(id);
    schema::WorkerLife *incarnation = batch->add_workers();
    *incarnation = announcement.life();
    incarnation->set_number(nextWorkerNumber_++);
    incarnation->set_announced_sequence(announcement.sequence());
    // The previous incarnation may be removed before this record is applied.
    incarnation->set_restarted(
        previous != nullptr || forgottenWorkers_.mayContain(id, steadyNow()));
    if (previous != nullptr) {
        schema::WorkerLife *gone = batch->add_workers();
        *gone = *previous;
        gone->set_gone(true);
    }
    LogEvent("worker-registered")
        .with("worker", incarnation->id())
        .with("number", incarnation->number())
        .with("born", incarnation->born_ms())
        .with("address", incarnation->address())
        .with("zone", incarnation->zone())
        .with("rack", incarnation->rack())
        .with("kind", incarnation->labels_size() > 0 ? incarnation->labels(0) : "")
        .with("millicores", incarnation->millicores());
    const std::vector<state::LostRun> lost =
        state_.works().lostWorkers().runsReplacedBy(*incarnation);
    std::optional<Restart> restart;
    if (previous != nullptr)
        restart = restartOf(*previous, state::WorkerNumber(incarnation->number()));
    options_.replica.propose(std::move(command),
        guarded([this, id, lost, restart](const schema::CommandOutcome &outcome) {
            if (outcome.code() == schema::ACCEPTED && restart)
                recordRestart(*restart);
            for (const state::LostRun &run : lost)
                logCrashSuspect(run.task);
            finishRegistration(id, outcome.code() == schema::ACCEPTED);
        }));
}

// Acknowledges the announcement that was registered, and handles those that came meanwhile. The
// first of these may begin another registration, for which the rest waits.
void WorkDispatcher::finishRegistration(const std::string &worker, bool isRegistered)
{
    const auto announcements = pendingRegistrations_.extract(worker);
    bool isFirst = true;
    for (const PendingAnnouncement &announcement : announcements.mapped()) {
        if (!isRegistered)
            announcement.reply(makeUnavailableReply(announcement.request));
        else if (isFirst)
            announcement.reply(makeRpcReply(announcement.request, makeReply(Ok)));
        else
            handleAnnouncement(announcement.request, announcement.reply);
        isFirst = false;
    }
}

} // namespace basilgap::dispatch
