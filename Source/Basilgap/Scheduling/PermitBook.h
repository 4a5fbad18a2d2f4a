#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "Basilgap/Common/Millis.h"
#include "Basilgap/State/WorkTable.h"

namespace basilgap::scheduling {

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

    // A valid ticket, or null.
    const std::string *ticket(
        const state::StepRef &step, state::WorkerNumber worker, Millis now) const;
    // Workers with a valid ticket for the step.
    std::vector<state::WorkerNumber> ticketHolders(const state::StepRef &step, Millis now) const;
    bool isRefused(const state::StepRef &step, state::WorkerNumber worker) const;
    bool isKnownEligible(const state::StepRef &step, state::WorkerNumber worker) const;
    bool isAsking(const state::StepRef &step) const;

    // Forgets steps of works that are not active any more.
    void retain(const state::WorkTable &table);

private:
    struct Ticket
    {
        std::string text;
        Millis expires;
    };

    struct Known
    {
        bool asking = false;
        std::map<state::WorkerNumber, Ticket> eligible;
        std::set<state::WorkerNumber> refused;
    };

    std::map<state::StepRef, Known> steps_;
};

} // namespace basilgap::scheduling
