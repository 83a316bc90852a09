#include "fleet/cloud.h"

#include <algorithm>

namespace nickelramp::fleet {

namespace {
constexpr Millis kCall = 4000;
constexpr Millis kLost = 10'000;  // two calls that time out, and some
constexpr std::size_t kMostWaiting = 16;
constexpr int kMostInARow = 5;  // changes, while a list waits
// Other controllers ask for machine types now and then.
constexpr double kShare = 0.8;
constexpr double kBurst = 2;  // seconds' worth, that the cloud allows at once
}  // namespace

Cloud::Cloud(uv_loop_t* loop, const sockaddr_in& address, const std::string& host, double rps)
    : loop_(loop),
      http_(loop, address, host, 6, kMostWaiting),
      rps_(rps * kShare),
      left_(rps * kShare * kBurst),
      filled_(static_cast<Millis>(uv_now(loop))),
      timer_(loop, [this] { pump(); }) {}

// The queues are short: callers have one list, one look at the types, one return and a few hires
// under way.
void Cloud::submit(std::deque<Call>& queue, Call call) {
    queue.push_back(std::move(call));
    pump();
}

// Changes go before looks, in the order in which they were asked for; but lists are never put off
// for good: what the cloud alone knows is found there.
Cloud::Call Cloud::next() {
    bool look = changes_.empty() || (!looks_.empty() && changes_in_a_row_ >= kMostInARow);
    changes_in_a_row_ = look ? 0 : changes_in_a_row_ + 1;
    std::deque<Call>& queue = look ? looks_ : changes_;
    Call c = std::move(queue.front());
    queue.pop_front();
    return c;
}

void Cloud::pump() {
    Millis now = static_cast<Millis>(uv_now(loop_));
    left_ = std::min(std::max(1.0, rps_ * kBurst),
                     left_ + static_cast<double>(now - filled_) / 1000.0 * rps_);
    filled_ = now;
    while (!(changes_.empty() && looks_.empty()) && left_ >= 1) {
        left_ -= 1;
        Call c = next();
        if (unanswered_since_ < 0) unanswered_since_ = now;
        http_.request(
            c.method, c.target, std::move(c.body), c.timeout,
            [this, done = std::move(c.done)](const net::Reply& r) {
                if (r.outcome == net::Reply::Outcome::answered) unanswered_since_ = -1;
                done(r);
            },
            std::move(c.may));
    }
    if (!(changes_.empty() && looks_.empty()))
        timer_.after(static_cast<Millis>((1 - left_) / rps_ * 1000.0) + 1);
}

bool Cloud::lost(Millis now) const {
    return unanswered_since_ >= 0 && now - unanswered_since_ > kLost;
}

void Cloud::types(TypesDone done) {
    submit(looks_,
           {"GET", "/machine_types", "", kCall, [done = std::move(done)](const net::Reply& r) {
                auto body = r.ok() ? wire::decode_map(r.body) : std::nullopt;
                done(body ? wire::parse_types(*body) : std::nullopt);
            }});
}

void Cloud::hosts(HostsDone done) {
    host_page(std::make_shared<std::vector<wire::Host>>(), "", std::move(done));
}

void Cloud::host_page(std::shared_ptr<std::vector<wire::Host>> sofar, const std::string& after,
                      HostsDone done) {
    std::string target = "/hosts?limit=500";
    if (!after.empty()) target += "&from=" + after;
    submit(looks_,
           {"GET", target, "", kCall, [this, sofar, done = std::move(done)](const net::Reply& r) {
                auto body = r.ok() ? wire::decode_map(r.body) : std::nullopt;
                auto page = body ? wire::parse_hosts(*body) : std::nullopt;
                if (!page) {
                    done(std::nullopt);
                    return;
                }
                for (wire::Host& h : page->hosts) sofar->push_back(std::move(h));
                if (page->more && !sofar->empty())
                    host_page(sofar, sofar->back().id, done);
                else
                    done(*sofar);
            }});
}

void Cloud::hire(const duties::Permit<duties::Renting>& permit, const std::string& request,
                 const std::string& type, const std::string& zone, bool spot, std::uint32_t count,
                 std::function<void(const HireReply&)> done) {
    submit(changes_,
           {"POST", "/hosts", wire::hire_request(request, type, zone, spot, count), kCall,
            [done = std::move(done)](const net::Reply& r) {
                HireReply out;
                using Result = HireReply::Result;
                if (r.outcome != net::Reply::Outcome::answered) {
                    if (r.outcome == net::Reply::Outcome::refused) out.result = Result::unsent;
                    done(out);
                    return;
                }
                auto body = wire::decode_map(r.body);
                out.result = Result::trouble;
                if (r.status == 200) {
                    auto names = body ? wire::parse_hired(*body) : std::nullopt;
                    // Executed, and not understood: the same name gets the same answer.
                    out.result = Result::unknown;
                    if (names) out = {Result::hired, std::move(*names)};
                } else if (r.status == 400) {
                    out.result = Result::malformed;
                } else if (r.status == 503 && body && wire::text(*body, "error") == "no capacity") {
                    out.result = Result::no_capacity;
                }
                done(out);
            },
            [permit] { return permit.lasts(); }});
}

void Cloud::give_back(const duties::Permit<duties::Returning>& permit,
                      const std::vector<std::string>& machines, std::function<void(bool)> done) {
    submit(changes_, {"POST", "/hosts/return", wire::return_request(machines), kCall,
                      [done = std::move(done)](const net::Reply& r) { done(r.ok()); },
                      [permit] { return permit.lasts(); }});
}

}  // namespace nickelramp::fleet
