#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "Basilgap/Common/Millis.h"
#include "Basilgap/State/WorkTable.h"

namespace basilgap::scheduling {

// What placement advice has said about one step.
class StepPermits
{
public:
    struct Ticket
    {
        std::string text;
        Millis expires;
    };

    bool isAsking() const { return asking_; }
    bool isRefused(state::WorkerNumber worker) const { return refused_.contains(worker); }
    // Granted once; its ticket may have run out.
    bool isKnownEligible(state::WorkerNumber worker) const { return eligible_.contains(worker); }
    // A valid ticket, or null.
    const std::string *ticket(state::WorkerNumber worker, Millis now) const;
    const std::map<state::WorkerNumber, Ticket> &eligible() const { return eligible_; }

private:
    friend class PermitBook;

    bool asking_ = false;
    std::map<state::WorkerNumber, Ticket> eligible_;
    std::set<state::WorkerNumber> refused_;
};

// What placement advice has said about steps: which workers may run them, and with which tickets.
class PermitBook
{
public:
    struct Granted
    {
        state::WorkerNumber worker;
        std::string ticket;
    };

    void noteAsked(const state::StepRef &step);
    // The answer to a call that named the workers: those not granted never will be.
    void noteAnswer(const state::StepRef &step, const std::vector<state::WorkerNumber> &asked,
        const std::vector<Granted> &granted, Millis expires);
    void noteFailure(const state::StepRef &step);
    // The ticket was refused: it has to be asked for again.
    void dropTicket(const state::StepRef &step, state::WorkerNumber worker);

    // Empty for a step that nothing is known of.
    const StepPermits &of(const state::StepRef &step) const;

    // Forgets steps of works that are not active any more.
    void retain(const state::WorkTable &table);

private:
    std::map<state::StepRef, StepPermits> steps_;
};

} // namespace basilgap::scheduling
