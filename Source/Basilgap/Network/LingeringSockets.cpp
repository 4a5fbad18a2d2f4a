#include "Basilgap/Network/LingeringSockets.h"

#include <cerrno>

#include <sys/socket.h>

namespace basilgap::network {

namespace {

constexpr size_t MaxSockets = 16;
constexpr size_t MaxDiscardedBytes = 8 * 1024 * 1024;
constexpr Millis MaxTime{ 5000 };
// A caller that has sent nothing for this long waits for the end of the connection.
constexpr Millis MaxQuietTime{ 500 };

} // namespace

LingeringSockets::LingeringSockets(EventLoop &loop)
    : loop_(loop)
{}

bool LingeringSockets::add(bufferevent *buffer, std::function<void()> onEnd)
{
    if (entries_.size() >= MaxSockets)
        return false;
    Entry &entry = entries_[buffer];
    entry.owner = this;
    entry.buffer = buffer;
    entry.end = steadyNow() + MaxTime;
    entry.onEnd = std::move(onEnd);
    entry.readEvent.reset(event_new(
        loop_.base(), bufferevent_getfd(buffer), EV_READ | EV_PERSIST, onReadable, &entry));
    const timeval timeout{ MaxQuietTime.count() / 1000, (MaxQuietTime.count() % 1000) * 1000 };
    event_add(entry.readEvent.get(), &timeout);
    return true;
}

void LingeringSockets::onReadable(evutil_socket_t, short events, void *self)
{
    auto *entry = static_cast<Entry *>(self);
    entry->owner->discard(entry, (events & EV_TIMEOUT) != 0);
}

void LingeringSockets::discard(Entry *entry, bool timedOut)
{
    char bytes[16384];
    const ssize_t count =
        timedOut ? 0 : ::recv(bufferevent_getfd(entry->buffer), bytes, sizeof bytes, MSG_DONTWAIT);
    if (count > 0)
        entry->discardedBytes += static_cast<size_t>(count);
    const bool isOpen = count > 0 || (count < 0 && (errno == EAGAIN || errno == EINTR));
    if (isOpen && entry->discardedBytes < MaxDiscardedBytes && steadyNow() < entry->end)
        return;
    const std::function<void()> onEnd = std::move(entry->onEnd);
    entries_.erase(entry->buffer);
    onEnd();
}

} // namespace basilgap::network
