#include "Basilgap/Replication/DiskReserve.h"

#include <algorithm>

namespace basilgap::replication {

namespace {

// Written at once, and lost again if they do not all fit.
constexpr uint64_t ChunkBytes = 64 * 1024;

} // namespace

Result<DiskReserve> DiskReserve::open(const std::string &path, DiskCalls &calls)
{
    DiskReserve reserve;
    reserve.path_ = path;
    reserve.calls_ = &calls;
    if (auto opened = reserve.openFile(); !opened && opened.error().code != ErrorCode::Full)
        return fail(opened.error());
    return reserve;
}

Result<void> DiskReserve::openFile()
{
    auto file = DiskFile::open(path_, *calls_);
    if (!file)
        return fail(file.error());
    const auto size = file->size();
    if (!size)
        return fail(size.error());
    file_ = std::move(*file);
    bytes_ = *size;
    return {};
}

Result<void> DiskReserve::resize(uint64_t bytes)
{
    if (!file_.isOpen()) {
        if (auto opened = openFile(); !opened)
            return opened;
    }
    if (bytes < bytes_) {
        if (auto truncated = file_.truncate(bytes); !truncated)
            return truncated;
        bytes_ = bytes;
    }
    if (bytes == bytes_)
        return {};
    const uint64_t heldBefore = bytes_;
    if (auto grown = grow(bytes); !grown)
        return grown;
    auto synced = file_.sync();
    if (synced || synced.error().code != ErrorCode::Full)
        return synced;
    if (auto discarded = file_.discardFrom(heldBefore); !discarded)
        return discarded;
    bytes_ = heldBefore;
    return synced;
}

Result<void> DiskReserve::grow(uint64_t bytes)
{
    const std::string zeros(std::min(ChunkBytes, bytes - bytes_), '\0');
    while (bytes_ < bytes) {
        const uint64_t length = std::min<uint64_t>(zeros.size(), bytes - bytes_);
        if (auto written = file_.writeAt(bytes_, std::string_view(zeros).substr(0, length));
            !written)
            return written;
        bytes_ += length;
    }
    return {};
}

bool DiskReserve::release()
{
    if (bytes_ == 0 || !file_.truncate(0))
        return false;
    bytes_ = 0;
    return true;
}

} // namespace basilgap::replication
