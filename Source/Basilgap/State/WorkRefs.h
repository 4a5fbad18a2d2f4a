#pragma once

#include <cstdint>
#include <string>

#include "Basilgap/Common/Ids.h"

namespace basilgap::state {

// Name of the account whose key came with a submission.
using AccountName = StrongType<struct AccountNameTag, std::string>;
// Number of a job with steps, assigned in the order of submission.
using WorkSerial = StrongType<struct WorkSerialTag, uint64_t>;

// Refers to one step of one occurrence of a job.
struct StepRef
{
    WorkSerial work;
    uint32_t occurrence = 0;
    uint32_t step = 0;

    auto operator<=>(const StepRef &) const = default;
};

// Refers to one task of a step.
struct StepTaskRef
{
    StepRef step;
    uint32_t index = 0;

    auto operator<=>(const StepTaskRef &) const = default;
};

// Refers to one run of a task.
struct RunRef
{
    StepTaskRef task;
    uint32_t run = 0;

    auto operator<=>(const RunRef &) const = default;
};

} // namespace basilgap::state

template<>
struct std::hash<basilgap::state::StepRef>
{
    size_t operator()(const basilgap::state::StepRef &step) const
    {
        return std::hash<uint64_t>()(
            (step.work.value() * 1000003 + step.occurrence) * 1000003 + step.step);
    }
};
