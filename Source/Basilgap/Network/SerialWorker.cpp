#include "Basilgap/Network/SerialWorker.h"

#include <array>

#include <fcntl.h>
#include <unistd.h>

#include <glog/logging.h>

namespace basilgap::network {

SerialWorker::SerialWorker(EventLoop &loop)
{
    PCHECK(pipe2(wake_, O_CLOEXEC | O_NONBLOCK) == 0) << "pipe for a worker thread";
    event_.reset(event_new(loop.base(), wake_[0], EV_READ | EV_PERSIST, onWake, this));
    event_add(event_.get(), nullptr);
    thread_ = std::thread([this] { work(); });
}

SerialWorker::~SerialWorker()
{
    {
        const std::lock_guard lock(mutex_);
        ending_ = true;
    }
    changed_.notify_one();
    thread_.join();
    event_.reset();
    close(wake_[0]);
    close(wake_[1]);
}

void SerialWorker::run(std::function<void()> work, std::function<void()> done)
{
    {
        const std::lock_guard lock(mutex_);
        waiting_.push_back({ std::move(work), std::move(done) });
    }
    changed_.notify_one();
}

void SerialWorker::work()
{
    std::unique_lock lock(mutex_);
    while (true) {
        changed_.wait(lock, [this] { return ending_ || !waiting_.empty(); });
        if (ending_)
            return;
        Job job = std::move(waiting_.front());
        waiting_.pop_front();
        lock.unlock();
        job.work();
        lock.lock();
        finished_.push_back(std::move(job));
        // A full pipe wakes the loop as well.
        const char byte = 0;
        [[maybe_unused]] const ssize_t written = write(wake_[1], &byte, 1);
    }
}

void SerialWorker::onWake(evutil_socket_t, short, void *self)
{
    static_cast<SerialWorker *>(self)->deliver();
}

void SerialWorker::deliver()
{
    std::array<char, 64> bytes{};
    while (read(wake_[0], bytes.data(), bytes.size()) > 0) {
    }
    std::deque<Job> finished;
    {
        const std::lock_guard lock(mutex_);
        finished.swap(finished_);
    }
    for (const Job &job : finished)
        job.done();
}

} // namespace basilgap::network
