#include "Basilgap/Dispatch/Ports.h"

namespace basilgap::dispatch {

uint64_t fencingTokenOf(uint64_t term, state::WorkerNumber incarnation)
{
    constexpr int IncarnationBits = 32;
    return term << IncarnationBits | incarnation.value();
}

const char *toText(OrderResult result)
{
    switch (result) {
    case OrderResult::Accepted:
        return "accepted";
    case OrderResult::Fenced:
        return "fenced";
    case OrderResult::StaleRun:
        return "outdated";
    case OrderResult::LeaseExpired:
        return "late";
    case OrderResult::NoCapacity:
        return "no-room";
    case OrderResult::NoTicket:
        return "no-ticket";
    case OrderResult::Invalid:
        return "invalid";
    case OrderResult::Unavailable:
        return "unwilling";
    case OrderResult::WrongWorker:
        return "other-worker";
    case OrderResult::Unanswered:
        return "unanswered";
    case OrderResult::NotSent:
        return "not-sent";
    case OrderResult::ConnectionRefused:
        return "connection-refused";
    case OrderResult::Dropped:
        return "dropped";
    }
    return "unknown";
}

} // namespace basilgap::dispatch
