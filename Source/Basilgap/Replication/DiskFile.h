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
    // truncated to the offset again.
    Result<void> writeAt(uint64_t offset, std::string_view data);
    Result<void> truncate(uint64_t length);
    Result<uint64_t> size() const;
    // Returns the whole content.
    Result<std::string> read() const;
    Result<void> sync();

    bool isOpen() const { return file_ >= 0; }

    // Errors name this path. Called after the file has been renamed.
    void setPath(std::string path) { path_ = std::move(path); }

private:
    int file_ = -1;
    std::string path_;
    DiskCalls *calls_ = nullptr;
};

// Returns the content of a file; empty if the file does not exist.
Result<std::string> readWholeFile(const std::string &path);

} // namespace basilgap::replication
