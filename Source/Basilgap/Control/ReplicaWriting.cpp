// Replica methods that write the log and snapshots to disk.

#include <algorithm>
#include <utility>

#include "Basilgap/Common/EventLog.h"
#include "Basilgap/Control/Replica.h"

namespace basilgap::control {

namespace {

constexpr Millis WriteRetryInterval{ 1000 };
// Longer than a leader relies on its last confirmation by this replica, which may vote for another
// one once it has opened its folder again.
constexpr Millis ReopenDelay{ 500 };
constexpr Millis SnapshotRetryInterval{ 1000 };
constexpr Millis ReserveRetryInterval{ 5000 };

// While disk space is low, the log may grow by this part of what it grows otherwise.
constexpr uint64_t LowSpaceShare = 8;

// Log records kept before a snapshot, so that a replica that was away for a short time can catch up
// from the log and needs no snapshot. They take no more space than the records between two
// snapshots.
constexpr uint64_t MaxTrailingRecords = 4000;

std::string toText(const std::vector<replication::FileSize> &files)
{
    std::string text;
    for (const replication::FileSize &file : files)
        text += (text.empty() ? "" : ",") + file.name + ":" + std::to_string(file.bytes);
    return text;
}

} // namespace

void Replica::startWrite(replication::RaftOutput output)
{
    isWriting_ = true;
    isInstalling_ = output.install.has_value();
    auto written = std::make_shared<FinishedWrite>();
    written->output = std::move(output);
    writeThread_.run([this, written] { written->result = storage_->write(written->output); },
        [this, written] {
            isWriting_ = false;
            isInstalling_ = false;
            handleWritten(*written);
        });
}

void Replica::handleWritten(const FinishedWrite &written)
{
    const replication::RaftOutput &output = written.output;
    if (!written.result && !isTransient(written.result.error()))
        return options_.onFatal(written.result.error());
    if (!written.result)
        return handleFailedWrite(written);
    if (!diskError_.empty()) {
        LogEvent("disk-usable");
        diskError_.clear();
    }
    if (output.truncateFrom)
        durableIndex_ = std::min(durableIndex_, LogIndex(output.truncateFrom->value() - 1));
    if (output.install)
        durableIndex_ = LogIndex(output.install->meta().index());
    if (!output.append.empty())
        durableIndex_ = LogIndex(output.append.back().index());
    core_->markPersisted(durableIndex_);
    finishOutput(output);
    applyCommitted();
    if (storage_->isReserveReleased() && spaceError_.empty())
        setSpaceLow({ ErrorCode::Full, "write", options_.settings.data_folder(),
            "the reserve was released" });
    maybeSnapshot();
    restoreReserve();
    flush();
}

void Replica::finishOutput(const replication::RaftOutput &output)
{
    send(output.messages);
    if (output.install) {
        // They precede the snapshot.
        unapplied_.clear();
        state_.restore(output.install->state());
        appliedIndex_ = LogIndex(output.install->meta().index());
        LogEvent("snapshot-installed").with("index", appliedIndex_.value());
        updateLinks();
    }
    addCommitted(output.committed);
}

void Replica::handleFailedWrite(const FinishedWrite &written)
{
    const Error &error = written.result.error();
    const replication::RaftOutput &output = written.output;
    const bool isDiskFull = error.code == ErrorCode::Full;
    LogEvent(isDiskFull ? "disk-full" : "descriptors-exhausted", LogLevel::Error)
        .with(error)
        .with("files", toText(storage_->fileSizes()))
        .with("applied", appliedIndex_.value())
        .with("durable", durableIndex_.value())
        .with("snapshot", core_->snapshotIndex().value());
    // While records on the disk are to be replaced, its log does not match the one in memory.
    isLogCurrent_ = !output.install && !output.truncateFrom && !core_->hasPendingTruncation();
    diskError_ = error.text();
    core_->stepDown();
    updateRole();
    if (isDiskFull)
        return resumeFromDisk(false);
    failedOutput_ = output;
    writeRetryTimer_.startOnce(WriteRetryInterval);
}

void Replica::retryWrite()
{
    if (!storage_)
        return reopen();
    if (!failedOutput_)
        return resumeFromDisk(true);
    replication::RaftOutput output = std::move(*failedOutput_);
    failedOutput_.reset();
    // The protocol resends the messages that are still needed.
    output.messages.clear();
    startWrite(std::move(output));
}

// Goes on after a write that found the disk full: soon if space could be freed, or else once there
// is some. The records of that write are not tried again, as the disk may never have
// space for all of them at a time.
void Replica::resumeFromDisk(bool isRetry)
{
    spaceError_ = diskError_;
    core_->setReluctant(true);
    nextReserveTry_ = steadyNow() + ReserveRetryInterval;
    const uint64_t reserved = storage_->reservedBytes();
    // The snapshot may cover records that were applied, but not written.
    const bool isShortened = isLogCurrent_ && isMuchRemovable() && saveSnapshot();
    const auto held = storage_->restoreLeastReserve();
    if (!held && !isTransient(held.error()))
        return options_.onFatal(held.error());
    if (isRetry && !storage_->hasLeastReserve())
        LogEvent("disk-full", LogLevel::Error)
            .with("error", diskError_)
            .with("files", toText(storage_->fileSizes()));
    const bool hasFreed = isShortened || storage_->reservedBytes() < reserved;
    if (isRetry && storage_->hasLeastReserve())
        return reopen();
    writeRetryTimer_.startOnce(hasFreed ? ReopenDelay : WriteRetryInterval);
}

// Starts again from what is on the disk. What was not written has not been acknowledged.
void Replica::reopen()
{
    // A folder that could not be opened may have a log that could not be synced.
    const bool mustRewriteLog = !storage_ || storage_->hasRemains();
    storage_.reset();
    auto storage = openStorage(options_, mustRewriteLog);
    if (!storage && !isTransient(storage.error()))
        return options_.onFatal(storage.error());
    if (!storage)
        return awaitStorage(storage.error());
    probeReplies_.clear();
    mustFreeSpace_ = false;
    diskError_.clear();
    const Incarnation former = incarnation_;
    load(std::move(*storage));
    LogEvent("disk-usable").with("index", core_->lastIndex().value());
    // Links name the incarnation that they were opened under.
    if (incarnation_ != former)
        links_.clear();
    updateLinks();
}

// The data folder cannot be opened: a file of it is missing, or was not synced, and the disk is
// full. The replica stays silent and tries again.
void Replica::awaitStorage(const Error &error)
{
    const bool isDiskFull = error.code == ErrorCode::Full;
    LogEvent(isDiskFull ? "disk-full" : "descriptors-exhausted", LogLevel::Error)
        .with(error)
        .with(
            "files", toText(replication::DataFolder::fileSizesIn(options_.settings.data_folder())));
    diskError_ = error.text();
    if (isDiskFull)
        spaceError_ = diskError_;
    nextReserveTry_ = steadyNow() + ReserveRetryInterval;
    writeRetryTimer_.startOnce(WriteRetryInterval);
}

// The records after this one are kept beside a snapshot of the present state.
LogIndex Replica::trailingStart() const
{
    if (!spaceError_.empty())
        return appliedIndex_;
    const LogIndex byCount(appliedIndex_.value() > MaxTrailingRecords
            ? appliedIndex_.value() - MaxTrailingRecords
            : 0);
    const LogIndex byBytes = storage_->startOfLast(options_.settings.snapshot_bytes());
    return std::min(appliedIndex_, std::max(byCount, byBytes));
}

bool Replica::isSnapshotDue() const
{
    const uint64_t allowed =
        options_.settings.snapshot_bytes() / (spaceError_.empty() ? 1 : LowSpaceShare);
    return mustFreeSpace_ || core_->bytesSinceSnapshot(appliedIndex_) >= allowed;
}

void Replica::maybeSnapshot()
{
    if (isSnapshotDue() && !core_->hasPendingTruncation() && appliedIndex_ <= durableIndex_
        && steadyNow() >= nextSnapshotTry_)
        saveSnapshot();
}

// Saves a snapshot of the present state and shortens the log. Returns whether that was possible.
bool Replica::saveSnapshot()
{
    schema::Snapshot snapshot;
    snapshot.mutable_meta()->set_index(appliedIndex_.value());
    snapshot.mutable_meta()->set_term(core_->termAt(appliedIndex_).value());
    *snapshot.mutable_meta()->mutable_membership() = core_->membershipAt(appliedIndex_);
    snapshot.set_state(state_.save());
    const LogIndex keepFrom = trailingStart();
    const auto saved = storage_->saveSnapshot(snapshot, keepFrom);
    if (!saved && !isTransient(saved.error())) {
        options_.onFatal(saved.error());
        return false;
    }
    if (!saved) {
        nextSnapshotTry_ = steadyNow() + SnapshotRetryInterval;
        LogEvent("snapshot-failed", LogLevel::Warning)
            .with(saved.error())
            .with("files", toText(storage_->fileSizes()));
        return false;
    }
    mustFreeSpace_ = false;
    LogEvent("snapshot-saved")
        .with("index", appliedIndex_.value())
        .with("bytes", snapshot.state().size())
        .with("logBytes", storage_->logBytes());
    core_->compact(
        snapshot.meta(), std::make_shared<const std::string>(snapshot.state()), keepFrom);
    return true;
}

void Replica::setSpaceLow(const Error &reason)
{
    spaceError_ = reason.text();
    core_->setReluctant(true);
    mustFreeSpace_ = isMuchRemovable();
}

// Whether a snapshot would shorten the log by more than it may grow while disk space is low.
bool Replica::isMuchRemovable() const
{
    return storage_->bytesUpTo(appliedIndex_) > options_.settings.snapshot_bytes() / LowSpaceShare;
}

// Must not be called while the write thread uses the storage.
void Replica::restoreReserve()
{
    if (mustFreeSpace_ || (storage_->hasReserve() && spaceError_.empty())
        || steadyNow() < nextReserveTry_)
        return;
    const auto restored =
        spaceError_.empty() ? storage_->restoreReserve() : storage_->restoreReserveWithMargin();
    if (restored) {
        if (!spaceError_.empty())
            LogEvent("disk-space-regained").with("files", toText(storage_->fileSizes()));
        spaceError_.clear();
        core_->setReluctant(false);
        hasYieldedLead_ = false;
        return;
    }
    if (!isTransient(restored.error()))
        return options_.onFatal(restored.error());
    nextReserveTry_ = steadyNow() + ReserveRetryInterval;
    if (restored.error().code == ErrorCode::Exhausted) {
        LogEvent("spare-file-missing", LogLevel::Warning).with(restored.error());
        return;
    }
    LogEvent("disk-full", LogLevel::Error)
        .with(restored.error())
        .with("files", toText(storage_->fileSizes()));
    setSpaceLow(restored.error());
    if (isLeading_ && !hasYieldedLead_)
        hasYieldedLead_ = transferLeadership();
}

} // namespace basilgap::control
