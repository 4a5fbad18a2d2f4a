#include "Benchmarks/Bench.h"

#include <iostream>

#include "Basilgap/Common/LatencyHistogram.h"
#include "Basilgap/Network/PeerLink.h"

namespace basilgap::benchmarks {

namespace {

constexpr int WriterCount = 64;
constexpr Millis RunDuration{ 5000 };

// Keeps a fixed number of claim commands in flight at the leader and measures the time from sending
// to answer of each.
class WriterLoad
{
public:
    WriterLoad(const standins::LocalCell::Host &leader)
        : link_(loop_,
            { .address = leader.addresses.at("peer"),
                .cellKey = "key-shared-by-the-cell",
                .hello = {},
                .onMessage = [this](schema::PeerMessage message) { handleReply(message); },
                .onUp = [this] { start(); },
                .onDown = [] {} })
        , stopTimer_(loop_, [this] { loop_.stop(); })
    {
        stopTimer_.startOnce(RunDuration);
        loop_.run();
    }

    double commitsPerSecond() const
    {
        return static_cast<double>(latency_.count()) * 1000
            / static_cast<double>(RunDuration.count());
    }
    double p99Ms() const { return latency_.percentile(0.99); }

private:
    void start()
    {
        for (uint64_t writer = 0; writer < WriterCount; writer++)
            write(writer);
    }

    void write(uint64_t writer)
    {
        schema::PeerMessage message;
        schema::RpcRequest *request = message.mutable_rpc_request();
        request->set_id(writer);
        schema::ClaimOpen *claim = request->mutable_command()->mutable_claim_open();
        claim->set_team("ghat");
        claim->set_key_hash("key " + std::to_string(nextKey_++));
        claim->set_body_hash(std::string(32, 'b'));
        claim->set_entry("e1");
        sentAt_[writer] = nowMs();
        link_.send(message);
    }

    void handleReply(const schema::PeerMessage &message)
    {
        if (!message.has_rpc_reply())
            return;
        const uint64_t writer = message.rpc_reply().id();
        latency_.add(nowMs() - sentAt_[writer]);
        write(writer);
    }

    static double nowMs()
    {
        timespec time{};
        clock_gettime(CLOCK_MONOTONIC, &time);
        return static_cast<double>(time.tv_sec) * 1000 + static_cast<double>(time.tv_nsec) / 1e6;
    }

    network::EventLoop loop_;
    LatencyHistogram latency_;
    double sentAt_[WriterCount] = {};
    uint64_t nextKey_ = 0;
    network::PeerLink link_;
    network::Timer stopTimer_;
};

// Bytes of an append message per task start, at the peak rate with one batch every 100 ms.
double bytesPerStart()
{
    constexpr uint64_t Starts = 35;
    schema::Command command;
    command.set_stamp_ms(static_cast<uint64_t>(wallNow().count()));
    schema::TaskStarts *starts = command.mutable_tasks()->mutable_starts();
    for (uint64_t i = 0; i < Starts; i++) {
        starts->add_job(i % 5 == 0 ? 1 : 0);
        starts->add_task(i % 5 == 0 ? -4 : 1);
        starts->add_worker(static_cast<uint32_t>(i * 17 % 610 + 1));
    }
    schema::PeerMessage message;
    schema::RaftMessage *raft = message.mutable_raft();
    raft->set_from("replica-1");
    raft->set_to("replica-2");
    raft->set_from_incarnation(1);
    raft->set_to_incarnation(1);
    raft->set_cell_id(1);
    raft->set_term(20);
    schema::AppendRequest *append = raft->mutable_append_request();
    append->set_previous_index(10'000'000);
    append->set_previous_term(20);
    append->set_commit_index(10'000'000);
    append->set_round(1'000'000);
    schema::LogRecord *record = append->add_records();
    record->set_index(10'000'001);
    record->set_term(20);
    record->set_kind(schema::LogRecord::COMMAND);
    record->set_data(command.SerializeAsString());
    return static_cast<double>(message.ByteSizeLong()) / static_cast<double>(Starts);
}

} // namespace

void benchLog()
{
    BenchCell bench({ .controls = 3, .entries = 1 });
    standins::LocalCell &cell = bench.cell();
    const auto leader = static_cast<size_t>(cell.waitForLeader(Millis(10000)));
    const WriterLoad load(cell.controls()[leader]);
    report("commits_per_s", load.commitsPerSecond());
    report("p99_ms", load.p99Ms());
    report("bytes_per_start", bytesPerStart());

    const size_t stopped = (leader + 1) % 3;
    cell.controls()[stopped].process.kill();
    for (int i = 0; i < 500; i++)
        cell.applyNext(false);
    const Millis startedAt = steadyNow();
    cell.startControl(stopped);
    standins::waitUntil(Millis(20000), [&] {
        const auto status = cell.admin(cell.controls()[stopped], "GET", "/v1/status");
        return standins::jsonNumber(status.response.body, "version")
            == static_cast<int64_t>(cell.version());
    });
    report("catch_up_ms", static_cast<double>((steadyNow() - startedAt).count()));
}

} // namespace basilgap::benchmarks
