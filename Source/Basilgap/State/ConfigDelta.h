#pragma once

#include "Basilgap/Common/Error.h"
#include "Cell.pb.h"
#include "Peer.pb.h"

namespace basilgap::state {

// Fills the view with the delta from the base configuration to the target: the added, changed and
// removed teams and routes, and all other fields in full, as they are small.
void fillConfigDelta(
    const schema::CellConfig &base, const schema::CellConfig &target, schema::View *view);

// Returns the configuration that fillConfigDelta() was given as target. The order of teams and
// routes may differ from it.
Result<schema::CellConfig> applyConfigDelta(
    const schema::CellConfig &base, const schema::View &view);

} // namespace basilgap::state
