#pragma once

#include <functional>
#include <memory>
#include <string>

#include "Basilgap/Network/HttpServer.h"
#include "Basilgap/Network/RpcClient.h"
#include "Http.pb.h"

namespace basilgap::admin {

// The operators' HTTP interface, served by every daemon. Every request needs the operators' key.
class AdminServer
{
public:
    struct Options
    {
        std::string address;
        std::string operatorKey;
        network::RpcClient &rpc;
        // Shared with the other listeners of the process.
        std::shared_ptr<network::ClientLimits> limits;
        // Returns the state of the process as JSON text.
        std::function<std::string()> dump;
        // Returns the metrics in the Prometheus text format.
        std::function<std::string()> metrics;
        std::function<schema::StatusBody()> status;
    };

    static Result<std::unique_ptr<AdminServer>> listen(network::EventLoop &loop, Options options);

    std::string address() const { return server_->address(); }

private:
    explicit AdminServer(Options options);
    void handle(const network::HttpRequest &request, const network::ResponderPointer &responder);
    bool isAuthorized(const network::HttpRequest &request) const;
    void handleGet(const network::HttpRequest &request, const network::ResponderPointer &responder);
    void putCell(const network::HttpRequest &request, const network::ResponderPointer &responder);
    void postZone(const network::HttpRequest &request, const network::ResponderPointer &responder);
    void query(schema::RpcRequest request, const network::ResponderPointer &responder,
        std::function<network::HttpResponse(const schema::RpcReply &)> toResponse);

    Options options_;
    std::unique_ptr<network::HttpServer> server_;
};

} // namespace basilgap::admin
