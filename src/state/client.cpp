#include "state/client.h"

#include <algorithm>
#include <iterator>

namespace nickelramp::state {

namespace {
constexpr std::size_t kMaxQueue = 2000;
constexpr Millis kListTimeout = 4000;
constexpr std::size_t kListPage = 500;
constexpr Millis kBackOff = 200;
constexpr Millis kQuiet = 1'500;
constexpr Millis kPingTimeout = 1'000;
constexpr const char* kPingKey = "lead/term";

Item read_item(const Json& j) {
    Item item;
    if (auto key = wire::text(j, "path"))
        item.key = *key;
    else if (auto set = wire::text(j, "set"))
        item.key = *set;
    else if (auto drop = wire::text(j, "drop")) {
        item.key = *drop;
        item.deleted = true;
    }
    item.version = wire::count(j, "stamp").value_or(0);
    if (const Json* v = wire::field(j, "v")) item.value = *v;
    return item;
}

bool read_items(const Json& body, const char* name, std::vector<Item>& out) {
    const Json* list = wire::field(body, name);
    if (list == nullptr || !list->is_array()) return false;
    for (const Json& j : *list) {
        Item item = read_item(j);
        if (item.key.empty()) return false;
        out.push_back(std::move(item));
    }
    return true;
}

std::string watch_target(const std::string& prefix, std::uint64_t after, Millis wait) {
    return "/watch?under=" + prefix + "&from=" + std::to_string(after) +
           "&hold_ms=" + std::to_string(wait);
}

ListReply news(const net::Reply& r) {
    ListReply out;
    out.outcome = outcome_of(r);
    if (out.outcome != Outcome::ok) return out;
    auto body = wire::decode_map(r.body);
    auto revision = body ? wire::count(*body, "epoch") : std::nullopt;
    if (!revision || !read_items(*body, "news", out.items))
        out.outcome = Outcome::broken;
    else
        out.revision = *revision;
    return out;
}

LeaseReply lease_reply(const net::Reply& r) {
    LeaseReply out;
    out.outcome = outcome_of(r);
    if (out.outcome != Outcome::ok) return out;
    auto body = wire::decode_map(r.body);
    auto lease = body ? wire::count(*body, "permit") : std::nullopt;
    if (lease) out.lease = *lease;
    return out;
}
}  // namespace

const char* name(Outcome o) {
    switch (o) {
        case Outcome::ok:
            return "ok";
        case Outcome::conflict:
            return "conflict";
        case Outcome::missing:
            return "missing";
        case Outcome::expired:
            return "expired";
        case Outcome::refused:
            return "refused";
        case Outcome::unknown:
            return "unknown";
        case Outcome::broken:
            return "broken";
    }
    return "?";
}

Outcome outcome_of(const net::Reply& r) {
    if (r.outcome == net::Reply::Outcome::refused) return Outcome::refused;
    if (r.outcome == net::Reply::Outcome::unknown) return Outcome::unknown;
    switch (r.status) {
        case 200:
            return Outcome::ok;
        case 404:
            return Outcome::missing;
        case 409:
            return Outcome::conflict;
        case 410:
            return Outcome::expired;
        case 429:
        case 503:
            return Outcome::refused;
        default:
            return Outcome::broken;
    }
}

std::optional<std::uint64_t> stamp(const GetReply& reply) {
    if (reply.outcome == Outcome::missing) return 0;
    if (reply.outcome != Outcome::ok) return std::nullopt;
    return reply.item.version;
}

Client::Client(uv_loop_t* loop, const sockaddr_in& address, const std::string& host, Limits limits)
    : loop_(loop),
      calls_(loop, address, host, 12, kMaxQueue),
      renewals_(loop, address, host, 2, 16),
      watches_(loop, address, host, 4, 16),
      limits_(limits),
      requests_left_(limits.requests_per_s),
      writes_left_(limits.writes_per_s),
      filled_(static_cast<Millis>(uv_now(loop))),
      timer_(loop, [this] { pump(); }) {}

void Client::submit(Urgency urgency, Call call) {
    auto& queue = queues_[static_cast<int>(urgency)];
    call.deadline = now() + call.timeout;
    if (queue.size() >= kMaxQueue) call.deadline = 0;  // shed at the next turn
    queue.push_back(std::move(call));
    pump();
}

void Client::pump() {
    Millis t = now();
    double elapsed = static_cast<double>(t - filled_) / 1000.0;
    filled_ = t;
    requests_left_ =
        std::min(limits_.requests_per_s, requests_left_ + elapsed * limits_.requests_per_s);
    writes_left_ = std::min(limits_.writes_per_s, writes_left_ + elapsed * limits_.writes_per_s);
    std::vector<net::HttpClient::Done> shed;
    bool waiting = false;
    for (auto& queue : queues_) {
        while (!queue.empty()) {
            Call& c = queue.front();
            if (t >= c.deadline) {
                shed.push_back(std::move(c.done));
                queue.pop_front();
                continue;
            }
            // A transaction larger than what is ever saved up may overdraw.
            if (t < slow_until_ || requests_left_ < 1 ||
                writes_left_ < std::min(c.writes, limits_.writes_per_s / 2)) {
                waiting = true;
                break;
            }
            requests_left_ -= 1;
            writes_left_ -= c.writes;
            auto call = std::make_shared<Call>(std::move(c));
            queue.pop_front();
            asked();
            calls_.request(
                call->method, call->target, call->body, call->deadline - t,
                [this, call, &queue](const net::Reply& r) {
                    note_call(r);
                    // There was too much for a moment: its turn comes again, before the others'.
                    if (r.outcome == net::Reply::Outcome::answered && r.status == 429 &&
                        now() + kBackOff < call->deadline) {
                        queue.push_front(std::move(*call));
                        pump();
                    } else {
                        call->done(r);
                    }
                },
                call->may);
        }
        if (waiting) break;
    }
    if (waiting) timer_.after(10);
    for (auto& done : shed) done(net::Reply{net::Reply::Outcome::refused, 0, "", 0});
}

void Client::asked() {
    ++under_way_;
    if (health_.unanswered_since < 0) health_.unanswered_since = now();
}

// Of a call that is to be answered at once; watches may take their time.
void Client::note_call(const net::Reply& r) {
    --under_way_;
    note(r);
    const bool answered = r.outcome == net::Reply::Outcome::answered;
    if (answered) health_.unanswered_since = under_way_ > 0 ? now() : -1;
}

void Client::ping() {
    if (now() - heard_at_ < kQuiet || under_way_ > 0) return;
    get(kPingKey, Urgency::control, kPingTimeout, [](const GetReply&) {});
}

void Client::note(const net::Reply& r) {
    if (r.outcome != net::Reply::Outcome::answered) return;
    heard_at_ = now();
    if (r.status == 503) {
        if (health_.refused_since < 0) health_.refused_since = now();
    } else {
        last_answer_ = now();
        health_.refused_since = -1;
    }
    if (r.status == 429) slow_until_ = now() + kBackOff;
}

void Client::get(const std::string& key, Urgency urgency, Millis timeout, GetDone done) {
    submit(urgency, Call{"GET", "/kv/" + key, "", 0, timeout, 0,
                         [done = std::move(done)](const net::Reply& r) {
                             GetReply out;
                             out.outcome = outcome_of(r);
                             if (out.outcome == Outcome::ok) {
                                 auto body = wire::decode_map(r.body);
                                 if (body) out.item = read_item(*body);
                                 if (out.item.key.empty()) out.outcome = Outcome::broken;
                             }
                             done(out);
                         }});
}

void Client::list(const std::string& prefix, Urgency urgency, ListDone done) {
    list_page(std::make_shared<ListReply>(), prefix, "", urgency, std::move(done));
}

void Client::list_page(std::shared_ptr<ListReply> sofar, const std::string& prefix,
                       const std::string& after, Urgency urgency, ListDone done) {
    page(prefix, after, kListPage, urgency,
         [this, sofar, prefix, urgency, done = std::move(done)](ListReply r) {
             sofar->outcome = r.outcome;
             if (r.outcome == Outcome::ok) {
                 std::move(r.items.begin(), r.items.end(), std::back_inserter(sofar->items));
                 if (sofar->revision == 0) sofar->revision = r.revision;
                 if (r.more && !sofar->items.empty()) {
                     const std::string last = sofar->items.back().key;
                     return list_page(sofar, prefix, last, urgency, done);
                 }
             }
             done(std::move(*sofar));
         });
}

void Client::page(const std::string& prefix, const std::string& after, std::size_t most,
                  Urgency urgency, ListDone done) {
    std::string target = "/kv?under=" + prefix + "&limit=" + std::to_string(most);
    if (!after.empty()) target += "&from=" + after;
    submit(
        urgency,
        Call{"GET", target, "", 0, kListTimeout, 0, [done = std::move(done)](const net::Reply& r) {
                 ListReply out;
                 out.outcome = outcome_of(r);
                 auto body = out.outcome == Outcome::ok ? wire::decode_map(r.body) : std::nullopt;
                 if (out.outcome == Outcome::ok &&
                     (!body || !read_items(*body, "items", out.items))) {
                     out.outcome = Outcome::broken;
                 }
                 if (body) {
                     out.revision = wire::count(*body, "epoch").value_or(0);
                     out.more = wire::flag(*body, "truncated").value_or(false);
                 }
                 done(std::move(out));
             }});
}

bool Client::spare() const {
    return now() >= slow_until_ && std::all_of(std::begin(queues_), std::end(queues_),
                                               [](const auto& q) { return q.empty(); });
}

void Client::commit(const Txn& txn, Urgency urgency, Millis timeout, CommitDone done,
                    net::HttpClient::Ask may) {
    Json when = Json::array();
    for (const Condition& c : txn.conditions) {
        when.push_back({{"path", c.key}, {"stamp", c.version}});
    }
    Json writes = Json::array();
    for (const Write& w : txn.writes) {
        if (!w.value) {
            writes.push_back({{"drop", w.key}});
            continue;
        }
        Json put = {{"set", w.key}, {"v", *w.value}};
        if (w.lease != 0) put["permit"] = w.lease;
        writes.push_back(std::move(put));
    }
    std::string body = wire::encode({{"when", std::move(when)}, {"writes", std::move(writes)}});
    submit(
        urgency,
        Call{"POST", "/commit", std::move(body), static_cast<double>(txn.writes.size()), timeout, 0,
             [done = std::move(done)](const net::Reply& r) {
                 CommitReply out;
                 out.outcome = outcome_of(r);
                 auto body = r.body.empty() ? std::nullopt : wire::decode_map(r.body);
                 if (body) {
                     out.revision = wire::count(*body, "epoch").value_or(0);
                     if (const Json* failed = wire::field(*body, "failed");
                         failed != nullptr && failed->is_array()) {
                         for (const Json& k : *failed) {
                             if (k.is_string()) out.failed.push_back(k.get<std::string>());
                         }
                     }
                     if (r.status == 400 && wire::text(*body, "error") == "no such lease") {
                         out.outcome = Outcome::expired;
                     }
                 }
                 if (out.outcome == Outcome::ok && out.revision == 0) {
                     out.outcome = Outcome::unknown;  // nothing usable was said
                 }
                 done(out);
             },
             std::move(may)});
}

void Client::lease(Millis ttl, LeaseDone done) {
    asked();
    renewals_.request("POST", "/holds", wire::encode({{"life_ms", ttl}}), 2000,
                      [this, done = std::move(done)](const net::Reply& r) {
                          note_call(r);
                          LeaseReply out = lease_reply(r);
                          if (out.outcome == Outcome::ok && out.lease == 0) {
                              out.outcome = Outcome::broken;
                          }
                          done(out);
                      });
}

void Client::renew(std::uint64_t lease, Millis timeout, LeaseDone done) {
    asked();
    renewals_.request("POST", "/holds/" + std::to_string(lease) + "/touch", "", timeout,
                      [this, done = std::move(done)](const net::Reply& r) {
                          note_call(r);
                          done(lease_reply(r));
                      });
}

void Client::end_lease(std::uint64_t lease) {
    renewals_.request("DELETE", "/holds/" + std::to_string(lease), "", 2000,
                      [](const net::Reply&) {});
}

void Client::watch(const std::string& prefix, std::uint64_t after, Millis wait, ListDone done,
                   Millis patience) {
    watches_.request("GET", watch_target(prefix, after, wait), "", wait + patience,
                     [this, done = std::move(done)](const net::Reply& r) {
                         note(r);
                         done(news(r));
                     });
}

void Client::changes(const std::string& prefix, std::uint64_t after, Urgency urgency,
                     Millis timeout, ListDone done) {
    submit(urgency, Call{"GET", watch_target(prefix, after, 0), "", 0, timeout, 0,
                         [done = std::move(done)](const net::Reply& r) { done(news(r)); }});
}

}  // namespace nickelramp::state
