#pragma once

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "Basilgap/Replication/RaftCore.h"

namespace basilgap::replication {

// A simulated cluster with simulated network, disks and clock. Checks the safety properties of Raft
// and compares the records that the replicas applied with one reference log.
class RaftCluster
{
public:
    // Starts `size` voters, and `spares` uninitialized replicas that are no members yet. The zones
    // are those of the voters; without any they are unknown.
    RaftCluster(
        size_t size, uint64_t seed, size_t spares = 0, const std::vector<std::string> &zones = {});

    // Takes one random step: advances the clock, delivers, loses, duplicates or reorders a message,
    // proposes a record, transfers leadership, compacts a log, crashes a replica, or cuts or
    // restores links.
    void randomStep();

    // Advances the clock without failures until there is a leader and all replicas have applied its
    // whole log. Returns whether that was reached.
    bool converge();

    // Description of a violated property, if any.
    const std::optional<std::string> &violation() const { return violation_; }

    RaftCore &core(size_t index) { return *nodes_[index].core; }
    size_t size() const { return nodes_.size(); }
    std::optional<size_t> leader() const;
    const std::vector<schema::LogRecord> &appliedRecords() const { return referenceLog_; }
    uint64_t appliedOf(size_t index) const { return nodes_[index].applied; }
    Incarnation incarnationOf(size_t index) const { return nodes_[index].disk.incarnation; }
    Millis now() const { return now_; }
    uint64_t largestMessageBytes() const { return largestMessageBytes_; }
    // Bytes of all messages that were sent to the replica, whether they arrived or not.
    uint64_t bytesSentTo(size_t index) const { return nodes_[index].bytesSentTo; }

    void advance(Millis time);
    // Delivers the messages whose latency is over, and those that these cause.
    void deliverAll();
    void crash(size_t index);
    // Crashes the replica and loses its durable state.
    void wipe(size_t index);
    // Takes a snapshot whose state has at least that many bytes, and keeps no records before it.
    void compact(size_t index, size_t stateBytes = 0);
    void setLinkCut(size_t from, size_t to, bool cut);
    bool isLinkCut(size_t from, size_t to) const;
    // How long messages take in either direction between the replica and all others.
    void setLatency(size_t index, Millis latency) { nodes_[index].latency = latency; }
    void isolate(size_t index, bool isolated);
    void processOutput(size_t index);
    // Tells a replica that its connection to the peer has been established.
    void connectPeer(size_t index, size_t peer);

private:
    struct Disk
    {
        schema::HardState hardState;
        schema::Snapshot snapshot;
        std::vector<schema::LogRecord> records;
        Incarnation incarnation;
    };

    struct Node
    {
        Disk disk;
        std::unique_ptr<RaftCore> core;
        uint64_t applied = 0;
        uint64_t bytesSentTo = 0;
        Millis latency;
    };

    struct InFlight
    {
        schema::RaftMessage message;
        Millis due;
    };

    void start(size_t index);
    void write(Disk *disk, const RaftOutput &output);
    void apply(size_t index, const schema::LogRecord &record);
    void send(const std::vector<schema::RaftMessage> &messages);
    void deliver(size_t position, bool keep);
    void checkLeaders();
    void checkLogs();
    size_t indexOf(const std::string &id) const;

    std::mt19937_64 random_;
    Millis now_{ 1000 };
    std::vector<Node> nodes_;
    uint64_t largestMessageBytes_ = 0;
    std::vector<InFlight> inFlight_;
    std::map<std::pair<size_t, size_t>, bool> cutLinks_;
    std::vector<schema::LogRecord> referenceLog_;
    std::map<uint64_t, std::string> leaderOfTerm_;
    std::optional<std::string> violation_;
    uint64_t proposals_ = 0;
    uint64_t nextIncarnation_ = 100;
};

} // namespace basilgap::replication
