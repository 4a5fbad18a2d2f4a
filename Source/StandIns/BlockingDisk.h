#pragma once

#include <condition_variable>
#include <mutex>

#include "Basilgap/Replication/DiskFile.h"

namespace basilgap::standins {

// A disk whose syncs block while setBlocked(true) is in effect.
class BlockingDisk : public replication::DiskCalls
{
public:
    int sync(int file) override
    {
        std::unique_lock lock(mutex_);
        blockedSyncs_++;
        changed_.wait(lock, [this] { return !blocked_; });
        blockedSyncs_--;
        return DiskCalls::sync(file);
    }

    void setBlocked(bool blocked)
    {
        {
            const std::lock_guard lock(mutex_);
            blocked_ = blocked;
        }
        changed_.notify_all();
    }

    int blockedSyncs()
    {
        const std::lock_guard lock(mutex_);
        return blockedSyncs_;
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    bool blocked_ = false;
    int blockedSyncs_ = 0;
};

} // namespace basilgap::standins
