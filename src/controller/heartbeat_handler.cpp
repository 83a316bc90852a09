#include "controller/heartbeat_handler.h"

#include <utility>

#include "readiness/peer_health.h"
#include "relay/responder_tag.h"

namespace nickelramp::controller {

using machines::HeartbeatReply;
using relay::Responder;
using relay::responder_tag;

namespace {
constexpr const char* kCbor = "application/cbor";
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;
constexpr int kRetryAfterSeconds = 1;
// Machines are provisioned up to the total capacity of all controllers, but workers do not spread
// evenly over the controllers.
constexpr double kMaxOverbooking = 1.1;

HeartbeatReply unavailable() { return {kUnavailable, "", 0, {}}; }
}  // namespace

HeartbeatHandler::HeartbeatHandler(const wire::Settings& settings, Environment& environment,
                                   control::ShardHolder& shard_holder,
                                   partition::PartitionResponder& partition_responder,
                                   relay::HeartbeatForwarder::Send send)
    : settings_(settings),
      environment_(environment),
      shard_holder_(shard_holder),
      partition_responder_(partition_responder),
      send_(std::move(send)),
      forwarder_(settings.name, shard_holder.incarnation(), send_),
      balancer_(settings) {}

void HeartbeatHandler::on_heartbeat_request(const net::Request& request,
                                            const net::Responder& responder) {
    // The reply renews a lease, so the time must not be from before the process was suspended.
    const Millis now = environment_.updated_now();
    const auto body = wire::decode_map(request.body);
    const auto heartbeat = body ? wire::decode_heartbeat(*body) : std::nullopt;
    if (!heartbeat) {
        responder.send({kBadRequest, "", 0, kCbor});
        return;
    }
    if (!shard_holder_.holds(heartbeat->machine) &&
        redirect_or_reject(*heartbeat, request, responder, now))
        return;
    const auto answer = reply_locally(*heartbeat, request, now);
    if (!answer) {
        forward_to_leader(*heartbeat, request.followed_reply_tag, responder, now);
        return;
    }
    if (answer->reply.status == kMisdirected && answer->reply.holder.empty()) {
        redirect_to_leader(responder, now);
        return;
    }
    respond(responder, *answer);
}

bool HeartbeatHandler::redirect_or_reject(const wire::Heartbeat& heartbeat,
                                          const net::Request& request,
                                          const net::Responder& responder, Millis now) {
    update_load(now);
    const std::uint64_t term = served_term(now);
    // A worker is redirected only after it got a reply here, so that its lease lasts for a while if
    // it gets no reply from the other controller.
    if (!request.follows_ok_reply) {
        balancer_.on_worker_arrived(heartbeat.machine, now);
    } else if (term != 0) {
        const std::string better = balancer_.better_controller(heartbeat, term, now);
        if (!better.empty()) {
            responder.send({kMisdirected, wire::encode_redirect(better), 0, kCbor});
            return true;
        }
    }
    // Sockets must remain for user requests. A worker beyond the capacity is rejected and tries the
    // next controller.
    const bool is_new = responder.classify(net::ClientKind::worker);
    const double max_workers =
        static_cast<double>(balancer_.own_worker_capacity()) * kMaxOverbooking;
    if (!is_new || static_cast<double>(environment_.worker_sockets()) <= max_workers) return false;
    net::Response full{kUnavailable, "", kRetryAfterSeconds, kCbor};
    full.close = true;
    responder.send(full);
    return true;
}

std::optional<HeartbeatHandler::LocalReply> HeartbeatHandler::reply_locally(
    const wire::Heartbeat& heartbeat, const net::Request& request, Millis now) {
    if (shard_holder_.holds(heartbeat.machine)) {
        const std::uint64_t tag = responder_tag(Responder::holder, shard_holder_.token());
        const bool follows = request.followed_reply_tag == tag;
        return LocalReply{shard_holder_.on_heartbeat(heartbeat, follows, now), tag};
    }
    control::ControlLoop* control_loop = environment_.leader_control_loop();
    if (control_loop == nullptr) return reply_for_leader(heartbeat, request, now);
    // A leader that may have missed cancellations must not renew leases, so that they expire in
    // time.
    if (!environment_.may_renew_leases()) return LocalReply{unavailable(), 0};
    const std::uint64_t tag = responder_tag(Responder::leader, environment_.term());
    const bool follows = request.followed_reply_tag == tag;
    return LocalReply{control_loop->on_heartbeat(heartbeat, follows, now), tag};
}

// Replies as partition responder.
std::optional<HeartbeatHandler::LocalReply> HeartbeatHandler::reply_for_leader(
    const wire::Heartbeat& heartbeat, const net::Request& request, Millis now) {
    if (!environment_.responds_for_leader(now)) return std::nullopt;
    const std::uint64_t tag =
        responder_tag(Responder::partition_responder, partition_responder_.term());
    const bool follows = request.followed_reply_tag == tag;
    const auto token = partition_responder_.token_for_reply(heartbeat, follows, now);
    if (!token) return std::nullopt;
    return LocalReply{{kOk, "", *token, {}}, tag};
}

void HeartbeatHandler::forward_to_leader(const wire::Heartbeat& heartbeat,
                                         std::uint64_t followed_tag,
                                         const net::Responder& responder, Millis now) {
    const std::uint64_t term = forwarder_.reachable_term(now);
    const bool follows = term != 0 && followed_tag == responder_tag(Responder::leader, term);
    auto pass_on = [this, responder](const HeartbeatReply& reply, std::uint64_t reply_term) {
        LocalReply answer{reply, responder_tag(Responder::leader, reply_term)};
        // The shard is being leased to this controller. A redirect would lead the worker back here,
        // so it is asked to try again.
        if (reply.holder == settings_.name) answer.reply = unavailable();
        respond(responder, answer);
    };
    if (forwarder_.forward(heartbeat, follows ? term : 0, pass_on, now)) return;
    redirect_to_leader(responder, now);
}

// Workers may reach a leader that is unreachable for its peers, and earlier versions do not forward
// heartbeats. The worker is not redirected if the elected leader recently reported that it does not
// lead.
void HeartbeatHandler::redirect_to_leader(const net::Responder& responder, Millis now) const {
    const std::string& leader = environment_.elected_leader();
    if (leader.empty() || leader == settings_.name || reported_not_leading(leader, now)) {
        responder.send({kUnavailable, "", kRetryAfterSeconds, kCbor});
    } else {
        responder.send({kMisdirected, wire::encode_redirect(leader), 0, kCbor});
    }
}

bool HeartbeatHandler::reported_not_leading(const std::string& peer, Millis now) const {
    const auto found = peer_leadership_.find(peer);
    return found != peer_leadership_.end() && !found->second.leads &&
           now - found->second.last_status_at < readiness::kPeerStatusLifetime;
}

void HeartbeatHandler::respond(const net::Responder& responder, const LocalReply& answer) {
    const HeartbeatReply& reply = answer.reply;
    if (reply.status == kOk) {
        responder.send(
            {kOk, wire::encode_heartbeat_reply(reply.token, reply.commands), 0, kCbor, answer.tag});
    } else if (reply.status == kMisdirected) {
        responder.send({kMisdirected, wire::encode_redirect(reply.holder), 0, kCbor});
    } else {
        responder.send({kUnavailable, "", 0, kCbor});
    }
}

void HeartbeatHandler::on_forwarded_heartbeat(const peers::ForwardedHeartbeat& forwarded) {
    const Millis now = environment_.updated_now();
    control::ControlLoop* control_loop = environment_.leader_control_loop();
    const std::uint64_t term = control_loop != nullptr ? environment_.term() : 0;
    const auto arrival = admission_.admit(forwarded, term, shard_holder_.incarnation(), now);
    if (!arrival) return;
    HeartbeatReply reply = unavailable();
    if (environment_.may_renew_leases())
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

void HeartbeatHandler::on_forwarded_reply(const peers::ForwardedReply& reply) {
    forwarder_.on_reply(reply, environment_.updated_now());
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
    balancer_.set_own_load(environment_.open_sockets(), environment_.worker_sockets(),
                           environment_.leader_control_loop() != nullptr, now);
}

machines::WorkerCapacity HeartbeatHandler::worker_capacity(Millis now) {
    return balancer_.worker_capacity(now);
}

std::uint64_t HeartbeatHandler::served_term(Millis now) const {
    if (environment_.leader_control_loop() != nullptr) return environment_.term();
    return forwarder_.reachable_term(now);
}

void HeartbeatHandler::fill_status(peers::Status& status, Millis now) const {
    status.heartbeat_term = served_term(now);
    status.sockets = environment_.open_sockets();
    status.worker_sockets = environment_.worker_sockets();
    status.max_sockets = settings_.max_sockets;
}

}  // namespace nickelramp::controller
