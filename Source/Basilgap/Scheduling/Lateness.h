#pragma once

#include <cstdint>

#include "Basilgap/State/WorkTable.h"

namespace basilgap::scheduling {

// How an occurrence of a job stands against its latency objective.
struct Lateness
{
    // 0: can meet the objective; 1: late; 2: so late that it earns nothing more.
    int band = 0;
    // Time left for the objective beyond the remaining critical path, in milliseconds.
    int64_t slackMs = 0;

    bool isExpired() const { return band > 1; }
};

// Takes the present time in Unix milliseconds.
Lateness latenessOf(const state::Work &work, const schema::QueueConfig &queue, uint32_t occurrence,
    uint64_t wallMs);

} // namespace basilgap::scheduling
