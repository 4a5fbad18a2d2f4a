#include "Basilgap/State/WorkChanges.h"

#include <atomic>

namespace basilgap::state {

namespace {

// More than the records between two planning rounds change. A reader that falls behind reads all
// jobs again.
constexpr size_t MaxChanges = 8192;

// More positions than one table uses in the life of a process.
constexpr uint64_t PositionsPerTable = uint64_t(1) << 40;

std::atomic<uint64_t> nextFirst{ 1 };

} // namespace

WorkChanges::WorkChanges()
    : first_(nextFirst.fetch_add(PositionsPerTable))
{}

void WorkChanges::record(WorkSerial work)
{
    works_.push_back(work);
    if (works_.size() <= MaxChanges)
        return;
    works_.pop_front();
    first_++;
}

void WorkChanges::invalidate()
{
    first_ = end() + 1;
    works_.clear();
}

bool WorkChanges::forEachSince(
    uint64_t position, const std::function<void(WorkSerial)> &callback) const
{
    if (position < first_ || position > end())
        return false;
    for (auto work = works_.begin() + static_cast<std::ptrdiff_t>(position - first_);
         work != works_.end(); ++work)
        callback(*work);
    return true;
}

} // namespace basilgap::state
