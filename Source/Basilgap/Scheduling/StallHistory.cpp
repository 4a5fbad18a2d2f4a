#include "Basilgap/Scheduling/StallHistory.h"

namespace basilgap::scheduling {

void StallHistory::record(const state::StepTaskRef &task, uint32_t run)
{
    const uint32_t earlier = earlierStalls(task, run);
    stalls_[task] = { run, earlier };
}

uint32_t StallHistory::earlierStalls(const state::StepTaskRef &task, uint32_t run) const
{
    const auto found = stalls_.find(task);
    if (found == stalls_.end())
        return 0;
    return found->second.earlier + (found->second.run == run ? 0 : 1);
}

void StallHistory::eraseIf(const std::function<bool(const state::StepTaskRef &)> &condition)
{
    std::erase_if(stalls_, [&condition](const auto &entry) { return condition(entry.first); });
}

} // namespace basilgap::scheduling
