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
        WorkerEndpoint worker;
    };
    struct Stop
    {
        StopOrder order;
        std::function<void(OrderAnswer)> done;
        WorkerEndpoint worker;
    };
    struct Poll
    {
        PollRequest order;
        std::function<void(PollAnswer)> done;
        WorkerEndpoint worker;
    };

    void start(const WorkerEndpoint &worker, const StartOrder &order, Millis,
        std::function<void(OrderAnswer)> done) override
    {
        starts.push_back({ order, std::move(done), worker });
    }
    void stop(const WorkerEndpoint &worker, const StopOrder &order, Millis,
        std::function<void(OrderAnswer)> done) override
    {
        stops.push_back({ order, std::move(done), worker });
    }
    void throttle(const WorkerEndpoint &, const ThrottleOrder &order, Millis,
        std::function<void(OrderAnswer)> done) override
    {
        throttles.push_back(order);
        done({ OrderResult::Accepted, std::nullopt });
    }
    void poll(const WorkerEndpoint &worker, const PollRequest &order, Millis,
        std::function<void(PollAnswer)> done) override
    {
        polls.push_back({ order, std::move(done), worker });
    }
    void closeIdleConnections(const WorkerEndpoint &worker) override
    {
        goneWorkers.push_back(worker);
    }

    std::vector<Start> starts;
    std::vector<Stop> stops;
    std::vector<ThrottleOrder> throttles;
    std::vector<Poll> polls;
    std::vector<WorkerEndpoint> goneWorkers;
};

} // namespace basilgap::dispatch
