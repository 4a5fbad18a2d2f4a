#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <sys/types.h>

#include "Basilgap/Common/Error.h"

namespace basilgap::replication {

// The system calls of the storage that tests replace to inject failures.
class DiskCalls
{
public:
    virtual ~DiskCalls() = default;
    // Opens or, with O_CREAT, creates a file.
    virtual int open(const std::string &path, int flags);
    virtual ssize_t write(int file, const char *data, size_t length);
    virtual int truncate(int file, uint64_t length);
    virtual int rename(const std::string &from, const std::string &to);
    virtual int sync(int file);
    virtual int syncFolder(int folder);
};

// An open file that can be appended to and truncated.
class DiskFile
{
public:
    DiskFile() = default;
    ~DiskFile();
    DiskFile(DiskFile &&other) noexcept;
    DiskFile &operator=(DiskFile &&other) noexcept;

    // Opens the file for reading and writing; creates it if it does not exist.
    static Result<DiskFile> open(const std::string &path, DiskCalls &calls);

    // Writes the data at the offset, the current end of the file. After a failure the file is
    // truncated to the offset again, at the latest by the next write.
    Result<void> writeAt(uint64_t offset, std::string_view data);
    Result<void> truncate(uint64_t length);
    // Truncates the file, at the latest by the next write: a file system that copies on write may
    // find no space for a truncation.
    Result<void> discardFrom(uint64_t offset);
    Result<uint64_t> size() const;
    // Returns the whole content.
    Result<std::string> read() const;
    // An error with the code Full means that no space was found for what was written since the last
    // sync. As after any failed sync, it is not known what of it is on the disk, and a later sync
    // reports no error for it: it must be discarded.
    Result<void> sync();

    bool isOpen() const { return file_ >= 0; }
    // Whether something was discarded that is still in the file.
    bool hasRemains() const { return hasRemains_; }

    // Errors name this path. Called after the file has been renamed.
    void setPath(std::string path) { path_ = std::move(path); }

private:
    int file_ = -1;
    std::string path_;
    DiskCalls *calls_ = nullptr;
    // Whether the file is still to be truncated to where the next write starts.
    bool hasRemains_ = false;
};

// Returns the content of a file; empty if the file does not exist.
Result<std::string> readWholeFile(const std::string &path);

} // namespace basilgap::replication
