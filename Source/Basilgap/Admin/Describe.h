#pragma once

#include "Basilgap/Network/HttpMessage.h"
#include "Http.pb.h"
#include "Peer.pb.h"

namespace basilgap::admin {

// The leader's answers as HTTP responses.
network::HttpResponse describeTeams(const schema::RpcReply &reply);
network::HttpResponse describeHosts(const schema::RpcReply &reply);
network::HttpResponse describeJobs(const schema::RpcReply &reply);
network::HttpResponse describeZone(
    const schema::ZoneCommand &command, const schema::CommandOutcome &outcome, bool waited);

// A job with its tasks. Workers are named by the registrations of the reply.
schema::JobStatusBody describeJob(const schema::JobState &job, const schema::RpcReply &reply);

} // namespace basilgap::admin
