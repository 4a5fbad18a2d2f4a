#pragma once

#include "Basilgap/Common/Error.h"
#include "Cell.pb.h"
#include "Peer.pb.h"

namespace basilgap::state {

// Fills the view with what turns the base configuration into the target: changed teams and routes
// and everything that is small.
void fillConfigDelta(
    const schema::CellConfig &base, const schema::CellConfig &target, schema::View *view);

// The configuration that fillConfigDelta() was given as target. Teams and routes may come in
// another order.
Result<schema::CellConfig> applyConfigDelta(
    const schema::CellConfig &base, const schema::View &view);

} // namespace basilgap::state
