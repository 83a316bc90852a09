/// @file
/// Leases as the key-value store grants them.
#pragma once
#include <cstdint>
#include <functional>

#include "kvstore/types.h"

namespace nickelramp::lease {

/// What the election and the roles ask of the store for their leases. `done` is called once, later,
/// with the time at which the reply came; failures are in the reply's status.
class LeaseStore {
  public:
    using LeaseDone = std::function<void(Millis now, const kvstore::LeaseReply&)>;

    virtual ~LeaseStore() = default;
    virtual void grant_lease(Millis ttl, LeaseDone done) = 0;
    /// kvstore::Status::missing: the lease has ended.
    virtual void renew_lease(std::uint64_t lease_id, LeaseDone done) = 0;
    /// The keys attached to the lease are deleted. May fail unnoticed: the lease then expires.
    virtual void revoke_lease(std::uint64_t lease_id) = 0;
};

}  // namespace nickelramp::lease
