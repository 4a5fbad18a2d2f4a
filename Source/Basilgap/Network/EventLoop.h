#pragma once

#include <functional>
#include <memory>

#include <event2/event.h>

#include "Basilgap/Common/Millis.h"

namespace basilgap::network {

// Events of this priority run before all others that are due, which have the priority 1.
constexpr int UrgentPriority = 0;

struct EventDeleter
{
    void operator()(event *pointer) const { event_free(pointer); }
};

// The libevent loop of a process. All its components run in it, one callback at a time.
class EventLoop
{
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    // Runs until stop().
    void run();
    void stop();

    event_base *base() const { return base_; }

private:
    event_base *base_;
};

// Calls back after a delay, once or repeatedly. Destroying it cancels it.
class Timer
{
public:
    Timer(EventLoop &loop, std::function<void()> callback);
    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;

    void startOnce(Millis delay);
    void startRepeating(Millis interval);
    void cancel();
    bool isPending() const;

private:
    static void fire(evutil_socket_t, short, void *self);
    void start(Millis delay, bool isRepeating);

    EventLoop &loop_;
    // Shared with a call that is under way, since the callback may destroy the timer.
    std::shared_ptr<const std::function<void()>> callback_;
    // Kept between uses: an HTTP exchange starts two timers.
    std::unique_ptr<event, EventDeleter> event_;
    bool isRepeating_ = false;
};

// Calls back when the process receives a signal.
class SignalWatch
{
public:
    SignalWatch(EventLoop &loop, int signal, std::function<void()> callback);
    SignalWatch(const SignalWatch &) = delete;
    SignalWatch &operator=(const SignalWatch &) = delete;

private:
    static void fire(evutil_socket_t, short, void *self);

    std::function<void()> callback_;
    std::unique_ptr<event, EventDeleter> event_;
};

} // namespace basilgap::network
