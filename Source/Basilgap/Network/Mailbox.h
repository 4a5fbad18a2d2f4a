#pragma once

#include <deque>
#include <functional>
#include <utility>

#include "Basilgap/Network/EventLoop.h"

namespace basilgap::network {

// Passes messages from one component to another: the handler of the receiver runs from the event
// loop, never inside the call of the sender. Holds at most `capacity` messages.
template<typename Message>
class Mailbox
{
public:
    Mailbox(EventLoop &loop, size_t capacity, std::function<void(Message)> handler)
        : handler_(std::move(handler))
        , capacity_(capacity)
        , deliveryTimer_(loop, [this] { deliver(); })
    {}

    // Returns false if the mailbox is full: the message is dropped and counted.
    bool post(Message message)
    {
        if (queue_.size() >= capacity_) {
            dropped_++;
            return false;
        }
        queue_.push_back(std::move(message));
        if (!deliveryTimer_.isPending())
            deliveryTimer_.startOnce(Millis(0));
        return true;
    }

    size_t size() const { return queue_.size(); }
    uint64_t dropped() const { return dropped_; }

private:
    void deliver()
    {
        std::deque<Message> batch;
        batch.swap(queue_);
        for (Message &message : batch)
            handler_(std::move(message));
    }

    std::function<void(Message)> handler_;
    size_t capacity_;
    std::deque<Message> queue_;
    uint64_t dropped_ = 0;
    Timer deliveryTimer_;
};

} // namespace basilgap::network
