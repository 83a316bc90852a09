/// @file
/// Roles that only one controller may hold at a time, and their records in the key-value store:
///
///   duty/<name>  {holder, incarnation, hold}    attached to the holder's lease
///
/// The version of the record is the role's fence: revisions only rise, every change of holder is a
/// change of the record, and the record vanishes with the lease. Transactions made under a role are
/// conditional on it.
#pragma once
#include <cstdint>
#include <optional>
#include <string>

#include "wire/cbor.h"

namespace nickelramp::lease {

enum class Role {
    scale_out,          ///< asks the cloud for machines
    scale_in,           ///< releases machines to the cloud
    shard_reclaim,      ///< takes back shards whose holders are gone
    garbage_collection  ///< finds and deletes records that nobody needs
};
inline constexpr std::size_t kRoleCount = 4;
inline constexpr Role kAllRoles[kRoleCount] = {Role::scale_out, Role::scale_in, Role::shard_reclaim,
                                               Role::garbage_collection};

/// The role's name in keys and on administration pages.
[[nodiscard]] const char* name(Role role);

inline constexpr const char* kRoleKeyPrefix = "duty/";
[[nodiscard]] std::string role_key(Role role);
/// Nothing if it is no role's key.
[[nodiscard]] std::optional<Role> role_of_key(const std::string& key);

/// Who holds a role.
struct RoleRecord {
    std::string holder;             ///< name of the controller
    std::uint64_t incarnation = 0;  ///< of its process
    std::uint64_t lease_id = 0;     ///< the record is attached to this lease
    bool operator==(const RoleRecord&) const = default;
};
[[nodiscard]] wire::Json encode_role_record(const RoleRecord& record);
/// Nothing if a field is missing or cannot be one of a holder.
[[nodiscard]] std::optional<RoleRecord> decode_role_record(const wire::Json& value);

}  // namespace nickelramp::lease
