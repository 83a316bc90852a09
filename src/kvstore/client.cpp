#include "kvstore/client.h"

#include <algorithm>
#include <iterator>

namespace nickelramp::kvstore {

namespace {
constexpr std::size_t kMaxQueue = 2000;
constexpr Millis kListTimeout = 4000;
constexpr std::size_t kListPage = 500;
constexpr Millis kBackOff = 200;
constexpr Millis kQuiet = 1'500;
constexpr Millis kPingTimeout = 1'000;
constexpr const char* kPingKey = "lead/term";

Entry read_item(const Json& j) {
    Entry entry;
    if (auto key = wire::text_field(j, "path"))
        entry.key = *key;
    else if (auto set = wire::text_field(j, "set"))
        entry.key = *set;
    else if (auto drop = wire::text_field(j, "drop")) {
        entry.key = *drop;
        entry.deleted = true;
    }
    entry.version = wire::count_field(j, "stamp").value_or(0);
    if (const Json* v = wire::field(j, "v")) entry.value = *v;
    return entry;
}

bool read_items(const Json& body, const char* name, std::vector<Entry>& out) {
    const Json* list = wire::field(body, name);
    if (list == nullptr || !list->is_array()) return false;
    for (const Json& j : *list) {
        Entry entry = read_item(j);
        if (entry.key.empty()) return false;
        out.push_back(std::move(entry));
    }
    return true;
}

std::string watch_target(const std::string& prefix, std::uint64_t after, Millis wait) {
    return "/watch?under=" + prefix + "&from=" + std::to_string(after) +
           "&hold_ms=" + std::to_string(wait);
}

ListReply news(const net::ClientReply& reply) {
    ListReply out;
    out.status = status_of(reply);
    if (out.status != Status::ok) return out;
    auto body = wire::decode_map(reply.body);
    auto revision = body ? wire::count_field(*body, "epoch") : std::nullopt;
    if (!revision || !read_items(*body, "news", out.entries))
        out.status = Status::protocol_error;
    else
        out.revision = *revision;
    return out;
}

LeaseReply lease_reply(const net::ClientReply& reply) {
    LeaseReply out;
    out.status = status_of(reply);
    if (out.status != Status::ok) return out;
    auto body = wire::decode_map(reply.body);
    auto lease = body ? wire::count_field(*body, "permit") : std::nullopt;
    if (lease) out.lease_id = *lease;
    return out;
}
}  // namespace

const char* name(Status o) {
    switch (o) {
        case Status::ok:
            return "ok";
        case Status::conflict:
            return "conflict";
        case Status::missing:
            return "missing";
        case Status::lease_or_revision_expired:
            return "expired";
        case Status::refused:
            return "refused";
        case Status::unknown:
            return "unknown";
        case Status::protocol_error:
            return "broken";
    }
    return "?";
}

Status status_of(const net::ClientReply& reply) {
    if (reply.outcome == net::ClientReply::Outcome::refused) return Status::refused;
    if (reply.outcome == net::ClientReply::Outcome::unknown) return Status::unknown;
    switch (reply.status) {
        case 200:
            return Status::ok;
        case 404:
            return Status::missing;
        case 409:
            return Status::conflict;
        case 410:
            return Status::lease_or_revision_expired;
        case 429:
        case 503:
            return Status::refused;
        default:
            return Status::protocol_error;
    }
}

std::optional<std::uint64_t> version_of(const GetReply& reply) {
    if (reply.status == Status::missing) return 0;
    if (reply.status != Status::ok) return std::nullopt;
    return reply.entry.version;
}

Client::Client(uv_loop_t* loop, const sockaddr_in& address, const std::string& host,
               RateLimits limits)
    : loop_(loop),
      call_client_(loop, address, host, 12, kMaxQueue),
      renewal_client_(loop, address, host, 2, 16),
      watch_client_(loop, address, host, 4, 16),
      limits_(limits),
      request_tokens_(limits.requests_per_s),
      write_tokens_(limits.writes_per_s),
      refilled_at_(static_cast<Millis>(uv_now(loop))),
      timer_(loop, [this] { send_queued(); }) {}

void Client::submit(RequestClass urgency, Call call) {
    auto& queue = queues_[static_cast<int>(urgency)];
    call.deadline = now() + call.timeout;
    if (queue.size() >= kMaxQueue) call.deadline = 0;  // shed at the next turn
    queue.push_back(std::move(call));
    send_queued();
}

void Client::send_queued() {
    Millis t = now();
    double elapsed = static_cast<double>(t - refilled_at_) / 1000.0;
    refilled_at_ = t;
    request_tokens_ =
        std::min(limits_.requests_per_s, request_tokens_ + elapsed * limits_.requests_per_s);
    write_tokens_ = std::min(limits_.writes_per_s, write_tokens_ + elapsed * limits_.writes_per_s);
    std::vector<net::HttpClient::Done> shed;
    bool waiting = false;
    for (auto& queue : queues_) {
        while (!queue.empty()) {
            Call& c = queue.front();
            if (t >= c.deadline) {
                shed.push_back(std::move(c.on_reply));
                queue.pop_front();
                continue;
            }
            // A transaction larger than what is ever saved up may overdraw.
            if (t < throttled_until_ || request_tokens_ < 1 ||
                write_tokens_ < std::min(c.writes, limits_.writes_per_s / 2)) {
                waiting = true;
                break;
            }
            request_tokens_ -= 1;
            write_tokens_ -= c.writes;
            auto call = std::make_shared<Call>(std::move(c));
            queue.pop_front();
            note_request_sent();
            call_client_.request(
                call->method, call->target, call->body, call->deadline - t,
                [this, call, &queue](const net::ClientReply& reply) {
                    note_call_reply(reply);
                    // There was too much for a moment: its turn comes again, before the others'.
                    if (reply.outcome == net::ClientReply::Outcome::answered &&
                        reply.status == 429 && now() + kBackOff < call->deadline) {
                        queue.push_front(std::move(*call));
                        send_queued();
                    } else {
                        call->on_reply(reply);
                    }
                },
                call->may_send);
        }
        if (waiting) break;
    }
    if (waiting) timer_.after(10);
    for (auto& done : shed) done(net::ClientReply{net::ClientReply::Outcome::refused, 0, "", 0});
}

void Client::note_request_sent() {
    ++calls_in_flight_;
    if (health_.unanswered_since < 0) health_.unanswered_since = now();
}

// Of a call that is to be answered at once; watches may take their time.
void Client::note_call_reply(const net::ClientReply& reply) {
    --calls_in_flight_;
    note_reply(reply);
    const bool answered = reply.outcome == net::ClientReply::Outcome::answered;
    if (answered) health_.unanswered_since = calls_in_flight_ > 0 ? now() : -1;
}

void Client::ping() {
    if (now() - last_reply_at_ < kQuiet || calls_in_flight_ > 0) return;
    get(kPingKey, RequestClass::control, kPingTimeout, [](const GetReply&) {});
}

void Client::note_reply(const net::ClientReply& reply) {
    if (reply.outcome != net::ClientReply::Outcome::answered) return;
    last_reply_at_ = now();
    if (reply.status == 503) {
        if (health_.refused_since < 0) health_.refused_since = now();
    } else {
        last_answer_at_ = now();
        health_.refused_since = -1;
    }
    if (reply.status == 429) throttled_until_ = now() + kBackOff;
}

void Client::get(const std::string& key, RequestClass urgency, Millis timeout, GetDone done) {
    submit(urgency, Call{"GET", "/kv/" + key, "", 0, timeout, 0,
                         [done = std::move(done)](const net::ClientReply& reply) {
                             GetReply out;
                             out.status = status_of(reply);
                             if (out.status == Status::ok) {
                                 auto body = wire::decode_map(reply.body);
                                 if (body) out.entry = read_item(*body);
                                 if (out.entry.key.empty()) out.status = Status::protocol_error;
                             }
                             done(out);
                         }});
}

void Client::list(const std::string& prefix, RequestClass urgency, ListDone done) {
    fetch_next_page(std::make_shared<ListReply>(), prefix, "", urgency, std::move(done));
}

void Client::fetch_next_page(std::shared_ptr<ListReply> sofar, const std::string& prefix,
                             const std::string& after, RequestClass urgency, ListDone done) {
    list_page(prefix, after, kListPage, urgency,
              [this, sofar, prefix, urgency, done = std::move(done)](ListReply reply) {
                  sofar->status = reply.status;
                  if (reply.status == Status::ok) {
                      std::move(reply.entries.begin(), reply.entries.end(),
                                std::back_inserter(sofar->entries));
                      if (sofar->revision == 0) sofar->revision = reply.revision;
                      if (reply.more && !sofar->entries.empty()) {
                          const std::string last = sofar->entries.back().key;
                          return fetch_next_page(sofar, prefix, last, urgency, done);
                      }
                  }
                  done(std::move(*sofar));
              });
}

void Client::list_page(const std::string& prefix, const std::string& after, std::size_t most,
                       RequestClass urgency, ListDone done) {
    std::string target = "/kv?under=" + prefix + "&limit=" + std::to_string(most);
    if (!after.empty()) target += "&from=" + after;
    submit(urgency, Call{"GET", target, "", 0, kListTimeout, 0,
                         [done = std::move(done)](const net::ClientReply& reply) {
                             ListReply out;
                             out.status = status_of(reply);
                             auto body = out.status == Status::ok ? wire::decode_map(reply.body)
                                                                  : std::nullopt;
                             if (out.status == Status::ok &&
                                 (!body || !read_items(*body, "items", out.entries))) {
                                 out.status = Status::protocol_error;
                             }
                             if (body) {
                                 out.revision = wire::count_field(*body, "epoch").value_or(0);
                                 out.more = wire::flag_field(*body, "truncated").value_or(false);
                             }
                             done(std::move(out));
                         }});
}

bool Client::has_spare_budget() const {
    return now() >= throttled_until_ && std::all_of(std::begin(queues_), std::end(queues_),
                                                    [](const auto& q) { return q.empty(); });
}

void Client::commit(const Transaction& transaction, RequestClass urgency, Millis timeout,
                    CommitDone done, net::HttpClient::MaySend may) {
    Json when = Json::array();
    for (const Condition& c : transaction.conditions) {
        when.push_back({{"path", c.key}, {"stamp", c.version}});
    }
    Json writes = Json::array();
    for (const Write& w : transaction.writes) {
        if (!w.value) {
            writes.push_back({{"drop", w.key}});
            continue;
        }
        Json put = {{"set", w.key}, {"v", *w.value}};
        if (w.lease_id != 0) put["permit"] = w.lease_id;
        writes.push_back(std::move(put));
    }
    std::string body = wire::encode({{"when", std::move(when)}, {"writes", std::move(writes)}});
    submit(urgency, Call{"POST", "/commit", std::move(body),
                         static_cast<double>(transaction.writes.size()), timeout, 0,
                         [done = std::move(done)](const net::ClientReply& reply) {
                             CommitReply out;
                             out.status = status_of(reply);
                             auto body =
                                 reply.body.empty() ? std::nullopt : wire::decode_map(reply.body);
                             if (body) {
                                 out.revision = wire::count_field(*body, "epoch").value_or(0);
                                 if (const Json* failed = wire::field(*body, "failed");
                                     failed != nullptr && failed->is_array()) {
                                     for (const Json& k : *failed) {
                                         if (k.is_string())
                                             out.failed_conditions.push_back(k.get<std::string>());
                                     }
                                 }
                                 if (reply.status == 400 &&
                                     wire::text_field(*body, "error") == "no such lease") {
                                     out.status = Status::lease_or_revision_expired;
                                 }
                             }
                             if (out.status == Status::ok && out.revision == 0) {
                                 out.status = Status::unknown;  // nothing usable was said
                             }
                             done(out);
                         },
                         std::move(may)});
}

void Client::grant_lease(Millis ttl, LeaseDone done) {
    note_request_sent();
    renewal_client_.request("POST", "/holds", wire::encode({{"life_ms", ttl}}), 2000,
                            [this, done = std::move(done)](const net::ClientReply& reply) {
                                note_call_reply(reply);
                                LeaseReply out = lease_reply(reply);
                                if (out.status == Status::ok && out.lease_id == 0) {
                                    out.status = Status::protocol_error;
                                }
                                done(out);
                            });
}

void Client::renew_lease(std::uint64_t lease, Millis timeout, LeaseDone done) {
    note_request_sent();
    renewal_client_.request("POST", "/holds/" + std::to_string(lease) + "/touch", "", timeout,
                            [this, done = std::move(done)](const net::ClientReply& reply) {
                                note_call_reply(reply);
                                done(lease_reply(reply));
                            });
}

void Client::revoke_lease(std::uint64_t lease) {
    renewal_client_.request("DELETE", "/holds/" + std::to_string(lease), "", 2000,
                            [](const net::ClientReply&) {});
}

void Client::watch(const std::string& prefix, std::uint64_t after, Millis wait, ListDone done,
                   Millis patience) {
    watch_client_.request("GET", watch_target(prefix, after, wait), "", wait + patience,
                          [this, done = std::move(done)](const net::ClientReply& reply) {
                              note_reply(reply);
                              done(news(reply));
                          });
}

void Client::changes_since(const std::string& prefix, std::uint64_t after, RequestClass urgency,
                           Millis timeout, ListDone done) {
    submit(urgency,
           Call{"GET", watch_target(prefix, after, 0), "", 0, timeout, 0,
                [done = std::move(done)](const net::ClientReply& reply) { done(news(reply)); }});
}

}  // namespace nickelramp::kvstore
