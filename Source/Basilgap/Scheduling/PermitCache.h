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
        Millis expiresAt;
    };

    bool isRequestPending() const { return requestPending_; }
    bool isRefused(state::WorkerNumber worker) const { return refused_.contains(worker); }
    // Granted once; its ticket may have run out.
    bool wasGranted(state::WorkerNumber worker) const { return tickets_.contains(worker); }
    // A valid ticket, or null.
    const std::string *validTicket(state::WorkerNumber worker, Millis now) const;
    const std::map<state::WorkerNumber, Ticket> &tickets() const { return tickets_; }

private:
    friend class PermitCache;

    bool requestPending_ = false;
    std::map<state::WorkerNumber, Ticket> tickets_;
    std::set<state::WorkerNumber> refused_;
};

// What placement advice has said about steps: which workers may run them, and with which tickets.
class PermitCache
{
public:
    struct GrantedTicket
    {
        state::WorkerNumber worker;
        std::string ticket;
    };

    void markRequested(const state::StepRef &step);
    // The answer to a call that named the workers: those not granted never will be.
    void recordReply(const state::StepRef &step, const std::vector<state::WorkerNumber> &asked,
        const std::vector<GrantedTicket> &granted, Millis expiresAt);
    void recordFailedRequest(const state::StepRef &step);
    // The ticket was refused: it has to be asked for again.
    void invalidateTicket(const state::StepRef &step, state::WorkerNumber worker);

    // Empty for a step that nothing is known of.
    const StepPermits &permitsFor(const state::StepRef &step) const;

    // Forgets steps of works that are not active any more.
    void dropInactive(const state::WorkTable &table);

private:
    std::map<state::StepRef, StepPermits> steps_;
};

} // namespace basilgap::scheduling
