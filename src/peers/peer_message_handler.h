/// @file
/// The interface for receiving messages from other controllers.
#pragma once
#include "peers/forwarding.h"
#include "peers/messages.h"

namespace nickelramp::peers {

/// Receives decoded messages, with one method for each kind. Implemented by the controller and
/// called by PeerNetwork on the loop thread. The messages are not authenticated and may be
/// outdated, so the receiver must check terms, incarnations and tokens.
class PeerMessageHandler {
  public:
    PeerMessageHandler() = default;
    PeerMessageHandler(const PeerMessageHandler&) = delete;
    PeerMessageHandler& operator=(const PeerMessageHandler&) = delete;

    virtual void on_peer_status(const Status& status) = 0;
    virtual void on_shard_grant(const ShardGrant& grant) = 0;
    virtual void on_shard_status(const ShardStatus& status) = 0;
    virtual void on_heartbeat_delegation(const HeartbeatDelegation& delegation) = 0;
    virtual void on_role_assignment(const RoleAssignment& assignment) = 0;
    virtual void on_delegated_request(const DelegatedRequest& request) = 0;
    virtual void on_delegated_result(const DelegatedResult& result) = 0;
    virtual void on_forwarded_heartbeat(const ForwardedHeartbeat& heartbeat) = 0;
    virtual void on_forwarded_reply(const ForwardedReply& reply) = 0;

  protected:
    ~PeerMessageHandler() = default;
};

}  // namespace nickelramp::peers
