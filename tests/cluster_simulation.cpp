#include "tests/cluster_simulation.h"

#include <algorithm>

namespace nickelramp::test {

using wire::Json;

wire::Settings simulation_settings() {
    wire::Settings settings;
    settings.name = "node";
    settings.zones = {"a", "b"};
    settings.teams = {{"red", 0, 0, 8, 12}, {"blue", 0, 0, 4, 16}};
    settings.heartbeat_interval_s = 3;
    settings.lease_s = 20;
    settings.gang_wait_s = 20;
    settings.gang_peer_s = 4;
    settings.cancel_s = 36;
    settings.state_txn_ops = 6;
    settings.state_value_kb = 8;
    settings.cloud_list_lag_s = 3;
    return settings;
}

Json job(const std::string& id, const std::string& shape, std::uint32_t tasks, double gpus) {
    return {{"id", id},
            {"jobclass", shape},
            {"crew", "red"},
            {"shape", shape},
            {"urgency", shape == "standing"   ? "prod"
                        : shape == "ensemble" ? "urgent"
                                              : "normal"},
            {"legs", tasks},
            {"cores", 2.0},
            {"cards", gpus},
            {"mem_gb", 4.0},
            {"bundle", "img-1"},
            {"pull_gb", 2.0},
            {"rigs", nullptr},
            {"yard", nullptr},
            {"one_zone", false},
            {"scatter", false},
            {"standby", false},
            {"guess_s", 10.0},
            {"save_every_s", 5.0},
            {"save_cost_s", 2.0},
            {"due_s", nullptr}};
}

wire::Heartbeat report(std::uint64_t session, std::uint64_t seq, std::uint64_t token) {
    wire::Heartbeat heartbeat;
    heartbeat.incarnation = session;
    heartbeat.sequence = seq;
    heartbeat.token = token;
    return heartbeat;
}

ClusterSimulation::ClusterSimulation(std::uint64_t seed, Faults faults, std::uint32_t share,
                                     std::vector<wire::MachineType> types)
    : settings_(simulation_settings()), share_(share), faults_(faults), random_(seed) {
    types_ = std::move(types);
    if (types_.empty()) {
        types_ = {{"g4", 16, 4, 64, 50, 1, 10, 4, 10, {"a", "b"}},
                  {"g2", 8, 2, 32, 50, 1, 6, 3, 10, {"a"}}};
    }
    if (share > 0) settings_.peers = {{"holder-0", "a", "x"}, {"holder-1", "b", "x"}};
    for (std::size_t i = 0; i < 2 && share > 0; ++i) {
        holder_settings_[i] = settings_;
        holder_settings_[i].name = "holder-" + std::to_string(i);
        controllers_.push_back(std::make_unique<Controller>());
        controllers_.back()->simulation = this;
        start_holder(i);
    }
    fail_over();
    if (share > 0) at(100, [this] { exchange_peer_messages(); });
}

ClusterSimulation::~ClusterSimulation() = default;

void ClusterSimulation::request_cancel_until_answered(const std::string& id) {
    if (!final_state(id).empty()) return;
    if (state_service_up()) cancel(id);
    at(now_ + 1'000, [this, id] { request_cancel_until_answered(id); });
}

void ClusterSimulation::set_options(const admin::Options& options) {
    options_ = options;
    options_.delegated_machines = share_;
    if (leader() != nullptr) leader()->set_options(options_);
}

void ClusterSimulation::submit(const Json& spec) {
    std::string error;
    auto parsed = wire::parse_job(spec, error);
    ASSERT_TRUE(parsed) << error;
    specs_[parsed->id] = *parsed;
    // Its user comes again until there is room.
    if (!take_write_budget(2)) return at(now_ + 1'000, [this, spec] { submit(spec); });
    set_key(jobs::job_key(parsed->id), Json{{"final", nullptr}, {"tasks", parsed->tasks}});
    set_key(jobs::open_key(parsed->id), jobs::encode_open_record(spec, now_, false));
    notify_leader(jobs::open_key(parsed->id));
}

void ClusterSimulation::cancel(const std::string& id) {
    auto open = keys_.find(jobs::open_key(id));
    if (open == keys_.end() || !final_state(id).empty()) return;
    cancel_requested_.insert(id);
    Json record = open->second.value;
    if (wire::flag_field(record, "unwanted").value_or(false) || !take_write_budget(1)) return;
    record["unwanted"] = true;
    kvstore::Transaction transaction;
    transaction.conditions = {{jobs::open_key(id), open->second.version}};
    transaction.writes = {{jobs::open_key(id), record}};
    // It may be carried out late, when its user has asked again.
    const bool late = chance(faults_.unknown_commits);
    auto write = [this, transaction, id, late] {
        const bool ok =
            state_service_up() && apply_transaction(transaction).status == kvstore::Status::ok;
        if (late) ++(ok ? coverage_.late_commits_applied : coverage_.late_commits_refused);
        if (ok) notify_leader(jobs::open_key(id));
    };
    if (late)
        at(now_ + 2'000 + delay(10'000), write);
    else
        write();
}

void ClusterSimulation::run_until(Millis t) {
    Millis next_check = now_;
    while (now_ < t && !testing::Test::HasFailure()) {
        Millis next = std::min(t, next_check);
        if (!queue_.empty()) next = std::min(next, queue_.begin()->first);
        now_ = std::max(now_, next);
        while (!queue_.empty() && queue_.begin()->first <= now_) {
            auto f = std::move(queue_.begin()->second);
            queue_.erase(queue_.begin());
            f();
        }
        if (now_ >= next_check) {
            next_check = now_ + 500;
            check_all();
            if (longest_wait_ != kNever) check_waiting_jobs();
            if (chance(faults_.failovers_per_s * 0.5)) fail_over();
            if (chance(faults_.machine_failures_per_s * 0.5)) {
                if (std::string name = any_machine(); !name.empty()) kill_machine(name);
            }
        }
    }
}

}  // namespace nickelramp::test
