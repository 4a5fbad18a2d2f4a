#include "Basilgap/Network/BackgroundThread.h"

#include <array>

#include <fcntl.h>
#include <unistd.h>

#include <glog/logging.h>

namespace basilgap::network {

BackgroundThread::BackgroundThread(EventLoop &loop)
{
    PCHECK(pipe2(wakePipe_, O_CLOEXEC | O_NONBLOCK) == 0) << "pipe for a worker thread";
    wakeEvent_.reset(event_new(loop.base(), wakePipe_[0], EV_READ | EV_PERSIST, onWake, this));
    event_add(wakeEvent_.get(), nullptr);
    thread_ = std::thread([this] { runItems(); });
}

BackgroundThread::~BackgroundThread()
{
    {
        const std::lock_guard lock(mutex_);
        isStopping_ = true;
    }
    changed_.notify_one();
    thread_.join();
    wakeEvent_.reset();
    close(wakePipe_[0]);
    close(wakePipe_[1]);
}

void BackgroundThread::run(std::function<void()> work, std::function<void()> done)
{
    {
        const std::lock_guard lock(mutex_);
        pendingItems_.push_back({ std::move(work), std::move(done) });
    }
    changed_.notify_one();
}

void BackgroundThread::runItems()
{
    std::unique_lock lock(mutex_);
    while (true) {
        changed_.wait(lock, [this] { return isStopping_ || !pendingItems_.empty(); });
        if (isStopping_)
            return;
        WorkItem item = std::move(pendingItems_.front());
        pendingItems_.pop_front();
        lock.unlock();
        item.work();
        lock.lock();
        finishedItems_.push_back(std::move(item));
        // The result does not matter: if the pipe is full, the loop wakes up anyway.
        const char byte = 0;
        [[maybe_unused]] const ssize_t written = write(wakePipe_[1], &byte, 1);
    }
}

void BackgroundThread::onWake(evutil_socket_t, short, void *self)
{
    static_cast<BackgroundThread *>(self)->deliver();
}

void BackgroundThread::deliver()
{
    std::array<char, 64> bytes{};
    while (read(wakePipe_[0], bytes.data(), bytes.size()) > 0) {
    }
    std::deque<WorkItem> finishedItems;
    {
        const std::lock_guard lock(mutex_);
        finishedItems.swap(finishedItems_);
    }
    for (const WorkItem &item : finishedItems)
        item.done();
}

} // namespace basilgap::network
