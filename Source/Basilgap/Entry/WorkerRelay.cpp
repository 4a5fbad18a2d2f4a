#include "Basilgap/Entry/WorkerRelay.h"

#include <utility>
#include <vector>

#include "Basilgap/Common/EventLog.h"
#include "Basilgap/Common/Hash.h"
#include "Basilgap/Common/LeaseTimes.h"
#include "Basilgap/Entry/HttpBodies.h"
#include "Basilgap/Network/Json.h"

namespace basilgap::entry {

namespace {

constexpr Millis TickInterval{ 100 };

// Reports with changes are forwarded sooner than those that only renew the lease.
constexpr Millis ChangedReportDelay{ 20 };
constexpr Millis UnchangedReportDelay{ 250 };

// Time after which a poll that no leader has confirmed is answered with an error.
constexpr Millis UnconfirmedPollTimeout{ 4000 };

// Usage is compared at this granularity, so that small fluctuations don't count as changes.
constexpr uint64_t MillicoreGranularity = 250;
constexpr uint64_t MemoryGranularityMb = 128;

uint64_t hashContent(schema::WorkerReport report)
{
    report.clear_sequence();
    for (auto &task : *report.mutable_tasks()) {
        schema::Resources *usage = task.mutable_usage();
        usage->set_millicores(usage->millicores() / MillicoreGranularity);
        usage->set_memory_mb(usage->memory_mb() / MemoryGranularityMb);
    }
    return checksum(report.SerializeAsString());
}

// Each incarnation counts its polls from the start.
bool isEarlier(const schema::WorkerReport &report, const schema::WorkerReport &other)
{
    return std::pair(report.incarnation(), report.sequence())
        < std::pair(other.incarnation(), other.sequence());
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
    , flushTimer_(loop, [this] { flush(); })
    , tickTimer_(loop, [this] { tick(); })
{
    tickTimer_.startRepeating(TickInterval);
}

void WorkerRelay::handlePoll(
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
    const auto previous = polls_.find(worker);
    if (previous != polls_.end() && isEarlier(*report, previous->second.report))
        return responder->answer(
            network::errorResponse({ .status = 409, .error = "a later poll arrived" }));
    if (previous != polls_.end()) {
        previous->second.responder->answer(
            network::errorResponse({ .status = 409, .error = "a later poll arrived" }));
        polls_.erase(previous);
    }
    polls_[worker] = Poll{ .responder = responder, .report = *report, .arrivedAt = steadyNow() };
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
    const uint64_t contentHash = hashContent(report);
    const ReportedState &reported = reported_[worker];
    const bool unchanged = reported.contentHash == contentHash
        && reported.incarnation.value() == report.incarnation()
        && reported.connectionGeneration == options_.connectionGeneration();
    schema::WorkerReport *out = digest_.add_reports();
    if (unchanged) {
        out->set_id(report.id());
        out->set_incarnation(report.incarnation());
        out->set_sequence(report.sequence());
        out->set_unchanged(true);
    } else {
        *out = report;
        reported_[worker] = { Incarnation(report.incarnation()), contentHash,
            options_.connectionGeneration() };
    }
    scheduleFlush(unchanged ? UnchangedReportDelay : ChangedReportDelay);
}

// Schedules a flush, unless one is due earlier.
void WorkerRelay::scheduleFlush(Millis delay)
{
    const Millis due = steadyNow() + delay;
    if (flushTimer_.isPending() && flushDueAt_ <= due)
        return;
    flushDueAt_ = due;
    flushTimer_.startOnce(delay);
}

void WorkerRelay::flush()
{
    digest_.set_entry(options_.entry.value());
    options_.sendDigest(digest_);
    digest_.Clear();
}

void WorkerRelay::handleOrders(const schema::WorkerOrdersBatch &batch)
{
    for (const auto &orders : batch.orders())
        applyOrders(orders);
}

void WorkerRelay::applyOrders(const schema::WorkerOrders &orders)
{
    const WorkerId worker(orders.worker());
    const auto found = polls_.find(worker);
    if (found == polls_.end())
        return;
    Poll &poll = found->second;
    // Each incarnation counts its polls from the start.
    if (orders.has_incarnation() && orders.incarnation() != poll.report.incarnation())
        return;
    const bool answersPoll = orders.sequence() == poll.report.sequence();
    if (orders.need_full() && answersPoll) {
        reported_.erase(worker);
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
        answerPoll(worker, orders);
}

// Starts are delivered only under a valid view lease: orders that waited in a suspended process
// must not start a task in a zone that was taken out of service meanwhile.
bool WorkerRelay::mayDeliverStarts(const schema::WorkerReport &report) const
{
    return view_.isLeaseValid(steadyNow()) && !view_.isZoneOut(ZoneName(report.zone()));
}

void WorkerRelay::answerPoll(const WorkerId &worker, const schema::WorkerOrders &orders)
{
    const auto found = polls_.find(worker);
    const bool withStarts = mayDeliverStarts(found->second.report);
    found->second.responder->answer(
        network::jsonMessage(200, writeWorkerReply(orders, withStarts)));
    polls_.erase(found);
}

void WorkerRelay::tick()
{
    const Millis now = steadyNow();
    std::vector<WorkerId> due;
    for (const auto &[worker, poll] : polls_) {
        const Millis waited = now - poll.arrivedAt;
        if (waited >= (poll.confirmed ? MaxWorkerPollWait : UnconfirmedPollTimeout))
            due.push_back(worker);
    }
    for (const WorkerId &worker : due) {
        const auto poll = polls_.find(worker);
        if (poll->second.confirmed) {
            answerPoll(worker, schema::WorkerOrders());
            continue;
        }
        poll->second.responder->answer(network::errorResponse(
            { .status = 503, .error = "no leader confirmed the lease", .retryAfterSeconds = 1 }));
        polls_.erase(poll);
    }
}

} // namespace basilgap::entry
