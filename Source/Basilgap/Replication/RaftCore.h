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
    // Least time between two rounds when a barrier waits for one.
    Millis barrierInterval{ 80 };
    // An election starts after a silence drawn from this range.
    Millis electionMin{ 350 };
    Millis electionMax{ 650 };
    // The same where no leader can be there: at the start, after its process has ended, and from
    // one election to the next. Spread over more than a round of votes takes.
    Millis promptElectionMin{ 40 };
    Millis promptElectionMax{ 260 };
    // How long a replica that asks for votes itself refuses those with a lesser claim.
    Millis preVotePriorityTime{ 1000 };
    uint64_t seed = 1;
    size_t maxBatchBytes = 256 * 1024;
    size_t chunkBytes = 64 * 1024;
    // Proposals that may wait for their commit.
    size_t maxUncommitted = 16384;
};

// What the durable state held at the start of the process.
struct RaftPersistentState
{
    schema::HardState hardState;
    schema::SnapshotMeta snapshotMeta;
    std::shared_ptr<const std::string> snapshotState;
    RaftLog log;
};

enum class RaftRole { Follower, PreCandidate, Candidate, Leader };

const char *toText(RaftRole role);

// Work for the caller, in this order: install or truncate, append and write the hard state; sync;
// then send `messages` and apply `committed`. `messagesBeforeSync` need no sync before.
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

// The replicated log of one replica: Raft with pre-vote, check-quorum, learners, single-step
// membership change, leadership transfer and read barriers. Has no clock, socket or file of its
// own. A replica without a membership is blank: it neither votes nor campaigns.
class RaftCore
{
public:
    RaftCore(RaftOptions options, RaftPersistentState persistentState, Millis now);

    // Gives a blank replica the first record of its cell.
    void bootstrap(const schema::Membership &membership, Millis now);

    void tick(Millis now);
    void handleMessage(const schema::RaftMessage &message, Millis now);

    // Adds a record; its index on success. Refused with the leader as peer by any other replica.
    Result<LogIndex> propose(schema::LogRecord::Kind kind, std::string data);

    // Proposes a membership that differs by a single step from the current one, which must be
    // committed.
    Result<LogIndex> proposeMembership(const schema::Membership &membership);

    // The log is durable up to the index.
    void markPersisted(LogIndex index);

    // Number of a heartbeat round that starts after this call. Once confirmedRound() has reached
    // it, this replica was the leader at some moment after the call.
    uint64_t beginBarrier();
    uint64_t confirmedRound() const;

    // Hands leadership to the voter that is furthest ahead, avoiding the given replicas.
    bool transferLeadership(const std::set<ReplicaId> &avoid);

    // The snapshot of the state at the index is durable; records up to keepFrom, included, are
    // dropped.
    void compact(const schema::SnapshotMeta &meta, std::shared_ptr<const std::string> state,
        LogIndex keepFrom);

    // The leader's process is known to have ended: an election comes soon.
    void handleLeaderExit(const ReplicaId &leader, Millis now);

    // A connection to the peer has come up: it is asked for its vote if one is wanted.
    void handlePeerConnected(const ReplicaId &peer, Millis now);

    // Gives up leadership, as when records can't be written any more.
    void stepDown();

    RaftOutput takeOutput();
    // The part of the output that needs no sync of this replica: early messages, and committed
    // records unless a snapshot goes before them. For use while an earlier output is written.
    RaftOutput takeOutputBeforeSync();

    RaftRole role() const { return role_; }
    bool isLeader() const { return role_ == RaftRole::Leader; }
    // A leader that committed a record of its own term knows all committed records.
    bool isEstablishedLeader() const;
    ReplicaId leader() const { return leader_; }
    Term term() const { return Term(hardState_.term()); }
    LogIndex commitIndex() const { return commitIndex_; }
    LogIndex lastIndex() const { return log_.lastIndex(); }
    Term termAt(LogIndex index) const { return log_.termAt(index); }
    const schema::Membership &membership() const { return memberships_.rbegin()->second; }
    schema::Membership membershipAt(LogIndex index) const;
    bool isMembershipCommitted() const;
    // The membership that formed the cell, as long as no other has followed it.
    std::optional<schema::Membership> bootstrapMembership() const;
    bool isUninitialized() const { return membership().members_size() == 0; }
    // Last index known to be held by the member; only known to the leader.
    LogIndex matchIndexOf(const ReplicaId &id) const;
    bool isRecentlyHeard(const ReplicaId &id, Millis now) const;

private:
    struct Progress
    {
        // Of the member's data folder: what another content had acknowledged says nothing.
        uint64_t incarnation = 0;
        uint64_t matchIndex = 0;
        uint64_t nextIndex = 1;
        uint64_t ackedRound = 0;
        uint64_t snapshotOffset = 0;
        uint64_t snapshotIndex = 0;
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
    void sendSnapshotChunk(const schema::Member &member, Progress *progress);
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
    // Memberships by the index of their record; the last one counts, committed or not.
    std::map<uint64_t, schema::Membership> memberships_;
    LogIndex commitIndex_;
    LogIndex persistedIndex_;
    Millis electionDue_;
    Millis heartbeatDue_;
    Millis lastRoundAt_;
    Millis quorumCheckDue_;
    Millis leaderHeardAt_;
    // When this replica first asked for votes since a leader was last known.
    std::optional<Millis> candidateSince_;
    std::set<ReplicaId> votes_;
    std::map<ReplicaId, Progress> progress_;
    uint64_t round_ = 0;
    uint64_t termStartIndex_ = 0;
    bool transferring_ = false;
    Millis transferDue_;
    schema::SnapshotMeta incomingMeta_;
    std::string incomingState_;
    RaftOutput output_;
};

} // namespace basilgap::replication
