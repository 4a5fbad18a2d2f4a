#include "Basilgap/Dispatch/OrderCodec.h"

#include <utility>

namespace basilgap::dispatch {

namespace {

void writeTask(const TaskName &task, schema::RelayedTask *message)
{
    message->set_work(task.work);
    message->set_occurrence(task.occurrence);
    message->set_step(task.step);
    message->set_index(task.index);
}

TaskName readTask(const schema::RelayedTask &message)
{
    return { message.work(), message.occurrence(), message.step(), message.index() };
}

TaskName takeTask(schema::RelayedTask *message)
{
    return { std::move(*message->mutable_work()), message->occurrence(), message->step(),
        message->index() };
}

schema::RelayedResult toMessage(OrderResult result)
{
    switch (result) {
    case OrderResult::Accepted:
        return schema::RELAYED_ACCEPTED;
    case OrderResult::Fenced:
        return schema::RELAYED_FENCED;
    case OrderResult::StaleRun:
        return schema::RELAYED_STALE_RUN;
    case OrderResult::LeaseExpired:
        return schema::RELAYED_LEASE_EXPIRED;
    case OrderResult::NoCapacity:
        return schema::RELAYED_NO_CAPACITY;
    case OrderResult::NoTicket:
        return schema::RELAYED_NO_TICKET;
    case OrderResult::Invalid:
        return schema::RELAYED_INVALID;
    case OrderResult::Unavailable:
        return schema::RELAYED_UNAVAILABLE;
    case OrderResult::WrongWorker:
        return schema::RELAYED_WRONG_WORKER;
    case OrderResult::Unanswered:
        return schema::RELAYED_UNANSWERED;
    case OrderResult::NotSent:
    case OrderResult::Dropped:
        return schema::RELAYED_NOT_SENT;
    case OrderResult::ConnectionRefused:
        return schema::RELAYED_CONNECTION_REFUSED;
    }
    return schema::RELAYED_UNANSWERED;
}

// A result of a later version counts as unanswered, the one case that assumes nothing.
OrderResult readResult(schema::RelayedResult result)
{
    switch (result) {
    case schema::RELAYED_ACCEPTED:
        return OrderResult::Accepted;
    case schema::RELAYED_FENCED:
        return OrderResult::Fenced;
    case schema::RELAYED_STALE_RUN:
        return OrderResult::StaleRun;
    case schema::RELAYED_LEASE_EXPIRED:
        return OrderResult::LeaseExpired;
    case schema::RELAYED_NO_CAPACITY:
        return OrderResult::NoCapacity;
    case schema::RELAYED_NO_TICKET:
        return OrderResult::NoTicket;
    case schema::RELAYED_INVALID:
        return OrderResult::Invalid;
    case schema::RELAYED_UNAVAILABLE:
        return OrderResult::Unavailable;
    case schema::RELAYED_WRONG_WORKER:
        return OrderResult::WrongWorker;
    case schema::RELAYED_NOT_SENT:
        return OrderResult::NotSent;
    case schema::RELAYED_CONNECTION_REFUSED:
        return OrderResult::ConnectionRefused;
    default:
        return OrderResult::Unanswered;
    }
}

std::optional<Millis> readClock(const schema::RelayedAnswer &message)
{
    if (!message.has_worker_clock_ms())
        return std::nullopt;
    return Millis(message.worker_clock_ms());
}

} // namespace

void write(const StartOrder &order, schema::OrderCall *call)
{
    schema::StartCall *start = call->mutable_start();
    writeTask(order.task, start->mutable_task());
    start->set_run(order.run);
    start->set_payload(order.payload);
    start->set_lease_end_ms(order.leaseEnd.count());
    start->set_fencing_token(order.fencingToken);
    start->set_checkpoint(order.checkpoint);
    start->set_ticket(order.ticket);
}

void write(const StopOrder &order, schema::OrderCall *call)
{
    schema::StopCall *stop = call->mutable_stop();
    writeTask(order.task, stop->mutable_task());
    stop->set_run(order.run);
    stop->set_fencing_token(order.fencingToken);
}

void write(const ThrottleOrder &order, schema::OrderCall *call)
{
    schema::ThrottleCall *throttle = call->mutable_throttle();
    writeTask(order.task, throttle->mutable_task());
    throttle->set_run(order.run);
    throttle->set_fencing_token(order.fencingToken);
    throttle->set_speed_percent(order.speedPercent);
}

void write(const PollRequest &order, schema::OrderCall *call)
{
    schema::PollCall *poll = call->mutable_poll();
    poll->set_fencing_token(order.fencingToken);
    poll->set_acked_end_sequence(order.ackedEndSequence);
    if (order.leaseEnd)
        poll->set_lease_end_ms(order.leaseEnd->count());
    poll->set_wait_ms(static_cast<uint32_t>(order.wait.count()));
}

StartOrder readStart(const schema::StartCall &call)
{
    return { .task = readTask(call.task()),
        .run = call.run(),
        .payload = call.payload(),
        .leaseEnd = Millis(call.lease_end_ms()),
        .fencingToken = call.fencing_token(),
        .checkpoint = call.checkpoint(),
        .ticket = call.ticket(),
        .isStillWanted = {} };
}

StopOrder readStop(const schema::StopCall &call)
{
    return { readTask(call.task()), call.run(), call.fencing_token() };
}

ThrottleOrder readThrottle(const schema::ThrottleCall &call)
{
    return { readTask(call.task()), call.run(), call.fencing_token(), call.speed_percent() };
}

PollRequest readPoll(const schema::PollCall &call)
{
    PollRequest order{ .fencingToken = call.fencing_token(),
        .ackedEndSequence = call.acked_end_sequence(),
        .leaseEnd = std::nullopt,
        .wait = Millis(call.wait_ms()),
        .isStillWanted = {} };
    if (call.has_lease_end_ms())
        order.leaseEnd = Millis(call.lease_end_ms());
    return order;
}

void write(const OrderAnswer &answer, schema::RelayedAnswer *message)
{
    message->set_result(toMessage(answer.result));
    if (answer.workerClock)
        message->set_worker_clock_ms(answer.workerClock->count());
}

void write(PollAnswer answer, schema::RelayedAnswer *message)
{
    write(OrderAnswer{ answer.result, answer.workerClock }, message);
    schema::PollReport *report = message->mutable_report();
    if (answer.incarnationStartMs)
        report->set_incarnation_start_ms(*answer.incarnationStartMs);
    report->set_may_have_more_ends(answer.mayHaveMoreEnds);
    for (RunningReport &run : answer.running) {
        schema::RunningRow *row = report->add_running();
        writeTask(run.task, row->mutable_task());
        row->set_run(run.run);
        row->set_checkpoint(std::move(run.checkpoint));
        row->set_progress_percent(run.progressPercent);
        row->set_latency_ms_or_millicores(run.latencyMsOrMillicores);
    }
    for (EndReport &end : answer.ended) {
        schema::EndedRow *row = report->add_ended();
        row->set_sequence(end.sequence);
        writeTask(end.task, row->mutable_task());
        row->set_run(end.run);
        row->set_outcome(end.outcome);
        row->set_checkpoint(std::move(end.checkpoint));
    }
}

OrderAnswer readOrderAnswer(const schema::RelayedAnswer &message)
{
    return { readResult(message.result()), readClock(message) };
}

PollAnswer takePollAnswer(schema::RelayedAnswer *message)
{
    PollAnswer answer;
    answer.result = readResult(message->result());
    answer.workerClock = readClock(*message);
    schema::PollReport *report = message->mutable_report();
    if (report->has_incarnation_start_ms())
        answer.incarnationStartMs = report->incarnation_start_ms();
    answer.mayHaveMoreEnds = report->may_have_more_ends();
    answer.running.reserve(static_cast<size_t>(report->running_size()));
    for (schema::RunningRow &row : *report->mutable_running())
        answer.running.push_back({ .task = takeTask(row.mutable_task()),
            .run = row.run(),
            .checkpoint = std::move(*row.mutable_checkpoint()),
            .progressPercent = row.progress_percent(),
            .latencyMsOrMillicores = row.latency_ms_or_millicores() });
    answer.ended.reserve(static_cast<size_t>(report->ended_size()));
    for (schema::EndedRow &row : *report->mutable_ended())
        answer.ended.push_back({ .sequence = row.sequence(),
            .task = takeTask(row.mutable_task()),
            .run = row.run(),
            .outcome = row.outcome(),
            .checkpoint = std::move(*row.mutable_checkpoint()) });
    return answer;
}

} // namespace basilgap::dispatch
