#include "Basilgap/Dispatch/ForgottenWorkers.h"

namespace basilgap::dispatch {

bool ForgottenWorkers::mayContain(const std::string &id, Millis now) const
{
    if (options_.hasUnknown && isRecent(options_.leaderSince, now))
        return true;
    const auto removed = removedAt_.find(id);
    return removed != removedAt_.end() && isRecent(removed->second, now);
}

void ForgottenWorkers::prune(Millis now)
{
    std::erase_if(removedAt_, [&](const auto &entry) { return !isRecent(entry.second, now); });
}

} // namespace basilgap::dispatch
