#include <csignal>
#include <utility>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "StandIns/LocalCell.h"

namespace basilgap::standins {

namespace {

constexpr int ExitCannotStart = 127;

} // namespace

ChildProcess::~ChildProcess()
{
    kill();
}

ChildProcess::ChildProcess(ChildProcess &&other) noexcept
    : pid_(std::exchange(other.pid_, -1))
    , status_(other.status_)
{}

ChildProcess &ChildProcess::operator=(ChildProcess &&other) noexcept
{
    if (this != &other) {
        kill();
        pid_ = std::exchange(other.pid_, -1);
        status_ = other.status_;
    }
    return *this;
}

ChildProcess ChildProcess::start(
    const std::vector<std::string> &command, const std::string &logFile)
{
    std::vector<char *> arguments;
    for (const std::string &word : command)
        arguments.push_back(const_cast<char *>(word.c_str()));
    arguments.push_back(nullptr);
    ChildProcess child;
    child.pid_ = fork();
    if (child.pid_ != 0)
        return child;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = ::open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execv(arguments[0], arguments.data());
    _exit(ExitCannotStart);
}

void ChildProcess::signal(int number) const
{
    if (pid_ > 0)
        ::kill(pid_, number);
}

int ChildProcess::wait(Millis timeout)
{
    if (!waitUntil(timeout, [this] { return !isRunning(); }))
        return -1;
    return WIFEXITED(status_) ? WEXITSTATUS(status_) : -1;
}

void ChildProcess::kill()
{
    if (!isRunning())
        return;
    signal(SIGKILL);
    waitpid(pid_, &status_, 0);
    pid_ = -1;
}

bool ChildProcess::isRunning()
{
    if (pid_ <= 0)
        return false;
    if (waitpid(pid_, &status_, WNOHANG) == 0)
        return true;
    pid_ = -1;
    return false;
}

} // namespace basilgap::standins
