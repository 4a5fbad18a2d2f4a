#include "Basilgap/Control/ViewBuilder.h"

#include "Basilgap/State/ConfigDelta.h"

namespace basilgap::control {

namespace {

constexpr size_t MaxPastConfigs = 16;

} // namespace

ViewBuilder::ViewBuilder(const state::CellState &state)
    : state_(state)
{
    recordRevision();
}

void ViewBuilder::recordRevision()
{
    pastConfigs_.push_back({ state_.config().revision(), state_.config().config() });
    if (pastConfigs_.size() > MaxPastConfigs)
        pastConfigs_.pop_front();
}

schema::View ViewBuilder::build(Revision known) const
{
    const state::ConfigState &config = state_.config();
    schema::View view;
    view.set_revision(config.revision().value());
    view.set_hash(config.hash());
    for (const ZoneName &zone : config.zonesOut())
        view.add_zones_out(zone.value());
    for (const PastConfig &past : pastConfigs_) {
        if (past.revision != known || known.value() == 0)
            continue;
        view.set_base_revision(known.value());
        state::fillConfigDelta(past.config, config.config(), &view);
        return view;
    }
    view.set_config(config.config().SerializePartialAsString());
    return view;
}

} // namespace basilgap::control
