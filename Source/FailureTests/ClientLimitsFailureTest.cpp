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
        const auto answer = network::fetchAndWait(port.address, port.ordinary, AnswerTimeout);
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

} // namespace basilgap::failuretests
