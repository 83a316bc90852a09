/// @file
/// The kinds of machines that the cloud offers.
#pragma once
#include <compare>

#include "base/names.h"

namespace nickelramp::cloud {

/// A machine type in a zone, spot or on-demand. The cloud's capacity differs by kind, and machines
/// are requested by kind. The indices are those of ClusterState::types() and ClusterState::zones().
struct MachineKind {
    Index type = kNone, zone = kNone;
    bool spot = false;
    auto operator<=>(const MachineKind&) const = default;
};

}  // namespace nickelramp::cloud
