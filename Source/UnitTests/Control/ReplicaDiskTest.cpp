#include <atomic>
#include <cerrno>
#include <filesystem>

#include <gtest/gtest.h>

#include "SingleReplicaFixture.h"
#include "StandIns/DescriptorShortage.h"
#include "StandIns/QuotaDisk.h"

namespace basilgap::control {
namespace {

// A small disk whose syncs fail on demand.
class UnsyncedDisk : public standins::QuotaDisk
{
public:
    using QuotaDisk::QuotaDisk;

    // Fails the syncs after the given number of further ones; 0 ends that.
    void failSyncs(int number, int syncsBefore = 0)
    {
        syncsBeforeError_ = syncsBefore;
        syncError_ = number;
    }

    int sync(int file) override
    {
        if (syncError_ == 0 || syncsBeforeError_-- > 0)
            return QuotaDisk::sync(file);
        errno = syncError_;
        return -1;
    }

private:
    std::atomic<int> syncError_ = 0;
    std::atomic<int> syncsBeforeError_ = 0;
};

// A replica on a small disk that takes one large configuration after the other.
class ReplicaDiskTest : public SingleReplicaFixture
{
protected:
    static constexpr uint32_t SnapshotBytes = 256 * 1024;
    static constexpr size_t DocumentBytes = 50000;

    void SetUp() override
    {
        settings_.set_snapshot_bytes(SnapshotBytes);
        SingleReplicaFixture::SetUp();
    }

    replication::DiskCalls &disk() override { return quota_; }

    // Longer than it takes a replica to open its folder again after a failed write.
    static constexpr Millis RefusalTime{ 2500 };

    void restart()
    {
        replica_.reset();
        startReplica();
    }

    // Proposes the next configuration until it is accepted. A replica that shortens its log on a
    // full disk may refuse it meanwhile, as a leader that is deposed does.
    void configure()
    {
        std::optional<schema::OutcomeCode> outcome = schema::UNAVAILABLE;
        version_++;
        EXPECT_TRUE(runUntil([&] {
            if (outcome == schema::UNAVAILABLE && replica_->isLeading()) {
                outcome.reset();
                schema::Command command;
                command.mutable_put_work_config()->set_version(version_);
                command.mutable_put_work_config()->set_document(std::string(DocumentBytes, 'x'));
                replica_->propose(std::move(command),
                    [&outcome](const schema::CommandOutcome &reply) { outcome = reply.code(); });
            }
            return outcome == schema::ACCEPTED;
        })) << "configuration "
            << version_ << ": " << replica_->diskError();
        // The callback refers to this function's variables.
        if (!outcome)
            replica_.reset();
        ASSERT_EQ(outcome, schema::ACCEPTED);
        EXPECT_EQ(replica_->state().workConfig().version(), version_);
    }

    UnsyncedDisk quota_{ folder_ };
    uint64_t version_ = 0;
};

} // namespace

// Guards against LOST and CONFIG: each restart let the log grow by as much as lies between two
// snapshots before it was shortened, so that changes between restarts filled the disk.
TEST_F(ReplicaDiskTest, changesBetweenRestartsDoNotFillTheDisk)
{
    constexpr uint64_t ChangesBetweenRestarts = 4;
    constexpr int Restarts = 20;
    static_assert(ChangesBetweenRestarts * DocumentBytes < SnapshotBytes);
    quota_.setFreeBytes(8 * SnapshotBytes);
    for (int i = 0; i < Restarts; i++) {
        for (uint64_t change = 0; change < ChangesBetweenRestarts; change++)
            ASSERT_NO_FATAL_FAILURE(configure());
        ASSERT_NO_FATAL_FAILURE(restart());
    }
}

// Guards against LOST and CONFIG: a replica whose write failed on a full disk only tried the same
// write again, for ever, although a snapshot would have freed the space that its own log took.
TEST_F(ReplicaDiskTest, fullDiskIsFreedByTheReplicaItself)
{
    constexpr int Changes = 40;
    quota_.setFreeBytes(SnapshotBytes / 2);
    for (int i = 0; i < Changes; i++)
        ASSERT_NO_FATAL_FAILURE(configure());
}

// Guards against a quorum that is lost to full disks: a vote is a few bytes in a new file, for
// which there was no space, so that after a power cut no replica could lead and free its disk.
TEST_F(ReplicaDiskTest, replicaLeadsAfterARestartOnAFullDisk)
{
    ASSERT_NO_FATAL_FAILURE(configure());
    quota_.setFreeBytes(0);
    ASSERT_NO_FATAL_FAILURE(restart());
    ASSERT_NO_FATAL_FAILURE(configure());
}

// A folder from before there was a reserve, on a disk with little space left.
TEST_F(ReplicaDiskTest, replicaLeadsWithLittleSpaceAndNoReserve)
{
    replica_.reset();
    std::filesystem::remove(folder_ + "/reserve");
    quota_.setFreeBytes(20000);
    startReplica();
    propose();
    ASSERT_TRUE(runUntil([this] { return accepted_ == 1; }));
    EXPECT_FALSE(replica_->spaceError().empty());
}

// Guards against a process that ends on a full disk: the replica opened its folder again after the
// failed write, which replaced the spare files, and a spare file that could not be created was
// fatal.
TEST_F(ReplicaDiskTest, replicaKeepsRunningWhileItsDiskRefusesEverything)
{
    // The log must be so short that no snapshot, for which the reserve is released, is tried.
    propose();
    ASSERT_TRUE(runUntil([this] { return accepted_ == 1; }));
    quota_.setRefusing(true);
    std::optional<schema::OutcomeCode> outcome;
    schema::Command command;
    command.mutable_expire();
    replica_->propose(std::move(command),
        [&outcome](const schema::CommandOutcome &reply) { outcome = reply.code(); });
    ASSERT_TRUE(runUntil([&outcome] { return outcome.has_value(); }));
    EXPECT_EQ(outcome, schema::UNAVAILABLE);
    ASSERT_NO_FATAL_FAILURE(runFor(RefusalTime));
    EXPECT_FALSE(replica_->isLeading());
    quota_.setRefusing(false);
    ASSERT_NO_FATAL_FAILURE(configure());
}

// Guards against a process that ends where a full disk shows in the sync only, and against records
// that are acknowledged after such a sync.
TEST_F(ReplicaDiskTest, replicaKeepsRunningAndStartsWhileSyncsFindNoSpace)
{
    ASSERT_NO_FATAL_FAILURE(configure());
    quota_.failSyncs(ENOSPC);
    std::optional<schema::OutcomeCode> outcome;
    schema::Command command;
    command.mutable_put_work_config()->set_version(++version_);
    replica_->propose(std::move(command),
        [&outcome](const schema::CommandOutcome &reply) { outcome = reply.code(); });
    ASSERT_TRUE(runUntil([&outcome] { return outcome.has_value(); }));
    EXPECT_EQ(outcome, schema::UNAVAILABLE);
    ASSERT_NO_FATAL_FAILURE(runFor(RefusalTime));
    replica_.reset();
    ASSERT_NO_FATAL_FAILURE(openReplica());
    ASSERT_NO_FATAL_FAILURE(runFor(RefusalTime));
    EXPECT_FALSE(replica_->isLeading());
    quota_.failSyncs(0);
    ASSERT_TRUE(runUntil([this] { return replica_->isLeading(); }));
    EXPECT_EQ(replica_->state().workConfig().version(), 1U);
    ASSERT_NO_FATAL_FAILURE(configure());
}

// Guards against a process that goes on after a fatal error: the reserve was restored while the
// process started, when its event loop could not be stopped yet.
TEST_F(ReplicaDiskTest, failedSyncOfTheReserveIsReportedFromTheEventLoop)
{
    replica_.reset();
    std::filesystem::remove(folder_ + "/reserve");
    std::optional<Error> fatal;
    onFatal_ = [&fatal](const Error &error) { fatal = error; };
    // The first one is that of the log.
    quota_.failSyncs(EIO, 1);
    ASSERT_NO_FATAL_FAILURE(openReplica());
    EXPECT_FALSE(fatal.has_value());
    ASSERT_TRUE(runUntil([&fatal] { return fatal.has_value(); }));
    EXPECT_EQ(fatal->step, "sync");
    quota_.failSyncs(0);
}

// Guards against new jobs that are refused for low disk space when it is descriptors that are
// short: the space counts as low while there is no file for the next snapshot.
TEST_F(ReplicaDiskTest, shortageOfDescriptorsIsNotTakenForLowSpace)
{
    constexpr uint64_t MostChanges = 40;
    const auto hasSpareFile = [this] {
        for (const char *name : { "/spare0", "/spare1", "/spare2" }) {
            if (std::filesystem::exists(folder_ + name))
                return true;
        }
        return false;
    };
    {
        const standins::DescriptorShortage shortage;
        while (hasSpareFile() && version_ < MostChanges)
            ASSERT_NO_FATAL_FAILURE(configure());
        ASSERT_FALSE(hasSpareFile());
        ASSERT_NO_FATAL_FAILURE(runFor(Millis(200)));
        EXPECT_EQ(replica_->spaceError(), "");
    }
    ASSERT_NO_FATAL_FAILURE(configure());
    EXPECT_TRUE(runUntil(hasSpareFile));
}

// Guards against a start that fails on a full disk although all that was acknowledged is there.
TEST_F(ReplicaDiskTest, replicaStartsWhileItsDiskRefusesEverything)
{
    ASSERT_NO_FATAL_FAILURE(configure());
    replica_.reset();
    quota_.setRefusing(true);
    ASSERT_NO_FATAL_FAILURE(openReplica());
    ASSERT_NO_FATAL_FAILURE(runFor(RefusalTime));
    EXPECT_FALSE(replica_->isLeading()) << "it cannot store its vote";
    EXPECT_FALSE(replica_->diskError().empty());
    quota_.setRefusing(false);
    ASSERT_TRUE(runUntil([this] { return replica_->isLeading(); }));
    EXPECT_EQ(replica_->state().workConfig().version(), 1U);
    ASSERT_NO_FATAL_FAILURE(configure());
}

// As above, for a folder without spare files and reserve, of which none can be created.
TEST_F(ReplicaDiskTest, replicaStartsWithoutSpareFilesWhileItsDiskRefusesEverything)
{
    ASSERT_NO_FATAL_FAILURE(configure());
    replica_.reset();
    for (const char *name : { "/spare0", "/spare1", "/spare2", "/reserve" })
        std::filesystem::remove(folder_ + name);
    quota_.setRefusing(true);
    ASSERT_NO_FATAL_FAILURE(openReplica());
    ASSERT_NO_FATAL_FAILURE(runFor(RefusalTime));
    EXPECT_FALSE(replica_->isLeading());
    quota_.setRefusing(false);
    ASSERT_TRUE(runUntil([this] { return replica_->isLeading(); }));
    ASSERT_NO_FATAL_FAILURE(configure());
}

// Guards against a start that fails on a full disk that holds nothing yet. Without an identity the
// replica must not take part under a made-up one.
TEST_F(ReplicaDiskTest, replicaWithoutDataStartsWhileItsDiskRefusesEverything)
{
    replica_.reset();
    std::filesystem::remove_all(folder_);
    quota_.setRefusing(true);
    ASSERT_NO_FATAL_FAILURE(openReplica());
    ASSERT_NO_FATAL_FAILURE(runFor(RefusalTime));
    EXPECT_FALSE(replica_->isLeading());
    EXPECT_FALSE(replica_->diskError().empty());
    EXPECT_FALSE(replica_->makeProbeReply().probe_reply().blank())
        << "the cell must not be bootstrapped with it";
    quota_.setRefusing(false);
    ASSERT_TRUE(runUntil([this] { return replica_->isLeading(); }));
    EXPECT_NE(replica_->incarnation(), Incarnation());
    ASSERT_NO_FATAL_FAILURE(configure());
}

// Guards against a replica that never forms its cell: the disk was full after any one of the first
// files and records had been written.
TEST_F(ReplicaDiskTest, replicaWithoutDataFormsItsCellOnceThereIsSpace)
{
    constexpr uint64_t MostBytes = 280;
    constexpr uint64_t Step = 40;
    for (uint64_t bytes = 0; bytes <= MostBytes; bytes += Step) {
        replica_.reset();
        std::filesystem::remove_all(folder_);
        std::filesystem::create_directory(folder_);
        quota_.setFreeBytes(bytes);
        ASSERT_NO_FATAL_FAILURE(openReplica());
        ASSERT_TRUE(
            runUntil([this] { return replica_->isLeading() || !replica_->diskError().empty(); }));
        quota_.setFreeBytes(16 * SnapshotBytes);
        ASSERT_TRUE(runUntil([this] { return replica_->isLeading(); }))
            << bytes << " bytes: " << replica_->diskError();
    }
}

} // namespace basilgap::control
