// A machine type in a zone, spot or ordinary.
#pragma once
#include <compare>

#include "base/names.h"

namespace nickelramp::fleet {

struct Kind {
    Index type = kNone, zone = kNone;
    bool spot = false;
    auto operator<=>(const Kind&) const = default;
};

}  // namespace nickelramp::fleet
