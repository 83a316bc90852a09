#include "controller/controller.h"

#include <spdlog/spdlog.h>

#include <functional>
#include <random>
#include <utility>

#include "controller/gauge_updater.h"
#include "controller/rate_limits.h"
#include "net/address.h"
#include "net/limits.h"

namespace nickelramp::controller {

namespace {

constexpr Millis kTickInterval = 200;
constexpr Millis kPruneInterval = 1'000;
constexpr Millis kStepDownBackoff = 20'000;  // long enough for another controller to be elected
// Watches get replies more often than this while the key-value store is reachable.
constexpr Millis kStoreUnresponsiveAfter = 30'000;
// One in this many of the process's sockets may be used for commands to workers.
constexpr std::size_t kWorkerSocketDivisor = 6;

std::uint64_t random_seed(const std::string& name) {
    std::random_device device;
    return std::hash<std::string>{}(name) ^ (static_cast<std::uint64_t>(device()) << 16);
}

// Never 0, which stands for no incarnation.
std::uint64_t random_incarnation(const std::string& name) { return random_seed(name) | 1; }

std::size_t server_sockets(const wire::Settings& settings) {
    return static_cast<std::size_t>(net::kServerSocketShare *
                                    static_cast<double>(settings.max_sockets));
}

}  // namespace

Controller::Controller(uv_loop_t* loop, const wire::Settings& settings,
                       const FeatureFlags& features)
    : settings_(settings),
      features_(features),
      clock_(loop),
      http_server_(loop, server_sockets(settings),
                   [this](const net::Request& request, const net::Responder& responder) {
                       router_.handle(request, responder);
                   }),
      store_client_(loop, *net::parse_address(settings.state_service), settings.state_service,
                    store_rate_limits(settings, false)),
      cloud_client_(loop, *net::parse_address(settings.cloud), settings.cloud,
                    settings.cloud_requests_per_s),
      worker_connections_(loop, settings.max_sockets / kWorkerSocketDivisor),
      confirmed_reads_(loop, store_client_, settings),
      job_requests_(settings, confirmed_reads_.store(), confirmed_reads_.reads(),
                    job_request_hooks()),
      election_(loop, store_client_, settings.name, random_seed(settings.name), *this),
      machine_types_(loop, store_client_, cloud_client_, *this),
      term_(term_dependencies(), *this),
      shard_holder_(settings, clock_, gateway_services(), random_incarnation(settings.name)),
      instance_poller_(settings, clock_, cloud_client_),
      leadership_monitor_(settings),
      readiness_(settings, clock_, store_client_, job_requests_),
      partition_responder_(settings),
      heartbeat_handler_(settings, *this, shard_holder_.holder(), partition_responder_,
                         [this](const std::string& peer, const peers::PeerFrame& frame) {
                             return peer_coordinator_.network().send_batched(peer, frame);
                         }),
      role_services_(
          role_connections(), term_.scheduling_guard(), [this] { return term_.scheduling_lease(); },
          [this](lease::Role role, std::uint64_t fence) { on_role_fence_changed(role, fence); }),
      role_manager_(settings.name, shard_holder_.holder().incarnation(), settings.state_txn_ops,
                    role_services_.services()),
      peer_coordinator_(peer_dependencies()),
      admin_requests_(loop, store_client_, metrics_, *this),
      router_(router_dependencies()),
      tick_timer_(loop, [this] { tick(); }) {}

int Controller::start() {
    int rc = http_server_.listen(*net::parse_address(settings_.listen));
    if (rc < 0) return rc;
    rc = peer_coordinator_.listen();
    if (rc < 0) return rc;
    election_.start();
    admin_requests_.start();
    tick_timer_.every(kTickInterval);
    machine_types_.start();
    return 0;
}

// --- callbacks and dependencies of the components

RoleServices::Connections Controller::role_connections() {
    return {clock_.loop(), store_client_, cloud_client_, peer_coordinator_};
}

LiveServiceGateway::Services Controller::gateway_services() {
    return {clock_.loop(), store_client_, worker_connections_, role_manager_};
}

TermRunner::Dependencies Controller::term_dependencies() {
    return {settings_, clock_, gateway_services(), election_, machine_types_};
}

PeerCoordinator::Dependencies Controller::peer_dependencies() {
    return {settings_,     clock_,        store_client_,        machine_types_,
            term_,         shard_holder_, partition_responder_, heartbeat_handler_,
            role_manager_, readiness_};
}

RequestRouter::Dependencies Controller::router_dependencies() {
    return {clock_,          store_client_,        term_,
            readiness_,      heartbeat_handler_,   job_requests_,
            admin_requests_, features_.drain_plans};
}

api::JobRequestHandler::Hooks Controller::job_request_hooks() {
    return {[] { return LoopClock::wall_ms(); }, [this] { return clock_.now(); },
            [this](const char* request, int status, Millis took) {
                metrics_.record_answer(request, status, static_cast<double>(took));
            },
            [this](const std::string& job_id) { return progress_of(job_id); }};
}

void Controller::on_elected(std::uint64_t term, std::uint64_t version) {
    term_.begin_loading(term, version);
}

void Controller::on_lease_confirmed(Millis valid_until) { term_.confirm_lease_until(valid_until); }

void Controller::on_leader_changed(const std::string& leader) {
    spdlog::info("leader changed: leader={}", leader.empty() ? "none" : leader);
}

void Controller::on_role_fence_changed(lease::Role role, std::uint64_t fence) {
    if (control::ControlLoop* control_loop = term_.control_loop())
        control_loop->set_role_fence(role, fence);
}

// Returns a job's task counts for display: those of the control loop if this controller has one,
// otherwise those of the leader's last broadcast. Zeros if neither knows the job.
wire::TaskCounts Controller::progress_of(const std::string& job_id) const {
    if (const control::ControlLoop* control_loop = term_.control_loop()) {
        const auto progress = control_loop->progress(job_id);
        return {progress.done, progress.running};
    }
    return peer_coordinator_.displayed_counts(job_id);
}

bool Controller::responds_for_leader(Millis now) {
    if (term_.phase() != TermPhase::idle) return false;
    partition_responder_.update(peer_coordinator_.last_leader_message_at(),
                                store_client_.last_answer_at(), now);
    return partition_responder_.state() == partition::PartitionState::responding;
}

void Controller::on_machine_types(const std::vector<wire::MachineType>& types) {
    job_requests_.set_machine_types(types);
    if (control::ControlLoop* control_loop = term_.running_control_loop())
        control_loop->set_machine_types(types);
}

// --- term lifecycle

void Controller::on_term_starting() { shard_holder_.end("this controller leads"); }

void Controller::on_control_loop_created(control::ControlLoop& control_loop) {
    peer_coordinator_.hand_over_lost_zones(control_loop);
}

void Controller::on_term_loaded(control::ControlLoop& control_loop) {
    control_loop.set_options(admin_requests_.options());
    control_loop.set_metrics(&metrics_);
}

void Controller::on_term_started() {
    if (control::ControlLoop* control_loop = term_.running_control_loop())
        instance_poller_.start(*control_loop);
    machine_types_.store_if_leading();
}

// --- periodic work

void Controller::tick() {
    peer_coordinator_.broadcast_if_due();
    readiness_.update();
    confirmed_reads_.run_due_work();
    heartbeat_handler_.tick(clock_.now());
    shard_holder_.tick();
    role_manager_.run_due_work(clock_.now());
    if (control::ControlLoop* control_loop = term_.running_control_loop())
        run_leader_tick(*control_loop);
}

void Controller::run_leader_tick(control::ControlLoop& control_loop) {
    control_loop.set_worker_capacity(heartbeat_handler_.worker_capacity(clock_.now()));
    control_loop.tick(clock_.now());
    if (const auto reason =
            leadership_monitor_.check_machines(control_loop, election_.state(), clock_.now())) {
        step_down(*reason);
        return;
    }
    prune_worker_connections(control_loop);
    if (const auto reason =
            LeadershipMonitor::check_store(readiness_.readiness(), election_.state()))
        step_down(*reason);
}

void Controller::step_down(StepDownReason reason) {
    election_.step_down(name(reason), kStepDownBackoff);
}

void Controller::prune_worker_connections(const control::ControlLoop& control_loop) {
    if (clock_.now() < next_prune_at_) return;
    next_prune_at_ = clock_.now() + kPruneInterval;
    worker_connections_.prune([this, &control_loop](const std::string& machine) {
        return control_loop.registry().contains(machine) || shard_holder_.holder().holds(machine);
    });
}

// --- administration

wire::Json Controller::status() const {
    const readiness::Readiness& readiness = readiness_.readiness();
    wire::Json out = {{"node", settings_.name},
                      {"leader", election_.leader()},
                      {"leadership", election::name(election_.state())},
                      {"ready", readiness.ready()},
                      {"serving", readiness::name(readiness.state())},
                      {"state_service", store_health_text()}};
    if (const control::ControlLoop* control_loop = term_.running_control_loop())
        out["book"] = control_loop->overview(clock_.now());
    out["duties"] = role_manager_.overview();
    return out;
}

const char* Controller::store_health_text() const {
    if (readiness_.readiness().state() == readiness::ReadinessState::rejected) return "refuses";
    const bool answers = clock_.now() - store_client_.last_answer_at() < kStoreUnresponsiveAfter;
    return answers ? "answers" : "is silent";
}

void Controller::update_gauges() {
    controller::update_gauges(metrics_, heartbeat_handler_, term_.running_control_loop());
}

void Controller::on_options_changed(const admin::Options& options) {
    if (control::ControlLoop* control_loop = term_.control_loop())
        control_loop->set_options(options);
}

}  // namespace nickelramp::controller
