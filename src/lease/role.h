/// @file
/// Roles that only one controller may hold at a time, and their records in the key-value store:
///
///   duty/<name>  {holder, incarnation, hold}    attached to the holder's lease
///
/// The version of the record is the role's fencing token. Revisions only increase, every change of
/// holder writes the record, and the record is deleted with the lease. Transactions made under a
/// role are conditional on this version.
#pragma once
#include <cstdint>
#include <optional>
#include <string>

#include "wire/cbor.h"

namespace nickelramp::lease {

enum class Role {
    scale_out,          ///< requests machines from the cloud
    scale_in,           ///< releases machines to the cloud
    shard_reclaim,      ///< reclaims shards whose holders are gone
    garbage_collection  ///< finds and deletes records that are no longer needed
};
inline constexpr std::size_t kRoleCount = 4;
inline constexpr Role kAllRoles[kRoleCount] = {Role::scale_out, Role::scale_in, Role::shard_reclaim,
                                               Role::garbage_collection};

/// The role's name in keys and on administration pages.
[[nodiscard]] const char* name(Role role);

inline constexpr const char* kRoleKeyPrefix = "duty/";
[[nodiscard]] std::string role_key(Role role);
/// Returns the role with this key, or nothing if it is not the key of a role.
[[nodiscard]] std::optional<Role> role_of_key(const std::string& key);

/// The holder of a role.
struct RoleRecord {
    std::string holder;             ///< name of the controller
    std::uint64_t incarnation = 0;  ///< of the controller's process
    std::uint64_t lease_id = 0;     ///< lease that the record is attached to
    bool operator==(const RoleRecord&) const = default;
};
[[nodiscard]] wire::Json encode_role_record(const RoleRecord& record);
/// Returns nothing if a field is missing or invalid.
[[nodiscard]] std::optional<RoleRecord> decode_role_record(const wire::Json& value);

}  // namespace nickelramp::lease
