// The back channel: one connection to every peer for what this node says, and those that peers
// opened for what they say. Messages may be lost whenever a connection is.
#pragma once
#include <uv.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "lease/lease_guard.h"
#include "net/timer.h"
#include "peers/codec.h"
#include "peers/forwarding.h"
#include "peers/messages.h"
#include "wire/settings.h"

namespace nickelramp::peers {

class PeerNetwork {
  public:
    struct Hooks {
        std::function<void(const Status&)> status;
        std::function<void(const ShardGrant&)> shard_grant;
        std::function<void(const ShardStatus&)> shard_status;
        std::function<void(const HeartbeatDelegation&)> heartbeat_delegation;
        std::function<void(const RoleAssignment&)> role_assignment;
        std::function<void(const DelegatedRequest&)> delegated_request;
        std::function<void(const DelegatedResult&)> delegated_result;
        std::function<void(const ForwardedHeartbeat&)> forwarded_heartbeat;
        std::function<void(const ForwardedReply&)> forwarded_reply;
    };
    PeerNetwork(uv_loop_t* loop, const std::vector<wire::Peer>& peers, Hooks hooks);
    ~PeerNetwork();
    PeerNetwork(const PeerNetwork&) = delete;
    PeerNetwork& operator=(const PeerNetwork&) = delete;

    int listen(const sockaddr_in& address);
    // Sent if the peer can be reached now, dropped otherwise.
    void send(const std::string& peer, const PeerFrame& speech);
    void send_all(const PeerFrame& speech);
    // For messages that come in numbers: what one turn of the loop brings goes out in one write.
    // False: the peer cannot be reached, or does not keep up; nothing is sent then.
    bool send_batched(const std::string& peer, const PeerFrame& speech);
    // False: the right is over, or the peer cannot be reached.
    bool send(const lease::LeaseProof<lease::Scheduling>& permit, const std::string& peer,
              const LeaderFrame& queue);

  private:
    struct Connection;  // one connection

    void accept();
    void connect(std::size_t i);
    void deliver(const Framer::Frame& f);
    void reject(const std::string& cause);
    template <typename Message>
    void deliver_as(const std::optional<Message>& message,
                    const std::function<void(const Message&)>& hook, const char* what);
    Connection* connection_to(const std::string& peer) const;
    void flush();

    uv_loop_t* loop_;
    std::vector<wire::Peer> peers_;
    Hooks hooks_;
    uv_tcp_t* listener_;
    std::vector<std::shared_ptr<Connection>> outgoing_;  // by peer
    std::set<std::shared_ptr<Connection>> incoming_;
    std::set<std::string> logged_causes_;  // logged once per cause
    net::Timer reconnect_timer_;
    // Offered messages go out after the loop has read, and before it waits.
    uv_check_t* after_reading_;
    uv_prepare_t* before_waiting_;
    std::vector<std::weak_ptr<Connection>> to_flush_;
};

}  // namespace nickelramp::peers
