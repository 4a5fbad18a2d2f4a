#include "Basilgap/State/ConfigDelta.h"

#include <map>
#include <set>
#include <string>

namespace basilgap::state {

namespace {

template<typename Items, typename KeyOf>
std::map<std::string, std::string> contentByKey(const Items &items, KeyOf keyOf)
{
    std::map<std::string, std::string> contents;
    for (const auto &item : items)
        contents[keyOf(item)] = item.SerializeAsString();
    return contents;
}

// Removes from `items` everything that the base holds unchanged, and adds the keys of the base that
// `items` lacks to `removed`.
template<typename Items, typename KeyOf>
void removeUnchanged(const Items &base, Items *items, KeyOf keyOf,
    google::protobuf::RepeatedPtrField<std::string> *removed)
{
    std::map<std::string, std::string> baseContents = contentByKey(base, keyOf);
    Items changed;
    for (const auto &item : *items) {
        const auto found = baseContents.find(keyOf(item));
        if (found == baseContents.end() || found->second != item.SerializeAsString())
            *changed.Add() = item;
        if (found != baseContents.end())
            baseContents.erase(found);
    }
    for (const auto &[key, content] : baseContents)
        removed->Add(std::string(key));
    items->Swap(&changed);
}

template<typename Items, typename KeyOf>
void addUnchangedFromBase(const Items &base, Items *items, KeyOf keyOf,
    const google::protobuf::RepeatedPtrField<std::string> &removed)
{
    std::set<std::string> replaced(removed.begin(), removed.end());
    for (const auto &item : *items)
        replaced.insert(keyOf(item));
    for (const auto &item : base) {
        if (!replaced.contains(keyOf(item)))
            *items->Add() = item;
    }
}

std::string teamKey(const schema::TeamConfig &team)
{
    return team.name();
}

std::string routeKey(const schema::RouteConfig &route)
{
    return route.prefix();
}

} // namespace

void fillConfigDelta(
    const schema::CellConfig &base, const schema::CellConfig &target, schema::View *view)
{
    schema::CellConfig delta = target;
    removeUnchanged(base.teams(), delta.mutable_teams(), teamKey, view->mutable_removed_teams());
    removeUnchanged(
        base.routes(), delta.mutable_routes(), routeKey, view->mutable_removed_routes());
    view->set_config(delta.SerializePartialAsString());
}

Result<schema::CellConfig> applyConfigDelta(
    const schema::CellConfig &base, const schema::View &view)
{
    schema::CellConfig config;
    if (!config.ParsePartialFromString(view.config()))
        return fail({ ErrorCode::Invalid, "read-view", "", "the configuration can't be read" });
    addUnchangedFromBase(base.teams(), config.mutable_teams(), teamKey, view.removed_teams());
    addUnchangedFromBase(base.routes(), config.mutable_routes(), routeKey, view.removed_routes());
    return config;
}

} // namespace basilgap::state
