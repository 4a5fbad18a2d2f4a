#pragma once

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "Basilgap/Common/Millis.h"
#include "Basilgap/State/WorkTable.h"

namespace basilgap::scheduling {

// Placement permits of one step.
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
    // Whether advice has granted the worker before; its ticket may have expired.
    bool wasGranted(state::WorkerNumber worker) const { return granted_.contains(worker); }
    const std::set<state::WorkerNumber> &granted() const { return granted_; }
    // Returns an unexpired ticket, or null.
    const std::string *validTicket(state::WorkerNumber worker, Millis now) const;
    // Some of them may have expired.
    const std::map<state::WorkerNumber, Ticket> &tickets() const { return tickets_; }

private:
    friend class PermitCache;

    bool requestPending_ = false;
    std::map<state::WorkerNumber, Ticket> tickets_;
    std::set<state::WorkerNumber> granted_;
    std::set<state::WorkerNumber> refused_;
};

// Caches placement advice: which workers may run a step, and the tickets for them. Load pattern:
// placements that need permits of an external advisor.
class PermitCache
{
public:
    struct GrantedTicket
    {
        state::WorkerNumber worker;
        std::string ticket;
    };

    void markRequested(const state::StepRef &step);
    // Records the reply to a request that named the workers. Workers that are not granted now never
    // will be.
    void recordReply(const state::StepRef &step, const std::vector<state::WorkerNumber> &requested,
        const std::vector<GrantedTicket> &granted, Millis expiresAt);
    void recordFailedRequest(const state::StepRef &step);
    // Expires a ticket that was rejected, so that a new one is requested.
    void invalidateTicket(const state::StepRef &step, state::WorkerNumber worker);

    // Returns empty permits for a step without advice.
    const StepPermits &permitsFor(const state::StepRef &step) const;

    // Removes the tickets that have expired. A step that waits for long collects them, and each
    // round of the planner reads all tickets of the waiting steps.
    void dropExpired(Millis now);

    // Removes steps that are done or whose work is no longer active.
    void dropInactive(const state::WorkTable &table);

private:
    std::unordered_map<state::StepRef, StepPermits> steps_;
};

} // namespace basilgap::scheduling
