#include <algorithm>

#include "Basilgap/Replication/Membership.h"
#include "Basilgap/Replication/RaftCore.h"

namespace basilgap::replication {

namespace {

// Number of unanswered heartbeats after which unacknowledged records are sent again.
constexpr int ResendHeartbeats = 3;

// A member that has been silent for longer is sent the newest snapshot when it is back.
constexpr Millis MaxTransferSilence{ 5000 };

} // namespace

void RaftCore::appendRecord(schema::LogRecord::Kind kind, std::string data)
{
    schema::LogRecord record;
    record.set_index(log_.lastIndex().value() + 1);
    record.set_term(hardState_.term());
    record.set_kind(kind);
    record.set_data(std::move(data));
    recordMembership(record);
    if (kind == schema::LogRecord::MEMBERSHIP)
        trackMembers();
    log_.append(record);
    output_.append.push_back(std::move(record));
}

void RaftCore::broadcast(bool heartbeat)
{
    if (heartbeat) {
        round_++;
        lastRoundAt_ = now_;
        heartbeatDue_ = now_ + options_.heartbeat;
    }
    for (const auto &member : membership().members()) {
        if (member.id() != options_.self.value())
            replicateTo(member, heartbeat);
    }
}

RaftCore::Progress &RaftCore::trackMember(const schema::Member &member)
{
    Progress &progress = progress_[ReplicaId(member.id())];
    if (progress.incarnation == member.incarnation())
        return progress;
    progress = Progress();
    progress.incarnation = member.incarnation();
    progress.nextIndex = log_.lastIndex().value() + 1;
    progress.lastHeardAt = now_;
    return progress;
}

void RaftCore::trackMembers()
{
    for (const auto &member : membership().members())
        trackMember(member);
}

void RaftCore::replicateTo(const schema::Member &member, bool heartbeat)
{
    Progress &progress = trackMember(member);
    if (heartbeat && ++progress.unansweredHeartbeats >= ResendHeartbeats) {
        progress.unansweredHeartbeats = 0;
        startProbing(&progress, progress.matchIndex);
    }
    if (progress.nextIndex <= log_.baseIndex().value()) {
        if (heartbeat)
            sendSnapshotChunk(member, &progress);
        return;
    }
    progress.transfer.reset();
    const bool isNothingDue =
        progress.isProbing ? progress.isProbeSent : progress.nextIndex > log_.lastIndex().value();
    if (!heartbeat && isNothingDue)
        return;
    schema::RaftMessage message = makeMessage(member);
    schema::AppendRequest *request = message.mutable_append_request();
    request->set_previous_index(progress.nextIndex - 1);
    request->set_previous_term(log_.termAt(LogIndex(progress.nextIndex - 1)).value());
    request->set_commit_index(commitIndex_.value());
    request->set_round(round_);
    progress.isProbeSent = progress.isProbing;
    size_t bytes = 0;
    while (!progress.isProbing && progress.nextIndex <= log_.lastIndex().value()) {
        const schema::LogRecord &record = log_.at(LogIndex(progress.nextIndex));
        bytes += record.ByteSizeLong();
        // A record that is larger than a batch is sent by itself.
        if (bytes > options_.maxBatchBytes && request->records_size() > 0)
            break;
        *request->add_records() = record;
        progress.nextIndex++;
    }
    output_.messagesBeforeSync.push_back(std::move(message));
}

// Finds out where the member's log agrees with this one before records are sent. Each rejected
// message would otherwise be answered with all records that follow.
void RaftCore::startProbing(Progress *progress, uint64_t agreedIndex)
{
    progress->nextIndex = agreedIndex + 1;
    progress->isProbing = true;
    progress->isProbeSent = false;
}

void RaftCore::sendSnapshotChunk(const schema::Member &member, Progress *progress)
{
    if (!progress->transfer)
        progress->transfer = SnapshotTransfer{ snapshotMeta_, snapshotState_ };
    const SnapshotTransfer &transfer = *progress->transfer;
    schema::RaftMessage message = makeMessage(member);
    schema::SnapshotChunk *chunk = message.mutable_snapshot_chunk();
    *chunk->mutable_meta() = transfer.meta;
    chunk->set_offset(transfer.offset);
    chunk->set_data(transfer.state->substr(transfer.offset, options_.chunkBytes));
    chunk->set_done(transfer.offset + chunk->data().size() == transfer.state->size());
    chunk->set_round(round_);
    output_.messagesBeforeSync.push_back(std::move(message));
}

// Releases the snapshots that are held for members that have left or fallen silent.
void RaftCore::endIdleTransfers()
{
    for (auto &[id, progress] : progress_) {
        if (findMember(membership(), id) == nullptr
            || now_ - progress.lastHeardAt > MaxTransferSilence)
            progress.transfer.reset();
    }
}

void RaftCore::handleAppend(const schema::RaftMessage &message)
{
    const schema::AppendRequest &request = message.append_request();
    schema::RaftMessage reply;
    if (message.term() < hardState_.term()) {
        reply = makeReply(message);
        reply.mutable_append_reply()->set_match_index(log_.lastIndex().value());
        output_.messages.push_back(std::move(reply));
        return;
    }
    becomeFollower(Term(message.term()), ReplicaId(message.from()));
    leaderHeardAt_ = now_;
    reply = makeReply(message);
    schema::AppendReply *answer = reply.mutable_append_reply();
    answer->set_round(request.round());

    const LogIndex previous(request.previous_index());
    const bool isPreviousCommitted = previous <= commitIndex_;
    const bool matches = isPreviousCommitted
        || (log_.holds(previous) && log_.termAt(previous).value() == request.previous_term());
    if (!matches) {
        // Every leader holds the committed records; those after them may differ from its own.
        answer->set_match_index(std::min(commitIndex_.value(), previous.value() - 1));
        output_.messages.push_back(std::move(reply));
        return;
    }
    storeRecords(request);
    const uint64_t last = previous.value() + static_cast<uint64_t>(request.records_size());
    answer->set_success(true);
    answer->set_match_index(std::max(last, isPreviousCommitted ? commitIndex_.value() : last));
    commitTo(LogIndex(std::min(request.commit_index(), answer->match_index())));
    output_.messages.push_back(std::move(reply));
}

void RaftCore::storeRecords(const schema::AppendRequest &request)
{
    for (const schema::LogRecord &record : request.records()) {
        const LogIndex index(record.index());
        if (index <= commitIndex_)
            continue;
        if (log_.holds(index)) {
            if (log_.termAt(index).value() == record.term())
                continue;
            log_.truncateFrom(index);
            memberships_.erase(memberships_.lower_bound(index.value()), memberships_.end());
            while (!output_.append.empty() && output_.append.back().index() >= index.value())
                output_.append.pop_back();
            if (!output_.truncateFrom || index < *output_.truncateFrom)
                output_.truncateFrom = index;
        }
        recordMembership(record);
        log_.append(record);
        output_.append.push_back(record);
    }
}

RaftCore::Progress *RaftCore::progressOf(const schema::RaftMessage &message)
{
    if (message.term() > hardState_.term()) {
        becomeFollower(Term(message.term()), ReplicaId());
        return nullptr;
    }
    if (!isLeader() || message.term() != hardState_.term())
        return nullptr;
    const ReplicaId id(message.from());
    const schema::Member *member = findMember(membership(), id);
    if (member == nullptr || member->incarnation() != message.from_incarnation())
        return nullptr;
    Progress &progress = trackMember(*member);
    progress.lastHeardAt = now_;
    return &progress;
}

void RaftCore::handleAppendReply(const schema::RaftMessage &message)
{
    const schema::AppendReply &reply = message.append_reply();
    Progress *progress = progressOf(message);
    if (progress == nullptr)
        return;
    progress->ackedRound = std::max(progress->ackedRound, reply.round());
    progress->unansweredHeartbeats = 0;
    if (!reply.success()) {
        return startProbing(progress,
            std::max(progress->matchIndex, std::min(reply.match_index(), progress->nextIndex - 1)));
    }
    if (reply.match_index() > progress->matchIndex)
        progress->matchIndex = std::min(reply.match_index(), log_.lastIndex().value());
    progress->nextIndex = std::max(progress->nextIndex, progress->matchIndex + 1);
    progress->isProbing = false;
    advanceCommit();
}

void RaftCore::handleSnapshotChunk(const schema::RaftMessage &message)
{
    if (message.term() < hardState_.term())
        return;
    becomeFollower(Term(message.term()), ReplicaId(message.from()));
    leaderHeardAt_ = now_;
    const schema::SnapshotChunk &chunk = message.snapshot_chunk();
    schema::RaftMessage reply = makeReply(message);
    schema::SnapshotReply *answer = reply.mutable_snapshot_reply();
    answer->set_index(chunk.meta().index());
    answer->set_round(chunk.round());
    // The log may have reached the snapshot's index by normal replication in the meantime. Then it
    // is kept: the records after that index may already be acknowledged.
    const LogIndex index(chunk.meta().index());
    if (log_.holds(index) && log_.termAt(index).value() == chunk.meta().term())
        commitTo(index);
    if (index <= commitIndex_) {
        answer->set_installed(true);
        output_.messages.push_back(std::move(reply));
        return;
    }
    if (incomingMeta_.index() != chunk.meta().index() || chunk.offset() == 0) {
        incomingMeta_ = chunk.meta();
        incomingState_.clear();
    }
    if (chunk.offset() == incomingState_.size()) {
        incomingState_ += chunk.data();
        if (chunk.done()) {
            installSnapshot(chunk.meta());
            answer->set_installed(true);
        }
    }
    answer->set_next_offset(incomingState_.size());
    output_.messages.push_back(std::move(reply));
}

void RaftCore::installSnapshot(const schema::SnapshotMeta &meta)
{
    schema::Snapshot snapshot;
    *snapshot.mutable_meta() = meta;
    snapshot.set_state(std::move(incomingState_));
    incomingState_.clear();
    incomingMeta_.Clear();
    snapshotMeta_ = meta;
    snapshotState_ = std::make_shared<const std::string>(snapshot.state());
    log_.reset(LogIndex(meta.index()), Term(meta.term()));
    memberships_.clear();
    memberships_[meta.index()] = meta.membership();
    commitIndex_ = LogIndex(meta.index());
    persistedIndex_ = commitIndex_;
    // The pending records precede the snapshot and need not be written or applied any more.
    output_.append.clear();
    output_.committed.clear();
    output_.truncateFrom.reset();
    output_.install = std::move(snapshot);
}

void RaftCore::handleSnapshotReply(const schema::RaftMessage &message)
{
    const schema::SnapshotReply &reply = message.snapshot_reply();
    Progress *progress = progressOf(message);
    if (progress == nullptr)
        return;
    progress->ackedRound = std::max(progress->ackedRound, reply.round());
    progress->unansweredHeartbeats = 0;
    std::optional<SnapshotTransfer> &transfer = progress->transfer;
    if (reply.installed()) {
        progress->matchIndex = std::max(progress->matchIndex, reply.index());
        progress->nextIndex = std::max(progress->nextIndex, progress->matchIndex + 1);
        if (transfer && transfer->meta.index() <= reply.index())
            transfer.reset();
        return;
    }
    if (!transfer || reply.index() != transfer->meta.index()
        || reply.next_offset() > transfer->state->size())
        return;
    const bool advanced = reply.next_offset() != transfer->offset;
    transfer->offset = reply.next_offset();
    const schema::Member *member = findMember(membership(), ReplicaId(message.from()));
    if (advanced)
        sendSnapshotChunk(*member, progress);
}

void RaftCore::advanceCommit()
{
    std::vector<uint64_t> matches;
    for (const auto &member : membership().members()) {
        if (!member.voter())
            continue;
        const ReplicaId id(member.id());
        matches.push_back(id == options_.self ? persistedIndex_.value() : matchIndexOf(id).value());
    }
    if (matches.empty())
        return;
    std::sort(matches.begin(), matches.end());
    const LogIndex index(matches[(matches.size() - 1) / 2]);
    if (index > commitIndex_ && log_.termAt(index).value() == hardState_.term())
        commitTo(index);
}

void RaftCore::commitTo(LogIndex index)
{
    while (commitIndex_ < index && commitIndex_ < log_.lastIndex()) {
        commitIndex_ = LogIndex(commitIndex_.value() + 1);
        output_.committed.push_back(log_.at(commitIndex_));
    }
    if (isLeader() && isMembershipCommitted() && !isSelfVoter())
        becomeFollower(term(), ReplicaId());
}

} // namespace basilgap::replication
