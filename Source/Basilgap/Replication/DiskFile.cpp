#include "Basilgap/Replication/DiskFile.h"

#include <cerrno>
#include <utility>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

namespace basilgap::replication {

namespace {

constexpr mode_t FileMode = 0600;

std::string folderOf(const std::string &path)
{
    const size_t slash = path.rfind('/');
    return slash == std::string::npos ? "." : path.substr(0, slash);
}

} // namespace

ssize_t DiskCalls::write(int file, const char *data, size_t length)
{
    return ::write(file, data, length);
}

int DiskCalls::sync(int file)
{
    return ::fdatasync(file);
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
    return *this;
}

Result<DiskFile> DiskFile::open(const std::string &path, DiskCalls &calls)
{
    DiskFile file;
    file.path_ = path;
    file.calls_ = &calls;
    file.file_ = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, FileMode);
    if (file.file_ < 0)
        return fail(systemError("open", path));
    return file;
}

Result<void> DiskFile::writeAt(uint64_t offset, std::string_view data)
{
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
            if (::ftruncate(file_, static_cast<off_t>(offset)) != 0)
                return fail(systemError("truncate", path_));
            return fail(error);
        }
        written += static_cast<size_t>(bytesWritten);
    }
    return {};
}

Result<void> DiskFile::truncate(uint64_t length)
{
    if (::ftruncate(file_, static_cast<off_t>(length)) != 0)
        return fail(systemError("truncate", path_));
    return {};
}

Result<void> DiskFile::sync()
{
    if (calls_->sync(file_) != 0)
        return fail(systemError("sync", path_));
    return {};
}

Result<void> syncFolder(const std::string &folder)
{
    const int file = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (file < 0)
        return fail(systemError("open-folder", folder));
    const int outcome = ::fsync(file);
    const Error error = systemError("sync-folder", folder);
    ::close(file);
    if (outcome != 0)
        return fail(error);
    return {};
}

Result<void> replaceFile(const std::string &path, std::string_view content, DiskCalls &calls)
{
    const std::string temporary = path + ".new";
    ::unlink(temporary.c_str());
    auto file = DiskFile::open(temporary, calls);
    if (!file)
        return fail(file.error());
    if (auto written = file->writeAt(0, content); !written)
        return written;
    if (auto synced = file->sync(); !synced)
        return synced;
    if (::rename(temporary.c_str(), path.c_str()) != 0)
        return fail(systemError("rename", path));
    return syncFolder(folderOf(path));
}

Result<std::string> readWholeFile(const std::string &path)
{
    const int file = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
    if (file < 0 && errno == ENOENT)
        return std::string();
    if (file < 0)
        return fail(systemError("open", path));
    std::string content;
    char buffer[65536];
    ssize_t bytesRead = 0;
    while ((bytesRead = ::read(file, buffer, sizeof buffer)) > 0)
        content.append(buffer, static_cast<size_t>(bytesRead));
    const Error error = systemError("read", path);
    ::close(file);
    if (bytesRead < 0)
        return fail(error);
    return content;
}

} // namespace basilgap::replication
