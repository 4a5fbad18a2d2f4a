#include "Basilgap/Common/EventLog.h"

#include <glog/logging.h>

#include "Basilgap/Common/LineWriter.h"

namespace basilgap {

namespace {

// Passes the lines formatted by glog to a writer that never blocks.
class WriterSink : public google::LogSink
{
public:
    void send(google::LogSeverity, const char *, const char *, int, const struct ::tm *,
        const char *message, size_t length) override
    {
        writer_.write(std::string_view(message, length));
    }

    bool admit(std::string_view event) { return writer_.admit(event, steadyNow()); }

private:
    LineWriter writer_{ {} };
};

// Never destroyed, so that lines can be written until the process ends.
WriterSink *&sink()
{
    static WriterSink *current = nullptr;
    return current;
}

std::string &processName()
{
    static std::string name = "-";
    return name;
}

bool needsQuotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" \"=\n\r\t") != std::string_view::npos;
}

std::string quoted(std::string_view value)
{
    std::string text = "\"";
    for (const char c : value) {
        if (c == '"' || c == '\\')
            text += '\\';
        text += static_cast<unsigned char>(c) < 0x20 ? ' ' : c;
    }
    return text + "\"";
}

} // namespace

void startEventLog(const char *program, const std::string &processId)
{
    FLAGS_logtostderr = true;
    FLAGS_log_prefix = false;
    google::InitGoogleLogging(program);
    if (sink() == nullptr)
        sink() = new WriterSink;
    processName() = processId;
}

LogEvent::LogEvent(std::string_view event, LogLevel level)
    : level_(level)
    , admitted_(sink() == nullptr || level == LogLevel::Error || sink()->admit(event))
{
    if (!admitted_)
        return;
    line_ = "time=" + std::to_string(wallNow().count());
    withRaw("process", processName());
    withRaw("event", event);
}

LogEvent::~LogEvent()
{
    if (!admitted_)
        return;
    switch (level_) {
    case LogLevel::Info:
        LOG_TO_SINK_BUT_NOT_TO_LOGFILE(sink(), INFO) << line_;
        return;
    case LogLevel::Warning:
        LOG_TO_SINK_BUT_NOT_TO_LOGFILE(sink(), WARNING) << "level=warning " << line_;
        return;
    case LogLevel::Error:
        LOG_TO_SINK_BUT_NOT_TO_LOGFILE(sink(), ERROR) << "level=error " << line_;
        return;
    }
}

LogEvent &LogEvent::withRaw(std::string_view key, std::string_view text)
{
    if (admitted_)
        line_.append(1, ' ').append(key).append(1, '=').append(text);
    return *this;
}

LogEvent &LogEvent::with(std::string_view key, std::string_view value)
{
    return needsQuotes(value) ? withRaw(key, quoted(value)) : withRaw(key, value);
}

LogEvent &LogEvent::with(std::string_view key, const char *value)
{
    return with(key, std::string_view(value));
}

LogEvent &LogEvent::with(std::string_view key, Millis value)
{
    return withRaw(key, std::to_string(value.count()));
}

LogEvent &LogEvent::with(const basilgap::Error &error)
{
    return with("step", error.step).with("peer", error.peer).with("error", error.message);
}

} // namespace basilgap
