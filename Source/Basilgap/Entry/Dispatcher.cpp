#include "Basilgap/Entry/Dispatcher.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "Basilgap/Common/EventLog.h"
#include "Basilgap/Network/Json.h"
#include "Basilgap/Scheduling/FairShare.h"
#include "Basilgap/Settings/CellFile.h"

namespace basilgap::entry {

namespace {

constexpr Millis TickInterval{ 20 };

} // namespace

std::string teamHoldingName(const TeamName &team)
{
    return "team/" + team.value();
}

Dispatcher::Dispatcher(network::EventLoop &loop, Options options, ViewStore &view,
    HoldingTable &holdings, BackendTable &backends)
    : loop_(loop)
    , options_(std::move(options))
    , view_(view)
    , holdings_(holdings)
    , backends_(backends)
    , connections_(loop)
    , tickTimer_(loop, [this] { tick(); })
    , dispatchTimer_(loop, [this] { dispatchQueued(); })
{
    tickTimer_.startRepeating(TickInterval);
}

ServiceTime Dispatcher::serviceTimeOf(const Flow &flow) const
{
    const auto found = serviceTimes_.find(flow);
    return found == serviceTimes_.end() ? ServiceTime() : found->second;
}

// Until the leader has seen requests of a team, the team's share is split evenly among all entries.
double Dispatcher::queueWeight(const TeamName &team) const
{
    const auto found = leaderWeights_.find(team);
    if (found != leaderWeights_.end() && found->second > 0)
        return found->second;
    const schema::TeamConfig *config = view_.findTeam(team);
    const double share = config == nullptr ? 1 : config->share();
    const auto entries = static_cast<double>(std::max<size_t>(1, view_.entries().size()));
    return share * scheduling::WeightPerShare / entries;
}

uint32_t Dispatcher::weightOf(const TeamName &team) const
{
    return static_cast<uint32_t>(std::lround(queueWeight(team)));
}

// Estimated time until a request that joins the flow now starts, if the team gets its fair share of
// the slots held by this entry; 0 as long as no service time or slot is known.
double Dispatcher::expectedWaitMs(const Flow &flow) const
{
    const double serviceMs = serviceTimeOf(flow).meanMs();
    const uint32_t heldSlots = backends_.heldSlots(flow.pool);
    if (serviceMs <= 0 || heldSlots == 0)
        return 0;
    double totalWeight = 0;
    double flowWeight = 0;
    std::vector<Flow> activeFlows = queue_.flows();
    for (const auto &[running, count] : runningByFlow_) {
        if (count > 0 && queue_.sizeOf(running) == 0)
            activeFlows.push_back(running);
    }
    if (std::find(activeFlows.begin(), activeFlows.end(), flow) == activeFlows.end())
        activeFlows.push_back(flow);
    for (const Flow &other : activeFlows) {
        if (other.pool != flow.pool)
            continue;
        const double weight = queueWeight(other.team);
        totalWeight += weight;
        flowWeight += other == flow ? weight : 0;
    }
    const auto running = runningByFlow_.find(flow);
    const double runningCount = running == runningByFlow_.end() ? 0 : running->second;
    const double fairSlots = std::max(
        { 1.0, runningCount, totalWeight > 0 ? heldSlots * flowWeight / totalWeight : heldSlots });
    const double queuedCount = static_cast<double>(queue_.sizeOf(flow));
    const bool startsNow = queuedCount == 0 && runningCount < fairSlots;
    return startsNow ? 0 : (queuedCount + 1) * serviceMs / fairSlots;
}

void Dispatcher::submit(RequestPointer request)
{
    request->id = RequestId(nextRequestId_++);
    const Millis now = steadyNow();
    arrivalRates_[request->flow].add(now);
    const double waitMs = expectedWaitMs(request->flow);
    const double remainingMs = static_cast<double>((request->deadline - now).count());
    const bool full = queue_.size() >= options_.maxQueue;
    if (full || waitMs + serviceTimeOf(request->flow).upperEstimateMs() > remainingMs) {
        counters_.refused++;
        const auto retryAfter = static_cast<int>(std::clamp(std::ceil(waitMs / 1000), 1.0, 60.0));
        auto response = network::errorResponse({ .status = 503,
            .error = full ? "the queue is full" : "the deadline can't be met",
            .outcome = "not-run",
            .step = "admit",
            .retryAfterSeconds = retryAfter });
        finish(std::move(request), std::move(response), "not-run");
        return;
    }
    counters_.accepted++;
    retryBudgets_[request->caller.team].deposit();
    cancelWhenCallerGone(*request);
    enqueue(std::move(request), false);
    options_.onDemandChanged();
    dispatchQueued();
}

// Drops a queued request when its caller disconnects. A request with a claim stays, because a
// resend may still ask for its answer.
void Dispatcher::cancelWhenCallerGone(Request &request)
{
    if (request.claim || !request.responder)
        return;
    request.responder->onCallerGone([this, id = request.id, flow = request.flow] {
        if (queue_.remove(flow, id))
            waitingRequests_.erase(id);
    });
}

void Dispatcher::enqueue(RequestPointer request, bool front)
{
    const FairQueue::Item item{ request->id, request->deadline };
    const double weight = queueWeight(request->flow.team);
    if (front)
        queue_.pushFront(request->flow, item, weight);
    else
        queue_.push(request->flow, item, weight);
    waitingRequests_[request->id] = std::move(request);
}

bool Dispatcher::hasTeamCapacity(const TeamName &team) const
{
    const schema::TeamConfig *config = view_.findTeam(team);
    if (config == nullptr)
        return false;
    return config->limit().slots() >= settings::UnlimitedSlots
        || holdings_.freeUnits(teamHoldingName(team)) > 0;
}

bool Dispatcher::mayStart(const Flow &flow, Millis now)
{
    return hasTeamCapacity(flow.team) && backends_.hasFreeSlot(flow.pool, now);
}

double Dispatcher::costOf(const Flow &flow) const
{
    return 1 + serviceTimeOf(flow).meanMs();
}

void Dispatcher::dispatchQueued()
{
    std::vector<RequestPointer> unplaced;
    while (queue_.size() > 0) {
        // The clock is read for every dispatch: the process may have been suspended since the last
        // one.
        const Millis now = steadyNow();
        if (!view_.isLeaseValid(now))
            break;
        const auto item = queue_.pop([&](const Flow &flow) { return mayStart(flow, now); },
            [&](const Flow &flow) { return costOf(flow); });
        if (!item)
            break;
        RequestPointer request = std::move(waitingRequests_[item->id]);
        waitingRequests_.erase(item->id);
        const Flow flow = request->flow;
        if (startOrRefuse(&request, now))
            continue;
        queue_.refund(flow.team, costOf(flow));
        if (request)
            unplaced.push_back(std::move(request));
    }
    for (RequestPointer &request : unplaced)
        enqueue(std::move(request), true);
}

// Starts the request and returns true, or answers it with an error, or leaves it in *request if no
// backend server has a free slot for it.
bool Dispatcher::startOrRefuse(RequestPointer *request, Millis now)
{
    const Request &waiting = **request;
    if (!view_.isKeyValid(waiting.caller)) {
        answerError(std::move(*request), 401, "the key was withdrawn", "dispatch");
        return false;
    }
    const double remainingMs = static_cast<double>((waiting.deadline - now).count());
    if (remainingMs <= 0 || remainingMs < serviceTimeOf(waiting.flow).upperEstimateMs()) {
        counters_.expired++;
        answerExpired(std::move(*request), "the deadline can't be met any more", "dispatch");
        return false;
    }
    // Once all backend servers have been tried, each may be tried again.
    if (backends_.wereAllTried(waiting.flow.pool, waiting.triedBackends))
        (*request)->triedBackends.clear();
    const auto backend = backends_.choose(waiting.flow.pool, waiting.triedBackends, now);
    if (!backend)
        return false;
    startExchange(std::move(*request), *backend);
    return true;
}

void Dispatcher::scheduleDispatch()
{
    if (!dispatchTimer_.isPending())
        dispatchTimer_.startOnce(Millis(0));
}

void Dispatcher::update(const schema::RenewReply &reply)
{
    for (const auto &weight : reply.weights()) {
        const TeamName team(weight.team());
        leaderWeights_[team] = weight.weight();
        queue_.setWeight(team, queueWeight(team));
    }
    for (const TeamName &team : backends_.releaseAbandoned(&reply, steadyNow()))
        holdings_.release(teamHoldingName(team));
    scheduleDispatch();
}

void Dispatcher::tick()
{
    const Millis now = steadyNow();
    for (const FairQueue::Item &item : queue_.takeExpired(now)) {
        RequestPointer request = std::move(waitingRequests_[item.id]);
        waitingRequests_.erase(item.id);
        counters_.expired++;
        answerExpired(std::move(request),
            view_.isLeaseValid(now) ? "the deadline passed while the request waited"
                                    : "no current view of the configuration",
            "wait");
    }
    for (const TeamName &team : backends_.releaseAbandoned(nullptr, now))
        holdings_.release(teamHoldingName(team));
    dispatchQueued();
}

// The number of slots that the flow's requests would occupy if none was refused. Computed from the
// arrival rate and not from the queue length: deadlines bound the queue, so its length depends on
// the slots that are held.
uint32_t Dispatcher::wantedSlots(const Flow &flow, Millis now) const
{
    const auto queued = static_cast<uint32_t>(queue_.sizeOf(flow));
    const ServiceTime serviceTime = serviceTimeOf(flow);
    const auto arrivalRate = arrivalRates_.find(flow);
    if (!serviceTime.hasSamples() || arrivalRate == arrivalRates_.end())
        return queued;
    const double offeredSlots = arrivalRate->second.perSecondAt(now) * serviceTime.meanMs() / 1000;
    return std::max<uint32_t>(queued > 0 ? 1 : 0, static_cast<uint32_t>(std::lround(offeredSlots)));
}

std::vector<schema::TeamDemand> Dispatcher::demand() const
{
    const Millis now = steadyNow();
    std::set<Flow> flows;
    for (const Flow &flow : queue_.flows())
        flows.insert(flow);
    for (const auto &[flow, rate] : arrivalRates_)
        flows.insert(flow);
    std::vector<schema::TeamDemand> demand;
    for (const Flow &flow : flows) {
        const auto found = runningByFlow_.find(flow);
        const uint32_t running = found == runningByFlow_.end() ? 0 : found->second;
        const uint32_t wanted = wantedSlots(flow, now);
        if (running == 0 && wanted == 0)
            continue;
        schema::TeamDemand row;
        row.set_team(flow.team.value());
        row.set_pool(flow.pool.value());
        row.set_running(running);
        // Recent service times do not cover requests that run longer than usual: a request that
        // waits behind them needs one more slot than those occupy.
        const uint32_t minQueued = queue_.sizeOf(flow) > 0 ? 1 : 0;
        row.set_queued(std::max(wanted > running ? wanted - running : 0, minQueued));
        demand.push_back(std::move(row));
    }
    return demand;
}

} // namespace basilgap::entry
