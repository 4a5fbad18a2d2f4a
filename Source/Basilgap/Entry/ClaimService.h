#pragma once

#include <functional>
#include <map>
#include <memory>

#include "Basilgap/Entry/LocalClaimTable.h"
#include "Basilgap/Entry/Request.h"
#include "Basilgap/Entry/ViewStore.h"
#include "Basilgap/Network/PeerLink.h"
#include "Basilgap/Network/PeerServer.h"
#include "Basilgap/Network/RpcClient.h"

namespace basilgap::entry {

// Handles requests with an Idempotency-Key. Each runs at most once, whichever entries its resends
// arrive at: a resend joins the running exchange or gets the retained answer.
class ClaimService
{
public:
    struct Options
    {
        EntryId entry;
        Incarnation incarnation;
        std::string peerAddress;
        std::string cellKey;
        network::RpcClient &rpc;
        // Runs a request whose claim the leader accepted.
        std::function<void(RequestPointer)> runRequest;
    };

    static Result<std::unique_ptr<ClaimService>> listen(
        network::EventLoop &loop, Options options, const ViewStore &view);

    // Opens the request's claim at the leader, or joins the exchange that already has it.
    void submit(RequestPointer request);

    // Records the end of the exchange of a claim that this entry opened.
    void finishClaim(const ClaimKey &key, const ClaimOutcome &outcome);

    // Removes finished claims after the configured retention time.
    void expire(Millis now);

    size_t size() const { return claims_.size(); }

private:
    // A request that waits for the answer of an exchange on another entry.
    struct RemoteJoin
    {
        // Its `backend` holds the id of that entry, its `sentAt` the time of the last JoinRequest.
        RequestPointer request;
        Millis deadline;
    };

    ClaimService(network::EventLoop &loop, Options options, const ViewStore &view);
    void handleOpenReply(RequestPointer request, const Result<schema::RpcReply> &reply);
    void releaseClaim(const ClaimKey &key);
    void joinLocal(RequestPointer request);
    void joinRemote(const EntryId &owner, RequestPointer request);
    void handlePeer(network::PeerStream &stream, const schema::PeerMessage &message);
    void handleJoinReply(const schema::JoinReply &reply);
    network::PeerLink *linkTo(const EntryId &owner);
    void tick();

    network::EventLoop &loop_;
    Options options_;
    const ViewStore &view_;
    LocalClaimTable claims_;
    std::unique_ptr<network::PeerServer> peerServer_;
    std::map<EntryId, std::unique_ptr<network::PeerLink>> links_;
    std::map<uint64_t, RemoteJoin> remoteJoins_;
    std::map<uint64_t, network::PeerStream *> streams_;
    uint64_t nextJoinId_ = 1;
    network::Timer tickTimer_;
};

} // namespace basilgap::entry
