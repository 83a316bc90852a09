#include "kvstore/types.h"

namespace nickelramp::kvstore {

const char* name(Status status) {
    switch (status) {
        case Status::ok:
            return "ok";
        case Status::conflict:
            return "conflict";
        case Status::missing:
            return "missing";
        case Status::lease_or_revision_expired:
            return "expired";
        case Status::refused:
            return "refused";
        case Status::unknown:
            return "unknown";
        case Status::protocol_error:
            return "broken";
    }
    return "?";
}

std::optional<std::uint64_t> version_of(const GetReply& reply) {
    if (reply.status == Status::missing) return 0;
    if (reply.status != Status::ok) return std::nullopt;
    return reply.entry.version;
}

}  // namespace nickelramp::kvstore
