#include "Basilgap/Dispatch/Announcements.h"

namespace basilgap::dispatch {

namespace {

// A worker waits this long for an acknowledgement; then it announces itself to another replica.
constexpr Millis MaxAnnouncementAge{ 1000 };

bool wasHeldUp(const schema::WorkerAnnouncement &announcement, std::optional<Millis> workerTime)
{
    const Millis sentAt(static_cast<int64_t>(announcement.clock_ms()));
    return workerTime && sentAt > Millis() && *workerTime - sentAt > MaxAnnouncementAge;
}

// Whether more may start on the worker than the state allows. A later announcement that was
// acknowledged without a record may have taken that back, so only a recent one can say so.
bool enlargesCapacity(const schema::WorkerLife &announced, const schema::WorkerLife &known)
{
    return !announced.leaving() && !state::capacityOf(announced).fitsIn(state::capacityOf(known));
}

bool isEqualButForSequence(schema::WorkerLife left, schema::WorkerLife right)
{
    left.clear_announced_sequence();
    right.clear_announced_sequence();
    return left.SerializeAsString() == right.SerializeAsString();
}

} // namespace

bool isSameIncarnation(
    const schema::WorkerAnnouncement &announcement, const schema::WorkerLife &known)
{
    return announcement.life().born_ms() == known.born_ms();
}

AnnouncementEffect effectOf(const schema::WorkerAnnouncement &announcement,
    const schema::WorkerLife *known, std::optional<Millis> workerTime)
{
    if (announcement.ended()) {
        const bool isNews = known != nullptr && !known->leaving();
        return isNews ? AnnouncementEffect::Change : AnnouncementEffect::None;
    }
    if (known == nullptr)
        return AnnouncementEffect::NewIncarnation;
    const uint64_t born = announcement.life().born_ms();
    // A worker that has a start time always announces it; without one, or with an earlier one, this
    // is not the worker's newest announcement.
    if (born < known->born_ms())
        return AnnouncementEffect::None;
    if (!isSameIncarnation(announcement, *known))
        return AnnouncementEffect::NewIncarnation;
    const bool isOutdated = announcement.sequence() <= known->announced_sequence();
    if (isOutdated || isEqualButForSequence(updatedLife(announcement, *known), *known))
        return AnnouncementEffect::None;
    if (wasHeldUp(announcement, workerTime) && enlargesCapacity(announcement.life(), *known))
        return AnnouncementEffect::None;
    return AnnouncementEffect::Change;
}

schema::WorkerLife updatedLife(
    const schema::WorkerAnnouncement &announcement, const schema::WorkerLife &known)
{
    schema::WorkerLife updated = known;
    if (announcement.ended()) {
        // It names no incarnation, so a later announcement may still take it back.
        updated.set_leaving(true);
        return updated;
    }
    updated = announcement.life();
    updated.set_number(known.number());
    updated.set_announced_sequence(announcement.sequence());
    updated.set_restarted(known.restarted());
    return updated;
}

bool canAcknowledge(const schema::WorkerAnnouncement &announcement, const state::WorkTable &table)
{
    const schema::WorkerLife *known = table.newestIncarnation(announcement.life().id());
    return known != nullptr && !announcement.ended() && isSameIncarnation(announcement, *known)
        && isEqualButForSequence(updatedLife(announcement, *known), *known);
}

} // namespace basilgap::dispatch
