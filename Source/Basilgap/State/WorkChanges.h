#pragma once

#include <cstdint>
#include <deque>
#include <functional>

#include "Basilgap/State/WorkRefs.h"

namespace basilgap::state {

// The jobs that have changed lately, for readers that keep data about jobs between two looks at the
// table. Each reader keeps the position up to which it has read.
class WorkChanges
{
public:
    // Positions of different objects have no value in common, so that a reader notices that the
    // table was replaced.
    WorkChanges();

    void record(WorkSerial work);
    // Readers have to read all jobs again.
    void invalidate();

    // Position behind the newest change.
    uint64_t end() const { return first_ + works_.size(); }
    // Calls back with each job that has changed since the position, some of them several times.
    // Returns false without a call if changes since then are no longer kept.
    bool forEachSince(uint64_t position, const std::function<void(WorkSerial)> &callback) const;

private:
    // Position of the first of works_.
    uint64_t first_;
    std::deque<WorkSerial> works_;
};

} // namespace basilgap::state
