#include "emulator/cloud_emulator.h"

#include <cstdio>

#include "emulator/query.h"
#include "net/address.h"

namespace nickelramp::emulator {

using wire::Json;

namespace {
constexpr Millis kBootInterval = 50;
constexpr std::size_t kMaxListed = 500, kMaxProvisioned = 50, kSpotEvery = 3;
constexpr double kHourlyPrice = 10, kSpotHourlyPrice = 4, kMillisPerSecond = 1'000;

void reply(const net::Responder& r, int status, const Json& body) {
    r.send({status, wire::encode(body), 0, "application/cbor"});
}
}  // namespace

CloudEmulator::CloudEmulator(uv_loop_t* loop, CloudSettings settings, WorkerEmulator& workers,
                             std::uint64_t seed)
    : loop_(loop),
      settings_(std::move(settings)),
      workers_(workers),
      random_(seed),
      server_(loop, 256, [this](const net::Request& q, const net::Responder& r) { receive(q, r); }),
      boot_timer_(loop, [this] { boot(); }),
      repeater_(loop, settings_.repeated_requests, seed),
      limit_(settings_.requests_per_s) {
    for (std::size_t i = 0; i < settings_.capacity; ++i) free_[i % kSpotEvery == 0].insert(i);
    boot_timer_.every(kBootInterval);
}

int CloudEmulator::listen(const std::string& address) {
    return server_.listen(*net::parse_address(address));
}

Json CloudEmulator::types() const {
    return {{"rigs",
             {{{"name", settings_.type},
               {"cores", settings_.cpus},
               {"cards", settings_.gpus},
               {"mem_gb", settings_.memory_gb},
               {"local_gb", 1000.0},
               {"pull_gb_per_s", 1.0},
               {"hourly", kHourlyPrice},
               {"low_price", kSpotHourlyPrice},
               {"boot_s", settings_.boot_s},
               {"yards", settings_.zones}}}}};
}

void CloudEmulator::provision(const Json& body, const net::Responder& r) {
    const auto request = wire::text_field(body, "hire"), zone = wire::text_field(body, "yard");
    const auto count = wire::count_field(body, "count");
    if (!request || !zone || !count) return reply(r, 400, Json::object());
    auto known = provisioned_by_request_.find(*request);
    if (known != provisioned_by_request_.end()) return reply(r, 200, {{"hosts", known->second}});
    const bool spot = wire::flag_field(body, "standby").value_or(false);
    std::set<std::size_t>& free = free_[spot];
    if (free.empty()) return reply(r, 503, {{"error", "no capacity"}});
    std::vector<std::string>& names = provisioned_by_request_[*request];
    while (names.size() < std::min<std::size_t>(*count, kMaxProvisioned) && !free.empty()) {
        char name[32];
        std::snprintf(name, sizeof name, "i-%06zu", ++last_name_);
        Machine machine;
        machine.number = *free.begin();
        free.erase(free.begin());
        machine.zone = *zone;
        machine.spot = spot;
        machine.provisioned_at = now();
        std::uniform_real_distribution<double> spread(0.6, 1.5);
        machine.up_at = now() + seconds(settings_.boot_s * spread(random_));
        boots_.emplace(machine.up_at, name);
        machines_.emplace(name, std::move(machine));
        names.emplace_back(name);
        ++counters_.provisioned;
    }
    reply(r, 200, {{"hosts", names}});
}

void CloudEmulator::boot() {
    while (!boots_.empty() && boots_.begin()->first <= now()) {
        auto it = machines_.find(boots_.begin()->second);
        boots_.erase(boots_.begin());
        if (it == machines_.end()) continue;
        it->second.up = true;
        workers_.boot(it->second.number, it->first, settings_.type, it->second.zone,
                      it->second.spot);
    }
}

void CloudEmulator::release_machines(const Json& body, const net::Responder& r) {
    const Json* hosts = wire::field(body, "hosts");
    if (hosts == nullptr || !hosts->is_array()) return reply(r, 400, Json::object());
    for (const Json& host : *hosts) {
        auto it = host.is_string() ? machines_.find(host.get<std::string>()) : machines_.end();
        if (it == machines_.end()) continue;
        workers_.remove(it->first);
        free_[it->second.spot].insert(it->second.number);
        machines_.erase(it);
        ++counters_.returned;
    }
    reply(r, 200, Json::object());
}

void CloudEmulator::fail_one() {
    std::vector<const std::string*> up;
    for (const auto& [name, m] : machines_) {
        if (m.up && !m.failed) up.push_back(&name);
    }
    if (up.empty()) return;
    const std::string& name = *up[random_() % up.size()];
    machines_[name].failed = true;
    workers_.remove(name);
}

void CloudEmulator::list(const net::Request& q, const net::Responder& r) const {
    const auto limit = static_cast<std::size_t>(number(q.query, "limit", kMaxListed));
    auto it = machines_.upper_bound(parameter(q.query, "from"));
    Json hosts = Json::array();
    for (; it != machines_.end() && hosts.size() < std::min(limit, kMaxListed); ++it) {
        const Machine& machine = it->second;
        hosts.push_back(
            {{"id", it->first},
             {"address", workers_.address(machine.number)},
             {"rig", settings_.type},
             {"yard", machine.zone},
             {"standby", machine.spot},
             {"status", machine.failed ? "failed"
                        : machine.up   ? "running"
                                       : "booting"},
             {"age_s", static_cast<double>(now() - machine.provisioned_at) / kMillisPerSecond}});
    }
    reply(r, 200, {{"hosts", hosts}, {"truncated", it != machines_.end()}});
}

void CloudEmulator::receive(const net::Request& q, const net::Responder& r) {
    // The reply ends the life of `q`.
    if (q.method != "GET") repeater_.offer([this, copy = q] { handle(copy, {}); });
    handle(q, r);
}

void CloudEmulator::handle(const net::Request& q, const net::Responder& r) {
    ++counters_.requests;
    if (!limit_.try_acquire(1, now())) {
        ++counters_.refused;
        return reply(r, 429, Json::object());
    }
    if (q.path == "/machine_types") return reply(r, 200, types());
    if (q.method == "GET" && q.path == "/hosts") {
        ++counters_.listed;
        return list(q, r);
    }
    const auto body = wire::decode_map(q.body);
    if (!body) return reply(r, 400, Json::object());
    q.path == "/hosts/return" ? release_machines(*body, r) : provision(*body, r);
}

}  // namespace nickelramp::emulator
