#include "Basilgap/Replication/RaftCore.h"

#include <algorithm>
#include <utility>

#include "Basilgap/Replication/Membership.h"

namespace basilgap::replication {

namespace {

// The term of the record that forms a cell. Elections start after it.
constexpr uint64_t FirstTerm = 1;

} // namespace

const char *toText(RaftRole role)
{
    switch (role) {
    case RaftRole::Follower:
        return "follower";
    case RaftRole::PreCandidate:
        return "pre-candidate";
    case RaftRole::Candidate:
        return "candidate";
    case RaftRole::Leader:
        return "leader";
    }
    return "?";
}

RaftCore::RaftCore(RaftOptions options, RaftPersistentState persistentState, Millis now)
    : options_(std::move(options))
    , random_(options_.seed)
    , now_(now)
    , hardState_(std::move(persistentState.hardState))
    , log_(std::move(persistentState.log))
    , snapshotMeta_(std::move(persistentState.snapshotMeta))
    , snapshotState_(std::move(persistentState.snapshotState))
    , commitIndex_(snapshotMeta_.index())
    , persistedIndex_(log_.lastIndex())
    // The leader from before the restart may still hold a read lease, which relies on this replica
    // not voting for another one.
    , leaderHeardAt_(now)
{
    rebuildMemberships();
    setPromptElectionDue();
}

void RaftCore::rebuildMemberships()
{
    memberships_.clear();
    memberships_[snapshotMeta_.index()] = snapshotMeta_.membership();
    for (uint64_t i = std::max(snapshotMeta_.index(), log_.baseIndex().value()) + 1;
         i <= log_.lastIndex().value(); i++)
        recordMembership(log_.at(LogIndex(i)));
}

void RaftCore::recordMembership(const schema::LogRecord &record)
{
    if (record.kind() != schema::LogRecord::MEMBERSHIP)
        return;
    schema::Membership membership;
    if (membership.ParseFromString(record.data()))
        memberships_[record.index()] = std::move(membership);
}

schema::Membership RaftCore::membershipAt(LogIndex index) const
{
    auto after = memberships_.upper_bound(index.value());
    if (after == memberships_.begin())
        return {};
    return std::prev(after)->second;
}

bool RaftCore::isMembershipCommitted() const
{
    return memberships_.rbegin()->first <= commitIndex_.value();
}

std::optional<schema::Membership> RaftCore::bootstrapMembership() const
{
    const auto &[index, membership] = *memberships_.rbegin();
    if (index != 1)
        return std::nullopt;
    return membership;
}

void RaftCore::bootstrap(const schema::Membership &membership, Millis now)
{
    // A replica whose disk had space for its first term and not for its first record starts again.
    const bool hasActed = hardState_.term() > FirstTerm || !hardState_.voted_for().empty();
    if (!isUninitialized() || log_.lastIndex().value() != 0 || hasActed)
        return;
    now_ = now;
    schema::LogRecord record;
    record.set_index(1);
    record.set_term(FirstTerm);
    record.set_kind(schema::LogRecord::MEMBERSHIP);
    record.set_data(membership.SerializeAsString());
    recordMembership(record);
    log_.append(record);
    output_.append.push_back(std::move(record));
    hardState_.set_term(FirstTerm);
    saveHardState();
    resetElectionDue();
}

void RaftCore::tick(Millis now)
{
    now_ = now;
    if (isUninitialized())
        return;
    if (isLeader()) {
        if (transferring_ && now_ >= transferDue_)
            transferring_ = false;
        if (now_ >= quorumCheckDue_)
            checkQuorum();
        if (isLeader() && now_ >= heartbeatDue_)
            broadcast(true);
        return;
    }
    if (!isElectionDue())
        return;
    if (isSelfVoter())
        startPreVote();
    else
        leader_ = ReplicaId();
}

bool RaftCore::isAddressedToUs(const schema::RaftMessage &message) const
{
    if (message.to() != options_.self.value()
        || message.to_incarnation() != options_.incarnation.value())
        return false;
    return isUninitialized() || message.cell_id() == membership().cell_id();
}

void RaftCore::handleMessage(const schema::RaftMessage &message, Millis now)
{
    now_ = now;
    if (!isAddressedToUs(message))
        return;
    switch (message.body_case()) {
    case schema::RaftMessage::kVoteRequest:
        return handleVoteRequest(message);
    case schema::RaftMessage::kVoteReply:
        return handleVoteReply(message);
    case schema::RaftMessage::kAppendRequest:
        return handleAppend(message);
    case schema::RaftMessage::kAppendReply:
        return handleAppendReply(message);
    case schema::RaftMessage::kSnapshotChunk:
        return handleSnapshotChunk(message);
    case schema::RaftMessage::kSnapshotReply:
        return handleSnapshotReply(message);
    case schema::RaftMessage::kTimeoutNow:
        if (message.term() == hardState_.term() && isSelfVoter())
            startElection(true);
        return;
    case schema::RaftMessage::BODY_NOT_SET:
        return;
    }
}

Result<LogIndex> RaftCore::propose(schema::LogRecord::Kind kind, std::string data)
{
    if (!isLeader() || transferring_)
        return fail({ ErrorCode::Refused, "propose", leader_.value(), "not the leader" });
    if (log_.lastIndex().value() - commitIndex_.value() >= options_.maxUncommitted)
        return fail({ ErrorCode::Full, "propose", "", "too many records wait for a quorum" });
    if (log_.bytesAfter(std::min(commitIndex_, persistedIndex_)) >= options_.maxUnwrittenBytes)
        return fail({ ErrorCode::Full, "propose", "", "too many bytes wait to be written" });
    appendRecord(kind, std::move(data));
    return log_.lastIndex();
}

Result<LogIndex> RaftCore::proposeMembership(const schema::Membership &membership)
{
    if (!isEstablishedLeader() || !isMembershipCommitted())
        return fail({ ErrorCode::Refused, "propose-membership", leader_.value(),
            "an earlier change is not committed" });
    if (!isSingleVoterChange(this->membership(), membership))
        return fail(
            { ErrorCode::Invalid, "propose-membership", "", "more than one voter differs" });
    return propose(schema::LogRecord::MEMBERSHIP, membership.SerializeAsString());
}

void RaftCore::markPersisted(LogIndex index)
{
    persistedIndex_ = std::min(index, log_.lastIndex());
    if (isLeader())
        advanceCommit();
}

bool RaftCore::isEstablishedLeader() const
{
    return isLeader() && commitIndex_.value() >= termStartIndex_;
}

uint64_t RaftCore::beginBarrier()
{
    heartbeatDue_ = std::min(heartbeatDue_, lastRoundAt_ + options_.barrierInterval);
    return round_ + 1;
}

uint64_t RaftCore::confirmedRound() const
{
    if (!isEstablishedLeader())
        return 0;
    std::vector<uint64_t> rounds;
    for (const auto &member : membership().members()) {
        if (!member.voter())
            continue;
        const ReplicaId id(member.id());
        const auto progress = progress_.find(id);
        if (id == options_.self)
            rounds.push_back(round_);
        else
            rounds.push_back(progress == progress_.end() ? 0 : progress->second.ackedRound);
    }
    std::sort(rounds.begin(), rounds.end());
    return rounds.empty() ? 0 : rounds[(rounds.size() - 1) / 2];
}

bool RaftCore::transferLeadership(const std::set<ReplicaId> &avoid)
{
    if (!isEstablishedLeader() || transferring_)
        return false;
    const schema::Member *best = nullptr;
    for (const auto &member : membership().members()) {
        const ReplicaId id(member.id());
        if (!member.voter() || id == options_.self || avoid.contains(id)
            || !isRecentlyHeard(id, now_))
            continue;
        if (best == nullptr || matchIndexOf(id) > matchIndexOf(ReplicaId(best->id())))
            best = &member;
    }
    if (best == nullptr || matchIndexOf(ReplicaId(best->id())) != log_.lastIndex())
        return false;
    schema::RaftMessage message = makeMessage(*best);
    message.mutable_timeout_now();
    output_.messages.push_back(std::move(message));
    transferring_ = true;
    transferDue_ = now_ + options_.electionMax;
    return true;
}

void RaftCore::compact(
    const schema::SnapshotMeta &meta, std::shared_ptr<const std::string> state, LogIndex keepFrom)
{
    if (meta.index() < snapshotMeta_.index())
        return;
    snapshotMeta_ = meta;
    snapshotState_ = std::move(state);
    endIdleTransfers();
    log_.compactTo(std::min(keepFrom, LogIndex(meta.index())));
    const schema::Membership current = membershipAt(LogIndex(meta.index()));
    memberships_.erase(memberships_.begin(), memberships_.upper_bound(meta.index()));
    memberships_[meta.index()] = current;
}

void RaftCore::stepDown()
{
    if (isLeader())
        becomeFollower(term(), ReplicaId());
}

std::vector<schema::RaftMessage> RaftCore::takeMessagesBeforeSync()
{
    if (isLeader())
        broadcast(false);
    return std::exchange(output_.messagesBeforeSync, {});
}

std::vector<schema::LogRecord> RaftCore::takeCommittedBeforeSync()
{
    if (output_.install)
        return {};
    return std::exchange(output_.committed, {});
}

RaftOutput RaftCore::takeOutput()
{
    if (isLeader())
        broadcast(false);
    if (hardStateChanged_)
        output_.hardState = hardState_;
    hardStateChanged_ = false;
    RaftOutput taken;
    std::swap(taken, output_);
    return taken;
}

LogIndex RaftCore::matchIndexOf(const ReplicaId &id) const
{
    const auto progress = progress_.find(id);
    return LogIndex(progress == progress_.end() ? 0 : progress->second.matchIndex);
}

bool RaftCore::isRecentlyHeard(const ReplicaId &id, Millis now) const
{
    const auto progress = progress_.find(id);
    return progress != progress_.end() && now - progress->second.lastHeardAt < options_.electionMax;
}

schema::RaftMessage RaftCore::makeMessage(const schema::Member &to) const
{
    schema::RaftMessage message;
    message.set_from(options_.self.value());
    message.set_from_incarnation(options_.incarnation.value());
    message.set_to(to.id());
    message.set_to_incarnation(to.incarnation());
    message.set_term(hardState_.term());
    message.set_cell_id(membership().cell_id());
    if (const schema::Member *self = findMember(membership(), options_.self))
        message.set_from_address(self->address());
    return message;
}

schema::RaftMessage RaftCore::makeReply(const schema::RaftMessage &to) const
{
    schema::RaftMessage message;
    message.set_from(options_.self.value());
    message.set_from_incarnation(options_.incarnation.value());
    message.set_to(to.from());
    message.set_to_incarnation(to.from_incarnation());
    message.set_term(hardState_.term());
    message.set_cell_id(to.cell_id());
    return message;
}

} // namespace basilgap::replication
