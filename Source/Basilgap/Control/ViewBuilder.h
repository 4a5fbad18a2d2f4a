#pragma once

#include <deque>

#include "Basilgap/State/CellState.h"
#include "Peer.pb.h"

namespace basilgap::control {

// Makes the views that are sent to entries: the whole one, or the difference to a recent revision.
class ViewBuilder
{
public:
    explicit ViewBuilder(const state::CellState &state);

    // Keeps the configuration of the current revision as a base for differences.
    void recordRevision();

    // The current view for an entry that holds the known revision.
    schema::View build(Revision known) const;

private:
    struct PastConfig
    {
        Revision revision;
        schema::CellConfig config;
    };

    const state::CellState &state_;
    std::deque<PastConfig> pastConfigs_;
};

} // namespace basilgap::control
