#include "Basilgap/Admin/JobHistory.h"

#include <algorithm>
#include <charconv>
#include <sstream>

namespace basilgap::admin {

namespace {

constexpr const char *TimeKey = "time=";

// Removes the next key=value pair from the text and returns it. The value may be quoted.
std::optional<std::pair<std::string, std::string>> parsePair(std::string_view *text)
{
    while (!text->empty() && text->front() == ' ')
        text->remove_prefix(1);
    const size_t equals = text->find('=');
    if (equals == std::string_view::npos || equals == 0)
        return std::nullopt;
    const std::string key(text->substr(0, equals));
    text->remove_prefix(equals + 1);
    std::string value;
    if (text->empty() || text->front() != '"') {
        const size_t end = std::min(text->find(' '), text->size());
        value = text->substr(0, end);
        text->remove_prefix(end);
        return std::pair(key, value);
    }
    size_t i = 1;
    for (; i < text->size() && (*text)[i] != '"'; i++) {
        if ((*text)[i] == '\\' && i + 1 < text->size())
            i++;
        value += (*text)[i];
    }
    text->remove_prefix(std::min(i + 1, text->size()));
    return std::pair(key, value);
}

int64_t parseNumber(const std::string &text)
{
    int64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

// The path of a caller's request ends with the id of the job.
bool endsWith(const std::string &text, const std::string &end)
{
    return text.size() >= end.size()
        && text.compare(text.size() - end.size(), end.size(), end) == 0;
}

void writeSeconds(std::ostream *out, int64_t milliseconds)
{
    const int64_t rest = milliseconds % 1000;
    *out << milliseconds / 1000 << '.' << (rest < 100 ? "0" : "") << (rest < 10 ? "0" : "") << rest;
}

} // namespace

std::string LogLine::field(const std::string &name) const
{
    const auto found = std::find_if(
        fields.begin(), fields.end(), [&name](const auto &pair) { return pair.first == name; });
    return found == fields.end() ? "" : found->second;
}

std::optional<LogLine> parseLogLine(const std::string &text)
{
    const size_t begin = text.find(TimeKey);
    if (begin == std::string::npos)
        return std::nullopt;
    std::string_view rest = std::string_view(text).substr(begin);
    while (!rest.empty() && (rest.back() == '\n' || rest.back() == '\r'))
        rest.remove_suffix(1);
    LogLine line;
    while (const auto pair = parsePair(&rest)) {
        if (pair->first == "time")
            line.timeMs = parseNumber(pair->second);
        else if (pair->first == "process")
            line.process = pair->second;
        else if (pair->first == "event")
            line.event = pair->second;
        else
            line.fields.push_back(*pair);
    }
    if (line.event.empty())
        return std::nullopt;
    return line;
}

void JobHistory::add(const std::string &text)
{
    if (text.find(job_) == std::string::npos)
        return;
    const auto line = parseLogLine(text);
    if (!line)
        return;
    const bool isOfJob = line->field("work") == job_ || line->field("job") == job_
        || endsWith(line->field("path"), "/" + job_);
    if (isOfJob)
        lines_.emplace(line->timeMs, *line);
}

std::map<std::string, JobHistory::Step> JobHistory::steps() const
{
    std::map<std::string, Step> steps;
    for (const auto &[time, line] : lines_) {
        const std::string name = line.field("step");
        if (name.empty())
            continue;
        Step &step = steps[name];
        if (line.event == "run-ordered") {
            step.starts++;
            if (!step.firstStart)
                step.firstStart = time;
        } else if (line.event == "run-ended") {
            step.ends[line.field("outcome")]++;
            step.lastEnd = time;
        } else if (line.event == "advice") {
            step.adviceCalls++;
            step.maxAdviceMs = std::max(step.maxAdviceMs, parseNumber(line.field("ms")));
        }
    }
    return steps;
}

std::string JobHistory::text() const
{
    std::ostringstream out;
    if (isEmpty())
        return out.str();
    const int64_t begin = lines_.begin()->first;
    for (const auto &[time, line] : lines_) {
        writeSeconds(&out, time - begin);
        out << " s  " << line.process << "  " << line.event;
        for (const auto &[key, value] : line.fields) {
            if (value != job_)
                out << ' ' << key << '=' << value;
        }
        out << '\n';
    }
    for (const auto &[name, step] : steps()) {
        out << "step " << name << ": " << step.starts << " starts";
        if (step.firstStart) {
            out << " from ";
            writeSeconds(&out, *step.firstStart - begin);
            out << " s";
        }
        if (step.lastEnd) {
            out << ", last end at ";
            writeSeconds(&out, *step.lastEnd - begin);
            out << " s";
        }
        for (const auto &[outcome, count] : step.ends)
            out << ", " << count << ' ' << outcome;
        if (step.adviceCalls > 0)
            out << ", " << step.adviceCalls << " calls for advice of up to " << step.maxAdviceMs
                << " ms";
        out << '\n';
    }
    return out.str();
}

} // namespace basilgap::admin
