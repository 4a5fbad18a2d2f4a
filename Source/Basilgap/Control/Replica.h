#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "Basilgap/Common/Error.h"
#include "Basilgap/Network/EventLoop.h"
#include "Basilgap/Network/PeerLink.h"
#include "Basilgap/Network/PeerServer.h"
#include "Basilgap/Network/SerialWorker.h"
#include "Basilgap/Replication/LogStorage.h"
#include "Basilgap/Replication/RaftCore.h"
#include "Basilgap/State/CellState.h"
#include "Settings.pb.h"

namespace basilgap::control {

// Who becomes a member of the cell.
enum class MembershipMode {
    // The replicas that the configuration lists, or before the first file those of the settings.
    Listed,
    // Whoever asks to join; the settings name some that may be asked. Voters that stay silent while
    // a learner is at hand make room for it.
    Open,
};

// Runs one replica: the log core, its storage, the links to the other replicas and the cell state.
class Replica
{
public:
    using OutcomeCallback = std::function<void(const schema::CommandOutcome &)>;

    struct Options
    {
        const schema::ControlSettings &settings;
        std::string cellKey;
        replication::DiskCalls &disk;
        MembershipMode membership = MembershipMode::Listed;
        // Whether this replica may be among those that form the cell.
        bool canBootstrap = true;
        // This replica knows all committed records of earlier leaders and leads.
        std::function<void()> onLeadershipGained;
        std::function<void()> onLeadershipLost;
        // A command was applied.
        std::function<void(const schema::Command &, const schema::CommandOutcome &)> onApplied;
        // Messages that arrive on the links to other replicas.
        std::function<void(schema::PeerMessage)> onLinkMessage;
        // The durable state can't be trusted any more; the process must end.
        std::function<void(const Error &)> onFatal;
    };

    static Result<std::unique_ptr<Replica>> start(network::EventLoop &loop, Options options);

    // Handles a message that arrived from another replica; false when it is for somebody else.
    bool receive(network::PeerStream &stream, const schema::PeerMessage &message);

    // Proposes a command; the callback gets its outcome once it is applied, or UNAVAILABLE when
    // this replica does not lead or lost the lead before it knew.
    void propose(schema::Command command, OutcomeCallback callback);

    // Whether a quorum confirmed, no longer ago than the given age, that this replica leads.
    bool isConfirmedLeader(Millis maxAge) const;

    // Calls back once a quorum confirmed after this call that this replica leads; with false when
    // it does not any more.
    void confirmLeadership(std::function<void(bool)> callback);

    // Tells who this replica is and who leads.
    schema::PeerMessage makeProbeReply() const;

    const state::CellState &state() const { return state_; }
    const replication::RaftCore &core() const { return *core_; }
    bool isLeading() const { return isLeading_; }
    // The leader's id, or an empty one.
    ReplicaId leader() const { return core_->leader(); }
    Incarnation incarnation() const { return storage_->incarnation(); }
    uint64_t tornBytes() const { return storage_->tornBytes(); }
    uint64_t sentBytes() const;
    // Why no record can be written; empty when it can.
    const std::string &diskError() const { return diskError_; }

    // Sends a message to another replica; false when the link is down.
    bool sendTo(const ReplicaId &replica, const schema::PeerMessage &message);

    // Hands leadership to another replica, outside the given zones where possible.
    bool transferLeadership();

private:
    struct PendingProposal
    {
        uint64_t term = 0;
        OutcomeCallback callback;
    };

    // An output and what became of its write.
    struct FinishedWrite
    {
        replication::RaftOutput output;
        Result<void> result;
    };

    struct Barrier
    {
        uint64_t round = 0;
        std::function<void(bool)> callback;
    };

    Replica(network::EventLoop &loop, Options options,
        std::unique_ptr<replication::LogStorage> storage);
    void restoreState();
    void tick();
    void scheduleFlush();
    void flush();
    void startWrite(replication::RaftOutput output);
    void handleWritten(const FinishedWrite &written);
    void finishOutput(const replication::RaftOutput &output);
    void retryWrite();
    void send(const std::vector<schema::RaftMessage> &messages);
    void applyAll(const std::vector<schema::LogRecord> &records);
    void apply(const schema::LogRecord &record);
    void completeBarriers();
    void refreshConfirmation();
    void updateRole();
    void failPendingProposals();
    void maybeSnapshot();
    void updateLinks();
    void sendProbes();
    void handleProbe(network::PeerStream &stream, const schema::Probe &probe);
    void handleProbeReply(const schema::ProbeReply &reply);
    void bootstrapIfAllUninitialized();
    void reconcileMembership();
    bool reconcileMember(const schema::ReplicaConfig &wanted);
    void reconcileOpenMembership();
    bool addJoiningLearner();
    bool removeSilentMember(Millis now);
    bool promoteLearner(Millis now);
    bool shouldJoin() const;
    void recordMemberAddresses(const schema::ProbeReply &reply);
    schema::Member selfMember() const;

    network::EventLoop &loop_;
    Options options_;
    ReplicaId self_;
    std::unique_ptr<replication::LogStorage> storage_;
    std::unique_ptr<replication::RaftCore> core_;
    state::CellState state_;
    std::map<ReplicaId, std::unique_ptr<network::PeerLink>> links_;
    std::map<uint64_t, PendingProposal> pendingProposals_;
    std::vector<Barrier> barriers_;
    // Beginning of the newest round that a quorum confirmed, and of the one under way.
    Millis confirmedAt_;
    bool isConfirming_ = false;
    bool isLeading_ = false;
    LogIndex appliedIndex_;
    // Last record that is written and synced.
    LogIndex durableIndex_;
    // The worker thread writes: the storage is not touched by the loop.
    bool isWriting_ = false;
    uint64_t logBytesAtSnapshot_ = 0;
    std::string diskError_;
    replication::RaftOutput failedOutput_;
    // What the other replicas said while this one has no state.
    std::map<ReplicaId, schema::ProbeReply> probeReplies_;
    // Incarnations of blank replicas that asked to join.
    std::map<ReplicaId, schema::Probe> joinRequests_;
    // Addresses of other replicas that this one was told of, beside members and settings.
    std::map<ReplicaId, std::string> learnedAddresses_;
    // When each member was last heard while this replica led.
    std::map<ReplicaId, Millis> lastHeardAt_;
    // When this replica last knew of a leader.
    Millis leaderLastKnownAt_;
    network::Timer tickTimer_;
    network::Timer flushTimer_;
    network::Timer probeTimer_;
    // Ends before what it writes to.
    network::SerialWorker writeThread_;
    network::Timer writeRetryTimer_;
};

} // namespace basilgap::control
