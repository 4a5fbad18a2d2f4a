#include "Basilgap/Common/EventLog.h"

#include <glog/logging.h>

namespace basilgap {

namespace {

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
    processName() = processId;
}

LogEvent::LogEvent(std::string_view event, LogLevel level)
    : level_(level)
{
    line_ << "time=" << wallNow().count() << " process=" << processName() << " event=" << event;
}

LogEvent::~LogEvent()
{
    switch (level_) {
    case LogLevel::Info:
        LOG(INFO) << line_.str();
        return;
    case LogLevel::Warning:
        LOG(WARNING) << "level=warning " << line_.str();
        return;
    case LogLevel::Error:
        LOG(ERROR) << "level=error " << line_.str();
        return;
    }
}

LogEvent &LogEvent::with(std::string_view key, std::string_view value)
{
    line_ << ' ' << key << '=';
    if (needsQuotes(value))
        line_ << quoted(value);
    else
        line_ << value;
    return *this;
}

LogEvent &LogEvent::with(std::string_view key, const char *value)
{
    return with(key, std::string_view(value));
}

LogEvent &LogEvent::with(std::string_view key, Millis value)
{
    line_ << ' ' << key << '=' << value.count();
    return *this;
}

LogEvent &LogEvent::with(const basilgap::Error &error)
{
    return with("step", error.step).with("peer", error.peer).with("error", error.message);
}

} // namespace basilgap
