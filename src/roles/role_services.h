/// @file
/// Interfaces that RoleManager depends on: the key-value store, the other controllers, the cloud
/// and the outcome of the election. The controller implements them (controller/role_services.h).
///
/// Every `done` is called exactly once, after the call has returned, on the event loop's thread and
/// with the time at which the reply arrived.
#pragma once
#include <functional>
#include <string>
#include <vector>

#include "cloud/provision_reply.h"
#include "cloud/provisioning_intent.h"
#include "lease/lease_guard.h"
#include "lease/lease_store.h"
#include "peers/messages.h"
#include "roles/garbage_collector.h"
#include "roles/role_assigner.h"

namespace nickelramp::roles {

/// All key-value store operations that the roles need.
class RoleStateStore : public RoleRecordStore,
                       public GarbageCollectionStore,
                       public lease::LeaseStore {};

/// Messages to other controllers.
class RolePeerChannel {
  public:
    virtual ~RolePeerChannel() = default;
    /// Sent only while this controller is certainly the leader. The message may be lost.
    virtual void send_assignment(const std::string& peer, const peers::RoleAssignment&) = 0;
    /// Sent only while this controller is certainly the leader; may be lost. Returns false if the
    /// request was not sent, so that there will be no result.
    [[nodiscard]] virtual bool send_request(const std::string& peer,
                                            const peers::DelegatedRequest&) = 0;
    /// The message may be lost. The leader's request then expires.
    virtual void send_result(const std::string& peer, const peers::DelegatedResult&) = 0;
};

/// Calls to the cloud. A call is sent only if its proof is still valid at that time, even if it was
/// queued before; otherwise its result is `not_sent`.
class RoleCloud {
  public:
    using ProvisionDone = std::function<void(Millis now, const cloud::ProvisionReply&)>;

    virtual ~RoleCloud() = default;
    virtual void provision(const lease::LeaseProof<lease::ScaleOut>& proof,
                           const cloud::ProvisioningIntent& intent, ProvisionDone done) = 0;
    virtual void release(const lease::LeaseProof<lease::ScaleIn>& proof,
                         const std::vector<std::string>& machines, ProvisionDone done) = 0;
    /// Returns whether calls were sent but none has been answered for some time.
    [[nodiscard]] virtual bool is_unreachable(Millis now) const = 0;
};

/// Leadership state of this controller.
class Leadership : public FenceObserver {
  public:
    /// Reads the steady clock.
    [[nodiscard]] virtual Millis clock() const = 0;
    /// Returns the lease under which this controller may act as leader; its fence is the term. The
    /// fence is 0 if this controller does not lead.
    [[nodiscard]] virtual lease::Lease leader_lease() const = 0;
};

/// Dependencies of a RoleManager, all of which must outlive the manager.
struct RoleServices {
    RoleStateStore& store;
    RolePeerChannel& peers;
    RoleCloud& cloud;
    Leadership& leadership;
};

}  // namespace nickelramp::roles
