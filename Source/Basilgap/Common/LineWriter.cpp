#include "Basilgap/Common/LineWriter.h"

#include <fcntl.h>
#include <unistd.h>

namespace basilgap {

namespace {

constexpr Millis Second{ 1000 };

} // namespace

LineWriter::LineWriter(Options options)
    : options_(options)
{
    const int flags = fcntl(options_.file, F_GETFL);
    if (flags >= 0)
        fcntl(options_.file, F_SETFL, flags | O_NONBLOCK);
}

bool LineWriter::admit(std::string_view event, Millis now)
{
    auto found = budgets_.find(event);
    if (found == budgets_.end())
        found = budgets_.emplace(std::string(event), Budget{ now, 0, 0 }).first;
    Budget &budget = found->second;
    if (now - budget.startedAt >= Second) {
        const uint64_t dropped = budget.dropped;
        budget = { now, 0, 0 };
        if (dropped > 0)
            write("event=lines-dropped of=" + found->first + " lines=" + std::to_string(dropped));
    }
    if (budget.lines < options_.linesPerSecond) {
        budget.lines++;
        return true;
    }
    budget.dropped++;
    dropped_++;
    return false;
}

void LineWriter::write(std::string_view line)
{
    flush();
    if (unreportedDrops_ > 0
        && append("event=lines-dropped of=all lines=" + std::to_string(unreportedDrops_)))
        unreportedDrops_ = 0;
    if (!append(line)) {
        unreportedDrops_++;
        dropped_++;
    }
    flush();
}

bool LineWriter::append(std::string_view line)
{
    if (pending_.size() + line.size() + 1 > options_.maxPendingBytes)
        return false;
    pending_.append(line);
    pending_.push_back('\n');
    return true;
}

void LineWriter::flush()
{
    while (!pending_.empty()) {
        const ssize_t written = ::write(options_.file, pending_.data(), pending_.size());
        if (written <= 0)
            return;
        pending_.erase(0, static_cast<size_t>(written));
    }
}

} // namespace basilgap
