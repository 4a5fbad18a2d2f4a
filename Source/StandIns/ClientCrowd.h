#pragma once

#include <atomic>
#include <string>
#include <vector>

#include <poll.h>
#include <sys/types.h>

#include "Basilgap/Common/Millis.h"

namespace basilgap::standins {

// Clients on raw sockets that exceed the limits of a listener. They stay connected until the
// object is destroyed.
class ClientCrowd
{
public:
    struct Options
    {
        std::string address;
        size_t connections = 1;
        // Sent first by each connection; then `repeated` again and again.
        std::string opening;
        std::string repeated;
        // Bytes that each connection sends at most.
        size_t maxBytes = 0;
        // Bytes that are passed to one send call, and the time between two of them.
        size_t bytesPerSend = 65536;
        Millis sendInterval{ 0 };
        // Whether answers are read.
        bool readsAnswers = false;
        // Whether a connection that the listener has closed is opened again. Such a crowd goes on
        // for the whole duration, or until stop() is called.
        bool reconnects = false;
        // The crowd stops sending after this time.
        Millis duration{ 4000 };
    };

    explicit ClientCrowd(Options options);
    ~ClientCrowd();
    ClientCrowd(const ClientCrowd &) = delete;
    ClientCrowd &operator=(const ClientCrowd &) = delete;

    // Connects and sends until all bytes are sent, no connection makes progress for a second, all
    // are closed by the listener, or the time is over.
    void run();
    // Ends run(), from another thread.
    void stop() { isStopped_ = true; }

    size_t sentBytes() const;
    // Connections that the listener has closed or refused.
    size_t closedCount() const { return closed_; }
    // The first bytes that each connection has read.
    std::vector<std::string> answers() const;

private:
    struct Client
    {
        int socket = -1;
        size_t sent = 0;
        Millis nextSendAt{ 0 };
        Millis nextConnectAt{ 0 };
        std::string answer;
    };

    void connect(Client *client) const;
    void reconnect(Client *client, bool hasEnded, Millis now);
    void close(Client *client);
    bool send(Client *client, Millis now);
    bool read(Client *client);
    bool isFinished(const Client &client) const;
    pollfd pollOf(const Client &client, Millis now) const;

    Options options_;
    // What a connection sends from any position on: the opening, then a long run of `repeated`.
    std::string run_;
    std::vector<Client> clients_;
    std::atomic<size_t> closed_ = 0;
    std::atomic<bool> isStopped_ = false;
};

// Memory and descriptors of a running process.
struct ProcessUse
{
    size_t residentBytes = 0;
    // Highest value of residentBytes since the process started.
    size_t peakBytes = 0;
    size_t descriptors = 0;
};

ProcessUse readProcessUse(pid_t process);

} // namespace basilgap::standins
