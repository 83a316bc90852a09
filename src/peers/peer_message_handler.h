/// @file
/// What receives the messages of other controllers.
#pragma once
#include "peers/forwarding.h"
#include "peers/messages.h"

namespace nickelramp::peers {

/// Receives messages, one method for each kind. The controller implements it; PeerNetwork calls it
/// on the loop's thread with messages that could be read. Nothing proves who sent them or that they
/// are still current: the receiver checks terms, incarnations and tokens.
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
