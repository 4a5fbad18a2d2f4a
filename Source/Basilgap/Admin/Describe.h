#pragma once

#include "Basilgap/Network/HttpMessage.h"
#include "Http.pb.h"
#include "Peer.pb.h"

namespace basilgap::admin {

// Convert the leader's replies to HTTP responses.
network::HttpResponse describeTeams(const schema::RpcReply &reply);
network::HttpResponse describeHosts(const schema::RpcReply &reply);
network::HttpResponse describeJobs(const schema::RpcReply &reply);
network::HttpResponse describeZone(
    const schema::ZoneCommand &command, const schema::CommandOutcome &outcome, bool waited);

// Describes a job with its tasks. The worker ids come from the registrations in the reply.
schema::JobStatusBody describeJob(const schema::JobState &job, const schema::RpcReply &reply);

} // namespace basilgap::admin
