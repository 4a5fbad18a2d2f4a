// How a replica makes its log and its snapshots durable.

#include <utility>

#include "Basilgap/Common/EventLog.h"
#include "Basilgap/Control/ReplicaTask.h"

namespace basilgap::control {

namespace {

constexpr Millis WriteRetryInterval{ 1000 };

// Records kept behind a snapshot, so that a replica that was away for a short while needs none.
constexpr uint64_t TrailingRecords = 4000;

} // namespace

void ReplicaTask::startWrite(replication::RaftOutput output)
{
    writing_ = true;
    auto written = std::make_shared<Written>();
    written->output = std::move(output);
    writer_.run([this, written] { written->result = storage_->write(written->output); },
        [this, written] {
            writing_ = false;
            noteWritten(*written);
        });
}

void ReplicaTask::noteWritten(const Written &written)
{
    const replication::RaftOutput &output = written.output;
    if (!written.result && written.result.error().code != ErrorCode::Full)
        return options_.onFatal(written.result.error());
    if (!written.result) {
        diskTrouble_ = written.result.error().text();
        LogEvent("disk-full", LogLevel::Error).with(written.result.error());
        core_->stepDown();
        unwritten_ = output;
        noteRole();
        return writeRetry_.startOnce(WriteRetryInterval);
    }
    if (output.truncateFrom)
        durable_ = std::min(durable_, LogIndex(output.truncateFrom->value() - 1));
    if (output.install)
        durable_ = LogIndex(output.install->meta().index());
    if (!output.append.empty())
        durable_ = LogIndex(output.append.back().index());
    core_->markPersisted(durable_);
    finishOutput(output);
    maybeSnapshot();
    flush();
}

void ReplicaTask::finishOutput(const replication::RaftOutput &output)
{
    send(output.messages);
    if (output.install) {
        state_.restore(output.install->state());
        applied_ = LogIndex(output.install->meta().index());
        LogEvent("snapshot-installed").with("index", applied_.value());
        updateLinks();
    }
    applyAll(output.committed);
}

// Messages of the unwritten output are not sent late: the protocol repeats what matters.
void ReplicaTask::retryWrite()
{
    writing_ = true;
    auto written = std::make_shared<Written>();
    written->output = std::exchange(unwritten_, {});
    written->output.messages.clear();
    writer_.run([this, written] { written->result = storage_->write(written->output); },
        [this, written] {
            writing_ = false;
            if (written->result) {
                LogEvent("disk-usable");
                diskTrouble_.clear();
            }
            noteWritten(*written);
        });
}

void ReplicaTask::maybeSnapshot()
{
    if (applied_ > durable_
        || storage_->logBytes() < logBytesAtSnapshot_ + options_.settings.snapshot_bytes())
        return;
    schema::Snapshot snapshot;
    snapshot.mutable_meta()->set_index(applied_.value());
    snapshot.mutable_meta()->set_term(core_->termAt(applied_).value());
    *snapshot.mutable_meta()->mutable_membership() = core_->membershipAt(applied_);
    snapshot.set_state(state_.save());
    const LogIndex keepFrom(
        applied_.value() > TrailingRecords ? applied_.value() - TrailingRecords : 0);
    const auto saved = storage_->saveSnapshot(snapshot, keepFrom);
    logBytesAtSnapshot_ = storage_->logBytes();
    if (!saved && saved.error().code == ErrorCode::Full) {
        LogEvent("snapshot-failed", LogLevel::Warning).with(saved.error());
        return;
    }
    if (!saved)
        return options_.onFatal(saved.error());
    LogEvent("snapshot-saved")
        .with("index", applied_.value())
        .with("bytes", snapshot.state().size());
    core_->compact(
        snapshot.meta(), std::make_shared<const std::string>(snapshot.state()), keepFrom);
}

} // namespace basilgap::control
