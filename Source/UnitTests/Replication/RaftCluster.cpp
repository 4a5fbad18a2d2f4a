#include "UnitTests/Replication/RaftCluster.h"

#include <algorithm>

namespace basilgap::replication {

namespace {

constexpr Millis TickInterval{ 20 };

} // namespace

RaftCluster::RaftCluster(
    size_t size, uint64_t seed, size_t spares, const std::vector<std::string> &zones)
    : random_(seed)
    , nodes_(size + spares)
{
    schema::Membership membership;
    membership.set_cell_id(7);
    for (Node &node : nodes_)
        node.disk.incarnation = Incarnation(nextIncarnation_++);
    for (size_t i = 0; i < size; i++) {
        schema::Member *member = membership.add_members();
        member->set_id("r" + std::to_string(i));
        member->set_incarnation(nodes_[i].disk.incarnation.value());
        member->set_voter(true);
        if (!zones.empty())
            member->set_zone(zones.at(i));
    }
    for (size_t i = 0; i < nodes_.size(); i++)
        start(i);
    for (size_t i = 0; i < size; i++) {
        nodes_[i].core->bootstrap(membership, now_);
        processOutput(i);
    }
}

void RaftCluster::start(size_t index)
{
    Node &node = nodes_[index];
    RaftPersistentState persistentState;
    persistentState.hardState = node.disk.hardState;
    persistentState.snapshotMeta = node.disk.snapshot.meta();
    persistentState.snapshotState = std::make_shared<const std::string>(node.disk.snapshot.state());
    persistentState.log = RaftLog(LogIndex(node.disk.snapshot.meta().index()),
        Term(node.disk.snapshot.meta().term()), node.disk.records);
    node.applied = node.disk.snapshot.meta().index();
    node.core =
        std::make_unique<RaftCore>(RaftOptions{ .self = ReplicaId("r" + std::to_string(index)),
                                       .incarnation = node.disk.incarnation,
                                       .seed = random_(),
                                       .chunkBytes = 8 },
            std::move(persistentState), now_);
}

void RaftCluster::write(Disk *disk, const RaftOutput &output)
{
    if (output.hardState)
        disk->hardState = *output.hardState;
    if (output.install) {
        disk->snapshot = *output.install;
        disk->records.clear();
    }
    if (output.truncateFrom)
        std::erase_if(disk->records,
            [&](const auto &record) { return record.index() >= output.truncateFrom->value(); });
    disk->records.insert(disk->records.end(), output.append.begin(), output.append.end());
}

void RaftCluster::apply(size_t index, const schema::LogRecord &record)
{
    Node &node = nodes_[index];
    if (record.index() != node.applied + 1)
        violation_ = "records were applied out of order";
    node.applied = record.index();
    if (referenceLog_.size() < record.index())
        referenceLog_.push_back(record);
    else if (referenceLog_[record.index() - 1].SerializeAsString() != record.SerializeAsString())
        violation_ = "two replicas applied different records at " + std::to_string(record.index());
}

void RaftCluster::processOutput(size_t index)
{
    Node &node = nodes_[index];
    for (RaftOutput output = node.core->takeOutput(); !output.isEmpty();
         output = node.core->takeOutput()) {
        send(output.messagesBeforeSync);
        write(&node.disk, output);
        node.core->markPersisted(node.core->lastIndex());
        send(output.messages);
        if (output.install)
            node.applied = output.install->meta().index();
        for (const auto &record : output.committed)
            apply(index, record);
    }
    checkLeaders();
}

void RaftCluster::send(const std::vector<schema::RaftMessage> &messages)
{
    for (const schema::RaftMessage &message : messages) {
        Node &to = nodes_[indexOf(message.to())];
        const Millis latency = std::max(to.latency, nodes_[indexOf(message.from())].latency);
        inFlight_.push_back({ message, now_ + latency });
        to.bytesSentTo += message.ByteSizeLong();
        largestMessageBytes_ = std::max<uint64_t>(largestMessageBytes_, message.ByteSizeLong());
    }
}

size_t RaftCluster::indexOf(const std::string &id) const
{
    return std::stoul(id.substr(1));
}

void RaftCluster::deliver(size_t position, bool keep)
{
    const schema::RaftMessage message = inFlight_[position].message;
    if (!keep)
        inFlight_.erase(inFlight_.begin() + static_cast<long>(position));
    const size_t to = indexOf(message.to());
    if (cutLinks_[{ indexOf(message.from()), to }])
        return;
    nodes_[to].core->handleMessage(message, now_);
    processOutput(to);
}

void RaftCluster::deliverAll()
{
    const auto isDue = [this](const InFlight &entry) { return entry.due <= now_; };
    for (auto next = std::find_if(inFlight_.begin(), inFlight_.end(), isDue);
         next != inFlight_.end(); next = std::find_if(inFlight_.begin(), inFlight_.end(), isDue))
        deliver(static_cast<size_t>(next - inFlight_.begin()), false);
}

void RaftCluster::advance(Millis time)
{
    for (Millis end = now_ + time; now_ < end;) {
        now_ += TickInterval;
        for (size_t i = 0; i < nodes_.size(); i++) {
            nodes_[i].core->tick(now_);
            processOutput(i);
        }
        deliverAll();
    }
}

void RaftCluster::crash(size_t index)
{
    start(index);
}

void RaftCluster::wipe(size_t index)
{
    nodes_[index].disk = Disk();
    nodes_[index].disk.incarnation = Incarnation(nextIncarnation_++);
    start(index);
}

void RaftCluster::compact(size_t index, size_t stateBytes)
{
    Node &node = nodes_[index];
    if (node.applied <= node.disk.snapshot.meta().index())
        return;
    schema::Snapshot snapshot;
    snapshot.mutable_meta()->set_index(node.applied);
    snapshot.mutable_meta()->set_term(node.core->termAt(LogIndex(node.applied)).value());
    *snapshot.mutable_meta()->mutable_membership() =
        node.core->membershipAt(LogIndex(node.applied));
    snapshot.set_state("state at " + std::to_string(node.applied));
    if (snapshot.state().size() < stateBytes)
        snapshot.mutable_state()->resize(stateBytes, '.');
    node.disk.snapshot = snapshot;
    std::erase_if(
        node.disk.records, [&](const auto &record) { return record.index() <= node.applied; });
    node.core->compact(snapshot.meta(), std::make_shared<const std::string>(snapshot.state()),
        LogIndex(node.applied));
}

void RaftCluster::connectPeer(size_t index, size_t peer)
{
    nodes_[index].core->handlePeerConnected(ReplicaId("r" + std::to_string(peer)), now_);
    processOutput(index);
}

void RaftCluster::setLinkCut(size_t from, size_t to, bool cut)
{
    cutLinks_[{ from, to }] = cut;
}

bool RaftCluster::isLinkCut(size_t from, size_t to) const
{
    const auto link = cutLinks_.find({ from, to });
    return link != cutLinks_.end() && link->second;
}

void RaftCluster::isolate(size_t index, bool isolated)
{
    for (size_t other = 0; other < nodes_.size(); other++) {
        if (other == index)
            continue;
        setLinkCut(index, other, isolated);
        setLinkCut(other, index, isolated);
    }
}

std::optional<size_t> RaftCluster::leader() const
{
    for (size_t i = 0; i < nodes_.size(); i++) {
        if (nodes_[i].core->isEstablishedLeader())
            return i;
    }
    return std::nullopt;
}

void RaftCluster::randomStep()
{
    const size_t choice = random_() % 100;
    const size_t node = random_() % nodes_.size();
    if (choice < 50 && !inFlight_.empty()) {
        // Picks any message rather than the oldest one, which reorders messages.
        deliver(random_() % inFlight_.size(), random_() % 10 == 0);
    } else if (choice < 55 && !inFlight_.empty()) {
        inFlight_.erase(inFlight_.begin() + static_cast<long>(random_() % inFlight_.size()));
    } else if (choice < 75) {
        now_ += Millis(static_cast<int64_t>(random_() % 120));
        nodes_[node].core->tick(now_);
        processOutput(node);
    } else if (choice < 90) {
        const auto leaderIndex = leader();
        const size_t target = leaderIndex.value_or(node);
        nodes_[target].core->propose(
            schema::LogRecord::COMMAND, "command " + std::to_string(++proposals_));
        // A crash at this point loses the record before it is durable.
        if (random_() % 8 == 0)
            crash(target);
        else
            processOutput(target);
    } else if (choice < 93) {
        crash(node);
    } else if (choice < 95) {
        compact(node);
    } else if (choice < 97) {
        setLinkCut(node, random_() % nodes_.size(), random_() % 2 == 0);
    } else if (choice < 98) {
        cutLinks_.clear();
    } else {
        nodes_[node].core->transferLeadership({});
        processOutput(node);
    }
    if (inFlight_.size() > 200)
        inFlight_.erase(inFlight_.begin(), inFlight_.begin() + 100);
    checkLogs();
}

bool RaftCluster::converge()
{
    cutLinks_.clear();
    inFlight_.clear();
    for (int round = 0; round < 500; round++) {
        advance(Millis(100));
        const auto leaderIndex = leader();
        if (!leaderIndex)
            continue;
        const bool equal = std::all_of(nodes_.begin(), nodes_.end(), [&](const Node &node) {
            return node.applied == nodes_[*leaderIndex].core->lastIndex().value();
        });
        if (equal)
            return true;
    }
    return false;
}

void RaftCluster::checkLeaders()
{
    for (size_t i = 0; i < nodes_.size(); i++) {
        const RaftCore &core = *nodes_[i].core;
        if (!core.isLeader())
            continue;
        const std::string id = "r" + std::to_string(i);
        const auto [entry, isNew] = leaderOfTerm_.try_emplace(core.term().value(), id);
        if (entry->second != id)
            violation_ = "two leaders in term " + std::to_string(core.term().value());
        if (isNew && core.lastIndex().value() < referenceLog_.size())
            violation_ = "a leader lacks committed records";
    }
}

// Checks log matching: records with the same index and term are equal.
void RaftCluster::checkLogs()
{
    std::map<std::pair<uint64_t, uint64_t>, std::string> seen;
    for (const Node &node : nodes_) {
        std::string before;
        for (const auto &record : node.disk.records) {
            const std::string content = record.SerializeAsString();
            const auto key = std::make_pair(record.index(), record.term());
            const auto [entry, isNew] = seen.try_emplace(key, content);
            if (entry->second != content)
                violation_ = "logs differ at index " + std::to_string(record.index());
        }
    }
}

} // namespace basilgap::replication
