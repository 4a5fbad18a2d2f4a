#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "Basilgap/Common/Error.h"

namespace basilgap::replication {

// The system calls that storage makes, so that tests can make them fail.
class DiskCalls
{
public:
    virtual ~DiskCalls() = default;
    virtual ssize_t write(int file, const char *data, size_t length);
    virtual int sync(int file);
};

// An open file that is appended to and truncated.
class DiskFile
{
public:
    DiskFile() = default;
    ~DiskFile();
    DiskFile(DiskFile &&other) noexcept;
    DiskFile &operator=(DiskFile &&other) noexcept;

    // Opens for reading and appending; creates the file when it is missing.
    static Result<DiskFile> open(const std::string &path, DiskCalls &calls);

    // Appends at the given offset. After a failure the file is cut back to the offset.
    Result<void> writeAt(uint64_t offset, std::string_view data);
    Result<void> truncate(uint64_t length);
    Result<void> sync();

    bool isOpen() const { return file_ >= 0; }

private:
    int file_ = -1;
    std::string path_;
    DiskCalls *calls_ = nullptr;
};

// Writes a whole file so that after a crash either the old or the new content is there.
Result<void> replaceFile(const std::string &path, std::string_view content, DiskCalls &calls);

// Makes new names in a folder durable.
Result<void> syncFolder(const std::string &folder);

// Content of a file; an empty text when it does not exist.
Result<std::string> readWholeFile(const std::string &path);

} // namespace basilgap::replication
