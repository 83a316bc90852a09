// A machine type in a zone, spot or ordinary.
#pragma once
#include <compare>

#include "base/names.h"

namespace nickelramp::cloud {

struct MachineKind {
    Index type = kNone, zone = kNone;
    bool spot = false;
    auto operator<=>(const MachineKind&) const = default;
};

}  // namespace nickelramp::cloud
