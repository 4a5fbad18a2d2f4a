#include "Basilgap/Scheduling/PermitBook.h"

namespace basilgap::scheduling {

const std::string *StepPermits::ticket(state::WorkerNumber worker, Millis now) const
{
    const auto ticket = eligible_.find(worker);
    if (ticket == eligible_.end() || ticket->second.expires <= now)
        return nullptr;
    return &ticket->second.text;
}

void PermitBook::noteAsked(const state::StepRef &step)
{
    steps_[step].asking_ = true;
}

void PermitBook::noteAnswer(const state::StepRef &step,
    const std::vector<state::WorkerNumber> &asked, const std::vector<Granted> &granted,
    Millis expires)
{
    StepPermits &known = steps_[step];
    known.asking_ = false;
    known.refused_.insert(asked.begin(), asked.end());
    for (const Granted &grant : granted) {
        known.refused_.erase(grant.worker);
        known.eligible_[grant.worker] = { grant.ticket, expires };
    }
}

void PermitBook::noteFailure(const state::StepRef &step)
{
    steps_[step].asking_ = false;
}

void PermitBook::dropTicket(const state::StepRef &step, state::WorkerNumber worker)
{
    const auto found = steps_.find(step);
    if (found == steps_.end())
        return;
    const auto ticket = found->second.eligible_.find(worker);
    if (ticket != found->second.eligible_.end())
        ticket->second.expires = Millis();
}

const StepPermits &PermitBook::of(const state::StepRef &step) const
{
    static const StepPermits none;
    const auto found = steps_.find(step);
    return found == steps_.end() ? none : found->second;
}

void PermitBook::retain(const state::WorkTable &table)
{
    std::erase_if(steps_, [&table](const auto &entry) {
        const state::Work *work = table.find(entry.first.work);
        return work == nullptr || !work->isActive() || work->stepAt(entry.first).isDone();
    });
}

} // namespace basilgap::scheduling
