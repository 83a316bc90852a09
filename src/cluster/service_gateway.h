// What the parts of a term ask of the world. Every call is answered later, once, with the time of
// the answer, unless the term ends first. Tests put a simulated world behind it.
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

enum class DeliveryStatus { delivered, refused, unknown };  // refused: nothing arrived there

struct CommandReply {
    DeliveryStatus delivery = DeliveryStatus::unknown;
    bool executed = false;  // 200; otherwise 409
    std::optional<wire::Heartbeat> heartbeat;
};

class ServiceGateway {
  public:
    virtual ~ServiceGateway() = default;
    virtual void commit(kvstore::Transaction transaction,
                        std::function<void(Millis, const kvstore::CommitReply&)> done) = 0;
    virtual void read(const std::string& key,
                      std::function<void(Millis, const kvstore::GetReply&)> done) = 0;
    virtual void list(const std::string& prefix,
                      std::function<void(Millis, const kvstore::ListReply&)> done) = 0;
    virtual void send_commands(const std::string& machine, const std::string& address,
                               std::uint64_t token, std::uint64_t session,
                               const std::vector<wire::Command>& commands,
                               std::function<void(Millis, const CommandReply&)> done) = 0;
    virtual void provision_machines(
        const std::string& request, const std::string& type, const std::string& zone, bool spot,
        std::uint32_t count, std::function<void(Millis, const cloud::ProvisionReply&)> done) = 0;
    virtual void release_machines(const std::vector<std::string>& machines,
                                  std::function<void(Millis, bool)> done) = 0;
    // A transaction failed because the duty has another fence, or none.
    virtual void on_role_fence_rejected(lease::Role role) = 0;
    // Somebody else leads.
    virtual void on_deposed(const std::string& why) = 0;
};

}  // namespace nickelramp::cluster
