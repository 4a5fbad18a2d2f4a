// Leader methods for entry sessions: renewals, views and allotments.

#include "Basilgap/Common/EventLog.h"
#include "Basilgap/Common/LeaseTimes.h"
#include "Basilgap/Control/Leader.h"

namespace basilgap::control {

namespace {

// Longest time that an operator's command waits until it is in force on every entry.
constexpr Millis InForceTimeout{ 6000 };

// Adds each value that differs from the one last sent, and calls `addRemoved` for each key that no
// longer exists.
template<typename View, typename Add, typename AddRemoved>
void addDifferences(const std::map<uint32_t, View> &current, std::map<uint32_t, View> *sent,
    Add add, AddRemoved addRemoved)
{
    for (const auto &[key, view] : current) {
        const auto before = sent->find(key);
        if (before == sent->end() || before->second.SerializeAsString() != view.SerializeAsString())
            *add() = view;
    }
    for (const auto &[key, view] : *sent) {
        if (!current.contains(key))
            addRemoved(view);
    }
    *sent = current;
}

} // namespace

void Leader::handleRenew(network::PeerStream &stream, const schema::Renew &renew)
{
    const EntryId entry(renew.entry());
    const schema::SessionState *session = state_.sessions().find(entry);
    if (session != nullptr && session->incarnation() == renew.incarnation())
        return acceptRenewal(stream, renew, EntryNumber(session->number()));
    // Incarnations of entries have no order. While one of them is connected, the renewal of another
    // one comes late, or from a second process with the id. An entry sends its state in full after
    // its connection was closed.
    if (session != nullptr
        && sessions_.isRecentlyRenewed(EntryNumber(session->number()), steadyNow())) {
        LogEvent("entry-renewal-refused", LogLevel::Warning)
            .with("peer", entry.value())
            .with("error", "another incarnation is connected");
        return stream.close();
    }
    std::vector<WaitingRenewal> &waiting = openingSessions_[entry];
    waiting.push_back({ .stream = stream.id(), .renew = renew });
    if (waiting.size() > 1)
        return;
    LogEvent("entry-session-opens").with("peer", entry.value());
    schema::Command command;
    schema::OpenSession *open = command.mutable_open_session();
    open->set_entry(renew.entry());
    open->set_incarnation(renew.incarnation());
    open->set_zone(renew.zone());
    open->set_peer_address(renew.peer_address());
    replica_.propose(command, guarded([this, entry](const auto &outcome) {
        const std::vector<WaitingRenewal> arrived = std::move(openingSessions_[entry]);
        openingSessions_.erase(entry);
        if (outcome.code() != schema::ACCEPTED)
            return;
        // An entry sends each change once, so none of its renewals may be left out.
        for (const WaitingRenewal &renewal : arrived) {
            const auto found = streams_.find(renewal.stream);
            if (found != streams_.end())
                handleRenew(*found->second, renewal.renew);
        }
    }));
}

void Leader::acceptRenewal(
    network::PeerStream &stream, const schema::Renew &renew, EntryNumber number)
{
    if (sessions_.isOutdated(number, renew))
        return;
    const Millis now = steadyNow();
    EntryLink &link = sessions_.recordRenewal(number, &stream, renew, now);
    recordAnnouncements(&link, renew, now);
    if (renew.announcements_size() > 0)
        nextAllotmentPlanAt_ = Millis();
    completeInForceWaiters();
    replica_.confirmLeadership(guarded([this, stream = stream.id(), number = link.number,
                                           sequence = renew.sequence(), now](bool leads) {
        if (leads)
            confirmRenewal(stream, number, sequence, now);
    }));
}

// A backend server announces itself to all entries in turn, so what one of them heard again need
// not be the last announcement of all.
void Leader::recordAnnouncements(EntryLink *link, const schema::Renew &renew, Millis now)
{
    for (const auto &announcement : renew.announcements()) {
        link->announcements[BackendId(announcement.id())] = announcement;
        backends_.recordAnnouncement(announcement, now);
    }
    for (const auto &id : renew.heard()) {
        const auto last = link->announcements.find(BackendId(id));
        if (last != link->announcements.end())
            backends_.recordAnnouncement(last->second, now);
    }
    if (renew.announcements_size() > 0)
        std::erase_if(link->announcements,
            [this](const auto &entry) { return backends_.find(entry.first) == nullptr; });
}

void Leader::confirmRenewal(uint64_t stream, EntryNumber number, uint64_t sequence, Millis received)
{
    EntryLink *link = sessions_.find(number);
    const schema::SessionState *session = state_.sessions().find(number);
    const bool current = link != nullptr && link->stream != nullptr && link->stream->id() == stream
        && session != nullptr && !session->closed();
    if (!current)
        return;
    const Revision revision = state_.config().revision();
    schema::PeerMessage message;
    schema::RenewReply *reply = message.mutable_renew_reply();
    reply->set_sequence(sequence);
    reply->set_confirmed(true);
    if (link->reportedRevision < revision)
        *reply->mutable_view() = views_.build(link->reportedRevision);
    addRunningCounts(*link, reply);
    addChanges(link, reply);
    // If the reply is lost, the entry keeps the revision that it reported.
    sessions_.recordConfirmation(number, revision, received);
    link->stream->send(message);
}

void Leader::addChanges(EntryLink *link, schema::RenewReply *reply)
{
    reply->set_revision(state_.config().revision().value());
    reply->set_session(link->number.value());
    reply->set_full(!link->hasSentChanges);
    const schema::EntryList entries = listEntries();
    if (entries.SerializeAsString() != link->sentEntries) {
        link->sentEntries = entries.SerializeAsString();
        *reply->mutable_entries() = entries;
    }
    link->hasSentChanges = true;
    addDifferences(
        allotments_.backendViews(steadyNow()), &link->sentBackends,
        [reply] { return reply->add_backends(); },
        [reply](schema::BackendView view) {
            view.set_gone(true);
            *reply->add_backends() = std::move(view);
        });
    addDifferences(
        allotments_.allotmentViews(link->number), &link->sentAllotments,
        [reply] { return reply->add_allotments(); },
        [reply](schema::AllotmentView view) {
            view.set_amount(0);
            view.set_target(0);
            *reply->add_allotments() = std::move(view);
        });
    const auto weights = allotments_.weightsFor(link->number);
    if (weights == link->sentWeights)
        return;
    for (const auto &[team, weight] : weights) {
        schema::TeamWeight *row = reply->add_weights();
        row->set_team(team);
        row->set_weight(weight);
    }
    link->sentWeights = weights;
}

schema::EntryList Leader::listEntries() const
{
    schema::EntryList list;
    for (const auto &[number, session] : state_.sessions().all()) {
        if (!session.closed())
            *list.add_entries() = session;
    }
    return list;
}

void Leader::addRunningCounts(const EntryLink &link, schema::RenewReply *reply) const
{
    const schema::SessionState *session = state_.sessions().find(link.number);
    for (const uint32_t key : link.doubtfulKeys) {
        const auto name = state_.allotments().keys().find(state::AllotmentKeyNumber(key));
        if (name == state_.allotments().keys().end())
            continue;
        const BackendId id(name->second.substr(name->second.find('/') + 1));
        const BackendRegistry::Backend *backend = backends_.find(id);
        if (backend == nullptr)
            continue;
        const auto &running = backend->announcement.running();
        const auto count = running.find(session->entry());
        schema::BackendRunning *row = reply->add_running();
        row->set_key(key);
        row->set_count(count == running.end() ? 0 : count->second);
        row->set_age_ms(static_cast<uint32_t>((steadyNow() - backend->lastHeardAt).count()));
    }
}

void Leader::pushChanges()
{
    for (auto &[number, link] : sessions_.links()) {
        if (link.stream == nullptr || !link.hasSentChanges)
            continue;
        schema::PeerMessage message;
        schema::RenewReply *reply = message.mutable_renew_reply();
        addChanges(&link, reply);
        if (reply->has_entries()
            || reply->backends_size() + reply->allotments_size() + reply->weights_size() > 0)
            link.stream->send(message);
    }
}

void Leader::pushViews()
{
    for (auto &[number, link] : sessions_.links()) {
        if (link.stream == nullptr)
            continue;
        schema::PeerMessage message;
        schema::RenewReply *reply = message.mutable_renew_reply();
        *reply->mutable_view() = views_.build(link.reportedRevision);
        reply->set_revision(state_.config().revision().value());
        reply->set_session(number.value());
        link.stream->send(message);
    }
}

void Leader::closeSilentSessions()
{
    for (const schema::SessionState &session : sessions_.silentSessions(steadyNow())) {
        LogEvent("entry-session-closes", LogLevel::Warning).with("peer", session.entry());
        schema::Command command;
        command.mutable_close_session()->set_entry(session.entry());
        command.mutable_close_session()->set_incarnation(session.incarnation());
        replica_.propose(command, [](const schema::CommandOutcome &) {});
    }
}

void Leader::planAllotments()
{
    const auto batch = allotments_.plan(steadyNow());
    if (!batch) {
        pushChanges();
        return;
    }
    allotmentsInFlight_ = true;
    schema::Command command;
    *command.mutable_allotments() = *batch;
    replica_.propose(
        command, guarded([this](const schema::CommandOutcome &) { allotmentsInFlight_ = false; }));
}

void Leader::completeInForceWaiters()
{
    const Millis now = steadyNow();
    std::vector<std::pair<InForceWaiter, bool>> settled;
    std::erase_if(inForceWaiters_, [&](InForceWaiter &waiter) {
        const bool inForce = sessions_.isInForce(waiter.revision, now);
        if (!inForce && now < waiter.deadline)
            return false;
        settled.emplace_back(std::move(waiter), inForce);
        return true;
    });
    for (const auto &[waiter, inForce] : settled)
        waiter.callback(inForce);
}

void Leader::waitUntilInForce(Revision revision, std::function<void(bool)> callback)
{
    inForceWaiters_.push_back({ revision, steadyNow() + InForceTimeout, std::move(callback) });
    completeInForceWaiters();
}

} // namespace basilgap::control
