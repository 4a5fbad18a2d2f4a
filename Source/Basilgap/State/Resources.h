#pragma once

#include <algorithm>
#include <cstdint>

#include "State.pb.h"

namespace basilgap::state {

// Amounts of resources: processor in thousandths of a core, memory in MB, number of accelerators.
struct Resources
{
    int64_t millicores = 0;
    int64_t memoryMb = 0;
    int64_t accelerators = 0;

    bool operator==(const Resources &) const = default;

    Resources &operator+=(const Resources &other)
    {
        millicores += other.millicores;
        memoryMb += other.memoryMb;
        accelerators += other.accelerators;
        return *this;
    }

    Resources &operator-=(const Resources &other)
    {
        millicores -= other.millicores;
        memoryMb -= other.memoryMb;
        accelerators -= other.accelerators;
        return *this;
    }

    Resources operator+(const Resources &other) const { return Resources(*this) += other; }
    Resources operator-(const Resources &other) const { return Resources(*this) -= other; }
    Resources operator*(int64_t factor) const
    {
        return { millicores * factor, memoryMb * factor, accelerators * factor };
    }

    bool fitsIn(const Resources &available) const
    {
        return millicores <= available.millicores && memoryMb <= available.memoryMb
            && accelerators <= available.accelerators;
    }

    // Dominant share (as in dominant resource fairness): the largest fraction that this takes of
    // any one resource of `whole`. Above 1 when it exceeds the whole.
    double dominantShareOf(const Resources &whole) const
    {
        return std::max({ fraction(millicores, whole.millicores),
            fraction(memoryMb, whole.memoryMb), fraction(accelerators, whole.accelerators) });
    }

private:
    static double fraction(int64_t used, int64_t all)
    {
        return all <= 0 ? 0.0 : static_cast<double>(used) / static_cast<double>(all);
    }
};

inline Resources fromSchema(const schema::Resources &resources)
{
    return { static_cast<int64_t>(resources.millicores()),
        static_cast<int64_t>(resources.memory_mb()),
        static_cast<int64_t>(resources.accelerators()) };
}

// The capacity that the worker announced last.
inline Resources capacityOf(const schema::WorkerLife &worker)
{
    return { static_cast<int64_t>(worker.millicores()), static_cast<int64_t>(worker.memory_mb()),
        static_cast<int64_t>(worker.accelerators()) };
}

inline schema::Resources toSchema(const Resources &resources)
{
    schema::Resources out;
    out.set_millicores(static_cast<uint64_t>(resources.millicores));
    out.set_memory_mb(static_cast<uint64_t>(resources.memoryMb));
    out.set_accelerators(static_cast<uint64_t>(resources.accelerators));
    return out;
}

} // namespace basilgap::state
