#include "cloud/cloud_client.h"

#include <algorithm>

namespace nickelramp::cloud {

namespace {
constexpr Millis kCallTimeout = 4'000;
constexpr Millis kUnreachableAfter = 10'000;  // longer than two timed-out calls
constexpr int kMaxConnections = 6;
constexpr std::size_t kMaxWaiting = 16;
constexpr int kMaxConsecutiveChanges = 5;  // while a list is queued
constexpr double kRateShare = 0.8;         // other controllers also list machine types
constexpr double kBurstS = 2;              // seconds of requests that the cloud allows at once
constexpr int kStatusOk = 200, kStatusBadRequest = 400, kStatusUnavailable = 503;

// Derives the result of a provisioning request from the HTTP reply.
ProvisionReply provision_reply(const net::ClientReply& reply) {
    using Result = ProvisionReply::Result;
    using Outcome = net::ClientReply::Outcome;
    if (reply.outcome == Outcome::refused) return {Result::not_sent, {}};
    if (reply.outcome != Outcome::answered) return {Result::unknown, {}};
    const auto body = wire::decode_reply_map(reply.body);
    if (reply.status == kStatusOk) {
        auto names = body ? wire::decode_provision_reply(*body) : std::nullopt;
        if (names) return {Result::provisioned, std::move(*names)};
        // Executed, but the reply is malformed. Retrying under the same name returns the same
        // machines.
        return {Result::unknown, {}};
    }
    if (reply.status == kStatusBadRequest) return {Result::malformed, {}};
    const bool no_capacity = reply.status == kStatusUnavailable && body &&
                             wire::text_field(*body, "error") == "no capacity";
    return {no_capacity ? Result::no_capacity : Result::rejected, {}};
}
}  // namespace

CloudClient::CloudClient(uv_loop_t* loop, const sockaddr_in& address, const std::string& host,
                         double requests_per_s)
    : loop_(loop),
      http_(loop, address, host, kMaxConnections, kMaxWaiting),
      requests_per_s_(requests_per_s * kRateShare),
      request_tokens_(requests_per_s * kRateShare * kBurstS),
      refilled_at_(static_cast<Millis>(uv_now(loop))),
      timer_(loop, [this] { send_queued(); }) {}

bool CloudClient::has_queued() const { return !change_queue_.empty() || !list_queue_.empty(); }

// The queues are short, since callers have at most one list of machines, one list of types, one
// release and a few provisioning requests in flight.
void CloudClient::submit(std::deque<Call>& queue, Call call) {
    queue.push_back(std::move(call));
    send_queued();
}

// Changes are sent before lists, in the order of submission. Lists must not be delayed
// indefinitely, since some of their information has no other source.
CloudClient::Call CloudClient::pop_next() {
    const bool take_list = change_queue_.empty() ||
                           (!list_queue_.empty() && consecutive_changes_ >= kMaxConsecutiveChanges);
    consecutive_changes_ = take_list ? 0 : consecutive_changes_ + 1;
    std::deque<Call>& queue = take_list ? list_queue_ : change_queue_;
    Call call = std::move(queue.front());
    queue.pop_front();
    return call;
}

void CloudClient::refill_tokens(Millis now) {
    request_tokens_ = std::min(
        std::max(1.0, requests_per_s_ * kBurstS),
        request_tokens_ + static_cast<double>(now - refilled_at_) / 1000.0 * requests_per_s_);
    refilled_at_ = now;
}

void CloudClient::send_queued() {
    const auto now = static_cast<Millis>(uv_now(loop_));
    refill_tokens(now);
    while (has_queued() && request_tokens_ >= 1) {
        request_tokens_ -= 1;
        send(pop_next(), now);
    }
    if (has_queued())
        timer_.after(static_cast<Millis>((1 - request_tokens_) / requests_per_s_ * 1000.0) + 1);
}

void CloudClient::send(Call call, Millis now) {
    if (unanswered_since_ < 0) unanswered_since_ = now;
    http_.request(
        call.method, call.target, std::move(call.body), kCallTimeout,
        [this, done = std::move(call.on_reply)](const net::ClientReply& reply) {
            if (reply.outcome == net::ClientReply::Outcome::answered) unanswered_since_ = -1;
            done(reply);
        },
        std::move(call.may_send));
}

bool CloudClient::is_unreachable(Millis now) const {
    return unanswered_since_ >= 0 && now - unanswered_since_ > kUnreachableAfter;
}

void CloudClient::list_machine_types(MachineTypesDone done) {
    submit(list_queue_,
           {"GET", "/machine_types", "", [done = std::move(done)](const net::ClientReply& reply) {
                auto body = reply.ok() ? wire::decode_reply_map(reply.body) : std::nullopt;
                done(body ? wire::decode_machine_types(*body) : std::nullopt);
            }});
}

void CloudClient::list_instances(InstancesDone done) {
    list_instance_page(std::make_shared<std::vector<wire::CloudInstance>>(), "", std::move(done));
}

void CloudClient::list_instance_page(std::shared_ptr<std::vector<wire::CloudInstance>> instances,
                                     const std::string& after, InstancesDone done) {
    std::string target = "/hosts?limit=500";
    if (!after.empty()) target += "&from=" + after;
    auto on_reply = [this, instances = std::move(instances),
                     done = std::move(done)](const net::ClientReply& reply) {
        auto body = reply.ok() ? wire::decode_reply_map(reply.body) : std::nullopt;
        auto page = body ? wire::decode_instance_page(*body) : std::nullopt;
        if (!page) {
            done(std::nullopt);
            return;
        }
        for (wire::CloudInstance& instance : page->instances)
            instances->push_back(std::move(instance));
        if (page->more && !instances->empty())
            list_instance_page(instances, instances->back().id, done);
        else
            done(*instances);
    };
    submit(list_queue_, {"GET", std::move(target), "", std::move(on_reply)});
}

void CloudClient::provision(const lease::LeaseProof<lease::ScaleOut>& proof,
                            const std::string& request, const std::string& type,
                            const std::string& zone, bool spot, std::uint32_t count,
                            ProvisionDone done) {
    submit(
        change_queue_,
        {"POST", "/hosts", wire::encode_provision_request(request, type, zone, spot, count),
         [done = std::move(done)](const net::ClientReply& reply) { done(provision_reply(reply)); },
         [proof] { return proof.is_valid(); }});
}

void CloudClient::release(const lease::LeaseProof<lease::ScaleIn>& proof,
                          const std::vector<std::string>& machines, ReleaseDone done) {
    submit(change_queue_,
           {"POST", "/hosts/return", wire::encode_release_request(machines),
            [done = std::move(done)](const net::ClientReply& reply) { done(reply.ok()); },
            [proof] { return proof.is_valid(); }});
}

}  // namespace nickelramp::cloud
