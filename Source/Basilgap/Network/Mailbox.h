#pragma once

#include <deque>
#include <functional>
#include <utility>

#include "Basilgap/Network/EventLoop.h"

namespace basilgap::network {

// Hands messages from one task to another: the receiver's handler runs from the event loop, never
// inside the sender's call. Holds at most `bound` messages.
template<typename Message>
class Mailbox
{
public:
    Mailbox(EventLoop &loop, size_t bound, std::function<void(Message)> handler)
        : handler_(std::move(handler))
        , bound_(bound)
        , wake_(loop, [this] { deliver(); })
    {}

    // False when the mailbox is full; the message is then dropped and counted.
    bool post(Message message)
    {
        if (waiting_.size() >= bound_) {
            dropped_++;
            return false;
        }
        waiting_.push_back(std::move(message));
        if (!wake_.isPending())
            wake_.startOnce(Millis(0));
        return true;
    }

    size_t size() const { return waiting_.size(); }
    uint64_t dropped() const { return dropped_; }

private:
    void deliver()
    {
        std::deque<Message> batch;
        batch.swap(waiting_);
        for (Message &message : batch)
            handler_(std::move(message));
    }

    std::function<void(Message)> handler_;
    size_t bound_;
    std::deque<Message> waiting_;
    uint64_t dropped_ = 0;
    Timer wake_;
};

} // namespace basilgap::network
