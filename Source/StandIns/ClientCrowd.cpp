#include "StandIns/ClientCrowd.h"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <thread>

#include <sys/socket.h>
#include <unistd.h>

#include "Basilgap/Network/SocketAddress.h"

namespace basilgap::standins {

namespace {

constexpr size_t RunBytes = 256 * 1024;
constexpr size_t KeptAnswerBytes = 512;
constexpr Millis MaxStandstill{ 1000 };
constexpr Millis ReconnectInterval{ 100 };
// For the listener to read what is in its sockets.
constexpr std::chrono::milliseconds SettleTime{ 500 };
constexpr int PollMilliseconds = 20;

} // namespace

ClientCrowd::ClientCrowd(Options options)
    : options_(std::move(options))
    , clients_(options_.connections)
{
    while (!options_.repeated.empty() && run_.size() < RunBytes)
        run_ += options_.repeated;
}

ClientCrowd::~ClientCrowd()
{
    for (Client &client : clients_)
        close(&client);
}

void ClientCrowd::close(Client *client)
{
    if (client->socket >= 0)
        ::close(client->socket);
    client->socket = -1;
}

void ClientCrowd::connect(Client *client) const
{
    sockaddr_storage storage{};
    const auto address = network::parseAddress(options_.address);
    if (!address)
        return;
    const int length = network::toSockaddr(*address, &storage);
    client->socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (client->socket >= 0)
        ::connect(
            client->socket, reinterpret_cast<sockaddr *>(&storage), static_cast<socklen_t>(length));
}

void ClientCrowd::reconnect(Client *client, bool hasEnded, Millis now)
{
    if (client->socket >= 0 && hasEnded) {
        closed_++;
        close(client);
    }
    if (client->socket >= 0 || now < client->nextConnectAt)
        return;
    client->sent = 0;
    client->nextConnectAt = now + ReconnectInterval;
    connect(client);
}

bool ClientCrowd::isFinished(const Client &client) const
{
    return client.socket < 0 || client.sent >= options_.maxBytes;
}

pollfd ClientCrowd::pollOf(const Client &client, Millis now) const
{
    const bool sends = !isFinished(client) && now >= client.nextSendAt;
    const int events = (sends ? POLLOUT : 0) | (options_.readsAnswers ? POLLIN : 0) | POLLRDHUP;
    return { .fd = client.socket, .events = static_cast<short>(events), .revents = 0 };
}

bool ClientCrowd::send(Client *client, Millis now)
{
    const std::string &opening = options_.opening;
    const bool inOpening = client->sent < opening.size();
    const std::string &part = inOpening ? opening : run_;
    const size_t start = inOpening ? client->sent : (client->sent - opening.size()) % run_.size();
    const size_t length =
        std::min({ part.size() - start, options_.bytesPerSend, options_.maxBytes - client->sent });
    const ssize_t sent = ::send(client->socket, part.data() + start, length, MSG_NOSIGNAL);
    if (sent > 0) {
        client->sent += static_cast<size_t>(sent);
        client->nextSendAt = now + options_.sendInterval;
        return true;
    }
    if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
        closed_++;
        close(client);
    }
    return false;
}

bool ClientCrowd::read(Client *client)
{
    char bytes[16384];
    const ssize_t count = ::recv(client->socket, bytes, sizeof bytes, 0);
    if (count > 0) {
        const size_t room = KeptAnswerBytes - std::min(KeptAnswerBytes, client->answer.size());
        client->answer.append(bytes, std::min(room, static_cast<size_t>(count)));
        return true;
    }
    if (count < 0 && (errno == EAGAIN || errno == EINTR))
        return false;
    closed_++;
    close(client);
    return true;
}

void ClientCrowd::run()
{
    for (Client &client : clients_)
        connect(&client);
    const Millis end = steadyNow() + options_.duration;
    Millis lastProgress = steadyNow();
    std::vector<pollfd> polls(clients_.size());
    for (Millis now = lastProgress;
         now < end && !isStopped_ && (options_.reconnects || now - lastProgress < MaxStandstill);
         now = steadyNow()) {
        // Clients that send nothing wait until they are connected.
        if (options_.maxBytes > 0 && !options_.reconnects
            && std::all_of(clients_.begin(), clients_.end(),
                [this](const Client &client) { return isFinished(client); }))
            break;
        for (size_t i = 0; i < clients_.size(); i++)
            polls[i] = pollOf(clients_[i], now);
        ::poll(polls.data(), polls.size(), PollMilliseconds);
        for (size_t i = 0; i < clients_.size(); i++) {
            Client *client = &clients_[i];
            if (client->socket >= 0 && (polls[i].revents & POLLIN) != 0 && read(client))
                lastProgress = now;
            const bool mayHaveEnded = (polls[i].revents & (POLLERR | POLLHUP)) != 0;
            const bool sends = (polls[i].revents & POLLOUT) != 0 || mayHaveEnded;
            if (!isFinished(*client) && sends && send(client, now))
                lastProgress = now;
            const bool hasEnded = (polls[i].revents & (POLLERR | POLLHUP | POLLRDHUP)) != 0;
            if (options_.reconnects)
                reconnect(client, hasEnded, now);
        }
    }
    std::this_thread::sleep_for(SettleTime);
}

size_t ClientCrowd::sentBytes() const
{
    size_t sum = 0;
    for (const Client &client : clients_)
        sum += client.sent;
    return sum;
}

std::vector<std::string> ClientCrowd::answers() const
{
    std::vector<std::string> answers;
    for (const Client &client : clients_)
        answers.push_back(client.answer);
    return answers;
}

ProcessUse readProcessUse(pid_t process)
{
    const std::string folder = "/proc/" + std::to_string(process);
    ProcessUse use;
    std::ifstream status(folder + "/status");
    std::string name;
    while (status >> name) {
        size_t kilobytes = 0;
        if (name == "VmRSS:" && status >> kilobytes)
            use.residentBytes = kilobytes * 1024;
        else if (name == "VmHWM:" && status >> kilobytes)
            use.peakBytes = kilobytes * 1024;
    }
    std::error_code error;
    for (std::filesystem::directory_iterator files(folder + "/fd", error), end;
         !error && files != end; files.increment(error))
        use.descriptors++;
    return use;
}

} // namespace basilgap::standins
