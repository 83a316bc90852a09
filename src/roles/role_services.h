/// @file
/// What RoleManager needs of others: the key-value store, the other controllers, the cloud, and the
/// election's outcome. The controller implements these (controller/role_services.h).
///
/// Every `done` is called once, later, on the loop's thread, with the time at which the reply came.
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

/// All that the roles ask of the key-value store.
class RoleStateStore : public RoleRecordStore,
                       public GarbageCollectionStore,
                       public lease::LeaseStore {};

/// Messages to other controllers.
class RolePeerChannel {
  public:
    virtual ~RolePeerChannel() = default;
    /// Sent only while this controller certainly leads. May be lost.
    virtual void send_assignment(const std::string& peer, const peers::RoleAssignment&) = 0;
    /// As above; false: it was not sent, and no result will come.
    [[nodiscard]] virtual bool send_request(const std::string& peer,
                                            const peers::DelegatedRequest&) = 0;
    /// May be lost: the leader's request then expires.
    virtual void send_result(const std::string& peer, const peers::DelegatedResult&) = 0;
};

/// The cloud. A call is sent only while its proof is valid, also after it was queued; otherwise its
/// result is `not_sent`.
class RoleCloud {
  public:
    using ProvisionDone = std::function<void(Millis now, const cloud::ProvisionReply&)>;

    virtual ~RoleCloud() = default;
    virtual void provision(const lease::LeaseProof<lease::ScaleOut>& proof,
                           const cloud::ProvisioningIntent& intent, ProvisionDone done) = 0;
    virtual void release(const lease::LeaseProof<lease::ScaleIn>& proof,
                         const std::vector<std::string>& machines, ProvisionDone done) = 0;
    /// Calls went out, and none has been answered for long.
    [[nodiscard]] virtual bool is_unreachable(Millis now) const = 0;
};

/// This controller's leadership.
class Leadership : public FenceObserver {
  public:
    /// The steady clock, read at each call.
    [[nodiscard]] virtual Millis clock() const = 0;
    /// Under which it may decide as leader; the fence is the term. None if it does not lead.
    [[nodiscard]] virtual lease::Lease leader_lease() const = 0;
};

/// What a RoleManager is given; all of it must outlive the manager.
struct RoleServices {
    RoleStateStore& store;
    RolePeerChannel& peers;
    RoleCloud& cloud;
    Leadership& leadership;
};

}  // namespace nickelramp::roles
