#pragma once

#include <deque>

#include "Basilgap/State/CellState.h"
#include "Peer.pb.h"

namespace basilgap::control {

// Builds the views that are sent to entries: the full configuration, or the difference from a
// recent revision.
class ViewBuilder
{
public:
    explicit ViewBuilder(const state::CellState &state);

    // Stores the configuration of the current revision as a base for differences.
    void recordRevision();

    // Builds the current view for an entry that has the revision `known`.
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
