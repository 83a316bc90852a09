/// @file
/// What the parts of a term ask of other processes: the key-value store, workers and the cloud.
/// LiveServiceGateway sends it; tests put a simulated environment behind it.
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

/// What became of a message to a worker.
enum class DeliveryStatus {
    delivered,  ///< the worker replied
    refused,    ///< it certainly did not arrive
    unknown,    ///< it may have arrived, or may arrive yet
};

/// A worker's reply to commands.
struct CommandReply {
    DeliveryStatus delivery = DeliveryStatus::unknown;
    bool executed =
        false;  // status 200; otherwise 409: it has a higher token or another incarnation
    std::optional<wire::Heartbeat> heartbeat;  // the worker's state after the commands
};

/// Every request calls its callback once, later and never from within the call, with the time of
/// the reply in milliseconds of the steady clock; not at all once the term has ended. Failures are
/// values of the reply.
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

    /// Asks the cloud for `count` machines. A request that is repeated under the same name is
    /// executed once.
    virtual void provision_machines(const std::string& request, const std::string& type,
                                    const std::string& zone, bool spot, std::uint32_t count,
                                    Callback<cloud::ProvisionReply> done) = 0;
    /// Releases machines; the callback gets true when the cloud has confirmed that they are gone.
    virtual void release_machines(const std::vector<std::string>& machines,
                                  std::function<void(Millis, bool)> done) = 0;

    /// A transaction failed because another process has the role by now, or none.
    virtual void on_role_fence_rejected(lease::Role role) = 0;
    /// Another process leads, or holds the shard. The term is over.
    virtual void on_deposed(const std::string& why) = 0;
};

}  // namespace nickelramp::cluster
