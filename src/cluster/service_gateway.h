/// @file
/// The interface through which the parts of a term call other services: the key-value store,
/// workers and the cloud. LiveServiceGateway implements it; tests implement it with a simulated
/// environment.
#pragma once
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "cloud/provision_reply.h"
#include "kvstore/types.h"
#include "lease/role.h"
#include "wire/messages.h"

namespace nickelramp::cluster {

/// The delivery status of a message to a worker.
enum class DeliveryStatus {
    delivered,  ///< the worker replied
    refused,    ///< the message certainly did not arrive
    unknown,    ///< the message may have arrived or may still arrive
};

/// A worker's reply to commands.
struct CommandReply {
    DeliveryStatus delivery = DeliveryStatus::unknown;
    // True for status 200; false for 409: the worker has a higher token or another incarnation.
    bool executed = false;
    std::optional<wire::Heartbeat> heartbeat;  // the worker's state after the commands
};

/// All requests are asynchronous: the callback is called once, never from within the request, with
/// the time of the reply on the steady clock. It is not called after the term has ended. Failures
/// are reported as values of the reply.
class ServiceGateway {
  public:
    template <typename Reply>
    using Callback = std::function<void(Millis, const Reply&)>;

    virtual ~ServiceGateway() = default;

    /// Executes a transaction of the key-value store.
    virtual void commit(kvstore::Transaction transaction, Callback<kvstore::CommitReply> done) = 0;
    /// Reads one key.
    virtual void read(const std::string& key, Callback<kvstore::GetReply> done) = 0;
    /// Reads all keys with the prefix.
    virtual void list(const std::string& prefix, Callback<kvstore::ListReply> done) = 0;

    /// Sends commands to a worker under a fencing token, for one incarnation of the worker.
    virtual void send_commands(const std::string& machine, const std::string& address,
                               std::uint64_t token, std::uint64_t incarnation,
                               const std::vector<wire::Command>& commands,
                               Callback<CommandReply> done) = 0;

    /// Requests `count` machines from the cloud. The request's name makes it idempotent: repeated
    /// requests with the same name are executed once.
    virtual void provision_machines(const std::string& request, const std::string& type,
                                    const std::string& zone, bool spot, std::uint32_t count,
                                    Callback<cloud::ProvisionReply> done) = 0;
    /// Releases machines. The callback gets true if the cloud has confirmed that they are gone.
    virtual void release_machines(const std::vector<std::string>& machines,
                                  std::function<void(Millis, bool)> done) = 0;

    /// A transaction failed because another process or no process holds the role by now.
    virtual void on_role_fence_rejected(lease::Role role) = 0;
    /// The term has ended because another process leads or holds the shard.
    virtual void on_deposed(const std::string& why) = 0;
};

}  // namespace nickelramp::cluster
