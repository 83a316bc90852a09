// Duties that only one controller may do at a time, each a record of its own in the state service:
//
//   duty/<name>  {holder, incarnation, hold}    attached to the holder's hold
//
// The stamp of the record is the duty's fence: revisions only rise, every change of holder is a
// change of the record, and the record goes with the hold. Transactions done under a duty name it.
#pragma once
#include <cstdint>
#include <optional>
#include <string>

#include "kvstore/client.h"

namespace nickelramp::lease {

// renting:    sends rentals to the cloud
// returning:  sends returns
// reclaiming: takes back blocks of holders that are gone
// cleaning:   finds and drops records that nobody needs
enum class Role { scale_out, scale_in, shard_reclaim, garbage_collection };
inline constexpr std::size_t kRoleCount = 4;
inline constexpr Role kAllRoles[kRoleCount] = {Role::scale_out, Role::scale_in, Role::shard_reclaim,
                                               Role::garbage_collection};
const char* name(Role role);

inline constexpr const char* kRoleKeyPrefix = "duty/";
std::string role_key(Role role);
std::optional<Role> role_of_key(const std::string& key);

struct RoleRecord {
    std::string holder;
    std::uint64_t incarnation = 0;  // of its process
    std::uint64_t lease_id = 0;     // that the record is attached to
    bool operator==(const RoleRecord&) const = default;
};
wire::Json encode_role_record(const RoleRecord& record);
std::optional<RoleRecord> decode_role_record(const wire::Json& value);

}  // namespace nickelramp::lease
