#include "Basilgap/Scheduling/AdviceClaims.h"

namespace basilgap::scheduling {

void AdviceClaims::add(const std::vector<AdviceClaim> &claims)
{
    for (const AdviceClaim &claim : claims)
        claimed_[claim.worker] += claim.expectedUse;
}

void AdviceClaims::remove(const std::vector<AdviceClaim> &claims)
{
    for (const AdviceClaim &claim : claims) {
        const auto found = claimed_.find(claim.worker);
        if (found == claimed_.end())
            continue;
        found->second -= claim.expectedUse;
        if (found->second == state::Resources())
            claimed_.erase(found);
    }
}

state::Resources AdviceClaims::on(state::WorkerNumber worker) const
{
    const auto found = claimed_.find(worker);
    return found == claimed_.end() ? state::Resources() : found->second;
}

} // namespace basilgap::scheduling
