#pragma once

#include <unordered_map>
#include <vector>

#include "Basilgap/State/Resources.h"
#include "Basilgap/State/WorkTable.h"

namespace basilgap::scheduling {

// Capacity on a worker that a step will probably use once it is granted the worker.
struct AdviceClaim
{
    state::WorkerNumber worker;
    state::Resources expectedUse;
};

// Capacity that steps whose advice is requested will probably use. A step asks only for workers
// with capacity that no other step has claimed, so that in a full cell the number of requests
// follows the free capacity and not the number of waiting steps. Load pattern: overload, where many
// steps ask for the same few free workers and their tickets expire unused.
class AdviceClaims
{
public:
    void add(const std::vector<AdviceClaim> &claims);
    void remove(const std::vector<AdviceClaim> &claims);
    state::Resources on(state::WorkerNumber worker) const;

private:
    std::unordered_map<state::WorkerNumber, state::Resources> claimed_;
};

} // namespace basilgap::scheduling
