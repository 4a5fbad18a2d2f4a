#pragma once

#include "Basilgap/Common/Error.h"
#include "Http.pb.h"
#include "Peer.pb.h"

namespace basilgap::entry {

// Validates and converts a worker's report. The error's peer is the name of the invalid field.
Result<schema::WorkerReport> readWorkerReport(const schema::WorkerBody &body);

// Converts orders to the HTTP answer for a worker; without the starts if !withStarts.
schema::WorkerReplyBody writeWorkerReply(const schema::WorkerOrders &orders, bool withStarts);

// Validates and converts a backend server's announcement. The error's peer is the name of the
// invalid field.
Result<schema::Announcement> readAnnouncement(const schema::AnnounceBody &body);

// Validates and converts a job. The error's peer is the name of the invalid field.
Result<schema::JobSpec> readJob(const schema::JobBody &body);

} // namespace basilgap::entry
