#include "tests/standin.h"

#include <gtest/gtest.h>

#include "net/address.h"
#include "net/timer.h"

namespace nickelramp::test {

using wire::Json;

namespace {
std::string parameter(const std::string& query, const std::string& name) {
    auto at = ("&" + query).find("&" + name + "=");
    if (at == std::string::npos) return "";
    auto from = at + name.size() + 1;
    return query.substr(from, query.find('&', from) - from);
}
net::Response reply(int status, const Json& body) {
    return {status, wire::encode(body), 0, "application/cbor"};
}
}  // namespace

StateStandin::StateStandin(uv_loop_t* loop, int port)
    : server_(loop, 64,
              [this](const net::Request& q, net::Responder r) { handle(q, std::move(r)); }) {
    EXPECT_EQ(server_.listen(*net::parse_address("127.0.0.1:" + std::to_string(port))), 0);
}

Json StateStandin::item(const std::string& key) const {
    auto it = keys_.find(key);
    if (it == keys_.end()) return {{"drop", key}, {"stamp", epoch_}};
    return {{"path", key}, {"v", it->second.value}, {"stamp", it->second.version}};
}

void StateStandin::changed(const std::string& key) { log_.push_back({epoch_, key}); }

void StateStandin::end_hold(std::uint64_t id) {
    holds_.erase(id);
    ++epoch_;
    for (auto it = keys_.begin(); it != keys_.end();) {
        if (it->second.hold == id) {
            changed(it->first);
            it = keys_.erase(it);
        } else {
            ++it;
        }
    }
    answer_watches();
}

void StateStandin::answer_watches() {
    auto waiting = std::move(watches_);
    watches_.clear();
    for (Watch& w : waiting) {
        Json news = Json::array();
        for (const auto& [epoch, key] : log_) {
            if (epoch <= w.after || key.rfind(w.prefix, 0) != 0) continue;
            Json i = item(key);
            if (i.contains("path")) i["set"] = i["path"], i.erase("path");
            news.push_back(std::move(i));
        }
        if (news.empty() && !w.at_once)
            watches_.push_back(std::move(w));
        else
            w.responder.send(reply(200, {{"epoch", epoch_}, {"news", news}}));
    }
}

void StateStandin::commit(const Json& body, const net::Responder& responder) {
    ++commits;
    Json failed = Json::array();
    for (const Json& c : body["when"]) {
        auto it = keys_.find(c["path"]);
        std::uint64_t version = it == keys_.end() ? 0 : it->second.version;
        if (version != c["stamp"]) failed.push_back(c["path"]);
    }
    if (!failed.empty()) return responder.send(reply(409, {{"failed", failed}, {"epoch", epoch_}}));
    ++epoch_;
    for (const Json& w : body["writes"]) {
        std::string key = w.contains("set") ? w["set"] : w["drop"];
        if (w.contains("set"))
            keys_[key] = {w["v"], epoch_, w.value("permit", std::uint64_t{0})};
        else
            keys_.erase(key);
        changed(key);
    }
    if (swallow_next)
        swallow_next = false;
    else
        responder.send(reply(200, {{"epoch", epoch_}}));
    answer_watches();
}

void StateStandin::handle(const net::Request& q, net::Responder r) {
    if (q.path == "/watch") {
        watches_.push_back({parameter(q.query, "under"), std::stoull(parameter(q.query, "from")), r,
                            parameter(q.query, "hold_ms") == "0"});
        if (!down) answer_watches();
        return;
    }
    if (down) return r.send(reply(503, Json::object()));
    if (too_many > 0 && --too_many >= 0) return r.send(reply(429, Json::object()));
    if (q.path == "/commit") return commit(*wire::decode_map(q.body), r);
    if (q.path == "/holds") {
        holds_[next_hold_] = true;
        return r.send(reply(200, {{"permit", next_hold_++}}));
    }
    if (q.path.rfind("/holds/", 0) == 0) {
        std::uint64_t id = std::stoull(q.path.substr(7));
        if (q.method == "DELETE") end_hold(id);
        return r.send(
            reply(q.method == "DELETE" || holds_.count(id) != 0 ? 200 : 404, {{"permit", id}}));
    }
    if (q.path == "/kv") {
        Json items = Json::array();
        std::string prefix = parameter(q.query, "under");
        for (const auto& [key, e] : keys_) {
            if (key.rfind(prefix, 0) == 0) items.push_back(item(key));
        }
        return r.send(reply(200, {{"items", items}, {"truncated", false}, {"epoch", epoch_}}));
    }
    std::string key = q.path.substr(4);
    if (!has(key)) return r.send(reply(404, {{"epoch", epoch_}}));
    r.send(reply(200, item(key)));
}

bool run_until(uv_loop_t* loop, const std::function<bool()>& condition) {
    bool over = false;
    net::Timer limit(loop, [&] { over = true; });
    net::Timer beat(loop, [] {});
    limit.after(20'000);
    beat.every(5);
    while (!condition() && !over) uv_run(loop, UV_RUN_ONCE);
    return condition();
}

}  // namespace nickelramp::test
