#include <vector>

#include "Basilgap/Control/Leader.h"
#include "Basilgap/Network/PeerLink.h"
#include "Basilgap/Network/PeerServer.h"
#include "SingleReplicaFixture.h"

namespace basilgap::control {

namespace {

// Longer than a replica that is its own quorum takes to confirm its leadership.
constexpr Millis ConfirmationTime{ 300 };

// Longer than an entry is silent between two renewals.
constexpr Millis RestartTime{ 1600 };

schema::WorkerReport reportOf(uint64_t incarnation, uint64_t sequence)
{
    schema::WorkerReport report;
    report.set_id("w1");
    report.set_incarnation(incarnation);
    report.set_sequence(sequence);
    return report;
}

// The connection of one entry to the leader.
struct EntryLinkUnderTest
{
    std::unique_ptr<network::PeerLink> link;
    std::vector<schema::PeerMessage> received;
};

} // namespace

// A leader that entries reach over the loopback interface.
class LeaderTest : public SingleReplicaFixture
{
protected:
    void SetUp() override
    {
        ASSERT_NO_FATAL_FAILURE(SingleReplicaFixture::SetUp());
        leader_ = std::make_unique<Leader>(loop_, *replica_);
        onApplied_ = [this](const schema::Command &command, const schema::CommandOutcome &outcome) {
            leader_->handleApplied(command, outcome);
        };
        auto listening = network::PeerServer::listen(loop_,
            {
                .address = "127.0.0.1:0",
                .cellKey = "key",
                .onMessage =
                    [this](network::PeerStream &stream, const schema::PeerMessage &message) {
                        leader_->receive(stream, message);
                    },
                .onClosed = [this](network::PeerStream &stream) { leader_->streamClosed(stream); },
            });
        ASSERT_TRUE(listening.has_value()) << listening.error().text();
        server_ = std::move(*listening);
    }

    void TearDown() override
    {
        links_.clear();
        server_.reset();
        onApplied_ = [](const schema::Command &, const schema::CommandOutcome &) {};
        leader_.reset();
        SingleReplicaFixture::TearDown();
    }

    EntryLinkUnderTest &connect(const std::string &entry)
    {
        auto connected = std::make_unique<EntryLinkUnderTest>();
        EntryLinkUnderTest &result = *connected;
        schema::Hello hello;
        hello.set_id(entry);
        result.link = std::make_unique<network::PeerLink>(loop_,
            network::PeerLink::Options{
                .address = server_->address(),
                .cellKey = "key",
                .hello = hello,
                .onMessage =
                    [&result](
                        const schema::PeerMessage &message) { result.received.push_back(message); },
                .onUp = [] {},
                .onDown = [] {},
            });
        links_.push_back(std::move(connected));
        EXPECT_TRUE(runUntil([&result] { return result.link->isUp(); }));
        return result;
    }

    static void sendReport(EntryLinkUnderTest &entry, const schema::WorkerReport &report)
    {
        schema::PeerMessage message;
        *message.mutable_worker_digest()->add_reports() = report;
        ASSERT_TRUE(entry.link->send(message));
    }

    // A renewal of the entry's session, with the announcements of backend servers that came since.
    static schema::Renew renewalOf(const std::string &entry, uint64_t sequence)
    {
        schema::Renew renewal;
        renewal.set_entry(entry);
        renewal.set_incarnation(7);
        renewal.set_zone("z1");
        renewal.set_sequence(sequence);
        renewal.set_full(sequence == 1);
        return renewal;
    }

    static void announce(schema::Renew *renewal, uint64_t incarnation, uint32_t running)
    {
        schema::Announcement *announcement = renewal->add_announcements();
        announcement->set_id("b1");
        announcement->set_incarnation(incarnation);
        announcement->set_zone("z1");
        announcement->set_pool("desk");
        announcement->set_slots(4);
        (*announcement->mutable_running())["e1"] = running;
    }

    static void send(EntryLinkUnderTest &entry, const schema::Renew &renewal)
    {
        schema::PeerMessage message;
        *message.mutable_renew() = renewal;
        ASSERT_TRUE(entry.link->send(message));
    }

    static const schema::RenewReply *confirmationOf(
        const EntryLinkUnderTest &entry, uint64_t sequence)
    {
        for (const auto &message : entry.received) {
            if (message.renew_reply().confirmed() && message.renew_reply().sequence() == sequence)
                return &message.renew_reply();
        }
        return nullptr;
    }

    void renew(EntryLinkUnderTest &entry, const schema::Renew &renewal)
    {
        send(entry, renewal);
        EXPECT_TRUE(runUntil([&] { return confirmationOf(entry, renewal.sequence()) != nullptr; }));
    }

    // Number under which the backend server's slots are allotted; 0 until it is known.
    uint32_t backendKey() const
    {
        return replica_->state().allotments().findKey(backendKeyName(BackendId("b1"))).value();
    }

    // What the leader tells e1 about the requests that b1 runs for it.
    schema::BackendRunning askForRunningCount(EntryLinkUnderTest &entry, schema::Renew renewal)
    {
        renewal.add_doubtful(backendKey());
        renew(entry, renewal);
        const schema::RenewReply *reply = confirmationOf(entry, renewal.sequence());
        EXPECT_TRUE(reply != nullptr && reply->running_size() == 1);
        return reply != nullptr && reply->running_size() == 1 ? reply->running(0)
                                                              : schema::BackendRunning();
    }

    // Sequences of the polls whose answers extend a lease.
    static std::vector<uint64_t> confirmedPolls(const EntryLinkUnderTest &entry)
    {
        std::vector<uint64_t> sequences;
        for (const auto &message : entry.received) {
            for (const auto &orders : message.worker_orders().orders()) {
                if (orders.lease_ms() > 0)
                    sequences.push_back(orders.sequence());
            }
        }
        return sequences;
    }

    std::unique_ptr<Leader> leader_;
    std::unique_ptr<network::PeerServer> server_;
    std::vector<std::unique_ptr<EntryLinkUnderTest>> links_;
};

// Guards against a lease that a worker counts from a poll, but the leader from an earlier one.
TEST_F(LeaderTest, confirmationOfAnEarlierPollExtendsNoLeaseForALaterOne)
{
    EntryLinkUnderTest &entry = connect("e1");
    sendReport(entry, reportOf(1, 1));
    sendReport(entry, reportOf(1, 2));
    ASSERT_TRUE(runUntil([&entry] { return !confirmedPolls(entry).empty(); }));
    runFor(ConfirmationTime);
    EXPECT_EQ(confirmedPolls(entry), std::vector<uint64_t>{ 2 });
}

// Guards against a report that counts as another one: a worker polls all entries in turn, and one
// entry's "unchanged" is not another's.
TEST_F(LeaderTest, unchangedReportIsTheOneThatTheSameEntrySentLast)
{
    EntryLinkUnderTest &first = connect("e1");
    EntryLinkUnderTest &second = connect("e2");
    sendReport(first, reportOf(1, 1));
    ASSERT_TRUE(runUntil([&first] { return !confirmedPolls(first).empty(); }));
    schema::WorkerReport withTask = reportOf(1, 2);
    withTask.add_tasks()->set_job(1);
    sendReport(second, withTask);
    ASSERT_TRUE(runUntil([&second] { return !confirmedPolls(second).empty(); }));
    schema::WorkerReport unchanged = reportOf(1, 3);
    unchanged.set_unchanged(true);
    sendReport(first, unchanged);
    ASSERT_TRUE(runUntil([&first] { return first.received.size() == 2; }));
    EXPECT_TRUE(first.received.back().worker_orders().orders(0).need_full());
    sendReport(first, reportOf(1, 3));
    ASSERT_TRUE(runUntil([&first] { return confirmedPolls(first).size() == 2; }));
    unchanged.set_sequence(4);
    sendReport(first, unchanged);
    ASSERT_TRUE(runUntil([&first] { return confirmedPolls(first).size() == 3; }));
}

// Guards against slots that are taken for free while requests run under them: a backend server
// announces itself to all entries in turn, and one entry's "as before" is not another's.
TEST_F(LeaderTest, announcementThatAnEntryHeardAgainIsThatEntrysLastOne)
{
    EntryLinkUnderTest &first = connect("e1");
    EntryLinkUnderTest &second = connect("e2");
    schema::Renew busy = renewalOf("e1", 1);
    announce(&busy, 3, 2);
    renew(first, busy);
    schema::Renew idle = renewalOf("e2", 1);
    announce(&idle, 3, 0);
    renew(second, idle);
    ASSERT_TRUE(runUntil([this] { return backendKey() != 0; }));
    schema::Renew again = renewalOf("e1", 2);
    again.add_heard("b1");
    EXPECT_EQ(askForRunningCount(first, again).count(), 2U);
}

// Guards against a backend server that counts as heard because of its earlier incarnation.
TEST_F(LeaderTest, announcementOfTheEarlierIncarnationIsNoSignOfTheLaterOne)
{
    EntryLinkUnderTest &first = connect("e1");
    EntryLinkUnderTest &second = connect("e2");
    schema::Renew earlier = renewalOf("e1", 1);
    announce(&earlier, 3, 2);
    renew(first, earlier);
    schema::Renew later = renewalOf("e2", 1);
    announce(&later, 4, 0);
    renew(second, later);
    ASSERT_TRUE(runUntil([this] { return backendKey() != 0; }));
    const Millis silence{ 300 };
    runFor(silence);
    schema::Renew late = renewalOf("e1", 2);
    late.add_heard("b1");
    const schema::BackendRunning running = askForRunningCount(first, late);
    EXPECT_EQ(running.count(), 0U);
    EXPECT_GE(running.age_ms(), silence.count());
}

// Guards against a backend server that stays unknown: the entry sends what changed only once.
TEST_F(LeaderTest, renewalsThatArriveWhileTheSessionOpensCount)
{
    EntryLinkUnderTest &entry = connect("e1");
    send(entry, renewalOf("e1", 1));
    schema::Renew next = renewalOf("e1", 2);
    announce(&next, 3, 0);
    renew(entry, next);
    EXPECT_TRUE(runUntil([this] { return backendKey() != 0; }));
}

// Guards against a session that a late renewal of the entry's earlier incarnation closes.
TEST_F(LeaderTest, lateRenewalOfTheEarlierIncarnationDoesNotCloseTheSessionOfTheLaterOne)
{
    EntryLinkUnderTest &earlier = connect("e1");
    EntryLinkUnderTest &later = connect("e1");
    renew(earlier, renewalOf("e1", 1));
    ASSERT_NO_FATAL_FAILURE(runFor(RestartTime));
    schema::Renew restarted = renewalOf("e1", 1);
    restarted.set_incarnation(8);
    renew(later, restarted);
    send(earlier, renewalOf("e1", 2));
    ASSERT_NO_FATAL_FAILURE(runFor(ConfirmationTime));
    const schema::SessionState *session = replica_->state().sessions().find(EntryId("e1"));
    ASSERT_NE(session, nullptr);
    EXPECT_EQ(session->incarnation(), 8U);
    EXPECT_EQ(confirmationOf(earlier, 2), nullptr);
}

// Guards against a session that goes on over the connection that the entry has given up.
TEST_F(LeaderTest, lateRenewalOnAnEarlierConnectionIsIgnored)
{
    EntryLinkUnderTest &earlier = connect("e1");
    EntryLinkUnderTest &later = connect("e1");
    renew(earlier, renewalOf("e1", 1));
    schema::Renew reconnected = renewalOf("e1", 3);
    reconnected.set_full(true);
    announce(&reconnected, 3, 2);
    renew(later, reconnected);
    send(earlier, renewalOf("e1", 2));
    ASSERT_NO_FATAL_FAILURE(runFor(ConfirmationTime));
    EXPECT_EQ(confirmationOf(earlier, 2), nullptr);
}

} // namespace basilgap::control
