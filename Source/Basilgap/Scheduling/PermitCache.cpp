#include "Basilgap/Scheduling/PermitCache.h"

namespace basilgap::scheduling {

const std::string *StepPermits::validTicket(state::WorkerNumber worker, Millis now) const
{
    const auto ticket = tickets_.find(worker);
    if (ticket == tickets_.end() || ticket->second.expiresAt <= now)
        return nullptr;
    return &ticket->second.text;
}

void PermitCache::markRequested(const state::StepRef &step)
{
    steps_[step].requestPending_ = true;
}

void PermitCache::recordReply(const state::StepRef &step,
    const std::vector<state::WorkerNumber> &requested, const std::vector<GrantedTicket> &granted,
    Millis expiresAt)
{
    StepPermits &known = steps_[step];
    known.requestPending_ = false;
    known.refused_.insert(requested.begin(), requested.end());
    for (const GrantedTicket &grant : granted) {
        known.refused_.erase(grant.worker);
        known.granted_.insert(grant.worker);
        known.tickets_[grant.worker] = { grant.ticket, expiresAt };
    }
}

void PermitCache::recordFailedRequest(const state::StepRef &step)
{
    steps_[step].requestPending_ = false;
}

void PermitCache::invalidateTicket(const state::StepRef &step, state::WorkerNumber worker)
{
    const auto found = steps_.find(step);
    if (found == steps_.end())
        return;
    const auto ticket = found->second.tickets_.find(worker);
    if (ticket != found->second.tickets_.end())
        ticket->second.expiresAt = Millis();
}

const StepPermits &PermitCache::permitsFor(const state::StepRef &step) const
{
    static const StepPermits none;
    const auto found = steps_.find(step);
    return found == steps_.end() ? none : found->second;
}

void PermitCache::dropExpired(Millis now)
{
    for (auto &[step, permits] : steps_) {
        std::erase_if(
            permits.tickets_, [now](const auto &ticket) { return ticket.second.expiresAt <= now; });
    }
}

void PermitCache::dropInactive(const state::WorkTable &table)
{
    std::erase_if(steps_, [&table](const auto &entry) {
        const state::Work *work = table.find(entry.first.work);
        return work == nullptr || !work->isActive() || work->stepAt(entry.first).isDone();
    });
}

} // namespace basilgap::scheduling
