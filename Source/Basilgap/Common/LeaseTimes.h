#pragma once

#include "Basilgap/Common/Millis.h"

namespace basilgap {

// How long an entry may act on a view after it sent the renewal that confirmed it.
constexpr Millis ViewLease{ 2000 };

// How long a worker may run its tasks after it sent the poll that was answered.
constexpr Millis WorkerLease{ 10000 };

// Added where one host waits for the end of another's lease: a tenth of it, for clocks that run at
// different speeds.
constexpr Millis ViewLeaseMargin{ 200 };
constexpr Millis WorkerLeaseMargin{ 1000 };

// Time between two renewals of an entry.
constexpr Millis RenewInterval{ 500 };

// Time between two announcements of a backend server, and the silence after which it is gone.
constexpr Millis AnnounceInterval{ 1000 };
constexpr Millis BackendSilenceTimeout{ 3500 };

// Longest time that a worker's poll is held.
constexpr Millis MaxWorkerPollWait{ 2000 };

} // namespace basilgap
