#pragma once

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "Basilgap/Common/Error.h"
#include "Basilgap/Common/Ids.h"
#include "Basilgap/Common/Millis.h"
#include "Basilgap/Replication/RaftLog.h"
#include "Replication.pb.h"

namespace basilgap::replication {

struct RaftOptions
{
    ReplicaId self;
    Incarnation incarnation;
    Millis heartbeat{ 100 };
    // Minimum time between two heartbeat rounds while a read barrier waits for a round.
    Millis barrierInterval{ 80 };
    // Range of the randomized election timeout.
    Millis electionMin{ 350 };
    Millis electionMax{ 650 };
    // Range of the randomized election timeout when there can be no leader: after the start of the
    // process, after the leader's process has ended, and between consecutive elections. The range
    // is wider than the time of a round of votes, which makes split votes less likely.
    Millis promptElectionMin{ 40 };
    Millis promptElectionMax{ 260 };
    // How long a pre-candidate refuses its pre-vote to pre-candidates that it outranks.
    Millis preVotePriorityTime{ 1000 };
    // A replica that has voted supports no other candidate for this time. The one that it voted for
    // may lead already, and its first message may be under way.
    Millis voteHoldTime{ 150 };
    // How much later a reluctant replica starts an election. The others elect a leader by then.
    Millis reluctance{ 700 };
    uint64_t seed = 1;
    size_t maxBatchBytes = 256 * 1024;
    size_t chunkBytes = 64 * 1024;
    // Maximum number of records that are not committed yet.
    size_t maxUncommitted = 16384;
    // No further record is taken while those that are not committed, or not written by this
    // replica, have that many bytes. Memory and disk hold them beside the state and its snapshots.
    uint64_t maxUnwrittenBytes = 16 * 1024 * 1024;
};

// The durable state of the replica as read at the start of the process.
struct RaftPersistentState
{
    schema::HardState hardState;
    schema::SnapshotMeta snapshotMeta;
    std::shared_ptr<const std::string> snapshotState;
    RaftLog log;
};

enum class RaftRole { Follower, PreCandidate, Candidate, Leader };

const char *toText(RaftRole role);

// Work for the caller, in this order: install the snapshot or truncate the log, append the records
// and write the hard state; sync; send `messages` and apply `committed`. `messagesBeforeSync` may
// be sent before the sync.
struct RaftOutput
{
    std::optional<schema::Snapshot> install;
    std::optional<LogIndex> truncateFrom;
    std::vector<schema::LogRecord> append;
    std::optional<schema::HardState> hardState;
    std::vector<schema::RaftMessage> messagesBeforeSync;
    std::vector<schema::RaftMessage> messages;
    std::vector<schema::LogRecord> committed;

    bool needsSync() const { return install || truncateFrom || !append.empty() || hardState; }
    bool isEmpty() const
    {
        return !needsSync() && messagesBeforeSync.empty() && messages.empty() && committed.empty();
    }
};

// The replicated log of one replica: Raft with pre-vote, check-quorum, learners, single-server
// membership changes, leadership transfer and read barriers. A pure state machine without clock,
// sockets or files. A replica without a membership is uninitialized: it neither votes nor
// campaigns.
class RaftCore
{
public:
    RaftCore(RaftOptions options, RaftPersistentState persistentState, Millis now);

    // Bootstraps an uninitialized replica with the first record of its cell, the membership.
    void bootstrap(const schema::Membership &membership, Millis now);

    void tick(Millis now);
    void handleMessage(const schema::RaftMessage &message, Millis now);

    // Appends a record and returns its index. Fails on a replica that is not the leader; the error
    // then names the leader as peer.
    Result<LogIndex> propose(schema::LogRecord::Kind kind, std::string data);

    // Proposes a membership that differs from the current one by a single voter at most. The
    // current one must be committed.
    Result<LogIndex> proposeMembership(const schema::Membership &membership);

    // Called when the log is durable up to and including the index.
    void markPersisted(LogIndex index);

    // Starts a read barrier: returns the number of a heartbeat round that starts after this call.
    // Once confirmedRound() has reached it, this replica was still the leader at some moment after
    // the call.
    uint64_t beginBarrier();
    uint64_t confirmedRound() const;

    // Transfers leadership to the most up-to-date voter that is not in `avoid`. Returns whether the
    // transfer was started.
    bool transferLeadership(const std::set<ReplicaId> &avoid);

    // Called when a snapshot is durable: keeps it for members that lag behind, and removes the log
    // records up to and including `keepFrom`.
    void compact(const schema::SnapshotMeta &meta, std::shared_ptr<const std::string> state,
        LogIndex keepFrom);

    // Called when the leader's process is known to have ended: shortens the election timeout.
    void handleLeaderExit(const ReplicaId &leader, Millis now);

    // Called when a connection to the peer has been established: a pre-candidate requests its vote.
    void handlePeerConnected(const ReplicaId &peer, Millis now);

    // A reluctant replica leaves elections to the others for a time, for instance because it has
    // little disk space.
    void setReluctant(bool isReluctant);

    // Gives up leadership, for instance because records can't be written any more.
    void stepDown();

    RaftOutput takeOutput();
    // The next two take the parts of the output that do not depend on a sync of this replica.
    // Called while an earlier output is being written.
    std::vector<schema::RaftMessage> takeMessagesBeforeSync();
    // None if a snapshot must be installed first.
    std::vector<schema::LogRecord> takeCommittedBeforeSync();

    RaftRole role() const { return role_; }
    bool isLeader() const { return role_ == RaftRole::Leader; }
    // Whether this leader has committed a record of its own term. Only then does its commit index
    // cover all committed records.
    bool isEstablishedLeader() const;
    // Empty if unknown, and once nothing was heard from it for the election timeout.
    ReplicaId leader() const { return leader_; }
    // Whether this replica leads, or has heard the leader within the election timeout.
    bool hasLiveLeader(Millis now) const
    {
        return isLeader() || (!leader_.value().empty() && now < electionDue_);
    }
    Term term() const { return Term(hardState_.term()); }
    LogIndex commitIndex() const { return commitIndex_; }
    LogIndex lastIndex() const { return log_.lastIndex(); }
    // Last record that the newest snapshot covers; 0 without one.
    LogIndex snapshotIndex() const { return LogIndex(snapshotMeta_.index()); }
    // Whether records that were written before are still to be removed from the disk.
    bool hasPendingTruncation() const { return output_.truncateFrom || output_.install; }
    uint64_t bytesAfter(LogIndex index) const { return log_.bytesAfter(index); }
    // Size of the records up to the index that the newest snapshot does not cover.
    uint64_t bytesSinceSnapshot(LogIndex upTo) const
    {
        return log_.bytesAfter(snapshotIndex()) - log_.bytesAfter(std::max(upTo, snapshotIndex()));
    }
    Term termAt(LogIndex index) const { return log_.termAt(index); }
    const schema::Membership &membership() const { return memberships_.rbegin()->second; }
    schema::Membership membershipAt(LogIndex index) const;
    bool isMembershipCommitted() const;
    // The membership that bootstrapped the cell, as long as it is the current one.
    std::optional<schema::Membership> bootstrapMembership() const;
    bool isUninitialized() const { return membership().members_size() == 0; }
    // Last index known to be replicated to the member; 0 on a replica that does not lead.
    LogIndex matchIndexOf(const ReplicaId &id) const;
    bool isRecentlyHeard(const ReplicaId &id, Millis now) const;

private:
    // A snapshot that a member is being sent. It stays the same while newer ones are taken, since
    // otherwise a slow member would never receive a whole one.
    struct SnapshotTransfer
    {
        schema::SnapshotMeta meta;
        std::shared_ptr<const std::string> state;
        uint64_t offset = 0;
    };

    struct Progress
    {
        // Incarnation of the member's data folder. Acknowledgements of another incarnation are
        // void, as its records may be lost.
        uint64_t incarnation = 0;
        uint64_t matchIndex = 0;
        uint64_t nextIndex = 1;
        // Where the member's log agrees with this one is not known: messages without records are
        // sent, one at a time, until one is accepted.
        bool isProbing = false;
        bool isProbeSent = false;
        uint64_t ackedRound = 0;
        std::optional<SnapshotTransfer> transfer;
        int unansweredHeartbeats = 0;
        Millis lastHeardAt;
    };

    // RaftElection.cpp
    void becomeFollower(Term term, const ReplicaId &leader);
    void startPreVote();
    void startElection(bool transfer);
    void becomeLeader();
    void handleVoteRequest(const schema::RaftMessage &message);
    void handleVoteReply(const schema::RaftMessage &message);
    bool isUpToDate(const schema::VoteRequest &request) const;
    bool isElectionDue() const { return now_ >= electionDue_; }
    void resetElectionDue();
    void setPromptElectionDue();
    void setElectionDue(Millis min, Millis max);
    void requestVotes(bool preVote, bool transfer);
    void requestVote(const schema::Member &member, bool preVote, bool transfer);
    bool outranks(const schema::RaftMessage &message) const;
    bool hasQuorum(const std::set<ReplicaId> &votes) const;
    void checkQuorum();
    bool isSelfVoter() const;

    // RaftReplication.cpp
    void appendRecord(schema::LogRecord::Kind kind, std::string data);
    void broadcast(bool heartbeat);
    void replicateTo(const schema::Member &member, bool heartbeat);
    static void startProbing(Progress *progress, uint64_t agreedIndex);
    void sendSnapshotChunk(const schema::Member &member, Progress *progress);
    void endIdleTransfers();
    void handleAppend(const schema::RaftMessage &message);
    void storeRecords(const schema::AppendRequest &request);
    void handleAppendReply(const schema::RaftMessage &message);
    void handleSnapshotChunk(const schema::RaftMessage &message);
    void installSnapshot(const schema::SnapshotMeta &meta);
    void handleSnapshotReply(const schema::RaftMessage &message);
    void advanceCommit();
    void commitTo(LogIndex index);
    Progress *progressOf(const schema::RaftMessage &message);
    Progress &trackMember(const schema::Member &member);
    void trackMembers();

    // RaftCore.cpp
    schema::RaftMessage makeMessage(const schema::Member &to) const;
    schema::RaftMessage makeReply(const schema::RaftMessage &to) const;
    bool isAddressedToUs(const schema::RaftMessage &message) const;
    void saveHardState() { hardStateChanged_ = true; }
    void rebuildMemberships();
    void recordMembership(const schema::LogRecord &record);

    RaftOptions options_;
    std::mt19937_64 random_;
    Millis now_;
    RaftRole role_ = RaftRole::Follower;
    schema::HardState hardState_;
    bool hardStateChanged_ = false;
    ReplicaId leader_;
    RaftLog log_;
    schema::SnapshotMeta snapshotMeta_;
    std::shared_ptr<const std::string> snapshotState_;
    // Memberships by the index of their record. The last one is in effect, committed or not.
    std::map<uint64_t, schema::Membership> memberships_;
    LogIndex commitIndex_;
    LogIndex persistedIndex_;
    Millis electionDue_;
    Millis heartbeatDue_;
    Millis lastRoundAt_;
    Millis quorumCheckDue_;
    Millis leaderHeardAt_;
    // When this replica last voted in an election, also for itself; absent since its start.
    std::optional<Millis> votedAt_;
    // Time at which this replica first became a pre-candidate since it last knew a leader.
    std::optional<Millis> candidateSince_;
    std::set<ReplicaId> votes_;
    std::map<ReplicaId, Progress> progress_;
    uint64_t round_ = 0;
    uint64_t termStartIndex_ = 0;
    bool transferring_ = false;
    bool isReluctant_ = false;
    Millis transferDue_;
    schema::SnapshotMeta incomingMeta_;
    std::string incomingState_;
    RaftOutput output_;
};

} // namespace basilgap::replication
