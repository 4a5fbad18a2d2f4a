#include "Basilgap/Scheduling/QuarantineLimit.h"

namespace basilgap::scheduling {

void QuarantineLimit::add(const std::string &pool, const std::vector<std::string> &labels,
    int64_t millicores, bool isQuarantined)
{
    const auto count = [&](const std::string &label) {
        Capacity &capacity = capacities_[{ pool, label }];
        capacity.total += millicores;
        capacity.quarantined += isQuarantined ? millicores : 0;
    };
    count("");
    for (const std::string &label : labels)
        count(label);
}

bool QuarantineLimit::holds(const std::string &pool, const std::string &label) const
{
    const auto found = capacities_.find({ pool, label });
    return found == capacities_.end() || found->second.quarantined * 2 <= found->second.total;
}

} // namespace basilgap::scheduling
