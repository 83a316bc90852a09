// In whose name a report was answered. A worker that has received an answer on its connection can
// be reached by whoever answered there; the tag says who that was, so that nobody takes another's
// answer for its own.
#pragma once
#include <cstdint>

namespace nickelramp::relay {

enum class Responder : std::uint64_t { leader = 1, holder = 2, deputy = 3 };

// Never 0, which stands for no answer. `fence`: the term, or a holder's token.
inline std::uint64_t responder_tag(Responder role, std::uint64_t fence) {
    constexpr std::uint64_t kRoleBits = 2;
    return (fence << kRoleBits) | static_cast<std::uint64_t>(role);
}

}  // namespace nickelramp::relay
