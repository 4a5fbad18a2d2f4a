#include "Basilgap/Entry/HoldingTable.h"

#include <algorithm>
#include <set>

namespace basilgap::entry {

void HoldingTable::update(const schema::RenewReply &reply)
{
    if (reply.session() == 0)
        return;
    std::set<std::string> named;
    for (const auto &view : reply.allotments())
        named.insert(view.name());
    const bool isNewSession = reply.session() != session_;
    session_ = reply.session();
    for (auto &[name, holding] : holdings_) {
        if (!isNewSession && (!reply.full() || named.contains(name)))
            continue;
        holding.held = 0;
        holding.target = 0;
        holding.epoch = 0;
    }
    for (const auto &view : reply.allotments())
        applyAllotment(view);
    std::erase_if(holdings_, [](const auto &entry) {
        return entry.second.held == 0 && entry.second.inUse == 0 && entry.second.target == 0
            && entry.second.epoch == 0;
    });
}

void HoldingTable::applyAllotment(const schema::AllotmentView &view)
{
    namesByKey_[view.key()] = view.name();
    keysByName_[view.name()] = view.key();
    Holding &holding = holdings_[view.name()];
    holding.name = view.name();
    holding.target = view.target();
    if (view.amount() == 0) {
        holding.held = 0;
        holding.epoch = 0;
        return;
    }
    if (view.epoch() > holding.epoch) {
        holding.epoch = view.epoch();
        holding.held = view.amount();
        changedKeys_[view.key()] = true;
    }
    shrink(&holding);
}

void HoldingTable::shrink(Holding *holding)
{
    const uint32_t retained = std::max(holding->target, holding->inUse);
    if (holding->held <= retained)
        return;
    holding->held = retained;
    changedKeys_[keysByName_[holding->name]] = true;
}

const HoldingTable::Holding *HoldingTable::find(const std::string &name) const
{
    const auto found = holdings_.find(name);
    return found == holdings_.end() ? nullptr : &found->second;
}

uint32_t HoldingTable::freeUnits(const std::string &name) const
{
    const Holding *holding = find(name);
    return holding == nullptr ? 0 : holding->free();
}

bool HoldingTable::holdsAnything() const
{
    return std::any_of(holdings_.begin(), holdings_.end(),
        [](const auto &entry) { return entry.second.held > 0; });
}

void HoldingTable::acquire(const std::string &name)
{
    Holding &holding = holdings_[name];
    holding.name = name;
    holding.inUse++;
}

void HoldingTable::release(const std::string &name)
{
    const auto found = holdings_.find(name);
    if (found == holdings_.end() || found->second.inUse == 0)
        return;
    found->second.inUse--;
    shrink(&found->second);
}

std::vector<schema::Holding> HoldingTable::takeReport(bool full)
{
    std::vector<schema::Holding> report;
    for (const auto &[key, name] : namesByKey_) {
        const Holding *holding = find(name);
        if (holding == nullptr || holding->epoch == 0 || (!full && !changedKeys_.contains(key)))
            continue;
        schema::Holding row;
        row.set_key(key);
        row.set_amount(holding->held);
        row.set_epoch(holding->epoch);
        report.push_back(std::move(row));
    }
    changedKeys_.clear();
    return report;
}

} // namespace basilgap::entry
