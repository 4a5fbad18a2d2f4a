#pragma once

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <cstdint>
#include <filesystem>
#include <limits>
#include <string>
#include <utility>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include "Basilgap/Replication/DiskFile.h"

namespace basilgap::standins {

// A disk on which the files of one folder may take a limited number of bytes. Overwriting takes no
// space, as on a real disk. Without a free byte no file can be created.
class QuotaDisk : public replication::DiskCalls
{
public:
    explicit QuotaDisk(std::string folder)
        : folder_(std::move(folder))
    {}

    // While set, no file is created and nothing is written, whatever space is released.
    void setRefusing(bool refusing) { refusing_ = refusing; }

    // From now on the files may grow by that many bytes in all.
    void setFreeBytes(uint64_t bytes) { capacity_ = usedBytes() + bytes; }

    uint64_t usedBytes() const
    {
        uint64_t used = 0;
        std::error_code code;
        for (std::filesystem::directory_iterator entry(folder_, code), end; !code && entry != end;
             entry.increment(code)) {
            std::error_code removed;
            const auto bytes = entry->file_size(removed);
            used += removed ? 0 : bytes;
        }
        return used;
    }

    int open(const std::string &path, int flags) override
    {
        const bool creates = (flags & O_CREAT) != 0 && !std::filesystem::exists(path);
        if (creates && (refusing_ || usedBytes() >= capacity_)) {
            errno = ENOSPC;
            return -1;
        }
        return DiskCalls::open(path, flags);
    }

    ssize_t write(int file, const char *data, size_t length) override
    {
        if (refusing_) {
            errno = ENOSPC;
            return -1;
        }
        const off_t position = lseek(file, 0, SEEK_CUR);
        struct stat status = {};
        if (position < 0 || fstat(file, &status) != 0)
            return -1;
        const auto overwritten =
            static_cast<uint64_t>(std::max<off_t>(0, status.st_size - position));
        const uint64_t used = usedBytes();
        const uint64_t available = overwritten + (capacity_ > used ? capacity_ - used : 0);
        if (available == 0 && length > 0) {
            errno = ENOSPC;
            return -1;
        }
        return DiskCalls::write(file, data, std::min<uint64_t>(length, available));
    }

private:
    std::string folder_;
    std::atomic<bool> refusing_ = false;
    std::atomic<uint64_t> capacity_ = std::numeric_limits<uint64_t>::max() / 2;
};

} // namespace basilgap::standins
