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

// Requests that come with an Idempotency-Key: each runs at most once, whichever entries its resends
// arrive at. A resend joins the exchange under way or gets the answer that was kept.
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
        // Runs a request whose claim was granted.
        std::function<void(RequestPointer)> runRequest;
    };

    static Result<std::unique_ptr<ClaimService>> listen(
        network::EventLoop &loop, Options options, const ViewStore &view);

    // Takes a request that has a claim.
    void submit(RequestPointer request);

    // The exchange under a claim of this entry ended.
    void finishClaim(const ClaimKey &key, const ClaimOutcome &outcome);

    // Follows the configuration's retention.
    void expire(Millis now);

    size_t size() const { return claims_.size(); }

private:
    struct RemoteJoin
    {
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
