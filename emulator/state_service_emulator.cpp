#include "emulator/state_service_emulator.h"

#include <algorithm>
#include <system_error>
#include <utility>

#include "emulator/query.h"
#include "net/address.h"

namespace nickelramp::emulator {

using wire::Json;

namespace {
constexpr std::size_t kMaxRetainedChanges = 10'000, kMaxItems = 1'000,
                      kMaxListed = std::size_t{512} * 1024;  // bytes
constexpr Millis kMaintenanceInterval = 20, kMaxWatch = 60'000;
constexpr double kMillisPerSecond = 1'000;
constexpr std::uint64_t kRepeaterSeed = 1;
}  // namespace

bool RateLimit::try_acquire(double n, Millis now) {
    if (per_s_ <= 0) return true;
    available_ = std::min(
        per_s_, available_ + per_s_ * static_cast<double>(now - refilled_at_) / kMillisPerSecond);
    refilled_at_ = now;
    if (available_ < n) return false;
    available_ -= n;
    return true;
}

StateServiceEmulator::StateServiceEmulator(uv_loop_t* loop, Limits limits)
    : loop_(loop),
      server_(loop, limits.max_connections,
              [this](const net::Request& q, const net::Responder& r) { receive(q, r); }),
      maintenance_timer_(loop, [this] { run_due_work(); }),
      repeater_(loop, limits.repeated_requests, kRepeaterSeed),
      requests_(limits.requests_per_s),
      changes_(limits.changes_per_s) {
    maintenance_timer_.every(kMaintenanceInterval);
}

StateServiceEmulator::StateServiceEmulator(uv_loop_t* loop, const std::string& address)
    : StateServiceEmulator(loop, Limits{}) {
    if (const int error = listen(address); error < 0)
        throw std::system_error(-error, std::generic_category(), "cannot listen on " + address);
}

int StateServiceEmulator::listen(const std::string& address) {
    return server_.listen(*net::parse_address(address));
}

Json StateServiceEmulator::value(const std::string& key) const {
    auto it = keys_.find(key);
    return it == keys_.end() ? Json::object() : it->second.value;
}

Json StateServiceEmulator::item(const std::string& key) const {
    auto it = keys_.find(key);
    if (it == keys_.end()) return {{"drop", key}, {"stamp", revision_}};
    return {{"path", key}, {"v", it->second.value}, {"stamp", it->second.version}};
}

void StateServiceEmulator::reply(const net::Responder& responder, int status, const Json& body) {
    std::string bytes = wire::encode(body);
    counters_.bytes_out += bytes.size();
    responder.send({status, std::move(bytes), 0, "application/cbor"});
}

void StateServiceEmulator::changed(const std::string& key) {
    log_.push_back({revision_, key});
    if (log_.size() > kMaxRetainedChanges) {
        oldest_retained_revision_ = log_.front().revision;
        log_.pop_front();
    }
}

void StateServiceEmulator::expire_lease(std::uint64_t id) {
    leases_.erase(id);
    ++revision_;
    for (auto it = keys_.begin(); it != keys_.end();) {
        if (it->second.lease_id != id) {
            ++it;
            continue;
        }
        changed(it->first);
        it = keys_.erase(it);
    }
    answer_watches();
}

void StateServiceEmulator::run_due_work() {
    const Millis t = now();
    std::vector<std::uint64_t> ended;
    for (auto& [id, hold] : leases_) {
        if (down) hold.expires_at = t + hold.duration;  // leases start anew after an outage
        if (t >= hold.expires_at) ended.push_back(id);
    }
    for (std::uint64_t id : ended) expire_lease(id);
    if (down) return;
    std::erase_if(watches_, [&](const Watch& w) { return t >= w.until && answer_watch(w, true); });
}

bool StateServiceEmulator::answer_watch(const Watch& w, bool timed_out) {
    if (w.after < oldest_retained_revision_) {
        reply(w.responder, 410, Json::object());
        return true;
    }
    auto first = std::upper_bound(log_.begin(), log_.end(), w.after,
                                  [](std::uint64_t e, const Change& c) { return e < c.revision; });
    Json updates = Json::array();
    for (auto c = first; c != log_.end(); ++c) {
        if (c->key.rfind(w.prefix, 0) != 0) continue;
        auto it = keys_.find(c->key);
        // Only the last of several changes of a key is reported.
        if (it != keys_.end() && it->second.version != c->revision) continue;
        Json i = item(c->key);
        if (i.contains("path")) {
            i["set"] = i["path"];
            i.erase("path");
        }
        updates.push_back(std::move(i));
    }
    if (updates.empty() && !timed_out) return false;
    reply(w.responder, 200, {{"epoch", revision_}, {"news", updates}});
    return true;
}

void StateServiceEmulator::answer_watches() {
    if (down) return;
    std::erase_if(watches_, [&](const Watch& w) { return answer_watch(w, false); });
}

void StateServiceEmulator::commit(const Json& body, const net::Responder& responder) {
    ++commits;
    ++counters_.transactions;
    const Json none = Json::array();
    const Json& conditions = body.contains("when") ? body["when"] : none;
    const Json& writes = body.contains("writes") ? body["writes"] : none;
    if (!changes_.try_acquire(static_cast<double>(writes.size()), now())) {
        ++counters_.refused;
        return reply(responder, 429, Json::object());
    }
    Json failed = Json::array();
    for (const Json& c : conditions) {
        auto it = keys_.find(c["path"]);
        const std::uint64_t version = it == keys_.end() ? 0 : it->second.version;
        if (version != c["stamp"]) failed.push_back(c["path"]);
    }
    if (!failed.empty()) return reply(responder, 409, {{"failed", failed}, {"epoch", revision_}});
    for (const Json& w : writes) {
        const std::uint64_t permit = w.value("permit", std::uint64_t{0});
        if (permit != 0 && leases_.count(permit) == 0)
            return reply(responder, 400, {{"error", "no such lease"}});
    }
    if (!writes.empty()) ++revision_;
    for (const Json& w : writes) {
        const std::string key = w.contains("set") ? w["set"] : w["drop"];
        ++counters_.changes;
        ++counters_.changes_by_prefix[key.substr(0, key.find('/'))];
        if (w.contains("set"))
            keys_[key] = {w["v"], revision_, w.value("permit", std::uint64_t{0})};
        else
            keys_.erase(key);
        changed(key);
    }
    if (drop_next_reply)
        drop_next_reply = false;
    else
        reply(responder, 200, {{"epoch", revision_}});
    answer_watches();
}

void StateServiceEmulator::open_watch(const net::Request& q, const net::Responder& r) {
    const Millis hold = std::min(kMaxWatch, number(q.query, "hold_ms", 0));
    Watch w{parameter(q.query, "under"), static_cast<std::uint64_t>(number(q.query, "from", 0)),
            now() + hold, r};
    if (down || !answer_watch(w, hold == 0)) watches_.push_back(std::move(w));
}

void StateServiceEmulator::handle_leases(const net::Request& q, const net::Responder& r) {
    if (q.path == "/holds") {
        const auto body = wire::decode_map(q.body);
        const auto life = body ? wire::count_field(*body, "life_ms") : std::nullopt;
        if (!life) return reply(r, 400, Json::object());
        leases_[next_lease_id_] = {static_cast<Millis>(*life), now() + static_cast<Millis>(*life)};
        return reply(r, 200, {{"permit", next_lease_id_++}});
    }
    const std::uint64_t id = std::stoull(q.path.substr(std::string("/holds/").size()));
    auto it = leases_.find(id);
    const bool known = it != leases_.end();
    if (q.method == "DELETE")
        expire_lease(id);
    else if (known)
        it->second.expires_at = now() + it->second.duration;
    reply(r, q.method == "DELETE" || known ? 200 : 404, {{"permit", id}});
}

void StateServiceEmulator::list(const net::Request& q, const net::Responder& r) {
    const std::string prefix = parameter(q.query, "under"), from = parameter(q.query, "from");
    const std::size_t maximum = std::min<std::size_t>(
        kMaxItems, static_cast<std::size_t>(number(q.query, "limit", kMaxItems)));
    Json items = Json::array();
    std::size_t bytes = 0;
    bool truncated = false;
    auto it = from.empty() ? keys_.lower_bound(prefix) : keys_.upper_bound(from);
    for (; it != keys_.end() && it->first.rfind(prefix, 0) == 0; ++it) {
        Json next = item(it->first);
        bytes += next.dump().size();
        if (items.size() >= maximum || (!items.empty() && bytes > kMaxListed)) {
            truncated = true;
            break;
        }
        items.push_back(std::move(next));
    }
    reply(r, 200, {{"items", items}, {"truncated", truncated}, {"epoch", revision_}});
}

void StateServiceEmulator::receive(const net::Request& q, const net::Responder& r) {
    // The reply ends the life of `q`.
    if (q.method != "GET") repeater_.offer([this, copy = q] { handle(copy, {}); });
    handle(q, r);
}

void StateServiceEmulator::handle(const net::Request& q, const net::Responder& r) {
    ++counters_.requests;
    counters_.bytes_in += q.body.size();
    const bool watch = q.path == "/watch";
    if (down && !watch) return reply(r, 503, Json::object());
    if (!watch && requests_to_reject > 0 && --requests_to_reject >= 0)
        return reply(r, 429, Json::object());
    if (!down && !requests_.try_acquire(1, now())) {
        ++counters_.refused;
        return reply(r, 429, Json::object());
    }
    watch ? open_watch(q, r) : route(q, r);
}

void StateServiceEmulator::route(const net::Request& q, const net::Responder& r) {
    if (q.path == "/commit") {
        const auto body = wire::decode_map(q.body, wire::kMaxReplyDepth);
        return body ? commit(*body, r) : reply(r, 400, Json::object());
    }
    if (q.path.rfind("/holds", 0) == 0) return handle_leases(q, r);
    if (q.path == "/kv") return list(q, r);
    const std::string key = q.path.substr(std::string("/kv/").size());
    if (!has(key)) return reply(r, 404, {{"epoch", revision_}});
    reply(r, 200, item(key));
}

}  // namespace nickelramp::emulator
