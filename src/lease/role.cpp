#include "lease/role.h"

namespace nickelramp::lease {

const char* name(Role role) {
    static constexpr const char* kNames[kRoleCount] = {"renting", "returning", "reclaiming",
                                                       "cleaning"};
    return kNames[static_cast<std::size_t>(role)];
}

std::string role_key(Role role) { return std::string(kRoleKeyPrefix) + name(role); }

std::optional<Role> role_of_key(const std::string& key) {
    for (Role role : kAllRoles) {
        if (key == role_key(role)) return role;
    }
    return std::nullopt;
}

wire::Json encode_role_record(const RoleRecord& record) {
    return {
        {"holder", record.holder}, {"incarnation", record.incarnation}, {"hold", record.lease_id}};
}

std::optional<RoleRecord> decode_role_record(const wire::Json& value) {
    auto holder = wire::text_field(value, "holder");
    auto incarnation = wire::count_field(value, "incarnation");
    auto lease_id = wire::count_field(value, "hold");
    if (!holder || holder->empty() || !incarnation || !lease_id || *lease_id == 0)
        return std::nullopt;
    return RoleRecord{*holder, *incarnation, *lease_id};
}

}  // namespace nickelramp::lease
