#include "Basilgap/Replication/DataFolder.h"

#include <algorithm>
#include <filesystem>
#include <utility>

#include <fcntl.h>
#include <unistd.h>

#include "Basilgap/Common/EventLog.h"

namespace basilgap::replication {

namespace {

constexpr const char *SparePrefix = "spare";
constexpr const char *ReserveFile = "reserve";

// One each for the hard state, a snapshot and the shortened log that follows it.
constexpr size_t SpareCount = 3;

} // namespace

DataFolder::~DataFolder()
{
    if (folder_ >= 0)
        ::close(folder_);
}

DataFolder::DataFolder(DataFolder &&other) noexcept
    : path_(std::move(other.path_))
    , calls_(other.calls_)
    , folder_(std::exchange(other.folder_, -1))
    , spares_(std::move(other.spares_))
    , reserve_(std::move(other.reserve_))
    , nextSpare_(other.nextSpare_)
    , hasUnsyncedNames_(other.hasUnsyncedNames_)
{}

DataFolder &DataFolder::operator=(DataFolder &&other) noexcept
{
    if (this == &other)
        return *this;
    if (folder_ >= 0)
        ::close(folder_);
    path_ = std::move(other.path_);
    calls_ = other.calls_;
    folder_ = std::exchange(other.folder_, -1);
    spares_ = std::move(other.spares_);
    reserve_ = std::move(other.reserve_);
    nextSpare_ = other.nextSpare_;
    hasUnsyncedNames_ = other.hasUnsyncedNames_;
    return *this;
}

Result<DataFolder> DataFolder::open(const std::string &path, DiskCalls &calls)
{
    DataFolder folder;
    folder.path_ = path;
    folder.calls_ = &calls;
    folder.folder_ = ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (folder.folder_ < 0)
        return fail(systemError("open-folder", path));
    auto reserve = DiskReserve::open(folder.pathOf(ReserveFile), calls);
    if (!reserve)
        return fail(reserve.error());
    folder.reserve_ = std::move(*reserve);
    if (auto opened = folder.openSpares(); !opened) {
        if (opened.error().code != ErrorCode::Full)
            return fail(opened.error());
        LogEvent("spare-file-missing", LogLevel::Warning).with(opened.error());
    }
    // The process before may have ended between a replacement and its sync.
    if (auto synced = folder.syncNames(); !synced)
        return fail(synced.error());
    return folder;
}

Result<void> DataFolder::openSpares()
{
    while (spares_.size() < SpareCount) {
        const std::string name = SparePrefix + std::to_string(nextSpare_);
        auto file = openSpare(pathOf(name));
        if (!file)
            return fail(file.error());
        spares_.push_back({ name, std::move(*file) });
        nextSpare_ = (nextSpare_ + 1) % SpareCount;
    }
    return {};
}

// A file that is there already is kept, as a full disk may have no space to create another one. A
// second name of it would be that of a file in use.
Result<DiskFile> DataFolder::openSpare(const std::string &path) const
{
    std::error_code code;
    const auto names = std::filesystem::hard_link_count(path, code);
    if (!code && names > 1)
        ::unlink(path.c_str());
    auto file = DiskFile::open(path, *calls_);
    if (!file)
        return file;
    if (auto emptied = file->truncate(0); !emptied)
        return fail(emptied.error());
    return file;
}

Result<void> DataFolder::provideSpare()
{
    if (hasSpare())
        return {};
    auto opened = openSpares();
    if (!opened && !hasSpare() && opened.error().code == ErrorCode::Full && reserve_.release()) {
        LogEvent("disk-reserve-released", LogLevel::Warning).with(opened.error());
        opened = openSpares();
    }
    return hasSpare() ? Result<void>() : opened;
}

Result<void> DataFolder::holdReserve(uint64_t bytes)
{
    if (!hasSpare()) {
        if (auto opened = openSpares(); !opened && !hasSpare())
            return opened;
    }
    return reserve_.resize(bytes);
}

Result<void> DataFolder::syncNames()
{
    if (!hasUnsyncedNames_)
        return {};
    if (calls_->syncFolder(folder_) == 0) {
        hasUnsyncedNames_ = false;
        return {};
    }
    Error error = systemError("sync-folder", path_);
    if (error.code != ErrorCode::Full)
        error.code = ErrorCode::Io;
    return fail(error);
}

Result<DiskFile> DataFolder::replace(const std::string &name, std::string_view content)
{
    if (auto provided = provideSpare(); !provided)
        return fail(provided.error());
    Spare &spare = spares_.front();
    if (auto written = writeSpare(&spare.file, content); !written)
        return fail(written.error());
    if (calls_->rename(pathOf(spare.name), pathOf(name)) != 0) {
        const Error error = systemError("rename", pathOf(name));
        if (auto emptied = spare.file.discardFrom(0); !emptied)
            return fail(emptied.error());
        return fail(error);
    }
    hasUnsyncedNames_ = true;
    DiskFile file = std::move(spare.file);
    file.setPath(pathOf(name));
    spares_.erase(spares_.begin());
    // The next replacement tries again.
    if (auto opened = openSpares(); !opened)
        LogEvent("spare-file-missing", LogLevel::Warning).with(opened.error());
    return file;
}

Result<void> DataFolder::writeSpare(DiskFile *spare, std::string_view content)
{
    auto written = writeAndSync(spare, content);
    if (written || written.error().code != ErrorCode::Full || !reserve_.release())
        return written;
    LogEvent("disk-reserve-released", LogLevel::Warning).with(written.error());
    return writeAndSync(spare, content);
}

Result<void> DataFolder::writeAndSync(DiskFile *spare, std::string_view content)
{
    if (auto written = spare->writeAt(0, content); !written)
        return written;
    auto synced = spare->sync();
    if (synced || synced.error().code != ErrorCode::Full)
        return synced;
    if (auto emptied = spare->discardFrom(0); !emptied)
        return emptied;
    return synced;
}

std::vector<FileSize> DataFolder::fileSizesIn(const std::string &path)
{
    std::vector<FileSize> sizes;
    std::error_code code;
    for (std::filesystem::directory_iterator entry(path, code), end; !code && entry != end;
         entry.increment(code)) {
        std::error_code unreadable;
        const auto bytes = entry->file_size(unreadable);
        if (!unreadable)
            sizes.push_back({ .name = entry->path().filename().string(), .bytes = bytes });
    }
    std::sort(sizes.begin(), sizes.end(),
        [](const FileSize &a, const FileSize &b) { return a.name < b.name; });
    return sizes;
}

} // namespace basilgap::replication
