#include "Basilgap/Scheduling/QuarantineLimit.h"

#include <algorithm>

namespace basilgap::scheduling {

bool QuarantineLimit::holds(std::string_view pool, std::string_view label)
{
    const auto [known, isNew] = known_.try_emplace({ pool, label }, false);
    if (isNew)
        known->second = findWhetherHolds(pool, label);
    return known->second;
}

bool QuarantineLimit::findWhetherHolds(std::string_view pool, std::string_view label) const
{
    int64_t total = 0;
    int64_t quarantined = 0;
    for (const Worker &worker : workers_) {
        const bool isCounted = worker.pool == pool
            && (label.empty()
                || std::find(worker.labels.begin(), worker.labels.end(), label)
                    != worker.labels.end());
        if (!isCounted)
            continue;
        total += worker.millicores;
        quarantined += worker.isQuarantined ? worker.millicores : 0;
    }
    return quarantined * 2 <= total;
}

} // namespace basilgap::scheduling
