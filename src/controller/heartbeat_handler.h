/// @file
/// Replies to heartbeats of workers, directly or by forwarding them to the leader.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "control/control_loop.h"
#include "control/shard_holder.h"
#include "net/http_server.h"
#include "partition/partition_responder.h"
#include "relay/forward_admission.h"
#include "relay/heartbeat_forwarder.h"
#include "relay/worker_balancer.h"

namespace nickelramp::controller {

/// Handles the heartbeats of all workers that connect to this controller. The first of these rules
/// that applies is used:
///
/// - The shard holder replies to machines of the shard that this controller holds.
/// - A worker that another controller can serve better is redirected there (421). A worker beyond
///   this controller's capacity is rejected (503).
/// - The leader replies to all other workers.
/// - A partition responder replies on behalf of the leader while the leader is unreachable.
/// - Any other controller forwards the heartbeat to the leader, or redirects the worker to the
///   leader (421) if forwarding is impossible.
///
/// A reply renews a lease only while the responder may renew leases; otherwise the reply is 503 and
/// the worker tries another controller. Malformed bodies are answered with 400.
/// Called by RequestRouter, PeerCoordinator and the controller's tick, on the loop's thread.
class HeartbeatHandler {
  public:
    /// What the handler needs from the controller that owns it. Implemented by Controller.
    class Environment {
      public:
        virtual ~Environment() = default;
        /// Updates the loop's cached time, which may be from before the process was suspended, and
        /// returns it.
        [[nodiscard]] virtual Millis updated_now() = 0;
        /// Returns the control loop of the running term, or null unless this controller leads.
        [[nodiscard]] virtual control::ControlLoop* leader_control_loop() = 0;
        /// Returns the last term that this controller was elected for.
        [[nodiscard]] virtual std::uint64_t term() const = 0;
        /// Returns whether replies of this controller as leader may still renew leases.
        [[nodiscard]] virtual bool may_renew_leases() const = 0;
        /// Returns the leader according to the key-value store, or an empty string if unknown.
        [[nodiscard]] virtual const std::string& elected_leader() const = 0;
        /// Updates the partition responder and returns whether it replies on behalf of the leader.
        [[nodiscard]] virtual bool responds_for_leader(Millis now) = 0;
        /// Returns the number of sockets in use for requests and for commands.
        [[nodiscard]] virtual std::size_t open_sockets() const = 0;
        /// Returns the number of sockets of workers that send heartbeats to this controller.
        [[nodiscard]] virtual std::size_t worker_sockets() const = 0;
    };

    /// All references must outlive the handler. `send` sends a message to a peer, batched.
    HeartbeatHandler(const wire::Settings& settings, Environment& environment,
                     control::ShardHolder& shard_holder,
                     partition::PartitionResponder& partition_responder,
                     relay::HeartbeatForwarder::Send send);

    /// Handles a heartbeat that a worker sent over HTTP. Replies at once or, if the heartbeat is
    /// forwarded, when the leader's reply arrives, at most relay::kHeartbeatTimeout later.
    void on_heartbeat_request(const net::Request& request, const net::Responder& responder);
    /// Handles a heartbeat that a peer forwarded to this controller as leader.
    void on_forwarded_heartbeat(const peers::ForwardedHeartbeat& forwarded);
    /// Handles the leader's reply to a heartbeat that this controller forwarded.
    void on_forwarded_reply(const peers::ForwardedReply& reply);
    void on_peer_status(const peers::Status& status, Millis now);
    /// Expires forwarded heartbeats that got no reply in time, and updates the load.
    void tick(Millis now);
    /// Returns how many workers all controllers together can serve.
    [[nodiscard]] machines::WorkerCapacity worker_capacity(Millis now);
    /// Adds the fields to this controller's status by which peers decide whether to redirect
    /// workers to it.
    void fill_status(peers::Status& status, Millis now) const;

    [[nodiscard]] const relay::HeartbeatForwarder& forwarder() const { return forwarder_; }
    [[nodiscard]] const relay::ForwardAdmission& admission() const { return admission_; }
    [[nodiscard]] const relay::WorkerBalancer& balancer() const { return balancer_; }

  private:
    struct LocalReply {
        machines::HeartbeatReply reply;
        std::uint64_t tag = 0;  // identifies the responder, see relay/responder_tag.h
    };
    struct PeerLeadership {
        Millis last_status_at = 0;
        bool leads = false;
    };

    // Redirects a worker to a better controller, or rejects it if it is beyond this controller's
    // capacity. Returns whether it did either.
    bool redirect_or_reject(const wire::Heartbeat& heartbeat, const net::Request& request,
                            const net::Responder& responder, Millis now);
    // Returns nothing if another controller must reply.
    std::optional<LocalReply> reply_locally(const wire::Heartbeat& heartbeat,
                                            const net::Request& request, Millis now);
    std::optional<LocalReply> reply_for_leader(const wire::Heartbeat& heartbeat,
                                               const net::Request& request, Millis now);
    void forward_to_leader(const wire::Heartbeat& heartbeat, std::uint64_t followed_tag,
                           const net::Responder& responder, Millis now);
    void update_load(Millis now);
    // Returns the term for which this controller replies to or forwards heartbeats, or 0 if none.
    [[nodiscard]] std::uint64_t served_term(Millis now) const;
    void redirect_to_leader(const net::Responder& responder, Millis now) const;
    [[nodiscard]] bool reported_not_leading(const std::string& peer, Millis now) const;
    static void respond(const net::Responder& responder, const LocalReply& answer);

    const wire::Settings& settings_;
    Environment& environment_;
    control::ShardHolder& shard_holder_;
    partition::PartitionResponder& partition_responder_;
    const relay::HeartbeatForwarder::Send send_;
    relay::HeartbeatForwarder forwarder_;
    relay::ForwardAdmission admission_;
    relay::WorkerBalancer balancer_;
    std::map<std::string, PeerLeadership> peer_leadership_;  // by peer name
};

}  // namespace nickelramp::controller
