/// \file
/// Answers the heartbeats of workers, directly or through the leader.
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

/// Takes heartbeats whichever controller they are for. In this order:
///
/// - the shard holder answers machines of the shard that this controller holds,
/// - a worker that another controller can serve better is redirected there (421), and one for
///   which there is no socket left is rejected (503),
/// - the leader answers all others,
/// - a partition responder answers in the leader's name while the leader cannot be reached,
/// - every other controller forwards them to the leader, or redirects (421) if it cannot.
///
/// A reply that renews a lease is only given while the responder may renew leases; otherwise the
/// reply is 503 and the worker tries again elsewhere. Malformed bodies are answered with 400.
/// Called by RequestRouter, PeerCoordinator and the controller's tick, on the loop's thread.
class HeartbeatHandler {
  public:
    /// What the handler needs to know of the controller that it is a part of. Implemented by
    /// Controller.
    class Environment {
      public:
        virtual ~Environment() = default;
        /// The loop's time in milliseconds, brought up to date: the cached time may be from before
        /// the process was suspended.
        [[nodiscard]] virtual Millis updated_now() = 0;
        /// The control loop of the running term; null unless this controller leads.
        [[nodiscard]] virtual control::ControlLoop* leader_control_loop() = 0;
        /// The term that this controller was elected to last.
        [[nodiscard]] virtual std::uint64_t term() const = 0;
        /// Whether replies of this controller as leader may still renew leases.
        [[nodiscard]] virtual bool may_renew_leases() const = 0;
        /// The leader according to the key-value store; empty: not known.
        [[nodiscard]] virtual const std::string& elected_leader() const = 0;
        /// Updates the partition responder and says whether it answers in the leader's name.
        [[nodiscard]] virtual bool responds_for_leader(Millis now) = 0;
        /// Sockets in use for requests and for commands.
        [[nodiscard]] virtual std::size_t open_sockets() const = 0;
        /// Sockets of workers that send heartbeats here.
        [[nodiscard]] virtual std::size_t worker_sockets() const = 0;
    };

    /// All references must outlive the handler. `send`: to a peer, batched.
    HeartbeatHandler(const wire::Settings& settings, Environment& environment,
                     control::ShardHolder& shard_holder,
                     partition::PartitionResponder& partition_responder,
                     relay::HeartbeatForwarder::Send send);

    /// A heartbeat that came from its worker over HTTP. Answered now or when the leader's reply
    /// arrives, at the latest after relay::kHeartbeatTimeout.
    void on_heartbeat_request(const net::Request& request, const net::Responder& responder);
    /// A heartbeat that a peer forwarded to this controller as leader.
    void on_forwarded_heartbeat(const peers::ForwardedHeartbeat& forwarded);
    /// The leader's reply to a heartbeat that this controller forwarded.
    void on_forwarded_reply(const peers::ForwardedReply& reply);
    void on_peer_status(const peers::Status& status, Millis now);
    /// Expires forwarded heartbeats that were not answered in time, and updates the load.
    void tick(Millis now);
    /// How many workers all controllers together can serve.
    [[nodiscard]] machines::WorkerCapacity worker_capacity(Millis now);
    /// Adds to this controller's status what peers must know to send workers here.
    void fill_status(peers::Status& status, Millis now) const;

    [[nodiscard]] const relay::HeartbeatForwarder& forwarder() const { return forwarder_; }
    [[nodiscard]] const relay::ForwardAdmission& admission() const { return admission_; }
    [[nodiscard]] const relay::WorkerBalancer& balancer() const { return balancer_; }

  private:
    struct LocalReply {
        machines::HeartbeatReply reply;
        std::uint64_t tag = 0;  // in whose name, see relay/responder_tag.h
    };
    struct PeerLeadership {
        Millis last_status_at = 0;
        bool leads = false;
    };

    // True: the worker has been answered, with another controller's name or because there is no
    // socket left for it.
    bool turn_away(const wire::Heartbeat& heartbeat, const net::Request& request,
                   const net::Responder& responder, Millis now);
    // Nothing: this controller is not the one to answer.
    std::optional<LocalReply> reply_locally(const wire::Heartbeat& heartbeat,
                                            const net::Request& request, Millis now);
    std::optional<LocalReply> reply_for_leader(const wire::Heartbeat& heartbeat,
                                               const net::Request& request, Millis now);
    void forward_to_leader(const wire::Heartbeat& heartbeat, std::uint64_t followed_tag,
                           const net::Responder& responder, Millis now);
    void update_load(Millis now);
    // The term that this controller answers or forwards heartbeats for; 0: none.
    [[nodiscard]] std::uint64_t served_term(Millis now) const;
    void redirect_to_leader(const net::Responder& responder, Millis now) const;
    [[nodiscard]] bool denies_leadership(const std::string& peer, Millis now) const;
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
