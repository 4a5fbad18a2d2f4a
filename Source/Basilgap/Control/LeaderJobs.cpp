// Leader methods for workers and jobs.

#include "Basilgap/Common/EventLog.h"
#include "Basilgap/Common/LeaseTimes.h"
#include "Basilgap/Control/Leader.h"

namespace basilgap::control {

void Leader::handleDigest(network::PeerStream &stream, const schema::WorkerDigest &digest)
{
    const Millis now = steadyNow();
    auto accepted = std::make_shared<std::vector<ReportId>>();
    auto answers = std::make_shared<schema::WorkerOrdersBatch>();
    for (const auto &report : digest.reports()) {
        const auto worker = jobs_.workers().recordReport(report, &stream, now);
        if (worker) {
            accepted->push_back(
                { WorkerId(report.id()), Incarnation(report.incarnation()), report.sequence() });
            continue;
        }
        schema::WorkerOrders *refusal = answers->add_orders();
        refusal->set_worker(report.id());
        refusal->set_incarnation(report.incarnation());
        refusal->set_sequence(report.sequence());
        if (worker.error().code == ErrorCode::NotFound) {
            refusal->set_need_full(true);
            continue;
        }
        refusal->set_refused(worker.error().message);
        LogEvent("worker-report-refused", LogLevel::Warning).with(worker.error());
    }
    jobsDirty_ = true;
    replica_.confirmLeadership(
        guarded([this, accepted, answers, id = stream.id(), now](bool leads) {
            if (!leads)
                return;
            for (const ReportId &report : *accepted) {
                const Worker *worker = jobs_.workers().extendLease(report, now);
                if (worker != nullptr)
                    *answers->add_orders() = jobs_.workers().ordersFor(*worker, jobs_.stopping());
            }
            sendOrders(id, *answers);
        }));
}

void Leader::sendOrders(uint64_t stream, const schema::WorkerOrdersBatch &orders)
{
    const auto found = streams_.find(stream);
    if (found == streams_.end() || orders.orders_size() == 0)
        return;
    schema::PeerMessage message;
    *message.mutable_worker_orders() = orders;
    found->second->send(message);
}

void Leader::updateJobs()
{
    jobsDirty_ = false;
    const TaskUpdate update =
        jobs_.planUpdate(steadyNow(), static_cast<uint64_t>(wallNow().count()));
    if (!update.hasChanges()) {
        pushOrders(update.workersToNotify);
        return;
    }
    tasksInFlight_ = true;
    schema::Command command;
    *command.mutable_tasks() = update.batch;
    replica_.propose(
        command, guarded([this, workers = update.workersToNotify](const auto &outcome) {
            tasksInFlight_ = false;
            if (outcome.code() == schema::ACCEPTED)
                pushOrders(workers);
        }));
}

// Sends new orders without waiting for the next poll. They do not extend a lease, so leadership
// does not have to be confirmed by a quorum.
void Leader::pushOrders(const std::set<WorkerId> &workers)
{
    std::map<uint64_t, schema::WorkerOrdersBatch> byStream;
    for (const WorkerId &id : workers) {
        const Worker *worker = jobs_.workers().find(id);
        if (worker == nullptr || worker->stream == nullptr)
            continue;
        schema::WorkerOrders orders = jobs_.workers().ordersFor(*worker, jobs_.stopping());
        orders.set_lease_ms(0);
        *byStream[worker->stream->id()].add_orders() = std::move(orders);
    }
    for (const auto &[stream, orders] : byStream)
        sendOrders(stream, orders);
}

void Leader::proposeExpiry()
{
    if (!state_.hasExpired(static_cast<uint64_t>(wallNow().count())))
        return;
    schema::Command command;
    command.mutable_expire();
    replica_.propose(command, [](const schema::CommandOutcome &) {});
}

} // namespace basilgap::control
