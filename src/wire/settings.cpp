#include "wire/settings.h"

#include <optional>
#include <set>
#include <utility>

#include "net/address.h"
#include "wire/cbor.h"

namespace nickelramp::wire {

namespace {

constexpr std::size_t kMinTransactionOperations = 4;
constexpr std::size_t kMinSockets = 64;

// Records the first error of a settings file. Later errors may be consequences of the first one.
class FirstError {
  public:
    void add(std::string field, std::string reason) {
        if (!error_) error_ = SettingsError{std::move(field), std::move(reason)};
    }
    const std::optional<SettingsError>& error() const { return error_; }

  private:
    std::optional<SettingsError> error_;
};

// Reads the fields of one map of the file and records an error for each missing or invalid one. The
// value returned for such a field must not be used.
class MapReader {
  public:
    MapReader(const Json& map, std::string path, FirstError& errors)
        : map_(map), path_(std::move(path)), errors_(errors) {}

    bool has(const char* name) const { return field(map_, name) != nullptr; }
    MapReader map(const char* name) const {
        const Json* value = field(map_, name);
        if (value != nullptr && value->is_object()) return nested(*value, name);
        fail(name, "must be a map");
        static const Json empty = Json::object();
        return nested(empty, name);
    }
    // Returns a reader for each item of a list. An item that is not a map reads as a map without
    // fields.
    std::vector<MapReader> maps(const char* name) const {
        std::vector<MapReader> readers;
        for (const Json& item : list(name)) readers.push_back(nested(item, name));
        return readers;
    }
    std::vector<std::string> texts(const char* name) const {
        std::vector<std::string> values;
        for (const Json& item : list(name)) {
            if (item.is_string())
                values.push_back(item.get<std::string>());
            else
                fail(name, "must hold texts");
        }
        return values;
    }
    std::string optional_text(const char* name) const {
        return text_field(map_, name).value_or("");
    }
    std::string text(const char* name) const {
        std::string value = optional_text(name);
        if (value.empty()) fail(name, "must be a non-empty text");
        return value;
    }
    std::string address(const char* name) const {
        std::string value = text(name);
        if (!net::parse_address(value)) fail(name, "must be an IPv4 address with a port");
        return value;
    }
    double positive(const char* name) const {
        const auto value = amount_field(map_, name);
        if (value && *value > 0) return *value;
        fail(name, "must be a number above 0");
        return 0;
    }
    std::size_t count(const char* name, std::size_t least) const {
        const auto value = static_cast<std::size_t>(positive(name));
        if (value < least) fail(name, "must be at least " + std::to_string(least));
        return value;
    }
    double amount(const char* name, double default_value) const {
        if (!has(name)) return default_value;
        const auto value = amount_field(map_, name);
        if (!value) fail(name, "must be a number of at least 0");
        return value.value_or(0);
    }
    void fail(const char* name, std::string reason) const {
        errors_.add(path_ + name, std::move(reason));
    }

  private:
    MapReader nested(const Json& value, const char* name) const {
        return {value, path_ + name + ".", errors_};
    }
    const Json& list(const char* name) const {
        const Json* value = field(map_, name);
        if (value != nullptr && value->is_array()) return *value;
        fail(name, "must be a list");
        static const Json empty = Json::array();
        return empty;
    }

    const Json& map_;
    std::string path_;
    FirstError& errors_;
};

std::vector<Peer> read_peers(const MapReader& root, const std::string& own_name) {
    std::vector<Peer> peers;
    std::set<std::string> names{own_name};
    for (const MapReader& reader : root.maps("peers")) {
        Peer peer;
        peer.name = reader.text("host_name");
        peer.zone = reader.text("site");
        peer.address = reader.address("addr");
        if (!names.insert(peer.name).second) root.fail("peers", "must have distinct names");
        peers.push_back(std::move(peer));
    }
    return peers;
}

std::vector<Team> read_teams(const MapReader& facts) {
    std::vector<Team> teams;
    for (const MapReader& reader : facts.maps("teams")) {
        Team team;
        team.name = reader.text("name");
        team.cpus = reader.amount("cpus", 0);
        team.cpus_max = reader.amount("cpus_max", 0);
        team.gpus = reader.amount("gpus", 0);
        team.gpus_max = reader.amount("gpus_max", 0);
        teams.push_back(std::move(team));
    }
    return teams;
}

std::optional<Objective::Kind> objective_kind(const std::string& name) {
    if (name == "wait") return Objective::Kind::wait;
    if (name == "finished") return Objective::Kind::finished;
    if (name == "deadline") return Objective::Kind::deadline;
    if (name == "guarantee") return Objective::Kind::guarantee;
    return std::nullopt;
}

std::vector<Objective> read_objectives(const MapReader& facts) {
    std::vector<Objective> objectives;
    if (!facts.has("objectives")) return objectives;
    for (const MapReader& reader : facts.maps("objectives")) {
        const auto kind = objective_kind(reader.text("kind"));
        if (!kind) continue;  // a kind of a later version
        Objective objective;
        objective.kind = *kind;
        objective.job_class = reader.optional_text("class");
        objective.within_s = reader.amount("within_s", 0);
        objective.times = reader.amount("times", 1);
        objective.share = reader.amount("share", 0);
        objectives.push_back(std::move(objective));
    }
    return objectives;
}

void read_worker_times(const MapReader& workers, Settings& settings) {
    settings.heartbeat_interval_s = workers.positive("report_s");
    settings.lease_s = workers.positive("lease_s");
    settings.gang_wait_s = workers.positive("gang_wait_s");
    settings.gang_peer_s = workers.positive("gang_peer_s");
    settings.cancel_s = workers.positive("cancel_s");
    if (settings.cancel_s <= settings.lease_s) workers.fail("cancel_s", "must be above lease_s");
}

void read_state_limits(const MapReader& state, Settings& settings) {
    settings.state_requests_per_s = state.positive("rps");
    settings.state_writes_per_s = state.positive("write_rps");
    settings.state_value_kb = state.positive("value_kb");
    settings.state_txn_ops = state.count("txn_ops", kMinTransactionOperations);
}

void read_cloud_limits(const MapReader& cloud, Settings& settings) {
    settings.cloud_requests_per_s = cloud.positive("rps");
    settings.cloud_list_lag_s = cloud.amount("list_lag_s", 0);
}

void read_process_limits(const MapReader& limits, Settings& settings) {
    settings.cpu_share = limits.positive("cpu");
    settings.memory_mb = limits.positive("mem_mb");
    settings.max_sockets = limits.count("fd_limit", kMinSockets);
}

void read_facts(const MapReader& facts, Settings& settings) {
    settings.zones = facts.texts("zones");
    settings.teams = read_teams(facts);
    settings.objectives = read_objectives(facts);
    read_worker_times(facts.map("workers"), settings);
    read_state_limits(facts.map("state"), settings);
    read_cloud_limits(facts.map("cloud"), settings);
    read_process_limits(facts.map("limits"), settings);
    settings.time_bound_ms = facts.amount("time_bound_ms", 0);
}

}  // namespace

// Reads the fields in a fixed order, so that the error names the same field for the same file.
Result<Settings, SettingsError> parse_settings(const std::string& text) {
    const Json content = Json::parse(text, nullptr, false);
    if (!content.is_object()) return SettingsError{"the file", "must hold a JSON map"};
    FirstError errors;
    const MapReader root(content, "", errors);
    Settings settings;
    settings.name = root.text("host_name");
    settings.zone = root.text("site");
    settings.listen = root.address("serve_on");
    settings.peer_listen = root.address("back");
    settings.peers = read_peers(root, settings.name);
    const MapReader external = root.map("external");
    settings.cloud = external.address("cloud");
    settings.state_service = external.address("state");
    read_facts(root.map("facts"), settings);
    if (errors.error()) return *errors.error();
    return settings;
}

}  // namespace nickelramp::wire
