#include "controller/heartbeat_handler.h"

#include "readiness/peer_health.h"
#include "relay/responder_tag.h"

namespace nickelramp::controller {

using machines::HeartbeatReply;
using relay::Responder;
using relay::responder_tag;

namespace {
constexpr const char* kCbor = "application/cbor";
constexpr int kOk = 200, kBadRequest = 400, kMisdirected = 421, kUnavailable = 503;
constexpr int kRetryAfterS = 1;
// Machines are rented up to the room of all controllers, and do not spread evenly.
constexpr double kOverbooked = 1.1;
}  // namespace

HeartbeatHandler::HeartbeatHandler(const wire::Settings& settings, Controller& controller,
                                   control::ShardHolder& shard_holder,
                                   partition::PartitionResponder& partition_responder,
                                   relay::HeartbeatForwarder::Send send)
    : settings_(settings),
      controller_(controller),
      shard_holder_(shard_holder),
      partition_responder_(partition_responder),
      send_(std::move(send)),
      forwarder_(settings.name, shard_holder.incarnation(), send_),
      balancer_(settings) {}

void HeartbeatHandler::on_heartbeat_request(const net::Request& request,
                                            const net::Responder& responder) {
    // An answer gives a lease: its time must not be from before a freeze.
    const Millis now = controller_.clock_now();
    auto body = wire::decode_map(request.body);
    const auto report = body ? wire::decode_heartbeat(*body) : std::nullopt;
    if (!report) {
        responder.send({kBadRequest, "", 0, kCbor});
        return;
    }
    if (!shard_holder_.holds(report->machine)) {
        update_load(now);
        const std::uint64_t term = served_term(now);
        // It is moved only when it has been answered here: if nobody answers there, its lease
        // lasts.
        if (!request.follows_ok_reply) balancer_.on_worker_arrived(report->machine, now);
        const std::string better = term == 0 || !request.follows_ok_reply
                                       ? ""
                                       : balancer_.better_controller(*report, term, now);
        if (!better.empty()) {
            responder.send({kMisdirected, wire::encode_redirect(better), 0, kCbor});
            return;
        }
        // Users have to find a socket too: what is more goes on to the next controller.
        const bool comes = responder.classify(net::PeerKind::worker);
        if (comes && controller_.worker_sockets() > balancer_.own_worker_capacity() * kOverbooked) {
            net::Response full{kUnavailable, "", kRetryAfterS, kCbor};
            full.close = true;
            responder.send(full);
            return;
        }
    }
    if (auto answered = reply_locally(*report, request, now)) {
        const HeartbeatReply& reply = answered->reply;
        if (reply.status == kMisdirected && reply.holder.empty()) return redirect(responder, now);
        respond(responder, *answered);
        return;
    }
    forward_to_leader(*report, request.followed_reply_tag, responder, now);
}

std::optional<HeartbeatHandler::LocalReply> HeartbeatHandler::reply_locally(
    const wire::Heartbeat& heartbeat, const net::Request& request, Millis now) {
    if (shard_holder_.holds(heartbeat.machine)) {
        const std::uint64_t tag = responder_tag(Responder::holder, shard_holder_.token());
        return LocalReply{
            shard_holder_.on_heartbeat(heartbeat, request.followed_reply_tag == tag, now), tag};
    }
    if (control::ControlLoop* control_loop = controller_.leader_control_loop()) {
        // Whoever cannot know of a cancellation must let the leases run out in time.
        if (!controller_.may_renew_leases()) return LocalReply{{kUnavailable, "", 0, {}}, 0};
        const std::uint64_t tag = responder_tag(Responder::leader, controller_.term());
        return LocalReply{
            control_loop->on_heartbeat(heartbeat, request.followed_reply_tag == tag, now), tag};
    }
    if (!controller_.responds_for_leader(now)) return std::nullopt;
    const std::uint64_t tag = responder_tag(Responder::deputy, partition_responder_.term());
    const auto token =
        partition_responder_.token_for_reply(heartbeat, request.followed_reply_tag == tag, now);
    if (!token) return std::nullopt;
    return LocalReply{{kOk, "", *token, {}}, tag};
}

void HeartbeatHandler::forward_to_leader(const wire::Heartbeat& heartbeat,
                                         std::uint64_t follows_tag, const net::Responder& responder,
                                         Millis now) {
    const std::uint64_t term = forwarder_.reachable_term(now);
    const bool follows = term != 0 && follows_tag == responder_tag(Responder::leader, term);
    auto pass_on = [this, responder](const HeartbeatReply& reply, std::uint64_t of_term) {
        LocalReply answered{reply, responder_tag(Responder::leader, of_term)};
        // A block is on its way here: the worker is to ask again, not to go in a circle.
        if (reply.holder == settings_.name) answered.reply = {kUnavailable, "", 0, {}};
        respond(responder, answered);
    };
    if (forwarder_.forward(heartbeat, follows ? term : 0, pass_on, now)) return;
    redirect(responder, now);
}

// The leader may be reached by workers though its peers do not reach it, and earlier versions
// forward nothing. It is not named where it has said that it cannot answer.
void HeartbeatHandler::redirect(const net::Responder& responder, Millis now) const {
    const std::string& leader = controller_.elected_leader();
    auto heard = peer_leadership_.find(leader);
    const bool says_no = heard != peer_leadership_.end() && !heard->second.leads &&
                         now - heard->second.last_status_at < readiness::kPeerStatusLifetime;
    if (leader.empty() || leader == settings_.name || says_no) {
        responder.send({kUnavailable, "", kRetryAfterS, kCbor});
    } else {
        responder.send({kMisdirected, wire::encode_redirect(leader), 0, kCbor});
    }
}

void HeartbeatHandler::respond(const net::Responder& responder, const LocalReply& answered) {
    const HeartbeatReply& reply = answered.reply;
    if (reply.status == kOk) {
        responder.send({kOk, wire::encode_heartbeat_reply(reply.token, reply.commands), 0, kCbor,
                        answered.tag});
    } else if (reply.status == kMisdirected) {
        responder.send({kMisdirected, wire::encode_redirect(reply.holder), 0, kCbor});
    } else {
        responder.send({kUnavailable, "", 0, kCbor});
    }
}

void HeartbeatHandler::on_forwarded_heartbeat(const peers::ForwardedHeartbeat& forwarded) {
    const Millis now = controller_.clock_now();
    control::ControlLoop* control_loop = controller_.leader_control_loop();
    const std::uint64_t term = control_loop != nullptr ? controller_.term() : 0;
    const auto arrival = admission_.admit(forwarded, term, shard_holder_.incarnation(), now);
    if (!arrival) return;
    HeartbeatReply reply{kUnavailable, "", 0, {}};
    if (controller_.may_renew_leases())
        reply = control_loop->on_heartbeat(forwarded.heartbeat, *arrival, now);
    peers::ForwardedReply message;
    message.from = settings_.name;
    message.incarnation = forwarded.incarnation;
    message.sequence = forwarded.sequence;
    message.term = term;
    message.http_status = static_cast<std::uint64_t>(reply.status);
    message.holder = reply.holder;
    message.token = reply.token;
    message.commands = std::move(reply.commands);
    send_(forwarded.from, peers::encode(message));
}

void HeartbeatHandler::on_forwarded_reply(const peers::ForwardedReply& answer) {
    forwarder_.on_reply(answer, controller_.clock_now());
}

void HeartbeatHandler::on_peer_status(const peers::Status& status, Millis now) {
    peer_leadership_[status.from] = {now, status.term != 0};
    forwarder_.on_peer_status(status, now);
    balancer_.on_peer_status(status, now);
}

void HeartbeatHandler::tick(Millis now) {
    forwarder_.expire(now);
    update_load(now);
}

void HeartbeatHandler::update_load(Millis now) {
    balancer_.set_own_load(controller_.open_sockets(), controller_.worker_sockets(),
                           controller_.leader_control_loop() != nullptr, now);
}

machines::WorkerCapacity HeartbeatHandler::worker_capacity(Millis now) {
    return balancer_.worker_capacity(now);
}

std::uint64_t HeartbeatHandler::served_term(Millis now) const {
    if (controller_.leader_control_loop() != nullptr) return controller_.term();
    return forwarder_.reachable_term(now);
}

void HeartbeatHandler::fill_status(peers::Status& status, Millis now) const {
    status.heartbeat_term = served_term(now);
    status.sockets = controller_.open_sockets();
    status.worker_sockets = controller_.worker_sockets();
    status.max_sockets = settings_.max_sockets;
}

}  // namespace nickelramp::controller
