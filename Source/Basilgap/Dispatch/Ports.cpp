#include "Basilgap/Dispatch/Ports.h"

namespace basilgap::dispatch {

const char *toText(OrderResult result)
{
    switch (result) {
    case OrderResult::Accepted:
        return "accepted";
    case OrderResult::Fenced:
        return "fenced";
    case OrderResult::Outdated:
        return "outdated";
    case OrderResult::Late:
        return "late";
    case OrderResult::NoRoom:
        return "no-room";
    case OrderResult::NoTicket:
        return "no-ticket";
    case OrderResult::Invalid:
        return "invalid";
    case OrderResult::Unwilling:
        return "unwilling";
    case OrderResult::OtherWorker:
        return "other-worker";
    case OrderResult::Unanswered:
        return "unanswered";
    case OrderResult::NotSent:
        return "not-sent";
    }
    return "unknown";
}

} // namespace basilgap::dispatch
