#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

#include <event2/event.h>

#include "Basilgap/Network/EventLoop.h"

namespace basilgap::network {

// Runs blocking work, such as disk writes, on its own thread, one item at a time and in order, and
// calls back from the event loop. The destructor waits for the running item, drops the others, and
// no callback is made after it.
class BackgroundThread
{
public:
    explicit BackgroundThread(EventLoop &loop);
    ~BackgroundThread();
    BackgroundThread(const BackgroundThread &) = delete;
    BackgroundThread &operator=(const BackgroundThread &) = delete;

    void run(std::function<void()> work, std::function<void()> done);

private:
    struct WorkItem
    {
        std::function<void()> work;
        std::function<void()> done;
    };

    void runItems();
    void deliver();
    static void onWake(evutil_socket_t, short, void *self);

    // The thread writes a byte to the second end when an item is done.
    int wakePipe_[2] = { -1, -1 };
    std::unique_ptr<event, EventDeleter> wakeEvent_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<WorkItem> pendingItems_;
    std::deque<WorkItem> finishedItems_;
    bool isStopping_ = false;
    std::thread thread_;
};

} // namespace basilgap::network
