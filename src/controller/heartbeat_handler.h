// Takes workers' reports, whoever of the controllers they are for: a machine of a block that this
// controller holds is answered from that block's book, the leader answers the others, a deputy
// answers in its name when it is out of reach, and everybody else forwards them to the leader.
#pragma once
#include <functional>
#include <string>

#include "control/control_loop.h"
#include "control/shard_holder.h"
#include "net/http_server.h"
#include "partition/partition_responder.h"
#include "relay/forward_admission.h"
#include "relay/heartbeat_forwarder.h"
#include "relay/worker_balancer.h"

namespace nickelramp::controller {

class HeartbeatHandler {
  public:
    // What it asks of the controller that it is a part of.
    class Controller {
      public:
        virtual ~Controller() = default;
        // The time now, also after this process stood still.
        virtual Millis clock_now() = 0;
        // The book of the term that it leads; null when it does not.
        virtual control::ControlLoop* leader_control_loop() = 0;
        virtual std::uint64_t term() const = 0;
        // May the leader's answers still renew leases?
        virtual bool may_renew_leases() const = 0;
        // The leader by the state service; empty: not known.
        virtual const std::string& elected_leader() const = 0;
        // Brings the deputy's state up to date and says whether it answers.
        virtual bool responds_for_leader(Millis now) = 0;
        virtual std::size_t open_sockets() const = 0;
        virtual std::size_t worker_sockets() const = 0;
    };

    HeartbeatHandler(const wire::Settings& settings, Controller& controller,
                     control::ShardHolder& shard_holder,
                     partition::PartitionResponder& partition_responder,
                     relay::HeartbeatForwarder::Send send);

    void on_heartbeat_request(const net::Request& request, const net::Responder& responder);
    void on_forwarded_heartbeat(const peers::ForwardedHeartbeat& forwarded);
    void on_forwarded_reply(const peers::ForwardedReply& answer);
    void on_peer_status(const peers::Status& status, Millis now);
    void tick(Millis now);
    machines::WorkerCapacity worker_capacity(Millis now);
    // What peers must know to send workers here.
    void fill_status(peers::Status& status, Millis now) const;

    const relay::HeartbeatForwarder& forwarder() const { return forwarder_; }
    const relay::ForwardAdmission& admission() const { return admission_; }
    const relay::WorkerBalancer& balancer() const { return balancer_; }

  private:
    struct LocalReply {
        machines::HeartbeatReply reply;
        std::uint64_t tag = 0;  // in whose name, see relay/authority.h
    };
    // Nothing: this controller is not the one to answer.
    std::optional<LocalReply> reply_locally(const wire::Heartbeat& heartbeat,
                                            const net::Request& request, Millis now);
    void forward_to_leader(const wire::Heartbeat& heartbeat, std::uint64_t follows_tag,
                           const net::Responder& responder, Millis now);
    void update_load(Millis now);
    // The term that this controller handles or forwards reports for; 0: none.
    std::uint64_t served_term(Millis now) const;
    void redirect(const net::Responder& responder, Millis now) const;
    static void respond(const net::Responder& responder, const LocalReply& answered);

    const wire::Settings& settings_;
    Controller& controller_;
    control::ShardHolder& shard_holder_;
    partition::PartitionResponder& partition_responder_;
    const relay::HeartbeatForwarder::Send send_;
    relay::HeartbeatForwarder forwarder_;
    relay::ForwardAdmission admission_;
    relay::WorkerBalancer balancer_;
    struct PeerLeadership {
        Millis last_status_at = 0;
        bool leads = false;
    };
    std::map<std::string, PeerLeadership> peer_leadership_;
};

}  // namespace nickelramp::controller
