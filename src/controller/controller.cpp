#include "controller/controller.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <random>

#include "drain/request_handler.h"
#include "net/address.h"
#include "net/limits.h"
#include "net/timed.h"
#include "readiness/peer_health.h"

namespace nickelramp::controller {

namespace {
constexpr Millis kTick = 200;
constexpr Millis kOpenWait =
    2000;  // a watch is renewed this often, so that the view's age is known
constexpr Millis kLoadRetry = 500;
constexpr Millis kCommit = 2500;
constexpr Millis kTypesEvery = 30'000;
constexpr Millis kTypesRetry = 2'000;
constexpr Millis kSilent = 30'000;  // watches are answered more often
constexpr Millis kTellEvery = 1000;
constexpr std::size_t kMostShown = 1000;
constexpr Millis kPruneEvery = 1'000;
constexpr std::size_t kWorkerPart = 6;  // of the sockets, for commands to machines
constexpr Millis kRest = 20'000;        // after handing over
constexpr const char* kTypesKey = "fleet/types";

// The budget is one for all controllers. Their needs differ by the moment: each may use half, the
// leader, which writes for everybody, most of the changes; and a 429 slows any of them down.
kvstore::RateLimits share_of(const wire::Settings& settings, bool leads) {
    return {settings.state_requests_per_s * 0.5, settings.state_writes_per_s * (leads ? 0.8 : 0.5)};
}

// Lists take a quarter of the cloud's calls at the most: rentals need the others.
Millis list_again_after(const wire::Settings& settings, std::size_t machines) {
    constexpr Millis kLeast = 4'000;
    constexpr double kPage = 500, kPartOfCalls = 0.25;
    const double pages = std::ceil(static_cast<double>(machines) / kPage);
    return std::max({kLeast, seconds(settings.cloud_list_lag_s),
                     seconds(pages / (kPartOfCalls * settings.cloud_requests_per_s))});
}

std::uint64_t seed_of(const std::string& name) {
    std::random_device device;
    return std::hash<std::string>{}(name) ^ (static_cast<std::uint64_t>(device()) << 16);
}
}  // namespace

Controller::Controller(uv_loop_t* loop, const wire::Settings& settings,
                       const FeatureFlags& features)
    : loop_(loop),
      settings_(settings),
      features_(features),
      http_server_(loop,
                   static_cast<std::size_t>(net::kServerSocketShare *
                                            static_cast<double>(settings.max_sockets)),
                   [this](const net::Request& q, net::Responder r) { handle(q, std::move(r)); }),
      state_client_(loop, *net::parse_address(settings.state_service), settings.state_service,
                    share_of(settings, false)),
      cloud_client_(loop, *net::parse_address(settings.cloud), settings.cloud,
                    settings.cloud_requests_per_s),
      worker_connections_(loop, settings.max_sockets / kWorkerPart),
      confirmed_reads_(loop, state_client_, settings),
      job_requests_(settings, confirmed_reads_.store(), confirmed_reads_.reads(),
                    {[this] { return wall_ms(); }, [this] { return now(); },
                     [this](const char* request, int status, Millis took) {
                         metrics_.record_answer(request, status, static_cast<double>(took));
                     },
                     [this](const std::string& id) {
                         if (control_loop_) {
                             const auto progress = control_loop_->progress(id);
                             return wire::TaskCounts{progress.done, progress.running};
                         }
                         const auto it = displayed_progress_.find(id);
                         if (it == displayed_progress_.end()) return wire::TaskCounts{};
                         return wire::TaskCounts{it->second.first, it->second.second};
                     }}),
      election_(loop, state_client_, settings.name, seed_of(settings.name),
                {[this](std::uint64_t term, std::uint64_t version) { on_elected(term, version); },
                 [this](Millis until) {
                     if (control_loop_) control_loop_->confirm_lease_until(until);
                 },
                 [this](const std::string&) { end_term(); },
                 [](const std::string& leader) {
                     spdlog::info("leader: {}", leader.empty() ? "none" : leader);
                 },
                 {}}),
      tick_timer_(loop, [this] { tick(); }),
      instances_timer_(loop, [this] { poll_instances(); }),
      types_timer_(loop, [this] { poll_machine_types(); }),
      load_timer_(loop, [this] { load_term(); }),
      close_timer_(loop,
                   [this] {
                       control_loop_.reset();
                       worker_connections_.clear();
                       if (term_phase_ == TermPhase::closing) set_term_phase(TermPhase::idle);
                   }),
      watch_timer_(loop, [this] { watch_open_jobs(); }),
      leader_scheduling_guard_(clock, [this] { return leader_lease(); }),
      holder_scheduling_guard_(
          clock,
          [this] {
              return lease::Lease{shard_holder_.token(), shard_holder_.lease_until()};
          }),
      leader_responding_guard_(
          clock,
          [this] {
              if (term_phase_ != TermPhase::running) return lease::Lease{};
              return lease::Lease{
                  term_, cancellations_known_until_ + control_loop_->max_response_window()};
          }),
      holder_responding_guard_(
          clock,
          [this] {
              return lease::Lease{shard_holder_.token(), shard_holder_.may_respond_until()};
          }),
      leader_gateway_({loop, state_client_, worker_connections_, role_manager_},
                      leader_scheduling_guard_, leader_responding_guard_,
                      [this](const std::string& why) { election_.step_down(why, 0); }),
      holder_gateway_({loop, state_client_, worker_connections_, role_manager_},
                      holder_scheduling_guard_, holder_responding_guard_,
                      [this](const std::string& why) {
                          shard_holder_.end(why);
                          dispose_timer_.after(0);
                      }),
      readiness_(std::count_if(settings.peers.begin(), settings.peers.end(),
                               [&](const wire::Peer& peer) { return peer.name != settings.name; }),
                 static_cast<Millis>(uv_now(loop))),
      peer_network_(loop, settings.peers, *this),
      shard_holder_(settings, election::kTermKey, holder_gateway_, seed_of(settings.name) | 1),
      partition_responder_(settings),
      heartbeat_handler_(settings, *this, shard_holder_, partition_responder_,
                         [this](const std::string& peer, const peers::PeerFrame& speech) {
                             return peer_network_.send_batched(peer, speech);
                         }),
      role_manager_(settings.name, shard_holder_.incarnation(), settings.state_txn_ops,
                    role_manager_hooks()),
      dispose_timer_(loop, [this] { shard_holder_.dispose_ended(); }),
      admin_requests_(loop, state_client_, metrics_,
                      {[this] { return status(); }, [this] { update_gauges(); }},
                      [this](const admin::Options& options) {
                          if (control_loop_) control_loop_->set_options(options);
                      }) {}

// What only a leader may say.
template <typename Message>
bool Controller::send_as_leader(const std::string& peer, const Message& message) {
    auto permit = leader_scheduling_guard_.prove();
    return permit && peer_network_.send(*permit, peer, peers::encode(message));
}

int Controller::start() {
    int rc = http_server_.listen(*net::parse_address(settings_.listen));
    if (rc < 0) return rc;
    rc = peer_network_.listen(*net::parse_address(settings_.peer_listen));
    if (rc < 0) return rc;
    election_.start();
    admin_requests_.start();
    tick_timer_.every(kTick);
    state_client_.get(kTypesKey, kvstore::RequestClass::control, 2000,
                      [this](const kvstore::GetReply& reply) {
                          if (reply.status == kvstore::Status::ok && machine_types_.empty()) {
                              if (auto types = wire::decode_machine_types(reply.entry.value)) {
                                  machine_types_stored_ = true;
                                  on_machine_types(*types, false);
                              }
                          }
                          poll_machine_types();
                      });
    return 0;
}

std::int64_t Controller::wall_ms() const {
    uv_timeval64_t tv{};
    uv_gettimeofday(&tv);
    return tv.tv_sec * 1000 + tv.tv_usec / 1000;
}

void Controller::update_readiness() {
    std::vector<readiness::PeerHealth> peers;
    for (const auto& [name, news] : peer_health_) peers.push_back(news);
    readiness_.update(job_requests_.has_machine_types(), state_client_.health(), peers,
                      job_requests_.pending_requests(), now());
}

void Controller::handle(const net::Request& request, net::Responder responder) {
    if (request.path == "/checkin") {
        if (request.method != "POST")
            responder.send({405, "", 0, "application/cbor"});
        else
            heartbeat_handler_.on_heartbeat_request(request, responder);
        return;
    }
    if (request.path == "/ready") {
        uv_update_time(loop_);  // what waited while this process stood still proves nothing now
        update_readiness();
        state_client_.ping();
        bool ok = readiness_.ready();
        responder.send({ok ? 200 : 503, wire::encode({{"ready", ok}}), 0, "application/cbor"});
        return;
    }
    if (features_.drain_plans && drain::handles_request(request)) {
        drain::Planner* planner =
            term_phase_ == TermPhase::running ? &control_loop_->drain_planner() : nullptr;
        responder.send(drain::answer_request(request, planner));
        return;
    }
    if (job_requests_.handle(request, responder) || admin_requests_.handle(request, responder))
        return;
    responder.send({404, wire::encode({{"error", "no such path"}}), 0, "application/cbor"});
}

// --- what the handler of reports asks

Millis Controller::clock_now() {
    uv_update_time(loop_);
    return now();
}

control::ControlLoop* Controller::leader_control_loop() {
    return term_phase_ == TermPhase::running ? control_loop_.get() : nullptr;
}

bool Controller::may_renew_leases() const { return leader_responding_guard_.prove().has_value(); }

bool Controller::responds_for_leader(Millis now) {
    if (term_phase_ != TermPhase::idle) return false;
    partition_responder_.update(leader_status_at_, state_client_.last_answer_at(), now);
    return partition_responder_.state() == partition::PartitionState::responding;
}

// --- the term

void Controller::on_elected(std::uint64_t term, std::uint64_t version) {
    ++generation_;
    term_ = term;
    term_version_ = version;
    close_timer_.stop();
    state_client_.set_limits(share_of(settings_, true));
    shard_holder_.end("this node leads");
    dispose_timer_.after(0);
    control_loop_.reset();
    worker_connections_.clear();
    set_term_phase(TermPhase::loading);
    role_manager_.start_leading(term, {election::kTermKey, version}, election_.lease_id(), now());
    load_term();
}

void Controller::load_term() {
    if (term_phase_ != TermPhase::loading) return;
    if (machine_types_.empty()) {
        load_timer_.after(kLoadRetry);
        return;
    }
    // Records of this kind change only on condition of the term, except that users add jobs and
    // cancel them: the watch goes on from before.
    auto g = generation_;
    Millis began = now();
    state_client_.list(
        "open/", kvstore::RequestClass::election, [this, g, began](kvstore::ListReply open) {
            if (g != generation_ || term_phase_ != TermPhase::loading) return;
            if (open.status != kvstore::Status::ok) return on_term_load_failed();
            state_client_.list(
                "run/", kvstore::RequestClass::election,
                [this, g, began, open](kvstore::ListReply run) {
                    if (g != generation_ || term_phase_ != TermPhase::loading) return;
                    if (run.status != kvstore::Status::ok) return on_term_load_failed();
                    list_grants_and_intents([this, began, open, run](
                                                const kvstore::ListReply& block,
                                                const kvstore::ListReply& intents) {
                        open_revision_ = open.revision;
                        cancellations_known_until_ = began;
                        cluster::ServiceGateway& gateway = leader_gateway_;
                        control_loop_ = std::make_unique<control::ControlLoop>(
                            settings_, control::TermInfo{term_, election::kTermKey, term_version_},
                            gateway, now());
                        auto& control_loop = *control_loop_;
                        control_loop.set_machine_types(machine_types_);
                        for (const auto& [zone, since] : lost_zones_) {
                            control_loop.expect_lost_zone(zone, since);
                        }
                        lost_zones_.clear();
                        for (const auto& entry : block.entries) {
                            std::uint32_t n = 0;
                            auto shard = shards::decode_shard(entry.value);
                            if (!shard || !shards::parse_shard_key(entry.key, n)) continue;
                            shard->version = entry.version;
                            control_loop.load_shard(n, std::move(*shard));
                        }
                        for (const auto& entry : intents.entries)
                            control_loop.load_intents(entry.key, entry.value, entry.version);
                        for (const auto& entry : open.entries) {
                            if (auto r = jobs::decode_open_record(entry.value))
                                control_loop.load_job(*r, entry.version, wall_ms(), now());
                            else
                                spdlog::error("record {} cannot be read", entry.key);
                        }
                        for (const auto& entry : run.entries) {
                            std::string id;
                            std::uint32_t chunk = 0;
                            auto r = jobs::decode_run_record(entry.value);
                            if (r && jobs::parse_run_key(entry.key, id, chunk)) {
                                control_loop.load_checkpoint(id, chunk, *r, entry.version, now());
                            } else {
                                spdlog::error("record {} cannot be read", entry.key);
                            }
                        }
                        spdlog::info("term {}: {} open jobs, {} run records, {} blocks", term_,
                                     open.entries.size(), run.entries.size(), block.entries.size());
                        on_term_loaded();
                    });
                });
        });
}

void Controller::list_grants_and_intents(
    std::function<void(const kvstore::ListReply&, const kvstore::ListReply&)> then) {
    auto g = generation_;
    auto failed = [this, g](const kvstore::ListReply& reply) {
        if (g != generation_ || term_phase_ != TermPhase::loading) return true;
        if (reply.status != kvstore::Status::ok) on_term_load_failed();
        return reply.status != kvstore::Status::ok;
    };
    state_client_.list("block/", kvstore::RequestClass::election,
                       [this, failed, then = std::move(then)](const kvstore::ListReply& blocks) {
                           if (failed(blocks)) return;
                           state_client_.list(
                               autoscaling::kIntentKeyPrefix, kvstore::RequestClass::election,
                               [failed, then, blocks](const kvstore::ListReply& intents) {
                                   if (!failed(intents)) then(blocks, intents);
                               });
                       });
}

void Controller::on_term_load_failed() { load_timer_.after(kLoadRetry); }

void Controller::on_term_loaded() {
    set_term_phase(TermPhase::running);
    control_loop_->set_options(admin_requests_.options());
    control_loop_->set_metrics(&metrics_);
    control_loop_->confirm_lease_until(election_.lease_valid_until());
    for (lease::Role role : lease::kAllRoles)
        control_loop_->set_role_fence(role, role_manager_.assigner().known_fence(role));
    control_loop_->start(now());
    watch_open_jobs();
    poll_instances();
    store_machine_types();
}

void Controller::end_term() {
    if (term_phase_ == TermPhase::idle) return;
    ++generation_;
    role_manager_.stop_leading();
    state_client_.set_limits(share_of(settings_, false));
    set_term_phase(TermPhase::closing);
    // Not at once: the book may be in the middle of something.
    close_timer_.after(0);
}

// Only while the hold is certain: once another may lead, what this node answers must not outlast
// what the other takes for its predecessor's last leases.
void Controller::on_cancellations_seen(Millis until) {
    if (clock() < election_.lease_valid_until())
        cancellations_known_until_ = std::max(cancellations_known_until_, until);
}

void Controller::watch_open_jobs() {
    if (term_phase_ != TermPhase::running) return;
    auto g = generation_;
    Millis sent = now();
    state_client_.watch(
        "open/", open_revision_, kOpenWait, [this, g, sent](kvstore::ListReply reply) {
            if (g != generation_ || term_phase_ != TermPhase::running) return;
            if (reply.status == kvstore::Status::lease_or_revision_expired) {
                // Too far behind: read all of them again.
                Millis began = now();
                state_client_.list(
                    "open/", kvstore::RequestClass::control,
                    [this, g, began](kvstore::ListReply all) {
                        if (g != generation_ || term_phase_ != TermPhase::running) return;
                        if (all.status == kvstore::Status::ok) {
                            control_loop_->on_open_list(all, wall_ms(), now());
                            open_revision_ = all.revision;
                            on_cancellations_seen(began);
                        }
                        watch_timer_.after(all.status == kvstore::Status::ok ? 0 : kLoadRetry);
                    });
                return;
            }
            if (reply.status != kvstore::Status::ok) {
                watch_timer_.after(kLoadRetry);
                return;
            }
            on_cancellations_seen(sent);
            open_revision_ = std::max(open_revision_, reply.revision);
            for (const auto& entry : reply.entries) {
                if (entry.deleted) {
                    control_loop_->on_open_record_deleted(jobs::job_id_of_open_key(entry.key),
                                                          now());
                    continue;
                }
                if (auto rec = jobs::decode_open_record(entry.value)) {
                    control_loop_->on_open_record(*rec, entry.version, wall_ms(), now());
                }
            }
            if (!reply.entries.empty()) {
                control_loop_->tick(now());
                if (term_phase_ == TermPhase::running)
                    send_shard_grants();  // cancellations travel at once
            }
            watch_open_jobs();
        });
}

void Controller::tick() {
    if (now() >= next_status_at_) {
        next_status_at_ = now() + kTellEvery;
        broadcast_status();
    }
    update_readiness();
    confirmed_reads_.run_due_work();
    heartbeat_handler_.tick(now());
    update_shard_holder();
    role_manager_.run_due_work(now());
    if (term_phase_ != TermPhase::running) return;
    control_loop_->set_worker_capacity(heartbeat_handler_.worker_capacity(now()));
    control_loop_->tick(now());
    if (control_loop_->all_zones_unresponsive()) {
        if (watch_lost_since_ == 0) watch_lost_since_ = now();
        if (now() - watch_lost_since_ > seconds(2 * settings_.heartbeat_interval_s) &&
            election_.state() == election::ElectionState::leading) {
            watch_lost_since_ = 0;
            election_.step_down("most machines are out of reach", kRest);
            return;
        }
    } else {
        watch_lost_since_ = 0;
    }
    if (control_loop_->commands_lost(now()) &&
        election_.state() == election::ElectionState::leading) {
        election_.step_down("its commands reach no machine", kRest);
        return;
    }
    if (now() >= next_prune_at_) {
        next_prune_at_ = now() + kPruneEvery;
        worker_connections_.prune([this](const std::string& machine) {
            return control_loop_->registry().contains(machine) || shard_holder_.holds(machine);
        });
    }
    if (readiness_.should_hand_over() &&
        election_.state() == election::ElectionState::lease_uncertain) {
        election_.step_down("the state service refuses this node alone", kRest);
    }
}

// --- the back channel

void Controller::on_peer_status(const peers::Status& status) {
    role_manager_.on_status(status, now());
    heartbeat_handler_.on_peer_status(status, now());
    peer_health_[status.from] = {now(), now() - static_cast<Millis>(status.state_age_ms)};
    if (term_phase_ == TermPhase::running) {
        control_loop_->on_peer_status(status, now());
        displayed_progress_.clear();
    } else if (status.term != 0) {
        leader_status_at_ = now();
        lost_zones_.clear();
        for (const auto& l : status.lost_zones)
            lost_zones_[l.zone] = now() - static_cast<Millis>(l.age_ms);
        displayed_progress_.clear();
        for (const auto& p : status.progress) displayed_progress_[p.id] = {p.done, p.running};
    }
}

void Controller::broadcast_status() {
    peers::Status status;
    status.from = settings_.name;
    status.incarnation = shard_holder_.incarnation();
    status.clock_ms = static_cast<std::uint64_t>(now());
    status.term = term_phase_ == TermPhase::running ? term_ : 0;
    status.state_age_ms = static_cast<std::uint64_t>(now() - state_client_.last_answer_at());
    partition_responder_.fill_status(status, now());
    role_manager_.fill_status(status, now());
    heartbeat_handler_.fill_status(status, now());
    if (term_phase_ == TermPhase::running) {
        status.lost_zones = control_loop_->lost_zones(now());
        for (const auto& [id, j] : control_loop_->open_jobs()) {
            if (status.progress.size() >= kMostShown) break;
            auto p = control_loop_->progress(id);
            if (p.done + p.running > 0) status.progress.push_back({id, p.done, p.running});
        }
    }
    peer_network_.send_all(peers::encode(status));
    if (term_phase_ == TermPhase::running) {
        send_shard_grants();
        send_heartbeat_delegations();
        role_manager_.send_assignment(now());
    }
    if (auto shard_status = shard_holder_.status())
        peer_network_.send(shard_holder_.leader(), peers::encode(*shard_status));
}

void Controller::send_shard_grants() {
    for (const auto& [peer, g] : control_loop_->shard_renewals(cancellations_known_until_, now()))
        send_as_leader(peer, g);
}

void Controller::send_heartbeat_delegations() {
    for (const auto& [peer, l] :
         control_loop_->heartbeat_delegations(cancellations_known_until_, now()))
        send_as_leader(peer, l);
}

void Controller::on_shard_grant(const peers::ShardGrant& g) {
    if (term_phase_ == TermPhase::running) return;
    shard_holder_.on_grant(g, machine_types_, wall_ms(), now());
    update_shard_holder();
}

void Controller::update_shard_holder() {
    shard_holder_.tick(now());
    if (shard_holder_.has_ended()) dispose_timer_.after(0);
}

wire::Json Controller::status() const {
    wire::Json out = {
        {"node", settings_.name},
        {"leader", election_.leader()},
        {"leadership", election::name(election_.state())},
        {"ready", readiness_.ready()},
        {"serving", readiness::name(readiness_.state())},
        {"state_service", readiness_.state() == readiness::ReadinessState::rejected ? "refuses"
                          : now() - state_client_.last_answer_at() < kSilent        ? "answers"
                                                                                    : "is silent"}};
    if (term_phase_ == TermPhase::running) out["book"] = control_loop_->overview(now());
    out["duties"] = role_manager_.overview();
    return out;
}

lease::Lease Controller::leader_lease() const {
    if (term_phase_ != TermPhase::loading && term_phase_ != TermPhase::running) return {};
    return {term_, election_.lease_valid_until()};
}

roles::RoleManager::Hooks Controller::role_manager_hooks() {
    roles::RoleManager::Hooks h;
    h.clock = clock;
    h.leader_lease = [this] { return leader_lease(); };
    h.commit = [this](kvstore::Transaction transaction, roles::RoleManager::CommitDone done) {
        state_client_.commit(transaction, kvstore::RequestClass::election, kCommit,
                             net::with_time(loop_, std::move(done)),
                             while_valid(leader_scheduling_guard_));
    };
    h.commit_garbage_collection = [this](const lease::LeaseProof<lease::GarbageCollection>& permit,
                                         const kvstore::Transaction& transaction,
                                         roles::RoleManager::CommitDone done) {
        state_client_.commit(transaction, kvstore::RequestClass::background, kCommit,
                             net::with_time(loop_, std::move(done)),
                             [permit] { return permit.is_valid(); });
    };
    h.list = [this](const std::string& prefix, roles::RoleManager::ListDone done) {
        state_client_.list(prefix, kvstore::RequestClass::control,
                           net::with_time(loop_, std::move(done)));
    };
    h.list_page = [this](const std::string& prefix, const std::string& after, std::size_t most,
                         roles::RoleManager::ListDone done) {
        state_client_.list_page(prefix, after, most, kvstore::RequestClass::background,
                                net::with_time(loop_, std::move(done)));
    };
    h.has_spare_budget = [this] { return state_client_.has_spare_budget(); };
    h.grant_lease = [this](Millis life, roles::RoleManager::LeaseDone done) {
        state_client_.grant_lease(life, net::with_time(loop_, std::move(done)));
    };
    h.renew_lease = [this](std::uint64_t hold, roles::RoleManager::LeaseDone done) {
        state_client_.renew_lease(hold, kCommit, net::with_time(loop_, std::move(done)));
    };
    h.revoke_lease = [this](std::uint64_t hold) { state_client_.revoke_lease(hold); };
    h.send_assignment = [this](const std::string& peer, const peers::RoleAssignment& assignment) {
        send_as_leader(peer, assignment);
    };
    h.send_request = [this](const std::string& peer, const peers::DelegatedRequest& request) {
        return send_as_leader(peer, request);
    };
    h.send_result = [this](const std::string& peer, const peers::DelegatedResult& result) {
        peer_network_.send(peer, peers::encode(result));
    };
    h.provision = [this](const lease::LeaseProof<lease::ScaleOut>& permit,
                         const autoscaling::ProvisioningIntent& intent,
                         roles::RoleManager::ProvisionDone done) {
        cloud_client_.provision(permit, intent.name, intent.type, intent.zone, intent.spot,
                                intent.count, net::with_time(loop_, std::move(done)));
    };
    h.release = [this](const lease::LeaseProof<lease::ScaleIn>& permit,
                       const std::vector<std::string>& machines,
                       roles::RoleManager::ProvisionDone done) {
        cloud_client_.release(permit, machines, [this, done = std::move(done)](bool ok) {
            using Result = cloud::ProvisionReply::Result;
            done(now(), {ok ? Result::provisioned : Result::unknown, {}});
        });
    };
    h.cloud_unreachable = [this](Millis t) { return cloud_client_.is_unreachable(t); };
    h.fence_changed = [this](lease::Role role, std::uint64_t fence) {
        if (control_loop_) control_loop_->set_role_fence(role, fence);
    };
    return h;
}

void Controller::update_heartbeat_gauges() {
    auto count = [this](const char* label, std::uint64_t n) {
        metrics_.set_gauge("reports", label, static_cast<double>(n));
    };
    const relay::HeartbeatForwarder::Counters& f = heartbeat_handler_.forwarder().counters();
    count("forwarded", f.forwarded);
    count("answered", f.replied);
    count("expired", f.expired);
    count("unmatched", f.unmatched);
    count("shed", f.shed);
    count("moved", heartbeat_handler_.balancer().redirected_count());
    count("admitted", heartbeat_handler_.admission().admitted());
    for (std::size_t i = 0; i < relay::kRejectionCount; ++i) {
        const auto rejection = static_cast<relay::Rejection>(i);
        count(relay::name(rejection), heartbeat_handler_.admission().rejected(rejection));
    }
}

void Controller::update_gauges() {
    update_heartbeat_gauges();
    if (term_phase_ != TermPhase::running) return;
    auto s = control_loop_->summary();
    metrics_.set_gauge("jobs", "open", static_cast<double>(s.open_jobs));
    metrics_.set_gauge("tasks", "waiting", static_cast<double>(s.waiting_tasks));
    metrics_.set_gauge("attempts", "live", static_cast<double>(s.live_attempts));
    for (std::size_t i = 0; i < std::size(s.machines); ++i) {
        metrics_.set_gauge("machines", machines::name(static_cast<machines::MachineState>(i)),
                           static_cast<double>(s.machines[i]));
    }
}

// --- cloud

void Controller::poll_instances() {
    if (term_phase_ != TermPhase::running) return;
    auto g = generation_;
    const Millis asked = now();
    cloud_client_.list_instances(
        [this, g, asked](const std::optional<std::vector<wire::CloudInstance>>& hosts) {
            if (g != generation_ || term_phase_ != TermPhase::running) return;
            if (hosts) control_loop_->on_instances_listed(*hosts, asked, now());
            instances_timer_.after(list_again_after(settings_, hosts ? hosts->size() : 0));
        });
}

void Controller::poll_machine_types() {
    if (!machine_types_.empty() && term_phase_ != TermPhase::running) {
        types_timer_.after(kTypesEvery);
        return;
    }
    cloud_client_.list_machine_types(
        [this](const std::optional<std::vector<wire::MachineType>>& types) {
            if (types) on_machine_types(*types, true);
            types_timer_.after(types ? kTypesEvery : kTypesRetry);
        });
}

void Controller::on_machine_types(const std::vector<wire::MachineType>& types, bool from_cloud) {
    machine_types_ = types;
    job_requests_.set_machine_types(machine_types_);
    if (control_loop_ && term_phase_ == TermPhase::running)
        control_loop_->set_machine_types(machine_types_);
    if (from_cloud) store_machine_types();
}

// A controller that starts while the cloud is down finds the types in the state service.
void Controller::store_machine_types() {
    if (machine_types_stored_ || machine_types_.empty() || term_phase_ != TermPhase::running)
        return;
    machine_types_stored_ = true;
    kvstore::Transaction transaction;
    transaction.writes = {{kTypesKey, wire::encode_machine_types(machine_types_), 0}};
    state_client_.commit(transaction, kvstore::RequestClass::background, kCommit,
                         [this](const kvstore::CommitReply& reply) {
                             if (reply.status != kvstore::Status::ok) machine_types_stored_ = false;
                         });
}

}  // namespace nickelramp::controller
