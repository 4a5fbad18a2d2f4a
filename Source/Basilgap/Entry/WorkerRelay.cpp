#include "Basilgap/Entry/WorkerRelay.h"

#include <vector>

#include "Basilgap/Common/EventLog.h"
#include "Basilgap/Common/Hash.h"
#include "Basilgap/Common/LeaseTimes.h"
#include "Basilgap/Entry/HttpBodies.h"
#include "Basilgap/Network/Json.h"

namespace basilgap::entry {

namespace {

constexpr Millis TickInterval{ 100 };

// Reports that tell something new are passed on sooner than mere signs of life.
constexpr Millis ChangedDelay{ 20 };
constexpr Millis UnchangedDelay{ 250 };

// A poll that no leader confirmed is answered after this time.
constexpr Millis UnconfirmedWait{ 4000 };

// Usage is compared in steps, so that its noise is not passed on with every poll.
constexpr uint64_t MillicoreStep = 250;
constexpr uint64_t MemoryStepMb = 128;

uint64_t contentOf(schema::WorkerReport report)
{
    report.clear_sequence();
    for (auto &task : *report.mutable_tasks()) {
        schema::Resources *usage = task.mutable_usage();
        usage->set_millicores(usage->millicores() / MillicoreStep);
        usage->set_memory_mb(usage->memory_mb() / MemoryStepMb);
    }
    return checksum(report.SerializeAsString());
}

bool hasOrders(const schema::WorkerOrders &orders)
{
    return orders.start_size() + orders.stop_size() + orders.checkpoint_size()
        + orders.throttle_size()
        > 0;
}

} // namespace

WorkerRelay::WorkerRelay(network::EventLoop &loop, Options options, const ViewStore &view)
    : options_(std::move(options))
    , view_(view)
    , flusher_(loop, [this] { flush(); })
    , ticker_(loop, [this] { tick(); })
{
    ticker_.startRepeating(TickInterval);
}

void WorkerRelay::poll(
    const network::HttpRequest &request, const network::ResponderPointer &responder)
{
    schema::WorkerBody body;
    const auto parsed = network::parseJson(request.body, network::UnknownFields::Ignore, &body);
    const auto report =
        parsed ? readWorkerReport(body) : Result<schema::WorkerReport>(fail(parsed.error()));
    if (!report) {
        LogEvent("worker-report-refused", LogLevel::Warning)
            .with("peer", request.peer)
            .with("field", report.error().peer)
            .with("error", report.error().message);
        return responder->answer(network::errorResponse({ .status = 400,
            .error = report.error().message,
            .field = report.error().peer,
            .step = report.error().step }));
    }
    const WorkerId worker(report->id());
    const auto earlier = polls_.find(worker);
    if (earlier != polls_.end()) {
        earlier->second.responder->answer(
            network::errorResponse({ .status = 409, .error = "a later poll arrived" }));
        polls_.erase(earlier);
    }
    polls_[worker] = Poll{ .responder = responder, .report = *report, .arrived = steadyNow() };
    responder->onCallerGone([this, worker, sequence = report->sequence()] {
        const auto poll = polls_.find(worker);
        if (poll != polls_.end() && poll->second.report.sequence() == sequence)
            polls_.erase(poll);
    });
    queueReport(worker);
}

void WorkerRelay::queueReport(const WorkerId &worker)
{
    const schema::WorkerReport &report = polls_[worker].report;
    const uint64_t content = contentOf(report);
    const Known &known = known_[worker];
    const bool unchanged = known.content == content
        && known.incarnation.value() == report.incarnation()
        && known.generation == options_.generation();
    schema::WorkerReport *out = digest_.add_reports();
    if (unchanged) {
        out->set_id(report.id());
        out->set_incarnation(report.incarnation());
        out->set_sequence(report.sequence());
        out->set_unchanged(true);
    } else {
        *out = report;
        known_[worker] = { Incarnation(report.incarnation()), content, options_.generation() };
    }
    flushWithin(unchanged ? UnchangedDelay : ChangedDelay);
}

// Never puts off a flush that is already due earlier.
void WorkerRelay::flushWithin(Millis delay)
{
    const Millis due = steadyNow() + delay;
    if (flusher_.isPending() && flushDue_ <= due)
        return;
    flushDue_ = due;
    flusher_.startOnce(delay);
}

void WorkerRelay::flush()
{
    digest_.set_entry(options_.entry.value());
    options_.sendDigest(digest_);
    digest_.Clear();
}

void WorkerRelay::received(const schema::WorkerOrdersBatch &batch)
{
    for (const auto &orders : batch.orders())
        take(orders);
}

void WorkerRelay::take(const schema::WorkerOrders &orders)
{
    const WorkerId worker(orders.worker());
    const auto found = polls_.find(worker);
    if (found == polls_.end())
        return;
    Poll &poll = found->second;
    const bool answersPoll = orders.sequence() == poll.report.sequence();
    if (orders.need_full() && answersPoll) {
        known_.erase(worker);
        return queueReport(worker);
    }
    if (!orders.refused().empty() && answersPoll) {
        poll.responder->answer(network::errorResponse(
            { .status = 409, .error = orders.refused(), .step = "worker-report" }));
        polls_.erase(found);
        return;
    }
    if (orders.lease_ms() > 0 && answersPoll)
        poll.confirmed = true;
    if (poll.confirmed && hasOrders(orders))
        answer(worker, orders);
}

// Starts are passed on only while the view is confirmed: orders that waited in a frozen process
// must not start a task in a zone that was taken out meanwhile.
bool WorkerRelay::mayDeliver(const schema::WorkerReport &report) const
{
    return view_.isValid(steadyNow()) && !view_.isZoneOut(ZoneName(report.zone()));
}

void WorkerRelay::answer(const WorkerId &worker, const schema::WorkerOrders &orders)
{
    const auto found = polls_.find(worker);
    const bool withStarts = mayDeliver(found->second.report);
    found->second.responder->answer(
        network::jsonMessage(200, writeWorkerReply(orders, withStarts)));
    polls_.erase(found);
}

void WorkerRelay::tick()
{
    const Millis now = steadyNow();
    std::vector<WorkerId> due;
    for (const auto &[worker, poll] : polls_) {
        const Millis waited = now - poll.arrived;
        if (waited >= (poll.confirmed ? MaxWorkerPollWait : UnconfirmedWait))
            due.push_back(worker);
    }
    for (const WorkerId &worker : due) {
        const auto poll = polls_.find(worker);
        if (poll->second.confirmed) {
            answer(worker, schema::WorkerOrders());
            continue;
        }
        poll->second.responder->answer(network::errorResponse(
            { .status = 503, .error = "no leader confirmed the lease", .retryAfterSeconds = 1 }));
        polls_.erase(poll);
    }
}

} // namespace basilgap::entry
