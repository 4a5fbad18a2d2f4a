#pragma once

#include <vector>

#include "Basilgap/Dispatch/Ports.h"

namespace basilgap::dispatch {

// Records every call, so that a test can answer it later with any result.
class FakeWorkerPort : public WorkerPort
{
public:
    struct Start
    {
        StartOrder order;
        std::function<void(OrderAnswer)> done;
    };
    struct Stop
    {
        StopOrder order;
        std::function<void(OrderAnswer)> done;
    };
    struct Poll
    {
        PollRequest order;
        std::function<void(PollAnswer)> done;
    };

    void start(const WorkerEndpoint &, const StartOrder &order, Millis,
        std::function<void(OrderAnswer)> done) override
    {
        starts.push_back({ order, std::move(done) });
    }
    void stop(const WorkerEndpoint &, const StopOrder &order, Millis,
        std::function<void(OrderAnswer)> done) override
    {
        stops.push_back({ order, std::move(done) });
    }
    void throttle(const WorkerEndpoint &, const ThrottleOrder &order, Millis,
        std::function<void(OrderAnswer)> done) override
    {
        throttles.push_back(order);
        done({ OrderResult::Accepted, std::nullopt });
    }
    void poll(const WorkerEndpoint &, const PollRequest &order, Millis,
        std::function<void(PollAnswer)> done) override
    {
        polls.push_back({ order, std::move(done) });
    }
    void closeIdleConnections(const WorkerEndpoint &) override {}

    std::vector<Start> starts;
    std::vector<Stop> stops;
    std::vector<ThrottleOrder> throttles;
    std::vector<Poll> polls;
};

} // namespace basilgap::dispatch
