#pragma once

#include <cstdint>
#include <string>

#include "Basilgap/Common/Error.h"
#include "Basilgap/Replication/DiskFile.h"

namespace basilgap::replication {

// Disk space held by a file of zeros. Space that has been used up can only be freed by writing a
// snapshot, which takes space itself: the reserve is released for that.
class DiskReserve
{
public:
    // Opens the file; the bytes that it already has are held. A file that a full disk has no space
    // for is created later.
    static Result<DiskReserve> open(const std::string &path, DiskCalls &calls);

    // Grows or shrinks the reserve. After an error it holds what it could get.
    Result<void> resize(uint64_t bytes);

    // Frees the reserve. Returns whether that freed any space.
    bool release();

    uint64_t bytes() const { return bytes_; }

private:
    Result<void> openFile();
    Result<void> grow(uint64_t bytes);

    std::string path_;
    DiskCalls *calls_ = nullptr;
    DiskFile file_;
    uint64_t bytes_ = 0;
};

} // namespace basilgap::replication
