#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "Basilgap/Control/AllotmentManager.h"
#include "Basilgap/Control/BackendRegistry.h"
#include "Basilgap/Control/EntrySessions.h"
#include "Basilgap/Control/JobManager.h"
#include "Basilgap/Control/Replica.h"
#include "Basilgap/Control/ViewBuilder.h"
#include "Http.pb.h"

namespace basilgap::control {

// Work of a replica while it leads: confirms views, divides allotments, places jobs and answers
// requests of entries. Created when the replica becomes the established leader and destroyed when
// it loses leadership.
class Leader
{
public:
    using ReplyCallback = std::function<void(schema::RpcReply)>;

    Leader(network::EventLoop &loop, Replica &replica);
    ~Leader();

    // Handles a message from an entry or another replica. Returns false if the message is not for
    // the leader.
    bool receive(network::PeerStream &stream, const schema::PeerMessage &message);
    void streamClosed(network::PeerStream &stream);
    void handleApplied(const schema::Command &command, const schema::CommandOutcome &outcome);

    // Handles a request. The reply carries the id of the request.
    void handleRequest(const schema::RpcRequest &request, ReplyCallback reply);

    void fillDump(schema::ControlDump *dump) const;

private:
    struct InForceWaiter
    {
        Revision revision;
        Millis deadline;
        std::function<void(bool)> callback;
    };

    struct WaitingRenewal
    {
        uint64_t stream = 0;
        schema::Renew renew;
    };

    struct PendingCancel
    {
        uint64_t job = 0;
        Replica::OutcomeCallback callback;
    };

    // Wraps a callback so that it does nothing after this object is destroyed.
    template<typename Callback>
    auto guarded(Callback callback)
    {
        return [alive = std::weak_ptr<bool>(alive_), callback](auto &&...arguments) {
            if (!alive.expired())
                callback(std::forward<decltype(arguments)>(arguments)...);
        };
    }

    void tick();

    // LeaderSessions.cpp
    void handleRenew(network::PeerStream &stream, const schema::Renew &renew);
    void acceptRenewal(network::PeerStream &stream, const schema::Renew &renew, EntryNumber number);
    void recordAnnouncements(EntryLink *link, const schema::Renew &renew, Millis now);
    void confirmRenewal(uint64_t stream, EntryNumber number, uint64_t sequence, Millis received);
    void addChanges(EntryLink *link, schema::RenewReply *reply);
    void addRunningCounts(const EntryLink &link, schema::RenewReply *reply) const;
    schema::EntryList listEntries() const;
    void pushChanges();
    void pushViews();
    void closeSilentSessions();
    void planAllotments();
    void completeInForceWaiters();
    void waitUntilInForce(Revision revision, std::function<void(bool)> callback);

    // LeaderRequests.cpp
    void applyConfiguration(const schema::RpcRequest &request, const ReplyCallback &reply);
    void submitJob(const schema::RpcRequest &request, const ReplyCallback &reply);
    void cancelJobs(const schema::CancelJobs &cancel, Replica::OutcomeCallback callback);
    void flushCancels();
    void proposeCommand(const schema::RpcRequest &request, const ReplyCallback &reply);
    void answerQuery(const schema::RpcRequest &request, const ReplyCallback &reply);
    void listHosts(schema::RpcReply *reply) const;
    void listTeams(schema::RpcReply *reply) const;
    schema::JobState describeJob(const state::Job &job) const;

    // LeaderJobs.cpp
    void handleDigest(network::PeerStream &stream, const schema::WorkerDigest &digest);
    void sendOrders(uint64_t stream, const schema::WorkerOrdersBatch &orders);
    void updateJobs();
    void pushOrders(const std::set<WorkerId> &workers);
    void proposeExpiry();

    network::EventLoop &loop_;
    Replica &replica_;
    const state::CellState &state_;
    EntrySessions sessions_;
    BackendRegistry backends_;
    AllotmentManager allotments_;
    JobManager jobs_;
    ViewBuilder views_;
    std::map<uint64_t, network::PeerStream *> streams_;
    std::vector<InForceWaiter> inForceWaiters_;
    std::vector<PendingCancel> pendingCancels_;
    bool allotmentsInFlight_ = false;
    bool tasksInFlight_ = false;
    bool jobsDirty_ = true;
    // Renewals that wait until the session of their entry is open, in the order of their arrival.
    std::map<EntryId, std::vector<WaitingRenewal>> openingSessions_;
    Millis nextAllotmentPlanAt_;
    Millis lastJobUpdateAt_;
    Millis nextExpiryAt_;
    Millis nextSessionCheckAt_;
    network::Timer tickTimer_;
    network::Timer cancelTimer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace basilgap::control
