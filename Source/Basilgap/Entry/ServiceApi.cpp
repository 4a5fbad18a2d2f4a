#include "Basilgap/Entry/ServiceApi.h"

#include "Basilgap/Common/EventLog.h"
#include "Basilgap/Common/LeaseTimes.h"
#include "Basilgap/Entry/HttpBodies.h"
#include "Basilgap/Network/Json.h"

namespace basilgap::entry {

ServiceApi::ServiceApi(Options options)
    : options_(std::move(options))
{}

void ServiceApi::handle(
    const network::HttpRequest &request, const network::ResponderPointer &responder)
{
    if (request.method == "POST" && request.path() == "/v1/announce")
        return handleAnnouncement(request, responder);
    if (request.method == "POST" && request.path() == "/v1/worker")
        return options_.workers.handlePoll(request, responder);
    responder->answer(network::errorResponse({ .status = 404, .error = "no such path" }));
}

bool ServiceApi::isStale(const schema::Announcement &announcement) const
{
    const BackendId id(announcement.id());
    const BackendTable::Backend *known = options_.backends.find(id);
    if (known != nullptr && announcement.incarnation() < known->view.incarnation())
        return true;
    const auto earlier = announced_.find(id);
    return earlier != announced_.end()
        && announcement.incarnation() < earlier->second.announcement.incarnation();
}

void ServiceApi::handleAnnouncement(
    const network::HttpRequest &request, const network::ResponderPointer &responder)
{
    schema::AnnounceBody body;
    const auto parsed = network::parseJson(request.body, network::UnknownFields::Ignore, &body);
    const auto announcement =
        parsed ? readAnnouncement(body) : Result<schema::Announcement>(fail(parsed.error()));
    if (!announcement) {
        LogEvent("announcement-refused", LogLevel::Warning)
            .with("peer", request.peer)
            .with("field", announcement.error().peer)
            .with("error", announcement.error().message);
        return responder->answer(network::errorResponse({ .status = 400,
            .error = announcement.error().message,
            .field = announcement.error().peer,
            .step = announcement.error().step }));
    }
    if (isStale(*announcement)) {
        LogEvent("announcement-refused", LogLevel::Warning)
            .with("peer", announcement->id())
            .with("error", "a later incarnation has announced itself");
        return responder->answer(network::errorResponse(
            { .status = 409, .error = "a later incarnation has announced itself" }));
    }
    const BackendId id(announcement->id());
    Announced &known = announced_[id];
    const bool unchanged =
        known.announcement.SerializeAsString() == announcement->SerializeAsString();
    // A change of the running counts alone triggers no renewal: they change all the time and matter
    // only to entries with abandoned exchanges.
    schema::Announcement before = known.announcement;
    schema::Announcement after = *announcement;
    before.clear_running();
    after.clear_running();
    const bool urgent = before.SerializeAsString() != after.SerializeAsString();
    known = { *announcement, steadyNow() };
    (unchanged ? refreshedBackends_ : changedBackends_).insert(id);
    if (urgent)
        options_.onBackendChanged();
    schema::AnnounceReplyBody reply;
    reply.set_interval_ms(static_cast<uint32_t>(AnnounceInterval.count()));
    responder->answer(network::jsonMessage(200, reply));
}

void ServiceApi::fillRenewal(schema::Renew *renewal)
{
    const Millis now = steadyNow();
    std::erase_if(announced_, [now](const auto &entry) {
        return now - entry.second.lastHeardAt > BackendSilenceTimeout;
    });
    for (const auto &[id, known] : announced_) {
        if (renewal->full() || changedBackends_.contains(id))
            *renewal->add_announcements() = known.announcement;
        else if (refreshedBackends_.contains(id))
            renewal->add_heard(id.value());
    }
    changedBackends_.clear();
    refreshedBackends_.clear();
}

} // namespace basilgap::entry
