#include "Basilgap/Replication/DiskFile.h"

#include <cerrno>
#include <utility>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

namespace basilgap::replication {

namespace {

constexpr mode_t FileMode = 0600;

constexpr size_t ReadBytes = 65536;

// Reads from the current position to the end. Returns false after an error, which is in errno.
bool readToEnd(int file, std::string *content)
{
    std::string buffer(ReadBytes, '\0');
    ssize_t bytesRead = 0;
    while ((bytesRead = ::read(file, buffer.data(), buffer.size())) > 0)
        content->append(buffer, 0, static_cast<size_t>(bytesRead));
    return bytesRead == 0;
}

} // namespace

int DiskCalls::open(const std::string &path, int flags)
{
    return ::open(path.c_str(), flags, FileMode);
}

ssize_t DiskCalls::write(int file, const char *data, size_t length)
{
    return ::write(file, data, length);
}

int DiskCalls::truncate(int file, uint64_t length)
{
    return ::ftruncate(file, static_cast<off_t>(length));
}

int DiskCalls::rename(const std::string &from, const std::string &to)
{
    return ::rename(from.c_str(), to.c_str());
}

int DiskCalls::sync(int file)
{
    return ::fdatasync(file);
}

int DiskCalls::syncFolder(int folder)
{
    return ::fsync(folder);
}

DiskFile::~DiskFile()
{
    if (file_ >= 0)
        ::close(file_);
}

DiskFile::DiskFile(DiskFile &&other) noexcept
    : file_(std::exchange(other.file_, -1))
    , path_(std::move(other.path_))
    , calls_(other.calls_)
    , hasRemains_(other.hasRemains_)
{}

DiskFile &DiskFile::operator=(DiskFile &&other) noexcept
{
    if (this == &other)
        return *this;
    if (file_ >= 0)
        ::close(file_);
    file_ = std::exchange(other.file_, -1);
    path_ = std::move(other.path_);
    calls_ = other.calls_;
    hasRemains_ = other.hasRemains_;
    return *this;
}

Result<DiskFile> DiskFile::open(const std::string &path, DiskCalls &calls)
{
    DiskFile file;
    file.path_ = path;
    file.calls_ = &calls;
    file.file_ = calls.open(path, O_RDWR | O_CREAT | O_CLOEXEC);
    if (file.file_ < 0)
        return fail(systemError("open", path));
    return file;
}

Result<void> DiskFile::writeAt(uint64_t offset, std::string_view data)
{
    if (hasRemains_) {
        if (auto cut = truncate(offset); !cut)
            return cut;
    }
    if (::lseek(file_, static_cast<off_t>(offset), SEEK_SET) < 0)
        return fail(systemError("seek", path_));
    size_t written = 0;
    while (written < data.size()) {
        const ssize_t bytesWritten =
            calls_->write(file_, data.data() + written, data.size() - written);
        if (bytesWritten < 0 && errno == EINTR)
            continue;
        if (bytesWritten <= 0) {
            const Error error = systemError("write", path_);
            if (auto cut = discardFrom(offset); !cut)
                return cut;
            return fail(error);
        }
        written += static_cast<size_t>(bytesWritten);
    }
    return {};
}

Result<void> DiskFile::truncate(uint64_t length)
{
    if (calls_->truncate(file_, length) != 0)
        return fail(systemError("truncate", path_));
    hasRemains_ = false;
    return {};
}

Result<void> DiskFile::discardFrom(uint64_t offset)
{
    hasRemains_ = true;
    auto cut = truncate(offset);
    if (!cut && !isTransient(cut.error()))
        return cut;
    return {};
}

Result<uint64_t> DiskFile::size() const
{
    const off_t length = ::lseek(file_, 0, SEEK_END);
    if (length < 0)
        return fail(systemError("seek", path_));
    return static_cast<uint64_t>(length);
}

Result<std::string> DiskFile::read() const
{
    std::string content;
    if (::lseek(file_, 0, SEEK_SET) < 0 || !readToEnd(file_, &content))
        return fail(systemError("read", path_));
    return content;
}

Result<void> DiskFile::sync()
{
    if (calls_->sync(file_) == 0)
        return {};
    Error error = systemError("sync", path_);
    if (error.code != ErrorCode::Full)
        error.code = ErrorCode::Io;
    return fail(error);
}

Result<std::string> readWholeFile(const std::string &path)
{
    const int file = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
    if (file < 0 && errno == ENOENT)
        return std::string();
    if (file < 0)
        return fail(systemError("open", path));
    std::string content;
    const bool isRead = readToEnd(file, &content);
    const Error error = systemError("read", path);
    ::close(file);
    if (!isRead)
        return fail(error);
    return content;
}

} // namespace basilgap::replication
