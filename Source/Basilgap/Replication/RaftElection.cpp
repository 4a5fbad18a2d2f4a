#include <algorithm>

#include "Basilgap/Replication/Membership.h"
#include "Basilgap/Replication/RaftCore.h"

namespace basilgap::replication {

void RaftCore::resetElectionDue()
{
    setElectionDue(options_.electionMin, options_.electionMax);
}

void RaftCore::setPromptElectionDue()
{
    setElectionDue(options_.promptElectionMin, options_.promptElectionMax);
}

void RaftCore::setElectionDue(Millis min, Millis max)
{
    const auto spread = static_cast<uint64_t>((max - min).count());
    const auto extra = static_cast<int64_t>(random_() % (spread + 1));
    const bool leavesIt = isReluctant_ && voterCount(membership()) > 1;
    electionDue_ = now_ + min + Millis(extra) + (leavesIt ? options_.reluctance : Millis());
}

void RaftCore::setReluctant(bool isReluctant)
{
    if (isReluctant && !isReluctant_ && voterCount(membership()) > 1)
        electionDue_ += options_.reluctance;
    isReluctant_ = isReluctant;
}

void RaftCore::handleLeaderExit(const ReplicaId &leader, Millis now)
{
    if (role_ != RaftRole::Follower || leader_ != leader)
        return;
    now_ = now;
    leader_ = ReplicaId();
    setPromptElectionDue();
}

bool RaftCore::isSelfVoter() const
{
    const schema::Member *self = findMember(membership(), options_.self);
    return self != nullptr && self->voter() && self->incarnation() == options_.incarnation.value();
}

void RaftCore::becomeFollower(Term term, const ReplicaId &leader)
{
    if (term.value() > hardState_.term()) {
        hardState_.set_term(term.value());
        hardState_.clear_voted_for();
        saveHardState();
    }
    role_ = RaftRole::Follower;
    leader_ = leader;
    if (!leader.value().empty())
        candidateSince_.reset();
    transferring_ = false;
    progress_.clear();
    resetElectionDue();
}

void RaftCore::handlePeerConnected(const ReplicaId &peer, Millis now)
{
    const schema::Member *member = findMember(membership(), peer);
    if (role_ != RaftRole::PreCandidate || member == nullptr || !member->voter())
        return;
    now_ = now;
    requestVote(*member, true, false);
}

// Ranks simultaneous pre-candidates by the last record of their log, then by the order of their
// names. Without a ranking each might win a part of the votes (split vote).
bool RaftCore::outranks(const schema::RaftMessage &message) const
{
    const schema::VoteRequest &request = message.vote_request();
    const auto theirs = std::make_pair(request.last_term(), request.last_index());
    const auto ours = std::make_pair(log_.lastTerm().value(), log_.lastIndex().value());
    if (ours != theirs)
        return ours > theirs;
    return options_.self.value() < message.from();
}

void RaftCore::startPreVote()
{
    if (!candidateSince_)
        candidateSince_ = now_;
    role_ = RaftRole::PreCandidate;
    leader_ = ReplicaId();
    votes_ = { options_.self };
    // This replica has no leader, so it retries soon: the other replicas may only just be starting.
    setPromptElectionDue();
    if (hasQuorum(votes_))
        return startElection(false);
    requestVotes(true, false);
}

void RaftCore::startElection(bool transfer)
{
    role_ = RaftRole::Candidate;
    leader_ = ReplicaId();
    hardState_.set_term(hardState_.term() + 1);
    hardState_.set_voted_for(options_.self.value());
    saveHardState();
    votedAt_ = now_;
    votes_ = { options_.self };
    setPromptElectionDue();
    if (hasQuorum(votes_))
        return becomeLeader();
    requestVotes(false, transfer);
}

void RaftCore::requestVotes(bool preVote, bool transfer)
{
    for (const auto &member : membership().members()) {
        if (member.voter() && member.id() != options_.self.value())
            requestVote(member, preVote, transfer);
    }
}

void RaftCore::requestVote(const schema::Member &member, bool preVote, bool transfer)
{
    schema::RaftMessage message = makeMessage(member);
    if (preVote)
        message.set_term(hardState_.term() + 1);
    schema::VoteRequest *request = message.mutable_vote_request();
    request->set_last_index(log_.lastIndex().value());
    request->set_last_term(log_.lastTerm().value());
    request->set_pre_vote(preVote);
    request->set_transfer(transfer);
    output_.messages.push_back(std::move(message));
}

bool RaftCore::hasQuorum(const std::set<ReplicaId> &votes) const
{
    size_t count = 0;
    for (const auto &member : membership().members())
        count += member.voter() && votes.contains(ReplicaId(member.id())) ? 1 : 0;
    return count * 2 > voterCount(membership());
}

bool RaftCore::isUpToDate(const schema::VoteRequest &request) const
{
    if (request.last_term() != log_.lastTerm().value())
        return request.last_term() > log_.lastTerm().value();
    return request.last_index() >= log_.lastIndex().value();
}

void RaftCore::handleVoteRequest(const schema::RaftMessage &message)
{
    if (isUninitialized())
        return;
    const schema::VoteRequest &request = message.vote_request();
    const bool leaderAlive =
        isLeader() || (!leader_.value().empty() && now_ - leaderHeardAt_ < options_.electionMin);
    if (leaderAlive && !request.transfer())
        return;
    if (!request.pre_vote() && message.term() > hardState_.term())
        becomeFollower(Term(message.term()), ReplicaId());

    bool granted = message.term() >= hardState_.term() && isUpToDate(request);
    if (request.pre_vote()) {
        // A higher-ranked pre-candidate blocks the others for a limited time only: it may itself be
        // unable to reach a quorum.
        const bool isOutranked = role_ == RaftRole::PreCandidate && outranks(message)
            && now_ - candidateSince_.value_or(now_) < options_.preVotePriorityTime;
        const bool holdsVote = votedAt_ && now_ - *votedAt_ < options_.voteHoldTime
            && hardState_.voted_for() != message.from();
        granted = granted && message.term() > hardState_.term() && !isOutranked && !holdsVote;
        if (granted && role_ == RaftRole::PreCandidate) {
            role_ = RaftRole::Follower;
            setPromptElectionDue();
        }
    } else {
        const bool canVote =
            hardState_.voted_for().empty() || hardState_.voted_for() == message.from();
        granted = granted && canVote && message.term() == hardState_.term();
    }
    if (granted && !request.pre_vote()) {
        hardState_.set_voted_for(message.from());
        votedAt_ = now_;
        saveHardState();
        resetElectionDue();
    }
    schema::RaftMessage reply = makeReply(message);
    if (request.pre_vote() && granted)
        reply.set_term(message.term());
    reply.mutable_vote_reply()->set_granted(granted);
    reply.mutable_vote_reply()->set_pre_vote(request.pre_vote());
    output_.messages.push_back(std::move(reply));
}

void RaftCore::handleVoteReply(const schema::RaftMessage &message)
{
    const schema::VoteReply &reply = message.vote_reply();
    const schema::Member *member = findMember(membership(), ReplicaId(message.from()));
    if (member == nullptr || member->incarnation() != message.from_incarnation())
        return;
    if (!reply.granted()) {
        if (message.term() > hardState_.term())
            becomeFollower(Term(message.term()), ReplicaId());
        return;
    }
    const bool isExpectedPreVote = role_ == RaftRole::PreCandidate && reply.pre_vote()
        && message.term() == hardState_.term() + 1;
    const bool isExpectedVote =
        role_ == RaftRole::Candidate && !reply.pre_vote() && message.term() == hardState_.term();
    if (!isExpectedPreVote && !isExpectedVote)
        return;
    votes_.insert(ReplicaId(message.from()));
    if (!hasQuorum(votes_))
        return;
    if (isExpectedPreVote)
        startElection(false);
    else
        becomeLeader();
}

void RaftCore::becomeLeader()
{
    role_ = RaftRole::Leader;
    candidateSince_.reset();
    leader_ = options_.self;
    transferring_ = false;
    progress_.clear();
    trackMembers();
    round_ = 0;
    quorumCheckDue_ = now_ + options_.electionMax;
    heartbeatDue_ = now_;
    appendRecord(schema::LogRecord::NOOP, "");
    termStartIndex_ = log_.lastIndex().value();
    broadcast(true);
    advanceCommit();
}

void RaftCore::checkQuorum()
{
    quorumCheckDue_ = now_ + options_.heartbeat;
    std::set<ReplicaId> recentlyHeard = { options_.self };
    for (const auto &[id, progress] : progress_) {
        if (now_ - progress.lastHeardAt < options_.electionMax)
            recentlyHeard.insert(id);
    }
    if (!hasQuorum(recentlyHeard))
        becomeFollower(term(), ReplicaId());
}

} // namespace basilgap::replication
