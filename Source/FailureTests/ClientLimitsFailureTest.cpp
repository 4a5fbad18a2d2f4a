#include <thread>

#include <nghttp2/nghttp2.h>
#include <sys/resource.h>

#include "FailureTests/TestCell.h"
#include "StandIns/ClientCrowd.h"

namespace basilgap::failuretests {

namespace {

using standins::ClientCrowd;
using standins::ProcessUse;

// Bounds of every test. Memory is the growth of the peak over the resident memory before the first
// crowd came.
constexpr size_t MaxGrowthBytes = 64 * 1024 * 1024;
constexpr size_t DescriptorLimit = 256;
constexpr size_t MaxDescriptors = DescriptorLimit - 16;

constexpr size_t MaxBodyBytes = 64 * 1024;
constexpr size_t MaxHeldMegabytes = 24;
constexpr size_t Crowd = 40;
// More connections than the processes have descriptors.
constexpr size_t SilentCrowd = 300;
constexpr Millis AnswerTimeout{ 5000 };

// Lowers the soft limit of descriptors, which child processes inherit at their start.
class LowDescriptorLimit
{
public:
    LowDescriptorLimit()
    {
        getrlimit(RLIMIT_NOFILE, &before_);
        const rlimit low{ DescriptorLimit, before_.rlim_max };
        setrlimit(RLIMIT_NOFILE, &low);
    }
    ~LowDescriptorLimit() { setrlimit(RLIMIT_NOFILE, &before_); }
    LowDescriptorLimit(const LowDescriptorLimit &) = delete;
    LowDescriptorLimit &operator=(const LowDescriptorLimit &) = delete;

private:
    rlimit before_{};
};

// Clients that exceed the limits, on each listening port of an entry and of a control process. They
// must not end or hang a process, nor use up its memory or descriptors.
class ClientLimitsFailure : public CellTest
{
protected:
    struct Port
    {
        std::string name;
        LocalCell::Host *host;
        std::string address;
        network::HttpRequest ordinary;
        // Where the ordinary request goes; empty: to the same address.
        std::string ordinaryAddress = "";
        // Resident memory of the process before the first crowd came.
        size_t firstBytes = 0;
    };

    void start()
    {
        const LowDescriptorLimit limit;
        const std::string heldBytes = "maxHeldMb: " + std::to_string(MaxHeldMegabytes) + "\n";
        startCell({ .controls = 1,
            .entries = 1,
            .controlExtra = heldBytes,
            .entryExtra = "maxBodyBytes: " + std::to_string(MaxBodyBytes) + "\n" + heldBytes });
        if (HasFatalFailure())
            return;
        LocalCell::Host *entry = &cell_->entries()[0];
        LocalCell::Host *control = &cell_->controls()[0];
        network::HttpRequest health{ .method = "GET", .target = "/healthz" };
        network::HttpRequest status{ .method = "GET", .target = "/v1/status" };
        status.headers = { { "Authorization", "Bearer " + cell_->operatorKey() } };
        network::HttpRequest other{ .method = "GET", .target = "/other" };
        ports_ = { { "public", entry, entry->addresses.at("public"), health },
            { "service", entry, entry->addresses.at("service"), other },
            { "entry-admin", entry, entry->addresses.at("admin"), status },
            { "control-admin", control, control->addresses.at("admin"), status } };
        for (Port &port : ports_)
            port.firstBytes = standins::readProcessUse(port.host->process.pid()).residentBytes;
    }

    // Runs the crowd at each port in turn.
    void checkEachPort(const ClientCrowd::Options &options)
    {
        ASSERT_NO_FATAL_FAILURE(start());
        for (const Port &port : ports_)
            check(port, options);
    }

    void check(const Port &port, ClientCrowd::Options options)
    {
        SCOPED_TRACE(port.name);
        const pid_t process = port.host->process.pid();
        const ProcessUse before = standins::readProcessUse(process);
        options.address = port.address;
        ClientCrowd crowd(options);
        crowd.run();
        const ProcessUse after = standins::readProcessUse(process);
        const size_t growth = after.peakBytes - std::min(after.peakBytes, port.firstBytes);
        std::cout << port.name << ": sent " << crowd.sentBytes() / 1024 << " KiB, closed "
                  << crowd.closedCount() << ", memory " << port.firstBytes / 1024 << " KiB + "
                  << growth / 1024 << " KiB, descriptors " << before.descriptors << " to "
                  << after.descriptors << '\n';
        EXPECT_TRUE(port.host->process.isRunning());
        EXPECT_LE(growth, MaxGrowthBytes);
        EXPECT_LE(after.descriptors, MaxDescriptors);
        const auto answer = network::fetchAndWait(
            port.ordinaryAddress.empty() ? port.address : port.ordinaryAddress, port.ordinary,
            AnswerTimeout);
        EXPECT_EQ(answer.end, network::ExchangeEnd::Complete) << "an ordinary request";
        EXPECT_GT(answer.response.status, 0);
    }

    std::string bearer(const std::string &key) const { return "Authorization: Bearer " + key; }

    std::vector<Port> ports_;
};

std::string get(const std::string &path, const std::string &header = "X-Other: 1")
{
    return "GET " + path + " HTTP/1.1\r\nHost: h\r\n" + header + "\r\n\r\n";
}

std::string post(const std::string &header)
{
    return "POST /desk/x HTTP/1.1\r\nHost: h\r\n" + header + "\r\n\r\n";
}

// The same for the listeners for other processes of the cell, which speak HTTP/2. The crowd does
// not have the cell's key.
class PeerLimitsFailure : public ClientLimitsFailure
{
protected:
    void checkPeerPorts(const ClientCrowd::Options &options)
    {
        ASSERT_NO_FATAL_FAILURE(start());
        const std::vector<Port> adminPorts = { ports_[2], ports_[3] };
        ports_.clear();
        for (const Port &port : adminPorts) {
            Port peer = port;
            peer.name = port.host->id + "-peer";
            peer.address = port.host->addresses.at("peer");
            peer.ordinaryAddress = port.address;
            check(peer, options);
        }
    }

    // Starts the control processes with these indices again while a crowd is at the peer listener
    // of each control process, and checks that they get into touch with the others.
    void checkRestart(const std::vector<size_t> &restarted, const ClientCrowd::Options &options)
    {
        {
            const LowDescriptorLimit limit;
            startCell({ .controls = 3, .entries = 1 });
        }
        if (HasFatalFailure())
            return;
        std::map<std::string, size_t> firstBytes;
        for (const LocalCell::Host &host : cell_->controls())
            firstBytes[host.id] = standins::readProcessUse(host.process.pid()).residentBytes;
        const RunningCrowds crowds(cell_->controls(), options);
        std::this_thread::sleep_for(CrowdArrivalTime);
        for (const size_t index : restarted)
            cell_->controls()[index].process.kill();
        startControls(restarted);
        EXPECT_TRUE(waitUntil(
            DefaultTimeout, [this] { return cell_->applyNext().response.status == 200; }));
        for (LocalCell::Host &host : cell_->controls()) {
            SCOPED_TRACE(host.id);
            EXPECT_TRUE(waitUntil(DefaultTimeout, [&] { return isInTouch(host); }));
            const ProcessUse use = standins::readProcessUse(host.process.pid());
            const size_t growth = use.peakBytes - std::min(use.peakBytes, firstBytes[host.id]);
            std::cout << host.id << ": memory " << firstBytes[host.id] / 1024 << " KiB + "
                      << growth / 1024 << " KiB, descriptors " << use.descriptors
                      << ", closed by all " << crowds.closedCount() << '\n';
            EXPECT_TRUE(host.process.isRunning());
            EXPECT_LE(growth, MaxGrowthBytes);
            EXPECT_LE(use.descriptors, MaxDescriptors);
        }
    }

    void startControls(const std::vector<size_t> &indices)
    {
        const LowDescriptorLimit limit;
        for (const size_t index : indices)
            cell_->startControl(index);
    }

    bool isInTouch(const LocalCell::Host &host) const
    {
        const std::string status = cell_->admin(host, "GET", "/v1/status").response.body;
        return !jsonText(status, "leader").empty()
            && standins::jsonNumber(status, "version") == static_cast<int64_t>(cell_->version());
    }

private:
    // One crowd for each host, until the object is destroyed.
    class RunningCrowds
    {
    public:
        RunningCrowds(const std::vector<LocalCell::Host> &hosts, ClientCrowd::Options options)
        {
            options.reconnects = true;
            options.duration = DefaultTimeout * 10;
            for (const LocalCell::Host &host : hosts) {
                options.address = host.addresses.at("peer");
                crowds_.push_back(std::make_unique<ClientCrowd>(options));
                threads_.emplace_back([crowd = crowds_.back().get()] { crowd->run(); });
            }
        }
        ~RunningCrowds()
        {
            for (const auto &crowd : crowds_)
                crowd->stop();
            for (std::thread &thread : threads_)
                thread.join();
        }
        RunningCrowds(const RunningCrowds &) = delete;
        RunningCrowds &operator=(const RunningCrowds &) = delete;

        size_t closedCount() const
        {
            size_t sum = 0;
            for (const auto &crowd : crowds_)
                sum += crowd->closedCount();
            return sum;
        }

    private:
        std::vector<std::unique_ptr<ClientCrowd>> crowds_;
        std::vector<std::thread> threads_;
    };

    static constexpr std::chrono::milliseconds CrowdArrivalTime{ 1000 };
};

std::string frame(uint8_t type, uint8_t flags, uint8_t stream, const std::string &payload,
    size_t announced = std::string::npos)
{
    const size_t length = announced == std::string::npos ? payload.size() : announced;
    std::string bytes;
    for (const int shift : { 16, 8, 0 })
        bytes.push_back(static_cast<char>(length >> shift));
    for (const uint8_t byte : { type, flags, uint8_t{ 0 }, uint8_t{ 0 }, uint8_t{ 0 }, stream })
        bytes.push_back(static_cast<char>(byte));
    return bytes + payload;
}

std::string preface()
{
    return NGHTTP2_CLIENT_MAGIC + frame(NGHTTP2_SETTINGS, NGHTTP2_FLAG_NONE, 0, "");
}

// A header block that is not ended: ":method: POST" from the static table, then fields `x: x...`
// without indexing, one in each further frame.
std::string beginHeaders()
{
    return frame(NGHTTP2_HEADERS, NGHTTP2_FLAG_NONE, 1, "\x83");
}

std::string continueHeaders()
{
    return frame(NGHTTP2_CONTINUATION, NGHTTP2_FLAG_NONE, 1,
        std::string("\0\1x\x64", 4) + std::string(100, 'x'));
}

// They send a byte often enough not to be silent.
ClientCrowd::Options slowOutsiders()
{
    return { .connections = SilentCrowd,
        .opening = preface() + beginHeaders(),
        .repeated = continueHeaders(),
        .maxBytes = 1024 * 1024,
        .bytesPerSend = 1,
        .sendInterval = Millis(200) };
}

} // namespace

// Guards against keeping a body over the limit until it is complete.
TEST_F(ClientLimitsFailure, announcedOverlongBodiesAreNotKept)
{
    // One byte less than announced is sent, so that the body is never complete.
    const size_t announced = 4 * 1024 * 1024 + MaxBodyBytes;
    const std::string opening = post("Content-Length: " + std::to_string(announced));
    checkEachPort({ .connections = Crowd,
        .opening = opening,
        .repeated = "x",
        .maxBytes = opening.size() + announced - 1 });
}

TEST_F(ClientLimitsFailure, hugeAnnouncedBodiesAreNotKept)
{
    checkEachPort({ .connections = Crowd,
        .opening = post("Content-Length: 1000000000000"),
        .repeated = "x",
        .maxBytes = 8 * 1024 * 1024 });
}

TEST_F(ClientLimitsFailure, endlessChunkedBodiesAreNotKept)
{
    checkEachPort({ .connections = Crowd,
        .opening = post("Transfer-Encoding: chunked"),
        .repeated = "1000\r\n" + std::string(4096, 'x') + "\r\n",
        .maxBytes = 8 * 1024 * 1024 });
}

// Guards against buffering the line with a chunk's size without a bound.
TEST_F(ClientLimitsFailure, endlessChunkSizesAreNotKept)
{
    checkEachPort({ .connections = Crowd,
        .opening = post("Transfer-Encoding: chunked"),
        .repeated = "0",
        .maxBytes = 8 * 1024 * 1024 });
}

TEST_F(ClientLimitsFailure, pipelinedRequestsWithUnreadAnswersAtUnknownPaths)
{
    checkEachPort(
        { .connections = Crowd, .repeated = get("/nowhere"), .maxBytes = 4 * 1024 * 1024 });
}

TEST_F(ClientLimitsFailure, pipelinedRequestsWithUnreadAnswersAtKnownPaths)
{
    ASSERT_NO_FATAL_FAILURE(start());
    for (const Port &port : ports_) {
        const std::string path = port.ordinary.target;
        check(port,
            { .connections = Crowd,
                .repeated = get(path, bearer(cell_->operatorKey())),
                .maxBytes = 4 * 1024 * 1024 });
    }
}

TEST_F(ClientLimitsFailure, pipelinedRequestsWithUnreadAnswersAndWrongKeys)
{
    checkEachPort({ .connections = Crowd,
        .repeated = get("/desk/x", bearer("wrong")),
        .maxBytes = 4 * 1024 * 1024 });
}

TEST_F(ClientLimitsFailure, endlessHeaderBlocksAreNotKept)
{
    checkEachPort({ .connections = Crowd,
        .opening = "GET / HTTP/1.1\r\n",
        .repeated = "X-Header: " + std::string(200, 'x') + "\r\n",
        .maxBytes = 8 * 1024 * 1024 });
}

TEST_F(ClientLimitsFailure, endlessHeaderLinesAreNotKept)
{
    checkEachPort({ .connections = Crowd,
        .opening = "GET / HTTP/1.1\r\nX-Header: ",
        .repeated = "x",
        .maxBytes = 8 * 1024 * 1024 });
}

TEST_F(ClientLimitsFailure, headersSentOneByteAtATime)
{
    checkEachPort({ .connections = Crowd,
        .opening = "GET / HTTP/1.1\r\nX-Header: ",
        .repeated = "x",
        .maxBytes = 1024 * 1024,
        .bytesPerSend = 1,
        .sendInterval = Millis(20),
        .duration = Millis(2500) });
}

// Guards against silent connections that use up the descriptors of a process, or keep it from
// accepting others.
TEST_F(ClientLimitsFailure, silentConnectionsLockNobodyOut)
{
    checkEachPort({ .connections = SilentCrowd, .maxBytes = 0, .duration = Millis(1500) });
}

TEST_F(ClientLimitsFailure, connectionsThatBeginARequestAndStopLockNobodyOut)
{
    checkEachPort({ .connections = SilentCrowd,
        .opening = "GET / HTTP/1.1\r\nHost:",
        .maxBytes = 21,
        .duration = Millis(1500) });
}

// Guards against keeping many large answers for callers that do not read them.
TEST_F(ClientLimitsFailure, largeAnswersThatAreNeverRead)
{
    ASSERT_NO_FATAL_FAILURE(start());
    for (const Port &port : ports_) {
        const bool isAdmin = port.ordinary.target == "/v1/status";
        const std::string path = isAdmin ? "/v1/state" : port.ordinary.target;
        check(port,
            { .connections = Crowd,
                .repeated = get(path, bearer(cell_->operatorKey())),
                .maxBytes = 4 * 1024 * 1024 });
    }
}

TEST_F(PeerLimitsFailure, silentOutsiders)
{
    checkPeerPorts({ .connections = SilentCrowd, .maxBytes = 0, .duration = Millis(1500) });
}

TEST_F(PeerLimitsFailure, garbage)
{
    checkPeerPorts(
        { .connections = Crowd, .repeated = std::string(1024, 'x'), .maxBytes = 8 * 1024 * 1024 });
}

TEST_F(PeerLimitsFailure, hugeFrames)
{
    checkPeerPorts({ .connections = Crowd,
        .opening = preface() + frame(NGHTTP2_DATA, NGHTTP2_FLAG_NONE, 1, "", 0xffffff),
        .repeated = "x",
        .maxBytes = 8 * 1024 * 1024 });
}

// Frames of a type that receivers ignore.
TEST_F(PeerLimitsFailure, endlessFrames)
{
    checkPeerPorts({ .connections = Crowd,
        .opening = preface(),
        .repeated = frame(0xff, NGHTTP2_FLAG_NONE, 0, std::string(16384, 'x')),
        .maxBytes = 8 * 1024 * 1024 });
}

// Guards against keeping answers for outsiders that never read them.
TEST_F(PeerLimitsFailure, pingsWithUnreadAnswers)
{
    checkPeerPorts({ .connections = Crowd,
        .opening = preface(),
        .repeated = frame(NGHTTP2_PING, NGHTTP2_FLAG_NONE, 0, "12345678"),
        .maxBytes = 8 * 1024 * 1024 });
}

TEST_F(PeerLimitsFailure, endlessHeaderBlocks)
{
    checkPeerPorts({ .connections = Crowd,
        .opening = preface() + beginHeaders(),
        .repeated = continueHeaders(),
        .maxBytes = 8 * 1024 * 1024 });
}

TEST_F(PeerLimitsFailure, headersSentOneByteAtATime)
{
    checkPeerPorts({ .connections = SilentCrowd,
        .opening = preface() + beginHeaders(),
        .repeated = continueHeaders(),
        .maxBytes = 1024 * 1024,
        .bytesPerSend = 1,
        .sendInterval = Millis(20),
        .duration = Millis(2500) });
}

// Guards against outsiders that take all places of the members.
TEST_F(PeerLimitsFailure, aControlProcessRestartsAmongSilentOutsiders)
{
    checkRestart({ 0 }, { .connections = SilentCrowd });
}

TEST_F(PeerLimitsFailure, allControlProcessesRestartAmongSilentOutsiders)
{
    checkRestart({ 0, 1, 2 }, { .connections = SilentCrowd });
}

TEST_F(PeerLimitsFailure, aControlProcessRestartsAmongSlowOutsiders)
{
    checkRestart({ 0 }, slowOutsiders());
}

TEST_F(PeerLimitsFailure, allControlProcessesRestartAmongSlowOutsiders)
{
    checkRestart({ 0, 1, 2 }, slowOutsiders());
}

} // namespace basilgap::failuretests
