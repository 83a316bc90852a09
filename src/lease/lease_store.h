/// @file
/// Interface to the leases of the key-value store.
#pragma once
#include <cstdint>
#include <functional>

#include "kvstore/types.h"

namespace nickelramp::lease {

/// Lease operations that the election and the roles need. `done` is called exactly once, after the
/// call has returned, with the time at which the reply arrived. The reply's status reports
/// failures.
class LeaseStore {
  public:
    using LeaseDone = std::function<void(Millis now, const kvstore::LeaseReply&)>;

    virtual ~LeaseStore() = default;
    virtual void grant_lease(Millis ttl, LeaseDone done) = 0;
    /// Replies with kvstore::Status::missing if the lease has ended.
    virtual void renew_lease(std::uint64_t lease_id, LeaseDone done) = 0;
    /// Ends the lease, which deletes the keys attached to it. Failures are not reported; the lease
    /// then expires.
    virtual void revoke_lease(std::uint64_t lease_id) = 0;
};

}  // namespace nickelramp::lease
