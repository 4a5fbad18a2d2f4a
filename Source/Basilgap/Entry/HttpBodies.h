#pragma once

#include "Basilgap/Common/Error.h"
#include "Http.pb.h"
#include "Peer.pb.h"

namespace basilgap::entry {

// Checks a worker's report as it came over HTTP. The error's peer is the field.
Result<schema::WorkerReport> readWorkerReport(const schema::WorkerBody &body);

// Orders as they go to the worker.
schema::WorkerReplyBody writeWorkerReply(const schema::WorkerOrders &orders, bool withStarts);

// Checks a backend server's announcement. The error's peer is the field.
Result<schema::Announcement> readAnnouncement(const schema::AnnounceBody &body);

// Checks a job. The error's peer is the field.
Result<schema::JobSpec> readJob(const schema::JobBody &body);

} // namespace basilgap::entry
