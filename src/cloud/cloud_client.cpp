#include "cloud/cloud_client.h"

#include <algorithm>

namespace nickelramp::cloud {

namespace {
constexpr Millis kCall = 4000;
constexpr Millis kLost = 10'000;  // two calls that time out, and some
constexpr std::size_t kMostWaiting = 16;
constexpr int kMostInARow = 5;  // changes, while a list waits
// Other controllers ask for machine types now and then.
constexpr double kShare = 0.8;
constexpr double kBurst = 2;  // seconds' worth, that the cloud allows at once
}  // namespace

CloudClient::CloudClient(uv_loop_t* loop, const sockaddr_in& address, const std::string& host,
                         double rps)
    : loop_(loop),
      http_(loop, address, host, 6, kMostWaiting),
      requests_per_s_(rps * kShare),
      request_tokens_(rps * kShare * kBurst),
      refilled_at_(static_cast<Millis>(uv_now(loop))),
      timer_(loop, [this] { send_queued(); }) {}

// The queues are short: callers have one list, one look at the types, one return and a few hires
// under way.
void CloudClient::submit(std::deque<Call>& queue, Call call) {
    queue.push_back(std::move(call));
    send_queued();
}

// Changes go before looks, in the order in which they were asked for; but lists are never put off
// for good: what the cloud alone knows is found there.
CloudClient::Call CloudClient::next() {
    bool look =
        change_queue_.empty() || (!list_queue_.empty() && consecutive_changes_ >= kMostInARow);
    consecutive_changes_ = look ? 0 : consecutive_changes_ + 1;
    std::deque<Call>& queue = look ? list_queue_ : change_queue_;
    Call c = std::move(queue.front());
    queue.pop_front();
    return c;
}

void CloudClient::send_queued() {
    Millis now = static_cast<Millis>(uv_now(loop_));
    request_tokens_ = std::min(
        std::max(1.0, requests_per_s_ * kBurst),
        request_tokens_ + static_cast<double>(now - refilled_at_) / 1000.0 * requests_per_s_);
    refilled_at_ = now;
    while (!(change_queue_.empty() && list_queue_.empty()) && request_tokens_ >= 1) {
        request_tokens_ -= 1;
        Call c = next();
        if (unanswered_since_ < 0) unanswered_since_ = now;
        http_.request(
            c.method, c.target, std::move(c.body), c.timeout,
            [this, done = std::move(c.on_reply)](const net::ClientReply& reply) {
                if (reply.outcome == net::ClientReply::Outcome::answered) unanswered_since_ = -1;
                done(reply);
            },
            std::move(c.may_send));
    }
    if (!(change_queue_.empty() && list_queue_.empty()))
        timer_.after(static_cast<Millis>((1 - request_tokens_) / requests_per_s_ * 1000.0) + 1);
}

bool CloudClient::is_unreachable(Millis now) const {
    return unanswered_since_ >= 0 && now - unanswered_since_ > kLost;
}

void CloudClient::list_machine_types(MachineTypesDone done) {
    submit(list_queue_, {"GET", "/machine_types", "", kCall,
                         [done = std::move(done)](const net::ClientReply& reply) {
                             auto body = reply.ok() ? wire::decode_map(reply.body) : std::nullopt;
                             done(body ? wire::decode_machine_types(*body) : std::nullopt);
                         }});
}

void CloudClient::list_instances(InstancesDone done) {
    list_instance_page(std::make_shared<std::vector<wire::CloudInstance>>(), "", std::move(done));
}

void CloudClient::list_instance_page(std::shared_ptr<std::vector<wire::CloudInstance>> sofar,
                                     const std::string& after, InstancesDone done) {
    std::string target = "/hosts?limit=500";
    if (!after.empty()) target += "&from=" + after;
    submit(list_queue_, {"GET", target, "", kCall,
                         [this, sofar, done = std::move(done)](const net::ClientReply& reply) {
                             auto body = reply.ok() ? wire::decode_map(reply.body) : std::nullopt;
                             auto page = body ? wire::decode_instance_page(*body) : std::nullopt;
                             if (!page) {
                                 done(std::nullopt);
                                 return;
                             }
                             for (wire::CloudInstance& instance : page->instances)
                                 sofar->push_back(std::move(instance));
                             if (page->more && !sofar->empty())
                                 list_instance_page(sofar, sofar->back().id, done);
                             else
                                 done(*sofar);
                         }});
}

void CloudClient::provision(const lease::LeaseProof<lease::ScaleOut>& permit,
                            const std::string& request, const std::string& type,
                            const std::string& zone, bool spot, std::uint32_t count,
                            std::function<void(const ProvisionReply&)> done) {
    submit(change_queue_, {"POST", "/hosts",
                           wire::encode_provision_request(request, type, zone, spot, count), kCall,
                           [done = std::move(done)](const net::ClientReply& reply) {
                               ProvisionReply out;
                               using Result = ProvisionReply::Result;
                               if (reply.outcome != net::ClientReply::Outcome::answered) {
                                   if (reply.outcome == net::ClientReply::Outcome::refused)
                                       out.result = Result::not_sent;
                                   done(out);
                                   return;
                               }
                               auto body = wire::decode_map(reply.body);
                               out.result = Result::rejected;
                               if (reply.status == 200) {
                                   auto names =
                                       body ? wire::decode_provision_reply(*body) : std::nullopt;
                                   // Executed, and not understood: the same name gets the same
                                   // answer.
                                   out.result = Result::unknown;
                                   if (names) out = {Result::provisioned, std::move(*names)};
                               } else if (reply.status == 400) {
                                   out.result = Result::malformed;
                               } else if (reply.status == 503 && body &&
                                          wire::text_field(*body, "error") == "no capacity") {
                                   out.result = Result::no_capacity;
                               }
                               done(out);
                           },
                           [permit] { return permit.is_valid(); }});
}

void CloudClient::release(const lease::LeaseProof<lease::ScaleIn>& permit,
                          const std::vector<std::string>& machines,
                          std::function<void(bool)> done) {
    submit(change_queue_,
           {"POST", "/hosts/return", wire::encode_release_request(machines), kCall,
            [done = std::move(done)](const net::ClientReply& reply) { done(reply.ok()); },
            [permit] { return permit.is_valid(); }});
}

}  // namespace nickelramp::cloud
