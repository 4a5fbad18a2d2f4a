#pragma once

#include <optional>

#include "Basilgap/Common/Millis.h"
#include "Basilgap/State/WorkTable.h"
#include "Work.pb.h"

namespace basilgap::dispatch {

// What an announcement of a worker changes in the table. Load pattern: each worker of a large fleet
// announces itself every second or two, mostly with nothing new; announcements arrive late and out
// of order, also after a change of leader.
enum class AnnouncementEffect {
    // Nothing new, or outdated.
    None,
    NewIncarnation,
    // The incarnation is known; its state or address changes.
    Change,
};

// `known` is the newest known incarnation of the worker, or null. `workerTime` is the present time
// on the clock of that incarnation, if it is known.
AnnouncementEffect effectOf(const schema::WorkerAnnouncement &announcement,
    const schema::WorkerLife *known, std::optional<Millis> workerTime);

bool isSameIncarnation(
    const schema::WorkerAnnouncement &announcement, const schema::WorkerLife &known);

// The record of the incarnation after an announcement whose effect is a change.
schema::WorkerLife updatedLife(
    const schema::WorkerAnnouncement &announcement, const schema::WorkerLife &known);

// Whether any replica may acknowledge the announcement, because it says only what the committed
// state already holds. Otherwise the leader must see it first.
bool canAcknowledge(const schema::WorkerAnnouncement &announcement, const state::WorkTable &table);

} // namespace basilgap::dispatch
