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

std::string teamHolding(const TeamName &team)
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
    , ticker_(loop, [this] { tick(); })
    , pumper_(loop, [this] { pump(); })
{
    ticker_.startRepeating(TickInterval);
}

ServiceTime Dispatcher::serviceTimeOf(const Flow &flow) const
{
    const auto found = serviceTimes_.find(flow);
    return found == serviceTimes_.end() ? ServiceTime() : found->second;
}

// Until the leader has seen a team's requests, they are taken to arrive evenly at all entries.
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

// Time until a request that joins the flow now would start, if the team got its part of the slots
// held here; 0 while too little is known.
double Dispatcher::expectedWaitMs(const Flow &flow) const
{
    const double service = serviceTimeOf(flow).mean();
    const uint32_t held = backends_.heldOf(flow.pool);
    if (service <= 0 || held == 0)
        return 0;
    double weights = 0;
    double own = 0;
    std::vector<Flow> active = queue_.flows();
    for (const auto &[running, count] : runningByFlow_) {
        if (count > 0 && queue_.sizeOf(running) == 0)
            active.push_back(running);
    }
    if (std::find(active.begin(), active.end(), flow) == active.end())
        active.push_back(flow);
    for (const Flow &other : active) {
        if (other.pool != flow.pool)
            continue;
        const double weight = queueWeight(other.team);
        weights += weight;
        own += other == flow ? weight : 0;
    }
    const auto running = runningByFlow_.find(flow);
    const double runs = running == runningByFlow_.end() ? 0 : running->second;
    const double slots = std::max({ 1.0, runs, weights > 0 ? held * own / weights : held });
    const double ahead = static_cast<double>(queue_.sizeOf(flow));
    const bool startsNow = ahead == 0 && runs < slots;
    return startsNow ? 0 : (ahead + 1) * service / slots;
}

void Dispatcher::submit(RequestPointer request)
{
    request->id = RequestId(nextRequest_++);
    const Millis now = steadyNow();
    arrivals_[request->flow].add(now);
    const double wait = expectedWaitMs(request->flow);
    const double left = static_cast<double>((request->deadline - now).count());
    const bool full = queue_.size() >= options_.maxQueue;
    if (full || wait + serviceTimeOf(request->flow).likelyMost() > left) {
        counters_.refused++;
        const auto retryAfter = static_cast<int>(std::clamp(std::ceil(wait / 1000), 1.0, 60.0));
        auto response = network::errorResponse({ .status = 503,
            .error = full ? "the queue is full" : "the deadline can't be met",
            .outcome = "not-run",
            .step = "admit",
            .retryAfterSeconds = retryAfter });
        finish(std::move(request), std::move(response), "not-run");
        return;
    }
    counters_.accepted++;
    budgets_[request->caller.team].deposit();
    watchCaller(*request);
    enqueue(std::move(request), false);
    options_.onDemand();
    pump();
}

// A request that nobody waits for is not started. Under a claim somebody may ask for it later.
void Dispatcher::watchCaller(Request &request)
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

bool Dispatcher::hasTeamRoom(const TeamName &team) const
{
    const schema::TeamConfig *config = view_.findTeam(team);
    if (config == nullptr)
        return false;
    return config->limit().slots() >= settings::UnlimitedSlots
        || holdings_.freeOf(teamHolding(team)) > 0;
}

bool Dispatcher::mayStart(const Flow &flow, Millis now)
{
    return hasTeamRoom(flow.team) && backends_.hasFree(flow.pool, now);
}

double Dispatcher::costOf(const Flow &flow) const
{
    return 1 + serviceTimeOf(flow).mean();
}

void Dispatcher::pump()
{
    std::vector<RequestPointer> unplaced;
    while (queue_.size() > 0) {
        // Read for every dispatch: the process may have been frozen since the last one.
        const Millis now = steadyNow();
        if (!view_.isValid(now))
            break;
        const auto item = queue_.pop([&](const Flow &flow) { return mayStart(flow, now); },
            [&](const Flow &flow) { return costOf(flow); });
        if (!item)
            break;
        RequestPointer request = std::move(waitingRequests_[item->id]);
        waitingRequests_.erase(item->id);
        const Flow flow = request->flow;
        if (dispatch(&request, now))
            continue;
        queue_.refund(flow.team, costOf(flow));
        if (request)
            unplaced.push_back(std::move(request));
    }
    for (RequestPointer &request : unplaced)
        enqueue(std::move(request), true);
}

// Starts the request, or refuses it, or leaves it to the caller when no backend server is free for
// it; true when it was started.
bool Dispatcher::dispatch(RequestPointer *request, Millis now)
{
    const Request &waiting = **request;
    if (!view_.isKeyValid(waiting.caller)) {
        answerError(std::move(*request), 401, "the key was withdrawn", "dispatch");
        return false;
    }
    const double left = static_cast<double>((waiting.deadline - now).count());
    if (left <= 0 || left < serviceTimeOf(waiting.flow).likelyMost()) {
        counters_.expired++;
        answerExpired(std::move(*request), "the deadline can't be met any more", "dispatch");
        return false;
    }
    // Once all were tried, any may be tried again.
    if (backends_.wereAllTried(waiting.flow.pool, waiting.tried))
        (*request)->tried.clear();
    const auto backend = backends_.choose(waiting.flow.pool, waiting.tried, now);
    if (!backend)
        return false;
    start(std::move(*request), *backend);
    return true;
}

void Dispatcher::schedulePump()
{
    if (!pumper_.isPending())
        pumper_.startOnce(Millis(0));
}

void Dispatcher::update(const schema::RenewReply &reply)
{
    for (const auto &weight : reply.weights()) {
        const TeamName team(weight.team());
        leaderWeights_[team] = weight.weight();
        queue_.setWeight(team, queueWeight(team));
    }
    for (const TeamName &team : backends_.settleDoubts(&reply, steadyNow()))
        holdings_.release(teamHolding(team));
    schedulePump();
}

void Dispatcher::tick()
{
    const Millis now = steadyNow();
    for (const FairQueue::Item &item : queue_.takeExpired(now)) {
        RequestPointer request = std::move(waitingRequests_[item.id]);
        waitingRequests_.erase(item.id);
        counters_.expired++;
        answerExpired(std::move(request),
            view_.isValid(now) ? "the deadline passed while the request waited"
                               : "no current view of the configuration",
            "wait");
    }
    for (const TeamName &team : backends_.settleDoubts(nullptr, now))
        holdings_.release(teamHolding(team));
    pump();
}

// The slots that a flow's requests would fill if none was refused. The queue's length says little:
// it is bounded by the deadlines, so it follows the slots that are held and not the other way
// round.
uint32_t Dispatcher::wantedSlots(const Flow &flow, Millis now) const
{
    const auto queued = static_cast<uint32_t>(queue_.sizeOf(flow));
    const ServiceTime service = serviceTimeOf(flow);
    const auto arrivals = arrivals_.find(flow);
    if (!service.isKnown() || arrivals == arrivals_.end())
        return queued;
    const double offered = arrivals->second.at(now) * service.mean() / 1000;
    return std::max<uint32_t>(queued > 0 ? 1 : 0, static_cast<uint32_t>(std::lround(offered)));
}

std::vector<schema::TeamDemand> Dispatcher::demand() const
{
    const Millis now = steadyNow();
    std::set<Flow> flows;
    for (const Flow &flow : queue_.flows())
        flows.insert(flow);
    for (const auto &[flow, rate] : arrivals_)
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
        // The service times of late say nothing of requests that run longer: whoever waits beside
        // them needs a slot more than those hold.
        const uint32_t least = queue_.sizeOf(flow) > 0 ? 1 : 0;
        row.set_queued(std::max(wanted > running ? wanted - running : 0, least));
        demand.push_back(std::move(row));
    }
    return demand;
}

} // namespace basilgap::entry
