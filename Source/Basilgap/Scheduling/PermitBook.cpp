#include "Basilgap/Scheduling/PermitBook.h"

namespace basilgap::scheduling {

void PermitBook::noteAsked(const state::StepRef &step)
{
    steps_[step].asking = true;
}

void PermitBook::noteAnswer(const state::StepRef &step,
    const std::vector<state::WorkerNumber> &asked, const std::vector<Granted> &granted,
    Millis expires)
{
    Known &known = steps_[step];
    known.asking = false;
    for (const state::WorkerNumber worker : asked)
        known.refused.insert(worker);
    for (const Granted &grant : granted) {
        known.refused.erase(grant.worker);
        known.eligible[grant.worker] = { grant.ticket, expires };
    }
}

void PermitBook::noteFailure(const state::StepRef &step)
{
    steps_[step].asking = false;
}

void PermitBook::dropTicket(const state::StepRef &step, state::WorkerNumber worker)
{
    const auto found = steps_.find(step);
    if (found == steps_.end())
        return;
    const auto ticket = found->second.eligible.find(worker);
    if (ticket != found->second.eligible.end())
        ticket->second.expires = Millis();
}

const std::string *PermitBook::ticket(
    const state::StepRef &step, state::WorkerNumber worker, Millis now) const
{
    const auto found = steps_.find(step);
    if (found == steps_.end())
        return nullptr;
    const auto ticket = found->second.eligible.find(worker);
    if (ticket == found->second.eligible.end() || ticket->second.expires <= now)
        return nullptr;
    return &ticket->second.text;
}

std::vector<state::WorkerNumber> PermitBook::ticketHolders(
    const state::StepRef &step, Millis now) const
{
    std::vector<state::WorkerNumber> holders;
    const auto found = steps_.find(step);
    if (found == steps_.end())
        return holders;
    for (const auto &[worker, ticket] : found->second.eligible) {
        if (ticket.expires > now)
            holders.push_back(worker);
    }
    return holders;
}

bool PermitBook::isRefused(const state::StepRef &step, state::WorkerNumber worker) const
{
    const auto found = steps_.find(step);
    return found != steps_.end() && found->second.refused.contains(worker);
}

bool PermitBook::isKnownEligible(const state::StepRef &step, state::WorkerNumber worker) const
{
    const auto found = steps_.find(step);
    return found != steps_.end() && found->second.eligible.contains(worker);
}

bool PermitBook::isAsking(const state::StepRef &step) const
{
    const auto found = steps_.find(step);
    return found != steps_.end() && found->second.asking;
}

void PermitBook::retain(const state::WorkTable &table)
{
    std::erase_if(steps_, [&table](const auto &entry) {
        const state::Work *work = table.find(entry.first.work);
        return work == nullptr || !work->isActive() || work->at(entry.first).isDone();
    });
}

} // namespace basilgap::scheduling
