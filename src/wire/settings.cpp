#include "wire/settings.h"

#include <set>
#include <stdexcept>

#include "net/address.h"
#include "wire/cbor.h"

namespace nickelramp::wire {

namespace {

[[noreturn]] void fail(const std::string& where, const std::string& what) {
    throw std::runtime_error("settings: " + where + " " + what);
}

const Json& section(const Json& map, const std::string& where, const char* name) {
    const Json* f = field(map, name);
    if (f == nullptr || !f->is_object()) fail(where + name, "must be a map");
    return *f;
}

const Json& list(const Json& map, const std::string& where, const char* name) {
    const Json* f = field(map, name);
    if (f == nullptr || !f->is_array()) fail(where + name, "must be a list");
    return *f;
}

std::string word(const Json& map, const std::string& where, const char* name) {
    auto v = text_field(map, name);
    if (!v || v->empty()) fail(where + name, "must be a non-empty text");
    return *v;
}

std::string address(const Json& map, const std::string& where, const char* name) {
    std::string v = word(map, where, name);
    if (!net::parse_address(v)) fail(where + name, "must be an IPv4 address with a port");
    return v;
}

double positive(const Json& map, const std::string& where, const char* name) {
    auto v = amount_field(map, name);
    if (!v || *v <= 0) fail(where + name, "must be a number above 0");
    return *v;
}

double optional_amount(const Json& map, const std::string& where, const char* name,
                       double otherwise) {
    if (field(map, name) == nullptr) return otherwise;
    auto v = amount_field(map, name);
    if (!v) fail(where + name, "must be a number of at least 0");
    return *v;
}

}  // namespace

Settings parse_settings(const std::string& input) {
    Json root = Json::parse(input, nullptr, false);
    if (!root.is_object()) throw std::runtime_error("settings: the file must hold a JSON map");
    Settings settings;
    settings.name = word(root, "", "host_name");
    settings.zone = word(root, "", "site");
    settings.listen = address(root, "", "serve_on");
    settings.peer_listen = address(root, "", "back");
    std::set<std::string> names{settings.name};
    for (const Json& p : list(root, "", "peers")) {
        Peer peer{word(p, "peers.", "host_name"), word(p, "peers.", "site"),
                  address(p, "peers.", "addr")};
        if (!names.insert(peer.name).second) fail("peers", "must have distinct names");
        settings.peers.push_back(std::move(peer));
    }
    const Json& external = section(root, "", "external");
    settings.cloud = address(external, "external.", "cloud");
    settings.state_service = address(external, "external.", "state");

    const Json& facts = section(root, "", "facts");
    for (const Json& z : list(facts, "facts.", "zones")) {
        if (!z.is_string()) fail("facts.zones", "must hold texts");
        settings.zones.push_back(z.get<std::string>());
    }
    for (const Json& t : list(facts, "facts.", "teams")) {
        Team team;
        team.name = word(t, "facts.teams.", "name");
        team.cpus = optional_amount(t, "facts.teams.", "cpus", 0);
        team.cpus_max = optional_amount(t, "facts.teams.", "cpus_max", 0);
        team.gpus = optional_amount(t, "facts.teams.", "gpus", 0);
        team.gpus_max = optional_amount(t, "facts.teams.", "gpus_max", 0);
        settings.teams.push_back(std::move(team));
    }
    if (field(facts, "objectives") != nullptr) {
        for (const Json& o : list(facts, "facts.", "objectives")) {
            Objective out;
            std::string kind = word(o, "facts.objectives.", "kind");
            if (kind == "wait")
                out.kind = Objective::Kind::wait;
            else if (kind == "finished")
                out.kind = Objective::Kind::finished;
            else if (kind == "deadline")
                out.kind = Objective::Kind::deadline;
            else if (kind == "guarantee")
                out.kind = Objective::Kind::guarantee;
            else
                continue;  // kinds of later versions
            out.job_class = text_field(o, "class").value_or("");
            out.within_s = optional_amount(o, "facts.objectives.", "within_s", 0);
            out.times = optional_amount(o, "facts.objectives.", "times", 1);
            out.share = optional_amount(o, "facts.objectives.", "share", 0);
            settings.objectives.push_back(std::move(out));
        }
    }
    const Json& workers = section(facts, "facts.", "workers");
    settings.heartbeat_interval_s = positive(workers, "facts.workers.", "report_s");
    settings.lease_s = positive(workers, "facts.workers.", "lease_s");
    settings.gang_wait_s = positive(workers, "facts.workers.", "gang_wait_s");
    settings.gang_peer_s = positive(workers, "facts.workers.", "gang_peer_s");
    settings.cancel_s = positive(workers, "facts.workers.", "cancel_s");
    if (settings.cancel_s <= settings.lease_s)
        fail("facts.workers.cancel_s", "must be above lease_s");
    const Json& state = section(facts, "facts.", "state");
    settings.state_requests_per_s = positive(state, "facts.state.", "rps");
    settings.state_writes_per_s = positive(state, "facts.state.", "write_rps");
    settings.state_value_kb = positive(state, "facts.state.", "value_kb");
    settings.state_txn_ops = static_cast<std::size_t>(positive(state, "facts.state.", "txn_ops"));
    if (settings.state_txn_ops < 4) fail("facts.state.txn_ops", "must be at least 4");
    const Json& cloud = section(facts, "facts.", "cloud");
    settings.cloud_requests_per_s = positive(cloud, "facts.cloud.", "rps");
    settings.cloud_list_lag_s = optional_amount(cloud, "facts.cloud.", "list_lag_s", 0);
    const Json& limits = section(facts, "facts.", "limits");
    settings.cpu_share = positive(limits, "facts.limits.", "cpu");
    settings.memory_mb = positive(limits, "facts.limits.", "mem_mb");
    settings.max_sockets = static_cast<std::size_t>(positive(limits, "facts.limits.", "fd_limit"));
    if (settings.max_sockets < 64) fail("facts.limits.fd_limit", "must be at least 64");
    settings.time_bound_ms = optional_amount(facts, "facts.", "time_bound_ms", 0);
    return settings;
}

}  // namespace nickelramp::wire
