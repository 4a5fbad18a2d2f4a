#include "Basilgap/State/AllotmentTable.h"

namespace basilgap::state {

schema::CommandOutcome AllotmentTable::apply(const schema::AllotmentBatch &command, uint64_t index)
{
    for (const auto &key : command.keys()) {
        keys_[AllotmentKeyNumber(key.key())] = key.name();
        keysByName_[key.name()] = AllotmentKeyNumber(key.key());
    }
    for (const auto &change : command.changes()) {
        const AllotmentKeyNumber key(change.key());
        const EntryNumber entry(change.entry());
        ByEntry &byEntry = allotments_[key];
        const bool hadAllotment = byEntry.contains(entry);
        if (change.amount() == 0) {
            byEntry.erase(entry);
            if (hadAllotment && --keyCountOfEntry_[entry] == 0)
                keyCountOfEntry_.erase(entry);
            continue;
        }
        byEntry[entry] = Allotment{ .amount = change.amount(), .epoch = index };
        if (!hadAllotment)
            keyCountOfEntry_[entry]++;
    }
    for (const uint32_t dropped : command.dropped_keys()) {
        const AllotmentKeyNumber key(dropped);
        if (!allotmentsOf(key).empty())
            continue;
        allotments_.erase(key);
        keysByName_.erase(keys_[key]);
        keys_.erase(key);
    }
    return {};
}

const AllotmentTable::ByEntry &AllotmentTable::allotmentsOf(AllotmentKeyNumber key) const
{
    static const ByEntry none;
    const auto found = allotments_.find(key);
    return found == allotments_.end() ? none : found->second;
}

Allotment AllotmentTable::allotmentOf(AllotmentKeyNumber key, EntryNumber entry) const
{
    const ByEntry &byEntry = allotmentsOf(key);
    const auto found = byEntry.find(entry);
    return found == byEntry.end() ? Allotment{} : found->second;
}

uint32_t AllotmentTable::sumOf(AllotmentKeyNumber key) const
{
    uint32_t sum = 0;
    for (const auto &[entry, allotment] : allotmentsOf(key))
        sum += allotment.amount;
    return sum;
}

bool AllotmentTable::hasAllotment(EntryNumber entry) const
{
    return keyCountOfEntry_.contains(entry);
}

AllotmentKeyNumber AllotmentTable::findKey(const std::string &name) const
{
    const auto found = keysByName_.find(name);
    return found == keysByName_.end() ? AllotmentKeyNumber() : found->second;
}

uint32_t AllotmentTable::nextKey() const
{
    return keys_.empty() ? 1 : keys_.rbegin()->first.value() + 1;
}

schema::AllotmentSnapshot AllotmentTable::save() const
{
    schema::AllotmentSnapshot snapshot;
    for (const auto &[key, name] : keys_) {
        auto *saved = snapshot.add_keys();
        saved->set_key(key.value());
        saved->set_name(name);
    }
    for (const auto &[key, byEntry] : allotments_) {
        for (const auto &[entry, allotment] : byEntry) {
            auto *saved = snapshot.add_held();
            saved->set_key(key.value());
            saved->set_entry(entry.value());
            saved->set_amount(allotment.amount);
            saved->set_epoch(allotment.epoch);
        }
    }
    return snapshot;
}

void AllotmentTable::restore(const schema::AllotmentSnapshot &snapshot)
{
    *this = AllotmentTable();
    for (const auto &key : snapshot.keys()) {
        keys_[AllotmentKeyNumber(key.key())] = key.name();
        keysByName_[key.name()] = AllotmentKeyNumber(key.key());
    }
    for (const auto &held : snapshot.held()) {
        const EntryNumber entry(held.entry());
        allotments_[AllotmentKeyNumber(held.key())][entry] = { held.amount(), held.epoch() };
        keyCountOfEntry_[entry]++;
    }
}

} // namespace basilgap::state
