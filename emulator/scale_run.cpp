#include "emulator/scale_run.h"

#include <spdlog/fmt/fmt.h>
#include <unistd.h>

#include <algorithm>

#include "net/address.h"

namespace nickelramp::emulator {

using wire::Json;

namespace {
constexpr Millis kSampleInterval = 1'000, kStatusTimeout = 2'000;
constexpr double kMillisPerSecond = 1'000, kSecondsPerDay = 86'400;
constexpr int kStatePort = 1, kCloudPort = 2, kWorkerPort = 3, kControllerPort = 10;
constexpr std::size_t kMaxStateConnections = 4'000;

std::string loopback(const ScaleOptions& o, int offset) {
    return "127.0.0.1:" + std::to_string(o.first_port + offset);
}

std::vector<std::string> zone_names(const ScaleOptions& o) {
    constexpr std::size_t kRegions = 5;
    std::vector<std::string> out;
    for (std::size_t i = 0; i < o.zones; ++i)
        out.push_back(fmt::format("r{}-z{}", i % kRegions, i));
    return out;
}

std::map<std::string, double> gpu_limits(const ScaleOptions& o) {
    std::map<std::string, double> out;
    for (std::size_t i = 0; i < o.teams; ++i) out[fmt::format("team-{}", i)] = o.gpu_limit;
    return out;
}

WorkerSettings worker_settings(const ScaleOptions& o) {
    WorkerSettings s;
    s.report_s = o.report_s;
    s.lease_s = o.lease_s;
    s.failing_tasks = o.failing_tasks;
    s.repeated_requests = o.repeated_requests;
    s.port = o.first_port + kWorkerPort;
    for (std::size_t i = 0; i < o.controllers; ++i) {
        s.controllers.push_back(fmt::format("ramper-{}", i));
        s.addresses.push_back(loopback(o, kControllerPort + 2 * static_cast<int>(i)));
    }
    return s;
}

CloudSettings cloud_settings(const ScaleOptions& o) {
    CloudSettings s;
    s.zones = zone_names(o);
    s.capacity = o.workers;
    s.boot_s = o.boot_s;
    s.requests_per_s = o.cloud_requests_per_s;
    s.repeated_requests = o.repeated_requests;
    return s;
}

Json facts(const ScaleOptions& o) {
    // The controllers divide these limits among themselves. An option of 0 means no limit; the
    // controllers get one that is practically never reached.
    auto or_unlimited = [](double limit) { return limit > 0 ? limit : 1e6; };
    Json teams = Json::array();
    for (const auto& [name, limit] : gpu_limits(o)) {
        teams.push_back({{"name", name},
                         {"cpus", 0.0},
                         {"cpus_max", 0.0},
                         {"gpus", limit / 2},
                         {"gpus_max", limit}});
    }
    return {{"initial_size", o.controllers},
            {"zones", zone_names(o)},
            {"teams", teams},
            {"objectives", Json::array()},
            {"workers",
             {{"report_s", o.report_s},
              {"lease_s", o.lease_s},
              {"gang_wait_s", 30.0},
              {"gang_peer_s", 4.0},
              {"cancel_s", o.cancel_s}}},
            {"state",
             {{"rps", or_unlimited(o.state_requests_per_s)},
              {"write_rps", or_unlimited(o.state_changes_per_s)},
              {"value_kb", 32.0},
              {"txn_ops", 32}}},
            {"cloud", {{"rps", or_unlimited(o.cloud_requests_per_s)}, {"list_lag_s", 1.0}}},
            {"limits", {{"cpu", 1.0}, {"mem_mb", 1'024.0}, {"fd_limit", o.sockets}}},
            {"time_bound_ms", 1'000.0}};
}

Json delays(const Histogram& h) {
    return {{"count", h.count()},
            {"p50_ms", h.percentile(0.5)},
            {"p90_ms", h.percentile(0.9)},
            {"p99_ms", h.percentile(0.99)},
            {"max_ms", h.maximum()}};
}
}  // namespace

ControllerSettings ScaleRun::controller_settings(const ScaleOptions& o) {
    ControllerSettings s;
    s.program = o.program;
    s.directory = o.directory;
    s.count = o.controllers;
    s.first_port = o.first_port + kControllerPort;
    s.zones = zone_names(o);
    s.state = loopback(o, kStatePort);
    s.cloud = loopback(o, kCloudPort);
    s.facts = facts(o);
    return s;
}

ScaleRun::ScaleRun(const ScaleOptions& options)
    : options_(options),
      loop_(uv_default_loop()),
      rules_(seconds(options.cancel_s), gpu_limits(options)),
      state_(loop_,
             StateServiceEmulator::Limits{options.state_requests_per_s, options.state_changes_per_s,
                                          kMaxStateConnections, options.repeated_requests}),
      workers_(loop_, worker_settings(options), rules_, options.seed),
      cloud_(loop_, cloud_settings(options), workers_, options.seed + 1),
      controllers_(controller_settings(options)),
      users_(loop_, options.load, worker_settings(options).addresses, rules_, options.seed + 2),
      sample_timer_(loop_, [this] { sample(); }),
      crash_timer_(loop_, [this] { crash_leader(); }),
      crash_next_timer_(loop_, [this] { crash_next(); }),
      restart_timer_(loop_, [this] { controllers_.start(crashed_); }),
      samples_(options.controllers) {}

ScaleRun::~ScaleRun() = default;

std::string ScaleRun::run() {
    struct Listener {
        const char* what;
        int code;
    };
    for (const Listener& l :
         {Listener{"state service", state_.listen(loopback(options_, kStatePort))},
          Listener{"cloud", cloud_.listen(loopback(options_, kCloudPort))},
          Listener{"workers", workers_.listen()}}) {
        if (l.code < 0)
            return std::string("the ") + l.what + " emulator cannot listen: " + uv_strerror(l.code);
    }
    if (std::string error = controllers_.start_all(); !error.empty()) return error;
    uv_update_time(loop_);
    started_at_ = sampled_at_ = now();
    users_.begin();
    sample_timer_.every(kSampleInterval);
    if (options_.kill_leader_at_s > 0) crash_timer_.after(seconds(options_.kill_leader_at_s));
    if (options_.restart_every_s > 0) crash_next_timer_.every(seconds(options_.restart_every_s));
    while (!finished_) uv_run(loop_, UV_RUN_ONCE);
    ended_at_ = now();
    totals_at_end_ = totals();
    return "";
}

ScaleRun::Totals ScaleRun::totals() const {
    const auto& w = workers_.counters();
    const auto& s = state_.counters();
    return {w.reports,
            w.starts,
            s.requests,
            s.changes,
            s.transactions,
            s.refused,
            w.bytes_sent + w.bytes_received,
            cloud_.counters().requests,
            w.direct};
}

void ScaleRun::sample_process(Sampled& s, pid_t pid, double elapsed_s) const {
    if (pid == 0) return;
    const Usage u = usage_of(pid);
    const double used = u.processor_s - s.last.processor_s;
    if (measuring_ && used >= 0) s.peak_cores = std::max(s.peak_cores, used / elapsed_s);
    s.last = u;
    s.peak_memory_mb = std::max(s.peak_memory_mb, u.memory_mb);
    s.peak_files = std::max(s.peak_files, u.files);
}

void ScaleRun::sample() {
    const double elapsed_s =
        static_cast<double>(now() - std::exchange(sampled_at_, now())) / kMillisPerSecond;
    const double since_s = static_cast<double>(now() - started_at_) / kMillisPerSecond;
    if (elapsed_s <= 0) return;
    const Totals t = totals();
    for (std::size_t i = 0; i < samples_.size(); ++i)
        sample_process(samples_[i], controllers_.pid(i), elapsed_s);
    sample_process(own_usage_, getpid(), elapsed_s);
    if (!measuring_ && since_s >= options_.warmup_s) {
        measuring_ = true;
        measured_at_ = now();
        totals_at_start_ = t;
        for (Sampled& s : samples_) s.first = s.last;
        own_usage_.first = own_usage_.last;
    } else if (measuring_) {
        auto rate = [&](std::uint64_t last, std::uint64_t before) {
            return static_cast<double>(last - before) / elapsed_s;
        };
        peak_starts_per_s_ = std::max(peak_starts_per_s_, rate(t.starts, totals_at_sample_.starts));
        peak_changes_per_s_ =
            std::max(peak_changes_per_s_, rate(t.changes, totals_at_sample_.changes));
    }
    totals_at_sample_ = t;
    peak_running_ = std::max(peak_running_, workers_.running());
    peak_workers_ = std::max(peak_workers_, workers_.size());
    rules_.check(now());
    const std::size_t ended = controllers_.unexpected_exits();
    while (unexpected_exits_ < ended) {
        ++unexpected_exits_;
        rules_.record_violation("ended", "a controller exited unexpectedly");
    }
    find_leader();
    const double failures = options_.failures_per_day / kSecondsPerDay * elapsed_s;
    if (failures > 0 && static_cast<double>(now() % 1'000) / 1'000 < failures) cloud_.fail_one();
    if (since_s >= options_.warmup_s + options_.duration_s) finished_ = true;
}

// Requests the status of the first running controller. Any controller knows the leader.
void ScaleRun::find_leader() {
    std::size_t queried = 0;
    while (queried < controllers_.size() && controllers_.pid(queried) == 0) ++queried;
    if (queried == controllers_.size() || (status_client_ && !status_client_->idle())) return;
    const std::string to = controllers_.address(queried);
    status_client_ = std::make_unique<net::HttpClient>(loop_, *net::parse_address(to), to, 1, 2);
    status_client_->request("GET", "/admin/status", "", kStatusTimeout,
                            [this](const net::ClientReply& reply) {
                                const Json body = Json::parse(reply.body, nullptr, false);
                                if (body.is_object()) leader_ = body.value("leader", leader_);
                            });
}

void ScaleRun::crash_leader() {
    for (std::size_t i = 0; i < controllers_.size(); ++i) {
        if (controllers_.name(i) == leader_) crash(i);
    }
}

void ScaleRun::crash_next() {
    crash(next_to_crash_);
    next_to_crash_ = (next_to_crash_ + 1) % controllers_.size();
}

void ScaleRun::crash(std::size_t controller) {
    if (controllers_.pid(controller) == 0) return;
    crashed_ = controller;
    controllers_.kill(controller);
    restart_timer_.after(seconds(options_.back_after_s));
}

Json ScaleRun::describe(const Sampled& s, double measured_s) const {
    return {{"processor", (s.last.processor_s - s.first.processor_s) / measured_s},
            {"processor_peak", s.peak_cores},
            {"memory_mb", s.peak_memory_mb},
            {"files", s.peak_files}};
}

double ScaleRun::measured_s() const {
    return std::max(1.0, static_cast<double>(ended_at_ - measured_at_) / kMillisPerSecond);
}

double ScaleRun::per_s(std::uint64_t Totals::*total) const {
    return static_cast<double>(totals_at_end_.*total - totals_at_start_.*total) / measured_s();
}

Json ScaleRun::load_requested() const {
    return {{"workers", options_.workers},
            {"controllers", options_.controllers},
            {"zones", options_.zones},
            {"teams", options_.teams},
            {"seed", options_.seed}};
}

Json ScaleRun::load_reached() const {
    return {{"workers", peak_workers_},
            {"tasks_running", peak_running_},
            {"starts_per_s", per_s(&Totals::starts)},
            {"starts_per_s_peak", peak_starts_per_s_},
            {"jobs_open", users_.open()}};
}

Json ScaleRun::controllers_result() const {
    Json controllers = Json::object();
    for (std::size_t i = 0; i < samples_.size(); ++i) {
        Json& controller = controllers[controllers_.name(i)];
        controller = describe(samples_[i], measured_s());
        controller["leads"] = controllers_.name(i) == leader_;
    }
    return controllers;
}

Json ScaleRun::workers_result() const {
    const auto& counters = workers_.counters();
    const auto workers = static_cast<double>(std::max<std::size_t>(1, workers_.size()));
    return {{"reports_per_s", per_s(&Totals::reports)},
            {"bytes_per_s_each", per_s(&Totals::worker_bytes) / workers},
            {"direct_per_s", per_s(&Totals::direct)},
            {"redirected", counters.redirected},
            {"refused", counters.refused},
            {"unanswered", counters.unanswered},
            {"leases_lost", counters.leases_lost},
            {"dropped_tokens", counters.dropped_tokens},
            {"by_controller", workers_.by_controller()},
            {"report", delays(workers_.report_ms())},
            {"next_start", delays(workers_.next_start_ms())}};
}

Json ScaleRun::copies_result() const {
    const auto& counters = workers_.counters();
    return {{"commands_rejected", counters.copies_rejected},
            {"commands_accepted", counters.copies_accepted},
            {"starts_accepted", counters.copied_starts},
            {"starts_with_effect", counters.started_by_copies},
            {"state_service", state_.copies()},
            {"cloud", cloud_.copies()},
            {"users", users_.copies()}};
}

Json ScaleRun::state_service_result() const {
    const auto& counters = state_.counters();
    return {{"requests_per_s", per_s(&Totals::requests)},
            {"changes_per_s", per_s(&Totals::changes)},
            {"changes_per_s_peak", peak_changes_per_s_},
            {"transactions_per_s", per_s(&Totals::transactions)},
            {"refused", counters.refused},
            {"keys", state_.keys()},
            {"changes_by_prefix", counters.changes_by_prefix},
            {"bytes_in", counters.bytes_in},
            {"bytes_out", counters.bytes_out}};
}

Json ScaleRun::cloud_result() const {
    const auto& counters = cloud_.counters();
    return {{"requests_per_s", per_s(&Totals::cloud_requests)},
            {"rented", counters.provisioned},
            {"returned", counters.returned},
            {"refused", counters.refused}};
}

Json ScaleRun::users_result() const {
    const auto& counters = users_.counters();
    return {{"submitted", counters.submitted},
            {"accepted", counters.accepted},
            {"retried", counters.retried},
            {"polls", counters.polls},
            {"failed_polls", counters.failed_polls},
            {"cancelled", counters.cancelled},
            {"submit", delays(users_.submit_ms())},
            {"start_array", delays(users_.start_ms(wire::Shape::array))},
            {"start_gang", delays(users_.start_ms(wire::Shape::gang))}};
}

Json ScaleRun::result() const {
    const Json settings = {{"changed", users_.counters().settings_changed},
                           {"in_force", delays(users_.settings_ms())}};
    return {{"measured_s", measured_s()},
            {"asked", load_requested()},
            {"reached", load_reached()},
            {"controllers", controllers_result()},
            {"hollow_process", describe(own_usage_, measured_s())},
            {"workers", workers_result()},
            {"copies", copies_result()},
            {"state_service", state_service_result()},
            {"cloud", cloud_result()},
            {"users", users_result()},
            {"settings", settings},
            {"rules_broken", rules_.violations()}};
}

}  // namespace nickelramp::emulator
