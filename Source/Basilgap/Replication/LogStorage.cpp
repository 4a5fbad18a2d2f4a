#include "Basilgap/Replication/LogStorage.h"

#include <algorithm>
#include <cerrno>
#include <filesystem>

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include "Basilgap/Common/Hash.h"
#include "Basilgap/Replication/RecordFrame.h"

namespace basilgap::replication {

namespace {

constexpr const char *IdentityFile = "identity";
constexpr const char *HardStateFile = "hard-state";
constexpr const char *SnapshotFile = "snapshot";
constexpr const char *LogFile = "log";
constexpr const char *LockFile = "lock";

// The reserve of a crowded disk holds this part of what it holds otherwise besides a snapshot.
constexpr uint64_t LeastReserveShare = 8;

Error damaged(const std::string &path, size_t offset)
{
    return Error{ .code = ErrorCode::Damaged,
        .step = "read",
        .peer = path,
        .message = "damaged record at offset " + std::to_string(offset) };
}

// Reads a file with one framed message. Returns false if the file is missing or empty.
Result<bool> readFramedFile(const std::string &path, google::protobuf::Message *message)
{
    const auto bytes = readWholeFile(path);
    if (!bytes)
        return fail(bytes.error());
    if (bytes->empty())
        return false;
    const Frame frame = readFrame(*bytes, 0);
    if (frame.state != FrameState::Complete
        || !message->ParseFromArray(frame.content.data(), static_cast<int>(frame.content.size())))
        return fail(damaged(path, 0));
    return true;
}

std::string framed(const google::protobuf::Message &message)
{
    std::string bytes;
    appendFrame(&bytes, message.SerializeAsString());
    return bytes;
}

// The first frame of the log file: index and term of the record that precedes its first record.
std::string logHeader(LogIndex baseIndex, Term baseTerm)
{
    schema::SnapshotMeta header;
    header.set_index(baseIndex.value());
    header.set_term(baseTerm.value());
    return framed(header);
}

} // namespace

LogStorage::LogStorage(Options options)
    : options_(std::move(options))
{}

LogStorage::~LogStorage()
{
    if (lock_ >= 0)
        ::close(lock_);
}

Result<std::unique_ptr<LogStorage>> LogStorage::open(Options options)
{
    std::unique_ptr<LogStorage> storage(new LogStorage(std::move(options)));
    using Step = Result<void> (LogStorage::*)();
    for (const Step step : { &LogStorage::openFolder, &LogStorage::readIdentity,
             &LogStorage::readHardState, &LogStorage::readSnapshot, &LogStorage::readLog }) {
        if (auto done = (storage.get()->*step)(); !done)
            return fail(done.error());
    }
    return storage;
}

Result<void> LogStorage::openFolder()
{
    std::error_code code;
    std::filesystem::create_directories(options_.folder, code);
    if (code) {
        errno = code.value();
        return fail(systemError("create-folder", options_.folder));
    }
    lock_ = options_.calls->open(path(LockFile), O_RDWR | O_CREAT | O_CLOEXEC);
    if (lock_ < 0)
        return fail(systemError("open", path(LockFile)));
    if (::flock(lock_, LOCK_EX | LOCK_NB) != 0)
        return fail({ ErrorCode::Conflict, "lock", options_.folder,
            "another process holds the data folder" });
    auto folder = DataFolder::open(options_.folder, *options_.calls);
    if (!folder)
        return fail(folder.error());
    folder_ = std::move(*folder);
    return {};
}

Result<void> LogStorage::replaceFile(const char *name, std::string_view content)
{
    if (auto file = folder_.replace(name, content); !file)
        return fail(file.error());
    return folder_.syncNames();
}

Result<void> LogStorage::readIdentity()
{
    schema::Member identity;
    const auto found = readFramedFile(path(IdentityFile), &identity);
    if (!found)
        return fail(found.error());
    if (*found && identity.id() != options_.replica.value())
        return fail({ ErrorCode::Conflict, "read", path(IdentityFile),
            "the folder belongs to replica " + identity.id() });
    if (!*found) {
        identity.set_id(options_.replica.value());
        identity.set_incarnation(randomNumber());
        if (auto done = replaceFile(IdentityFile, framed(identity)); !done)
            return done;
    }
    incarnation_ = Incarnation(identity.incarnation());
    return {};
}

Result<void> LogStorage::readHardState()
{
    const auto found = readFramedFile(path(HardStateFile), &persistentState_.hardState);
    if (!found)
        return fail(found.error());
    return {};
}

Result<void> LogStorage::readSnapshot()
{
    schema::Snapshot snapshot;
    const auto found = readFramedFile(path(SnapshotFile), &snapshot);
    if (!found)
        return fail(found.error());
    snapshotBytes_ = snapshot.ByteSizeLong();
    persistentState_.snapshotMeta = snapshot.meta();
    persistentState_.snapshotState = std::make_shared<const std::string>(snapshot.state());
    return {};
}

Result<void> LogStorage::readLog()
{
    const auto bytes = readWholeFile(path(LogFile));
    if (!bytes)
        return fail(bytes.error());
    if (bytes->empty())
        return rewriteLog(LogIndex(persistentState_.snapshotMeta.index()),
            Term(persistentState_.snapshotMeta.term()), {});
    auto file = DiskFile::open(path(LogFile), *options_.calls);
    if (!file)
        return fail(file.error());
    log_ = std::move(*file);
    std::vector<schema::LogRecord> records;
    if (auto scanned = scanLog(*bytes, &records); !scanned)
        return scanned;
    if (auto done = makeLogDurable(*bytes); !done)
        return done;
    return loadRecords(std::move(records));
}

// The process before may have ended between a write and its sync.
Result<void> LogStorage::makeLogDurable(const std::string &bytes)
{
    if (!options_.mustRewriteLog)
        return log_.sync();
    std::vector<std::string> records;
    for (const uint64_t offset : offsets_)
        records.emplace_back(readFrame(bytes, offset).content);
    return rewriteLog(LogIndex(baseIndex_), Term(baseTerm_), records);
}

Result<void> LogStorage::scanLog(const std::string &bytes, std::vector<schema::LogRecord> *records)
{
    // The header is written by an atomic replacement of the file only, so it can't be torn.
    schema::SnapshotMeta header;
    const Frame first = readFrame(bytes, 0);
    if (first.state != FrameState::Complete
        || !header.ParseFromArray(first.content.data(), static_cast<int>(first.content.size())))
        return fail(damaged(path(LogFile), 0));
    baseIndex_ = header.index();
    baseTerm_ = header.term();

    size_t offset = first.length;
    while (offset < bytes.size()) {
        const Frame frame = readFrame(bytes, offset);
        const bool isLast = frame.length != 0 && offset + frame.length >= bytes.size();
        if (frame.state == FrameState::Torn || (frame.state == FrameState::Damaged && isLast)) {
            if (auto cut = truncateTornTail(bytes, offset); !cut)
                return cut;
            break;
        }
        schema::LogRecord record;
        const auto size = static_cast<int>(frame.content.size());
        if (frame.state == FrameState::Damaged || !record.ParseFromArray(frame.content.data(), size)
            || record.index() != lastIndex() + 1)
            return fail(damaged(path(LogFile), offset));
        offsets_.push_back(offset);
        records->push_back(std::move(record));
        offset += frame.length;
    }
    logLength_ = offset;
    return {};
}

Result<void> LogStorage::truncateTornTail(const std::string &bytes, size_t offset)
{
    tornBytes_ = bytes.size() - offset;
    return log_.discardFrom(offset);
}

Result<void> LogStorage::loadRecords(std::vector<schema::LogRecord> records)
{
    const uint64_t snapshotIndex = persistentState_.snapshotMeta.index();
    RaftLog log(LogIndex(baseIndex_), Term(baseTerm_), std::move(records));
    const bool isContiguous = baseIndex_ <= snapshotIndex
        && snapshotIndex <= log.lastIndex().value()
        && log.termAt(LogIndex(snapshotIndex)).value() == persistentState_.snapshotMeta.term();
    if (isContiguous) {
        persistentState_.log = std::move(log);
        return {};
    }
    // After a crash between the write of a received snapshot and that of the new log, the log still
    // holds records from before the snapshot; they are discarded.
    if (baseIndex_ > snapshotIndex)
        return fail({ ErrorCode::Damaged, "read", path(LogFile),
            "the log starts after the snapshot ends" });
    const LogIndex base(snapshotIndex);
    const Term term(persistentState_.snapshotMeta.term());
    persistentState_.log = RaftLog(base, term, {});
    return rewriteLog(base, term, {});
}

Result<void> LogStorage::writeHardState(const schema::HardState &state)
{
    return replaceFile(HardStateFile, framed(state));
}

Result<void> LogStorage::write(const RaftOutput &output)
{
    // A log whose name is not on the disk must not take records.
    if (auto synced = folder_.syncNames(); !synced)
        return synced;
    if (output.hardState) {
        if (auto done = writeHardState(*output.hardState); !done)
            return done;
    }
    if (output.install) {
        const LogIndex index(output.install->meta().index());
        if (auto done = saveSnapshot(*output.install, index); !done)
            return done;
        if (auto done = rewriteLog(index, Term(output.install->meta().term()), {}); !done)
            return done;
    }
    if (output.truncateFrom) {
        if (auto done = truncateFrom(*output.truncateFrom); !done)
            return done;
    }
    if (output.append.empty() && !output.truncateFrom)
        return {};
    const LogIndex lastDurable(lastIndex());
    if (auto done = append(output.append); !done)
        return done;
    return syncLog(lastDurable);
}

// If the sync finds no space, the records after the given one are in an unknown state. They are
// removed, so that they are not read back and taken for durable.
Result<void> LogStorage::syncLog(LogIndex lastDurable)
{
    auto synced = log_.sync();
    if (synced || synced.error().code != ErrorCode::Full)
        return synced;
    forgetFrom(LogIndex(lastDurable.value() + 1));
    if (auto discarded = log_.discardFrom(logLength_); !discarded)
        return discarded;
    return synced;
}

void LogStorage::forgetFrom(LogIndex index)
{
    if (index.value() > lastIndex())
        return;
    logLength_ = offsets_[index.value() - baseIndex_ - 1];
    offsets_.resize(index.value() - baseIndex_ - 1);
}

Result<void> LogStorage::append(const std::vector<schema::LogRecord> &records)
{
    std::string bytes;
    std::vector<uint64_t> offsets;
    if (!records.empty() && records.front().index() != lastIndex() + 1)
        return fail({ ErrorCode::Invalid, "append", path(LogFile),
            "record " + std::to_string(records.front().index()) + " does not follow record "
                + std::to_string(lastIndex()) });
    for (const schema::LogRecord &record : records) {
        offsets.push_back(logLength_ + bytes.size());
        appendFrame(&bytes, record.SerializeAsString());
    }
    if (auto done = log_.writeAt(logLength_, bytes); !done)
        return done;
    logLength_ += bytes.size();
    offsets_.insert(offsets_.end(), offsets.begin(), offsets.end());
    return {};
}

Result<void> LogStorage::truncateFrom(LogIndex index)
{
    if (index.value() > lastIndex())
        return {};
    if (index.value() <= baseIndex_)
        return fail({ ErrorCode::Invalid, "truncate", path(LogFile),
            "record " + std::to_string(index.value()) + " was removed before" });
    const uint64_t offset = offsets_[index.value() - baseIndex_ - 1];
    if (auto done = log_.truncate(offset); !done)
        return done;
    forgetFrom(index);
    return {};
}

Result<void> LogStorage::saveSnapshot(const schema::Snapshot &snapshot, LogIndex keepFrom)
{
    const std::string bytesOfSnapshot = framed(snapshot);
    if (auto done = replaceFile(SnapshotFile, bytesOfSnapshot); !done)
        return done;
    snapshotBytes_ = bytesOfSnapshot.size();
    if (keepFrom.value() <= baseIndex_)
        return {};
    if (keepFrom.value() > lastIndex())
        return rewriteLog(keepFrom, Term(snapshot.meta().term()), {});
    const auto bytes = log_.read();
    if (!bytes)
        return fail(bytes.error());
    std::vector<std::string> kept;
    uint64_t term = baseTerm_;
    for (uint64_t index = keepFrom.value(); index <= lastIndex(); index++) {
        const Frame frame = readFrame(*bytes, offsets_[index - baseIndex_ - 1]);
        if (frame.state != FrameState::Complete)
            return fail(damaged(path(LogFile), offsets_[index - baseIndex_ - 1]));
        if (index > keepFrom.value()) {
            kept.emplace_back(frame.content);
            continue;
        }
        schema::LogRecord record;
        record.ParseFromArray(frame.content.data(), static_cast<int>(frame.content.size()));
        term = record.term();
    }
    return rewriteLog(keepFrom, Term(term), kept);
}

Result<void> LogStorage::restoreReserve()
{
    if (options_.reserveBytes == 0)
        return {};
    auto held = folder_.holdReserve(wantedReserve());
    if (held || held.error().code != ErrorCode::Full)
        return held;
    // On a crowded disk the reserve leaves some space for records.
    if (folder_.reservedBytes() > leastReserve()) {
        if (auto reduced = folder_.holdReserve(leastReserve()); !reduced)
            return reduced;
    }
    return held;
}

Result<void> LogStorage::restoreReserveWithMargin()
{
    const auto margin = folder_.holdReserve(wantedReserve() + options_.reserveBytes);
    auto held = folder_.holdReserve(margin ? wantedReserve() : leastReserve());
    return margin ? held : margin;
}

uint64_t LogStorage::bytesUpTo(LogIndex index) const
{
    if (offsets_.empty() || index.value() <= baseIndex_)
        return 0;
    const uint64_t end =
        index.value() >= lastIndex() ? logLength_ : offsets_[index.value() - baseIndex_];
    return end - offsets_.front();
}

uint64_t LogStorage::leastReserve() const
{
    return options_.reserveBytes == 0 ? 0
                                      : options_.reserveBytes / LeastReserveShare + snapshotBytes_;
}

LogIndex LogStorage::startOfLast(uint64_t maxBytes) const
{
    const uint64_t firstOffset = logLength_ > maxBytes ? logLength_ - maxBytes : 0;
    const auto first = std::lower_bound(offsets_.begin(), offsets_.end(), firstOffset);
    return LogIndex(baseIndex_ + static_cast<uint64_t>(first - offsets_.begin()));
}

Result<void> LogStorage::rewriteLog(
    LogIndex baseIndex, Term baseTerm, const std::vector<std::string> &records)
{
    std::string bytes = logHeader(baseIndex, baseTerm);
    std::deque<uint64_t> offsets;
    for (const std::string &record : records) {
        offsets.push_back(bytes.size());
        appendFrame(&bytes, record);
    }
    auto file = folder_.replace(LogFile, bytes);
    if (!file)
        return fail(file.error());
    log_ = std::move(*file);
    logLength_ = bytes.size();
    baseIndex_ = baseIndex.value();
    baseTerm_ = baseTerm.value();
    offsets_ = std::move(offsets);
    if (!persistentState_.log.size())
        persistentState_.log = RaftLog(baseIndex, baseTerm, {});
    return folder_.syncNames();
}

} // namespace basilgap::replication
