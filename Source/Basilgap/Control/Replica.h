#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "Basilgap/Common/Error.h"
#include "Basilgap/Network/BackgroundThread.h"
#include "Basilgap/Network/EventLoop.h"
#include "Basilgap/Network/PeerLink.h"
#include "Basilgap/Network/PeerServer.h"
#include "Basilgap/Replication/LogStorage.h"
#include "Basilgap/Replication/OpenMembership.h"
#include "Basilgap/Replication/RaftCore.h"
#include "Basilgap/State/CellState.h"
#include "Settings.pb.h"

namespace basilgap::control {

// Which replicas become members of the cell.
enum class MembershipMode {
    // The replicas listed in the configuration; until it is first applied, those of the settings.
    Listed,
    // Every replica that asks to join. The settings name some replicas to ask. A voter that stays
    // silent and a learner that is ready change places.
    Open,
};

// A replica of the control state: Raft core, log storage, links to the other replicas, cell state.
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
        // Whether this replica may bootstrap the cell.
        bool canBootstrap = true;
        // This replica leads and has applied all committed records of earlier leaders.
        std::function<void()> onLeadershipGained;
        std::function<void()> onLeadershipLost;
        // Called after each applied command.
        std::function<void(const schema::Command &, const schema::CommandOutcome &)> onApplied;
        // Receives the messages that arrive on the links to other replicas, except probe replies.
        std::function<void(const ReplicaId &, schema::PeerMessage)> onLinkMessage;
        // The link to another replica is lost: what was sent on it may not have arrived.
        std::function<void(const ReplicaId &)> onLinkDown = [](const ReplicaId &) {};
        // Tells the other replicas that this process carries out OrderCalls.
        bool relaysOrders = false;
        // The durable state can no longer be trusted, so the process must end.
        std::function<void(const Error &)> onFatal;
    };

    // Succeeds on a full disk as well. A replica that cannot open its data folder yet is silent,
    // and opens it once there is space.
    static Result<std::unique_ptr<Replica>> start(network::EventLoop &loop, Options options);

    // Handles a message from another replica. Returns false if it is not for the replica.
    bool receive(network::PeerStream &stream, const schema::PeerMessage &message);

    // Proposes a command. The callback receives its outcome after it is applied, or UNAVAILABLE if
    // this replica does not lead, or lost leadership before the outcome was known.
    void propose(schema::Command command, OutcomeCallback callback);

    // Whether a quorum confirmed the leadership of this replica within the last `maxAge`.
    bool isConfirmedLeader(Millis maxAge) const;

    // Calls back with true once a quorum has confirmed, after this call, that this replica leads;
    // with false if it no longer leads.
    void confirmLeadership(std::function<void(bool)> callback);

    // The answer to a probe: this replica, the leader as it knows it, and the members.
    schema::PeerMessage makeProbeReply() const;

    const state::CellState &state() const { return state_; }
    const replication::RaftCore &core() const { return *core_; }
    bool isLeading() const { return isLeading_; }
    // Id of the leader; empty if unknown.
    ReplicaId leader() const { return core_->leader(); }
    // Zero until the data folder has been opened.
    Incarnation incarnation() const { return incarnation_; }
    uint64_t sentBytes() const;
    // Why records cannot be written; empty if they can.
    const std::string &diskError() const { return diskError_; }
    // Why no disk space is held in reserve; empty if it is. What makes the state grow should then
    // be refused.
    const std::string &spaceError() const { return spaceError_; }

    // Other replicas to ask, by id, besides those of the settings and the members.
    void addSeeds(const std::map<ReplicaId, std::string> &addresses);

    // Sends a message to another replica. Returns false if the link is down.
    bool sendTo(const ReplicaId &replica, const schema::PeerMessage &message);
    bool isLinkUp(const ReplicaId &replica) const;

    // Transfers leadership to another replica, preferably outside zones taken out of service.
    bool transferLeadership();

private:
    struct PendingProposal
    {
        uint64_t term = 0;
        OutcomeCallback callback;
    };

    // An output of the Raft core and the result of writing it.
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

    using OpenedStorage = Result<std::unique_ptr<replication::LogStorage>>;

    Replica(network::EventLoop &loop, Options options, OpenedStorage storage);
    static OpenedStorage openStorage(const Options &options, bool mustRewriteLog);
    void load(std::unique_ptr<replication::LogStorage> storage);
    void startCore(replication::RaftPersistentState persistentState);
    void awaitStorage(const Error &error);
    void tick();
    void scheduleFlush();
    void flush();
    void startWrite(replication::RaftOutput output);
    void handleWritten(const FinishedWrite &written);
    void handleFailedWrite(const FinishedWrite &written);
    void resumeFromDisk(bool isRetry);
    void finishOutput(const replication::RaftOutput &output);
    void retryWrite();
    void reopen();
    void send(const std::vector<schema::RaftMessage> &messages);
    void addCommitted(std::vector<schema::LogRecord> records);
    void applyCommitted();
    void apply(const schema::LogRecord &record);
    void completeBarriers();
    void refreshConfirmation();
    void updateRole();
    void failPendingProposals();
    LogIndex trailingStart() const;
    bool isSnapshotDue() const;
    void maybeSnapshot();
    bool saveSnapshot();
    void restoreReserve();
    bool isMuchRemovable() const;
    void setSpaceLow(const Error &reason);
    void updateLinks();
    void sendProbes();
    void handleProbe(network::PeerStream &stream, const schema::Probe &probe);
    void handleProbeReply(const schema::ProbeReply &reply);
    void bootstrapIfAllUninitialized();
    void reconcileMembership();
    bool reconcileMember(const schema::ReplicaConfig &wanted);
    void reconcileOpenMembership();
    bool shouldJoin() const;
    void reportMissingLeader();
    bool canReachVoter(const schema::Member &voter) const;
    void recordMemberAddresses(const schema::ProbeReply &reply);
    void linkToSender(const schema::RaftMessage &message);
    bool learnAddress(const ReplicaId &replica, const std::string &address);
    schema::Member selfMember() const;

    network::EventLoop &loop_;
    Options options_;
    ReplicaId self_;
    // Null while the data folder cannot be opened; then diskError_ says why.
    std::unique_ptr<replication::LogStorage> storage_;
    Incarnation incarnation_;
    std::unique_ptr<replication::RaftCore> core_;
    replication::OpenMembership openMembership_;
    state::CellState state_;
    std::map<ReplicaId, std::unique_ptr<network::PeerLink>> links_;
    std::map<uint64_t, PendingProposal> pendingProposals_;
    std::vector<Barrier> barriers_;
    // Start time of the latest round in which a quorum confirmed the leadership.
    Millis confirmedAt_;
    bool isConfirming_ = false;
    bool isLeading_ = false;
    LogIndex appliedIndex_;
    // Committed records that are not applied yet.
    std::deque<schema::LogRecord> unapplied_;
    // Index of the last record that is written and synced.
    LogIndex durableIndex_;
    // While true, the write thread uses the storage and the event loop must not.
    bool isWriting_ = false;
    // Whether the output that is being written has a snapshot to be installed.
    bool isInstalling_ = false;
    Millis nextSnapshotTry_;
    // The next snapshot must shorten the log as far as possible.
    bool mustFreeSpace_ = false;
    std::string spaceError_;
    Millis nextReserveTry_;
    // Leadership was handed over since the space became low. With all disks low alike, it would
    // otherwise pass from one replica to the next for ever.
    bool hasYieldedLead_ = false;
    std::string diskError_;
    // Whether the log on the disk was the one in memory, but for its end, when the write failed.
    bool isLogCurrent_ = false;
    // Is written again once there are descriptors.
    std::optional<replication::RaftOutput> failedOutput_;
    // Replies of the other replicas since the last probe; used while this one is uninitialized.
    std::map<ReplicaId, schema::ProbeReply> probeReplies_;
    // Probes of replicas that are not members and want to join a cell of listed replicas.
    std::map<ReplicaId, schema::Probe> joinRequests_;
    // Incarnations of the replicas that have probed this one, by their newest probe.
    std::map<ReplicaId, uint64_t> probedIncarnations_;
    // Addresses of replicas learned from their messages, probe replies and later settings, besides
    // members and the settings of the start.
    std::map<ReplicaId, std::string> learnedAddresses_;
    // When a leader was last known.
    Millis leaderLastKnownAt_;
    Millis nextNoLeaderReport_;
    network::Timer tickTimer_;
    network::Timer flushTimer_;
    network::Timer probeTimer_;
    // Declared after the storage, so that it is destroyed before what it writes to.
    network::BackgroundThread writeThread_;
    network::Timer writeRetryTimer_;
};

} // namespace basilgap::control
