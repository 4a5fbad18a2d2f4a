#include "Basilgap/Network/EventLoop.h"

#include <csignal>

namespace basilgap::network {

namespace {

// Uses the epoll changelist, which passes changes of the watched events to the kernel once per loop
// iteration instead of one call each: an HTTP exchange alternates between writing and reading.
event_base *newBase()
{
    event_config *config = event_config_new();
    event_config_set_flag(config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
    event_base *base = event_base_new_with_config(config);
    // Other events have the priority in the middle, which is 1.
    event_base_priority_init(base, 2);
    event_config_free(config);
    return base;
}

} // namespace

EventLoop::EventLoop()
    : base_(newBase())
{
    // A peer that closes its connection must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    // Exceeding a file size limit must fail with EFBIG, which is handled like a full disk.
    std::signal(SIGXFSZ, SIG_IGN);
}

EventLoop::~EventLoop()
{
    event_base_free(base_);
}

void EventLoop::run()
{
    event_base_dispatch(base_);
}

void EventLoop::stop()
{
    event_base_loopbreak(base_);
}

Timer::Timer(EventLoop &loop, std::function<void()> callback)
    : loop_(loop)
    , callback_(std::make_shared<const std::function<void()>>(std::move(callback)))
{}

void Timer::start(Millis delay, bool isRepeating)
{
    if (!event_ || isRepeating != isRepeating_)
        event_.reset(event_new(loop_.base(), -1, isRepeating ? EV_PERSIST : 0, fire, this));
    isRepeating_ = isRepeating;
    const timeval time{ delay.count() / 1000, (delay.count() % 1000) * 1000 };
    event_add(event_.get(), &time);
}

void Timer::startOnce(Millis delay)
{
    start(delay, false);
}

void Timer::startRepeating(Millis interval)
{
    start(interval, true);
}

void Timer::cancel()
{
    if (event_)
        event_del(event_.get());
}

bool Timer::isPending() const
{
    return event_ && event_pending(event_.get(), EV_TIMEOUT, nullptr) != 0;
}

void Timer::fire(evutil_socket_t, short, void *self)
{
    const auto callback = static_cast<Timer *>(self)->callback_;
    (*callback)();
}

SignalWatch::SignalWatch(EventLoop &loop, int signal, std::function<void()> callback)
    : callback_(std::move(callback))
    , event_(evsignal_new(loop.base(), signal, fire, this))
{
    event_add(event_.get(), nullptr);
}

void SignalWatch::fire(evutil_socket_t, short, void *self)
{
    static_cast<SignalWatch *>(self)->callback_();
}

} // namespace basilgap::network
