#pragma once

#include "Basilgap/Common/Millis.h"

namespace basilgap {

// Time for which an entry may act on a view, from sending the renewal that confirmed it.
constexpr Millis ViewLease{ 2000 };

// Time for which a worker may run its tasks, from sending the poll that was answered.
constexpr Millis WorkerLease{ 10000 };

// Added when one host waits for the lease of another to expire. A tenth of the lease, because
// clocks run at different rates.
constexpr Millis ViewLeaseMargin{ 200 };
constexpr Millis WorkerLeaseMargin{ 1000 };

// Time between two renewals of an entry.
constexpr Millis RenewInterval{ 500 };

// Time between two announcements of a backend server, and the silence after which it counts as
// gone.
constexpr Millis AnnounceInterval{ 1000 };
constexpr Millis BackendSilenceTimeout{ 3500 };

// Longest time that the long poll of a worker is held open.
constexpr Millis MaxWorkerPollWait{ 2000 };

} // namespace basilgap
