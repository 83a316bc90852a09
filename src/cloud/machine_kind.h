/// @file
/// The kinds of machines that the cloud offers.
#pragma once
#include <compare>

#include "base/names.h"

namespace nickelramp::cloud {

/// A machine type in a zone, spot or ordinary: what the cloud has or lacks, and what is asked for.
/// The indices are those of ClusterState::types() and ClusterState::zones().
struct MachineKind {
    Index type = kNone, zone = kNone;
    bool spot = false;
    auto operator<=>(const MachineKind&) const = default;
};

}  // namespace nickelramp::cloud
