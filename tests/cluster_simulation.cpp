#include "tests/cluster_simulation_controller.h"

namespace nickelramp::test {

using wire::Json;

namespace {

constexpr Millis kCheckInterval = 500;
constexpr double kCheckInterval_s = 0.5;
constexpr Millis kUserRetryDelay = 1'000;

std::vector<wire::MachineType> default_machine_types() {
    return {{"g4", 16, 4, 64, 50, 1, 10, 4, 10, {"a", "b"}},
            {"g2", 8, 2, 32, 50, 1, 6, 3, 10, {"a"}}};
}

wire::Settings settings_with_holders(bool holders) {
    wire::Settings settings = simulation_settings();
    if (holders) settings.peers = {{"holder-0", "a", "x"}, {"holder-1", "b", "x"}};
    return settings;
}

}  // namespace

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
    const char* urgency = shape == "standing" ? "prod" : shape == "ensemble" ? "urgent" : "normal";
    return {{"id", id},           {"jobclass", shape},   {"crew", "red"},      {"shape", shape},
            {"urgency", urgency}, {"legs", tasks},       {"cores", 2.0},       {"cards", gpus},
            {"mem_gb", 4.0},      {"bundle", "img-1"},   {"pull_gb", 2.0},     {"rigs", nullptr},
            {"yard", nullptr},    {"one_zone", false},   {"scatter", false},   {"standby", false},
            {"guess_s", 10.0},    {"save_every_s", 5.0}, {"save_cost_s", 2.0}, {"due_s", nullptr}};
}

wire::Heartbeat make_heartbeat_without_tasks(std::uint64_t incarnation, std::uint64_t sequence,
                                             std::uint64_t token) {
    wire::Heartbeat heartbeat;
    heartbeat.incarnation = incarnation;
    heartbeat.sequence = sequence;
    heartbeat.token = token;
    return heartbeat;
}

ClusterSimulation::ClusterSimulation(std::uint64_t seed, Faults faults, std::uint32_t delegated,
                                     std::vector<wire::MachineType> types)
    : context_(seed, std::move(faults)),
      settings_(settings_with_holders(delegated > 0)),
      types_(types.empty() ? default_machine_types() : std::move(types)),
      network_(context_, delegated > 0),
      workers_(context_, settings_, types_, network_, jobs_,
               {[this](const wire::Command& command) {
                    const bool known = checker_.check_start_command(command);
                    if (known) waiting_jobs_.on_start(command.job);
                    return known;
                },
                [this](const SimulatedMachine& machine, const TaskId& id) {
                    checker_.check_task_begun(machine, id);
                }}),
      cloud_(context_, workers_, [this](const std::string& name) { on_machine_booted(name); }),
      store_(context_, settings_,
             {[this](const std::string& key, const Json& value) { on_record_write(key, value); },
              [this](const std::string& key) { on_record_delete(key); }}),
      checker_(context_, settings_, workers_, jobs_),
      waiting_jobs_(context_, settings_, workers_, network_, jobs_),
      delegated_machines_(delegated) {
    for (std::size_t i = 0; i < 2 && delegated > 0; ++i) {
        holder_settings_[i] = settings_;
        holder_settings_[i].name = "holder-" + std::to_string(i);
        controllers_.push_back(std::make_unique<Controller>(*this, i));
        start_holder(i);
    }
    fail_over();
    if (delegated > 0) context_.at(100, [this] { exchange_peer_messages(); });
}

ClusterSimulation::~ClusterSimulation() = default;

void ClusterSimulation::run_until(Millis time) {
    Millis next_check = now();
    while (now() < time && !testing::Test::HasFailure()) {
        context_.advance(std::min(time, next_check));
        if (now() < next_check) continue;
        next_check = now() + kCheckInterval;
        checker_.check_all();
        waiting_jobs_.check([this](const std::string& id) { return final_state(id).empty(); });
        if (context_.chance(context_.faults.failovers_per_s * kCheckInterval_s)) fail_over();
        if (context_.chance(context_.faults.machine_failures_per_s * kCheckInterval_s)) {
            if (const std::string name = any_machine(); !name.empty()) kill_machine(name);
        }
    }
}

void ClusterSimulation::submit(const Json& spec) {
    const auto parsed = wire::parse_job(spec);
    ASSERT_TRUE(parsed) << parsed.error().message();
    jobs_.add(*parsed);
    if (!store_.take_write_budget(2)) {
        context_.after(kUserRetryDelay, [this, spec] { submit(spec); });
        return;
    }
    store_.put(jobs::job_key(parsed->id), Json{{"final", nullptr}, {"tasks", parsed->tasks}});
    store_.put(jobs::open_key(parsed->id), jobs::encode_open_record(spec, now()));
    notify_leader(jobs::open_key(parsed->id));
}

void ClusterSimulation::cancel(const std::string& id) {
    const std::string key = jobs::open_key(id);
    const auto* open = store_.find(key);
    if (open == nullptr || !final_state(id).empty()) return;
    jobs_.request_cancel(id);
    Json record = open->value;
    if (jobs::is_cancel_requested(record) || !store_.take_write_budget(1)) return;
    jobs::request_cancel(record);
    kvstore::Transaction transaction;
    transaction.conditions = {{key, open->version}};
    transaction.writes = {{key, record}};
    // The transaction may be applied late, after the user has repeated the request.
    const bool late = context_.chance(context_.faults.unknown_commits);
    auto write = [this, transaction, key, late] {
        const bool applied =
            store_.up() && store_.commit(transaction).status == kvstore::Status::ok;
        Coverage& coverage = context_.coverage;
        if (late) ++(applied ? coverage.late_commits_applied : coverage.late_commits_refused);
        if (applied) notify_leader(key);
        if (!late) repeat_transaction(transaction);
    };
    if (late)
        context_.after(2'000 + context_.delay(10'000), write);
    else
        write();
}

void ClusterSimulation::request_cancel_until_answered(const std::string& id) {
    if (!final_state(id).empty()) return;
    if (state_service_up()) cancel(id);
    context_.after(kUserRetryDelay, [this, id] { request_cancel_until_answered(id); });
}

std::vector<std::string> ClusterSimulation::jobs_without_final_state(Millis longer) const {
    std::vector<std::string> late;
    for (const auto& [id, spec] : jobs_.specs()) {
        if (final_state(id).empty() && jobs_.completed_before(id, now(), longer))
            late.push_back(id);
    }
    return late;
}

void ClusterSimulation::expect_wait_below(Millis longest) {
    waiting_jobs_.expect_wait_below(
        longest, [this] { return describe_running() + describe_cluster_state(); });
}

std::string ClusterSimulation::any_machine() const {
    const auto all = working_machines();
    return all.empty() ? "" : all.front();
}

void ClusterSimulation::fail_machine(const std::string& name) {
    kill_machine(name);
    workers_.machine(name).failed = true;
}

void ClusterSimulation::restart_machine(const std::string& name) {
    SimulatedMachine& machine = workers_.machine(name);
    if (!workers_.restart(machine)) return;
    context_.after(context_.delay(300), [this, name, generation = machine.process_generation] {
        send_heartbeat(name, generation);
    });
}

std::string ClusterSimulation::inconsistent_job() {
    if (leader() == nullptr) return "there is no leader";
    for (const auto& [id, job] : leader()->open_jobs()) {
        if (store_.find(jobs::open_key(id)) == nullptr && job->state != jobs::JobState::finished)
            return id + " has no open record, but the leader has it in state " +
                   jobs::name(job->state);
    }
    for (const auto& [key, stored] : store_.keys()) {
        const std::string id = jobs::job_id_of_open_key(key);
        if (!id.empty() && leader()->open_jobs().count(id) == 0)
            return id + " has an open record, but the leader does not have the job";
    }
    return "";
}

std::string ClusterSimulation::describe_cluster_state() {
    if (leader() == nullptr) return "there is no leader";
    std::string text;
    for (const auto& [id, job] : leader()->open_jobs()) {
        const auto* open = store_.find(jobs::open_key(id));
        const bool cancel_requested = open != nullptr && jobs::is_cancel_requested(open->value);
        text += id + " is " + jobs::name(job->state) + ", version " + std::to_string(job->version) +
                " of " + std::to_string(open == nullptr ? 0 : open->version) +
                (cancel_requested ? ", cancel requested" : "") +
                (job->commit_in_flight ? ", commit in flight" : "") + ":";
        for (const auto& attempt : job->attempts) {
            text += std::string(" ") + jobs::name(attempt->state) +
                    (attempt->stop_requested ? "(stopping)" : "");
        }
        text += "; ";
    }
    return text;
}

}  // namespace nickelramp::test
