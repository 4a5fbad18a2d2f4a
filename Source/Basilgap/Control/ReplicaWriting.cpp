// Replica methods that write the log and snapshots to disk.

#include <algorithm>
#include <utility>

#include "Basilgap/Common/EventLog.h"
#include "Basilgap/Control/Replica.h"

namespace basilgap::control {

namespace {

constexpr Millis WriteRetryInterval{ 1000 };
constexpr Millis SnapshotRetryInterval{ 1000 };

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
    auto written = std::make_shared<FinishedWrite>();
    written->output = std::move(output);
    writeThread_.run([this, written] { written->result = storage_->write(written->output); },
        [this, written] {
            isWriting_ = false;
            handleWritten(*written);
        });
}

void Replica::handleWritten(const FinishedWrite &written)
{
    const replication::RaftOutput &output = written.output;
    if (!written.result && !isTransient(written.result.error()))
        return options_.onFatal(written.result.error());
    if (!written.result) {
        diskError_ = written.result.error().text();
        const bool isDiskFull = written.result.error().code == ErrorCode::Full;
        LogEvent(isDiskFull ? "disk-full" : "descriptors-exhausted", LogLevel::Error)
            .with(written.result.error())
            .with("files", toText(storage_->fileSizes()))
            .with("applied", appliedIndex_.value())
            .with("durable", durableIndex_.value())
            .with("snapshot", core_->snapshotIndex().value());
        core_->stepDown();
        failedOutput_ = output;
        updateRole();
        return writeRetryTimer_.startOnce(WriteRetryInterval);
    }
    if (output.truncateFrom)
        durableIndex_ = std::min(durableIndex_, LogIndex(output.truncateFrom->value() - 1));
    if (output.install)
        durableIndex_ = LogIndex(output.install->meta().index());
    if (!output.append.empty())
        durableIndex_ = LogIndex(output.append.back().index());
    core_->markPersisted(durableIndex_);
    finishOutput(output);
    maybeSnapshot();
    flush();
}

void Replica::finishOutput(const replication::RaftOutput &output)
{
    send(output.messages);
    if (output.install) {
        state_.restore(output.install->state());
        appliedIndex_ = LogIndex(output.install->meta().index());
        LogEvent("snapshot-installed").with("index", appliedIndex_.value());
        updateLinks();
    }
    applyAll(output.committed);
}

// Drops the messages of the failed output: the protocol resends what is still needed.
void Replica::retryWrite()
{
    isWriting_ = true;
    auto written = std::make_shared<FinishedWrite>();
    written->output = std::exchange(failedOutput_, {});
    written->output.messages.clear();
    writeThread_.run([this, written] { written->result = storage_->write(written->output); },
        [this, written] {
            isWriting_ = false;
            if (written->result) {
                LogEvent("disk-usable");
                diskError_.clear();
            }
            handleWritten(*written);
        });
}

// The records after this one are kept beside a snapshot of the present state.
LogIndex Replica::trailingStart() const
{
    const LogIndex byCount(appliedIndex_.value() > MaxTrailingRecords
            ? appliedIndex_.value() - MaxTrailingRecords
            : 0);
    const LogIndex byBytes = storage_->startOfLast(options_.settings.snapshot_bytes());
    return std::min(appliedIndex_, std::max(byCount, byBytes));
}

bool Replica::isSnapshotDue() const
{
    return core_->bytesSinceSnapshot(appliedIndex_) >= options_.settings.snapshot_bytes();
}

void Replica::maybeSnapshot()
{
    if (!isSnapshotDue() || appliedIndex_ > durableIndex_ || steadyNow() < nextSnapshotTry_)
        return;
    schema::Snapshot snapshot;
    snapshot.mutable_meta()->set_index(appliedIndex_.value());
    snapshot.mutable_meta()->set_term(core_->termAt(appliedIndex_).value());
    *snapshot.mutable_meta()->mutable_membership() = core_->membershipAt(appliedIndex_);
    snapshot.set_state(state_.save());
    const LogIndex keepFrom = trailingStart();
    const auto saved = storage_->saveSnapshot(snapshot, keepFrom);
    if (!saved && isTransient(saved.error())) {
        nextSnapshotTry_ = steadyNow() + SnapshotRetryInterval;
        LogEvent("snapshot-failed", LogLevel::Warning)
            .with(saved.error())
            .with("files", toText(storage_->fileSizes()));
        return;
    }
    if (!saved)
        return options_.onFatal(saved.error());
    LogEvent("snapshot-saved")
        .with("index", appliedIndex_.value())
        .with("bytes", snapshot.state().size())
        .with("logBytes", storage_->logBytes());
    core_->compact(
        snapshot.meta(), std::make_shared<const std::string>(snapshot.state()), keepFrom);
}

} // namespace basilgap::control
