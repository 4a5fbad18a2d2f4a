#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

struct Request
{
    std::string method;
    std::string path;
    // Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
};

struct Response
{
    // 0: there was no complete answer.
    int status = 0;
    std::string body;
};

// Sends one request on a connection of its own. `address` is "IP:PORT".
Response call(const std::string &address, const std::string &method, const std::string &path,
    const std::string &body, int timeoutMs,
    const std::vector<std::pair<std::string, std::string>> &headers = {});

// An HTTP/1.1 server with one thread for each connection.
class HttpServer
{
public:
    // Without a response the request stays unanswered and the connection open.
    using Handler = std::function<std::optional<Response>(const Request &)>;

    HttpServer(const std::string &address, Handler handler);
    ~HttpServer();

    // Closes all sockets, as when the process ends.
    void stop();
    // From now on nothing is answered, as on a host without power or network.
    void silence() { silent_ = true; }

private:
    void accept();
    void serve(int socket);

    Handler handler_;
    int listener_ = -1;
    std::atomic<bool> stopped_ = false;
    std::atomic<bool> silent_ = false;
    std::thread acceptThread_;
    std::mutex mutex_;
    std::set<int> open_;
    std::vector<std::thread> threads_;
};

} // namespace review
