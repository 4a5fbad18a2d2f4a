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

// Runs work that blocks, as writes to a disk do, on a thread of its own, one piece after the other,
// and calls back from the event loop. The destructor waits for the piece under way; the others are
// dropped, and nothing is called back any more.
class SerialWorker
{
public:
    explicit SerialWorker(EventLoop &loop);
    ~SerialWorker();
    SerialWorker(const SerialWorker &) = delete;
    SerialWorker &operator=(const SerialWorker &) = delete;

    void run(std::function<void()> work, std::function<void()> done);

private:
    struct Job
    {
        std::function<void()> work;
        std::function<void()> done;
    };

    void work();
    void deliver();
    static void onWake(evutil_socket_t, short, void *self);

    // The thread writes a byte to the second end when a piece is done.
    int wake_[2] = { -1, -1 };
    std::unique_ptr<event, EventDeleter> event_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<Job> waiting_;
    std::deque<Job> finished_;
    bool ending_ = false;
    std::thread thread_;
};

} // namespace basilgap::network
