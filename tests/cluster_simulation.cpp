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

// A holder's process begins, perhaps after another died: without a book, as another incarnation.
void ClusterSimulation::start_holder(std::size_t i) {
    Controller& n = *controllers_[i];
    n.index = i;
    cluster::ServiceGateway& gateway = n;
    std::uint64_t incarnation = ++incarnations_;
    n.shard_holder = std::make_unique<control::ShardHolder>(holder_settings_[i], "lead/term",
                                                            gateway, incarnation);
    n.partition_responder = std::make_unique<partition::PartitionResponder>(holder_settings_[i]);
    at(now_ + 100, [this, i, incarnation] { tick_holder(i, incarnation); });
}

void ClusterSimulation::restart_holders() {
    for (std::size_t i = 0; i < 2; ++i) start_holder(i);
}

void ClusterSimulation::tick_holder(std::size_t i, std::uint64_t incarnation) {
    auto& h = controllers_[i]->shard_holder;
    if (h->incarnation() != incarnation) return;
    h->tick(now_);
    h->dispose_ended();
    at(now_ + 100, [this, i, incarnation] { tick_holder(i, incarnation); });
}

// Every second holders say that they are there; the leader renews its grants.
void ClusterSimulation::exchange_peer_messages() {
    at(now_ + 1000, [this] { exchange_peer_messages(); });
    for (std::size_t i = 0; i < 2; ++i) {
        if (chance(faults_.holder_failures_per_s)) start_holder(i);
        if (chance(faults_.lost_peer_messages) || responder_partitioned(i)) continue;
        peers::Status status;
        status.from = holder_settings_[i].name;
        status.incarnation = controllers_[i]->shard_holder->incarnation();
        status.clock_ms = static_cast<std::uint64_t>(now_);
        controllers_[i]->partition_responder->fill_status(status, now_);
        auto shard_status = controllers_[i]->shard_holder->status();
        controllers_[i]->trace("peer-message", traced(peers::encode(status)));
        if (shard_status)
            controllers_[i]->trace("peer-message", traced(peers::encode(*shard_status)));
        at(now_ + delay(20), [this, status, shard_status] {
            if (leader() == nullptr) return;
            leader()->on_peer_status(status, now_);
            if (shard_status) leader()->on_shard_status(*shard_status, now_);
        });
    }
    at(now_ + 50, [this] {
        if (leader() == nullptr) return;
        for (auto& [name, l] : leader()->heartbeat_delegations(now_ - 200, now_)) {
            leader_by_lease()->trace("peer-message", name, traced(peers::encode(l)));
            std::size_t i = name == holder_settings_[0].name ? 0 : 1;
            if (chance(faults_.lost_peer_messages) || responder_partitioned(i) ||
                faults_.holder_one_way_partition)
                continue;
            at(now_ + delay(20), [this, i, leave = l] {
                Controller& n = *controllers_[i];
                n.last_leader_status_at = now_;
                n.partition_responder->on_delegation(leave, n.shard_holder->incarnation(), now_);
            });
        }
        for (auto& [name, g] : leader()->shard_renewals(now_ - 200, now_)) {
            leader_by_lease()->trace("peer-message", name, traced(peers::encode(g)));
            std::size_t i = name == holder_settings_[0].name ? 0 : 1;
            if (chance(faults_.lost_peer_messages) || responder_partitioned(i) ||
                faults_.holder_one_way_partition)
                continue;
            if (faults_.lost_shard_grants > 0 && chance(faults_.lost_shard_grants)) continue;
            Millis late = chance(faults_.lost_peer_messages) ? delay(6000) : delay(20);
            at(now_ + late, [this, i, grant = g] {
                auto& h = *controllers_[i]->shard_holder;
                h.on_grant(grant, types_, now_, now_);
                if (h.state() != control::ShardHolderState::empty) ++accepted_shard_grants_;
            });
        }
    });
}

ClusterSimulation::~ClusterSimulation() = default;

ClusterSimulation::Controller* ClusterSimulation::leader_by_lease() {
    auto it = std::find_if(controllers_.begin(), controllers_.end(),
                           [](const auto& n) { return n->leads; });
    return it == controllers_.end() ? nullptr : it->get();
}

control::ControlLoop* ClusterSimulation::leader() {
    Controller* n = leader_by_lease();
    return n == nullptr ? nullptr : n->control_loop.get();
}

// A new leader begins a term and reads the records; the old one may go on answering for a while.
void ClusterSimulation::fail_over() {
    for (auto& n : controllers_) {
        if (!n->leads) continue;
        n->leads = false;
        if (chance(faults_.lingering_old_leaders)) {
            n->control_loop->confirm_lease_until(0);
            n->responds_until = now_ + partition::longest_response_window(settings_);
        } else {
            n->control_loop.reset();
        }
    }
    ++term_;
    set_key("lead/term", Json{{"term", term_}});
    std::size_t index = controllers_.size();  // its zone is never cut off
    controllers_.push_back(std::make_unique<Controller>());
    Controller& n = *controllers_.back();
    n.simulation = this;
    n.index = index;
    n.term = term_;
    n.leads = true;
    load(index);
}

// The new leader reads the records: users' wishes, blocks, intents and checkpoints, one list after
// the other and in pages, as the program does. Where lists are not slow it takes no time.
void ClusterSimulation::load(std::size_t index) {
    Controller& n = *controllers_[index];
    if (!n.leads) return;
    if (!state_service_answers(n) || now_ < n.frozen_until) {
        at(now_ + 500, [this, index] { load(index); });
        return;
    }
    auto got = std::make_shared<LoadProgress>();
    got->began = now_;
    got->revision = revision_;
    read_next_page(index, std::move(got));
}

void ClusterSimulation::read_next_page(std::size_t index, std::shared_ptr<LoadProgress> got) {
    static const char* prefixes[] = {"open/", "run/", "block/", autoscaling::kIntentKeyPrefix};
    constexpr std::size_t kPage = 4;
    Controller& n = *controllers_[index];
    if (!n.leads) return;
    if (!state_service_answers(n) || now_ < n.frozen_until)
        return load(index);  // from the beginning
    for (; got->prefix < std::size(prefixes); ++got->prefix, got->after.clear()) {
        const std::string prefix = prefixes[got->prefix];
        auto it = keys_.upper_bound(std::max(prefix, got->after));
        for (std::size_t i = 0; it != keys_.end() && it->first.rfind(prefix, 0) == 0; ++it, ++i) {
            if (faults_.list_delay > 0 && i == kPage) break;
            got->records[it->first] = it->second;
            got->after = it->first;
        }
        if (faults_.list_delay == 0) continue;
        if (it == keys_.end() || it->first.rfind(prefix, 0) != 0) ++got->prefix, got->after.clear();
        at(now_ + delay(faults_.list_delay), [this, index, got] { read_next_page(index, got); });
        return;
    }
    start_control_loop(index, *got);
}

void ClusterSimulation::start_control_loop(std::size_t index, const LoadProgress& got) {
    Controller& n = *controllers_[index];
    n.state_seen_at = got.began;
    cluster::ServiceGateway& gateway = n;
    n.control_loop = std::make_unique<control::ControlLoop>(
        settings_, control::TermInfo{n.term, "lead/term", keys_["lead/term"].version}, gateway,
        now_);
    if (leader_leases_) n.control_loop->confirm_lease_until(n.leads_until);
    n.control_loop->set_machine_types(types_);
    for (lease::Role role : lease::kAllRoles) {
        set_key(lease::role_key(role), Json{{"holder", "node"}});
        n.control_loop->set_role_fence(role, revision_);
    }
    options_.delegated_machines = share_;
    n.control_loop->set_options(options_);
    for (const auto& [key, stored] : got.records) {
        std::uint32_t b = 0;
        if (!shards::parse_shard_key(key, b)) continue;
        auto shard = shards::decode_shard(stored.value);
        ASSERT_TRUE(shard);
        shard->version = stored.version;
        n.control_loop->load_shard(b, *shard);
    }
    for (const auto& [key, stored] : got.records) {
        if (key.rfind(autoscaling::kIntentKeyPrefix, 0) == 0)
            n.control_loop->load_intents(key, stored.value, stored.version);
    }
    for (const auto& [key, stored] : got.records) {
        if (!jobs::job_id_of_open_key(key).empty()) {
            n.control_loop->load_job(*jobs::decode_open_record(stored.value), stored.version, now_,
                                     now_);
        }
    }
    for (const auto& [key, stored] : got.records) {
        std::string id;
        std::uint32_t chunk = 0;
        if (jobs::parse_run_key(key, id, chunk)) {
            n.control_loop->load_checkpoint(id, chunk, *jobs::decode_run_record(stored.value),
                                            stored.version, now_);
        }
    }
    n.control_loop->start(now_);
    // The watch goes on from the first page.
    for (const auto& [key, stored] : keys_) {
        if (jobs::job_id_of_open_key(key).empty() || stored.version <= got.revision) continue;
        ++coverage_.cancellations_during_load;
        notify_leader(key);
    }
    deliver_held_heartbeats();
    at(now_ + 100, [this, index] { tick_controller(index); });
}

bool ClusterSimulation::leader_is_loading() {
    Controller* n = leader_by_lease();
    return n != nullptr && !n->control_loop && n->rejected_until != kNever;
}

Millis ClusterSimulation::watch_delivery_time() {
    const Millis t = now_ + delay(20 + faults_.watch_delay);
    return faults_.watch_delay == 0 ? t : watched_at_ = std::max(watched_at_, t);
}

// A copy, or the report itself where it was on its way to one node.
void ClusterSimulation::hold_for_next_leader(const wire::Heartbeat& heartbeat, std::size_t node,
                                             bool follows) {
    if (held_heartbeats_.size() < 400)
        held_heartbeats_.push_back(
            {heartbeat, node, follows, machines_[heartbeat.machine]->process_generation});
}

// Copies reach every controller in the moment in which one begins, and again when it has acted;
// what was held on its way arrives then.
void ClusterSimulation::deliver_held_heartbeats() {
    for (HeldHeartbeat& k : std::exchange(held_heartbeats_, {})) {
        const Machine& machine = *machines_[k.heartbeat.machine];
        ++coverage_.held_copies;
        coverage_.held_copies_of_gone_machines += machine.removed || machine.dead ? 1 : 0;
        coverage_.held_copies_of_old_incarnations +=
            machine.process_generation != k.process_generation ||
                    machine.incarnation > k.heartbeat.incarnation
                ? 1
                : 0;
        auto everywhere = [this, k] {
            for (std::size_t i = 0; i < controllers_.size(); ++i)
                if (k.controller == SIZE_MAX || k.controller == i)
                    deliver_heartbeat(i, k.heartbeat, k.follows_reply && k.controller == i);
        };
        if (k.controller == SIZE_MAX) {
            everywhere();
            at(now_ + delay(3'000), everywhere);
        } else {
            ++coverage_.held_heartbeats_delivered;
        }
        at(now_ + delay(40'000), everywhere);
        // And at whoever leads by then.
        at(now_ + delay(40'000),
           [this, k] { deliver_heartbeat(controllers_.size() - 1, k.heartbeat, false); });
    }
}

// --- seats

void ClusterSimulation::simulate_leader_leases() {
    leader_leases_ = true;
    if (Controller* n = leader_by_lease()) n->lease_end = now_ + lease::kLeaseDuration;
    update_leader_leases();
}

// Its hold is new, or was renewed a moment ago.
void ClusterSimulation::renew_leader_lease(Controller& n) {
    n.lease_end = now_ + lease::kLeaseDuration;
    n.leads_until = now_ - 20 + without_clock_drift(lease::kLeaseDuration);
    if (n.control_loop) n.control_loop->confirm_lease_until(n.leads_until);
}

bool ClusterSimulation::may_respond(const Controller& n) const {
    return now_ >= n.frozen_until && now_ < n.state_seen_at + n.control_loop->max_response_window();
}

// Renewals, the watch that dates a leader's view, and the end of holds.
void ClusterSimulation::update_leader_leases() {
    at(now_ + 300, [this] { update_leader_leases(); });
    if (!state_service_up()) return;
    Controller* first = leader_by_lease();
    const bool seated = first != nullptr && now_ < first->lease_end;
    if (seated && state_service_answers(*first) && now_ >= first->frozen_until) {
        renew_leader_lease(*first);
        if (now_ - first->state_seen_at > 1'700) first->state_seen_at = now_ - 200;
    }
    // Whoever lost it hears so when it hears the state service again.
    for (auto& n : controllers_) {
        if (!n->control_loop || (n->leads && seated) || now_ < n->frozen_until ||
            !state_service_answers(*n))
            continue;
        n->leads = false;
        n->control_loop.reset();
    }
    if (seated) return;
    if (Controller* n = leader_by_lease()) n->leads = false;
    fail_over();
    renew_leader_lease(*controllers_.back());
}

void ClusterSimulation::reject_leader_at_state_service(Millis length) {
    if (Controller* n = leader_by_lease())
        n->rejected_until = std::max(n->rejected_until, now_ + length);
}

void ClusterSimulation::take_state_service_down(Millis length) {
    const Millis until = now_ + length;
    state_service_down_until_ = std::max(state_service_down_until_, until);
    at(until, [this] {
        // Every hold that had not ended has its full time again.
        if (Controller* n = leader_by_lease(); n != nullptr && state_service_up())
            n->lease_end = now_ + lease::kLeaseDuration;
    });
}

void ClusterSimulation::interrupt_watch(Millis length) {
    watch_lost_until_ = now_ + length;
    at(watch_lost_until_, [this] {
        if (leader() == nullptr) return;
        kvstore::ListReply all;
        for (const auto& [key, stored] : keys_)
            if (!jobs::job_id_of_open_key(key).empty())
                all.entries.push_back({key, stored.value, stored.version, false});
        leader()->on_open_list(all, now_, now_);
    });
}

void ClusterSimulation::count_unrecorded_completions() {
    for (const TaskId& id : done_) {
        if (!final_state(id.first).empty()) continue;
        auto it = keys_.find(jobs::run_key(id.first, id.second / jobs::kChunkTasks));
        auto run = it == keys_.end() ? std::nullopt : jobs::decode_run_record(it->second.value);
        if (run && (run->done >> (id.second % jobs::kChunkTasks) & 1) == 0)
            ++coverage_.unrecorded_completions;
    }
}

std::vector<std::string> ClusterSimulation::jobs_reported_late(Millis longer) const {
    std::vector<std::string> out;
    for (const auto& [id, spec] : specs_) {
        if (!final_state(id).empty()) continue;
        bool all = true;
        for (std::uint32_t t = 0; t < spec.tasks && all; ++t) {
            auto it = done_at_.find({id, t});
            all = it != done_at_.end() && now_ - it->second > longer;
        }
        if (all) out.push_back(id);
    }
    return out;
}

Millis ClusterSimulation::completed_at(const std::string& id) const {
    Millis last = 0;
    for (std::uint32_t t = 0; t < specs_.at(id).tasks; ++t) {
        auto it = done_at_.find({id, t});
        if (it == done_at_.end()) return 0;
        last = std::max(last, it->second);
    }
    return last;
}

Millis ClusterSimulation::final_at(const std::string& id) const {
    auto it = final_at_.find(id);
    return it == final_at_.end() ? 0 : it->second;
}

std::size_t ClusterSimulation::count_records(const std::string& prefix) const {
    return static_cast<std::size_t>(std::count_if(
        keys_.begin(), keys_.end(), [&](const auto& k) { return k.first.rfind(prefix, 0) == 0; }));
}

void ClusterSimulation::reload_open_records(Millis after) {
    listed_at_ = now_;
    watch_from_ = std::max(watch_from_, now_ + after);  // it goes on from the list
    kvstore::ListReply all;
    all.status = kvstore::Status::ok;
    for (const auto& [key, stored] : keys_) {
        if (!jobs::job_id_of_open_key(key).empty())
            all.entries.push_back({key, stored.value, stored.version, false});
    }
    at(now_ + after, [this, all, term = term_] {
        if (leader() != nullptr && term == term_) leader()->on_open_list(all, now_, now_);
    });
}

void ClusterSimulation::crash_leader() {
    count_unrecorded_completions();
    if (Controller* n = leader_by_lease()) {
        n->control_loop.reset();
        n->rejected_until = kNever;  // nobody renews its hold
    }
}

void ClusterSimulation::freeze_leader(Millis length) {
    if (Controller* n = leader_by_lease()) n->frozen_until = now_ + length;
}

void ClusterSimulation::request_cancel_until_answered(const std::string& id) {
    if (!final_state(id).empty()) return;
    if (state_service_up()) cancel(id);
    at(now_ + 1'000, [this, id] { request_cancel_until_answered(id); });
}

void ClusterSimulation::tick_controller(std::size_t i) {
    Controller& n = *controllers_[i];
    if ((!n.leads && !leader_leases_) || !n.control_loop) return;
    if (now_ < n.frozen_until) {
        at(n.frozen_until + 1, [this, i] { tick_controller(i); });
        return;
    }
    n.control_loop->tick(now_);
    if (now_ % 4000 < 100 || !n.listed) {
        n.listed = true;
        n.control_loop->on_instances_listed(cloud_list(), now_, now_);
        count_cloud_list();
    }
    at(now_ + 100, [this, i] { tick_controller(i); });
}

// As old as it says, or older: new machines are missing, those that went still appear.
std::vector<wire::CloudInstance> ClusterSimulation::cloud_list() const {
    Millis then = now_;
    if (faults_.cloud_list_lag > 0) then -= faults_.cloud_list_lag * (1 + now_ / 1000 % 2);
    std::vector<wire::CloudInstance> hosts;
    for (const auto& [name, m] : machines_) {
        if (m->provisioned_at > then || m->removed_at <= then) continue;
        hosts.push_back({name, name, m->type, m->zone, m->spot,
                         m->failed          ? wire::InstanceStatus::failed
                         : m->up_at <= then ? wire::InstanceStatus::running
                                            : wire::InstanceStatus::booting,
                         1});
    }
    return hosts;
}

void ClusterSimulation::count_cloud_list() {
    std::map<std::string, wire::InstanceStatus> listed;
    for (const wire::CloudInstance& instance : cloud_list()) listed[instance.id] = instance.status;
    for (const auto& [name, m] : machines_) {
        auto it = listed.find(name);
        if (m->removed) coverage_.gone_but_listed += it != listed.end() ? 1 : 0;
        if (m->removed || m->tasks.empty()) continue;
        coverage_.working_but_unlisted += it == listed.end() ? 1 : 0;
        coverage_.working_but_listed_booting +=
            it != listed.end() && it->second == wire::InstanceStatus::booting ? 1 : 0;
    }
}

void ClusterSimulation::set_options(const admin::Options& options) {
    options_ = options;
    options_.delegated_machines = share_;
    if (leader() != nullptr) leader()->set_options(options_);
}

std::size_t ClusterSimulation::recorded_intents() const {
    std::size_t n = 0;
    for (const auto& [key, stored] : keys_) {
        auto parsed = autoscaling::parse_intent_key(key);
        if (!parsed) continue;
        auto intents = autoscaling::decode_intents(parsed->first, stored.value);
        EXPECT_TRUE(intents) << key;
        n += intents ? intents->size() : 0;
    }
    return n;
}

Millis ClusterSimulation::send_fault() {
    if (++sends_ != inject_at_send_) return 0;
    const SendFault fault = send_fault_;
    if (fault == SendFault::crash || fault == SendFault::freeze) {
        at(now_ + 1, [this, fault] {
            // One that stands still keeps its book, and answers nobody meanwhile.
            faults_.lingering_old_leaders = fault == SendFault::freeze ? 1 : 0;
            fail_over();
            for (auto& n : controllers_) n->responds_until = now_;
        });
    }
    return fault == SendFault::freeze || fault == SendFault::delay ? 25'000 : 0;
}

ClusterSimulation::CloudDelivery ClusterSimulation::cloud_delivery() {
    if (faults_.cloud_down) return {now_ + 1'000'000'000, true};
    const Millis held = send_fault();
    const bool late = held > 0 || chance(faults_.late_cloud_calls);
    const bool lost = late || chance(faults_.lost_cloud_replies);
    return {now_ + (held > 0 ? held : late ? 4'000 + delay(56'000) : delay(300)), lost};
}

void ClusterSimulation::set_key(const std::string& key, const Json& value) {
    keys_[key] = {value, ++revision_};
}

void ClusterSimulation::notify_leader(const std::string& key, Millis after) {
    at(after + watch_delivery_time(), [this, key] {
        auto it = keys_.find(key);
        if (leader() == nullptr || it == keys_.end() || now_ < watch_lost_until_) return;
        // The watch is answered when it can be.
        const Controller& n = *leader_by_lease();
        if (!state_service_answers(n) || now_ < n.frozen_until || now_ < watch_from_)
            return notify_leader(key, 500);
        leader()->on_open_record(*jobs::decode_open_record(it->second.value), it->second.version,
                                 now_, now_);
        leader()->tick(now_);
    });
}

bool ClusterSimulation::take_write_budget(std::size_t changes) {
    const double rate = faults_.state_writes_per_s, some = static_cast<double>(changes);
    if (rate > 0) {
        const double since = static_cast<double>(now_ - write_budget_at_) / 1'000;
        write_budget_ = std::min(rate, write_budget_ + rate * since);
        write_budget_at_ = now_;
        if (write_budget_ < some) return false;
        write_budget_ -= some;
    }
    state_changes_ += changes;
    return true;
}

void ClusterSimulation::submit(const Json& spec) {
    const auto parsed = wire::parse_job(spec);
    ASSERT_TRUE(parsed) << parsed.error().message();
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

std::string ClusterSimulation::final_state(const std::string& id) const {
    auto it = keys_.find(jobs::job_key(id));
    return it == keys_.end() ? "" : wire::text_field(it->second.value, "final").value_or("");
}

// From here on its user is told: nothing of it may be anywhere, or come to be.
void ClusterSimulation::on_cancel_confirmed(const std::string& id) {
    EXPECT_EQ(cancel_requested_.count(id), 1u) << "went_back: nobody cancelled " << id;
    EXPECT_NE(final_state(id), "done") << "went_back: " << id;
    cancelled_.emplace(id, now_);
    cancellations_confirmed_beside_old_ += std::any_of(
        controllers_.begin(), controllers_.end(),
        [&](const auto& n) { return n->control_loop && n->term < term_ && may_respond(*n); });
    for (auto& [name, m] : machines_) {
        advance_tasks(*m);
        if (m->removed || m->dead) continue;
        for (auto& [task, t] : m->tasks) {
            EXPECT_TRUE(task.first != id || t.phase == "exited")
                << id << "/" << task.second << " is still on " << name;
        }
    }
}

kvstore::CommitReply ClusterSimulation::apply_transaction(const kvstore::Transaction& transaction) {
    kvstore::CommitReply reply;
    for (const auto& c : transaction.conditions) {
        auto it = keys_.find(c.key);
        if ((it == keys_.end() ? 0 : it->second.version) != c.version)
            reply.failed_conditions.push_back(c.key);
    }
    EXPECT_LE(transaction.writes.size(), settings_.state_txn_ops);
    EXPECT_LE(transaction.conditions.size(), 4 * settings_.state_txn_ops);
    if (!reply.failed_conditions.empty()) {
        reply.status = kvstore::Status::conflict;
        reply.revision = revision_;
        return reply;
    }
    reply.status = kvstore::Status::ok;
    reply.revision = ++revision_;
    for (const auto& w : transaction.writes) {
        if (!w.value) {
            keys_.erase(w.key);
            if (std::string id = jobs::job_id_of_open_key(w.key); !id.empty()) {
                const Millis slow =
                    faults_.deletion_notice_delay > 0 ? delay(faults_.deletion_notice_delay) : 0;
                at(std::max(watch_delivery_time(), watch_from_) + slow, [this, id, then = now_] {
                    // What the watch has missed is in the list.
                    if (leader() != nullptr && then >= listed_at_ && now_ >= watch_lost_until_)
                        leader()->on_open_record_deleted(id, now_);
                });
            }
            continue;
        }
        EXPECT_LE(w.value->dump().size(), 8 * 1024u);
        if (w.key.rfind("job/", 0) == 0 && wire::text_field(*w.value, "final") == "withdrawn") {
            on_cancel_confirmed(w.key.substr(4));
        }
        if (std::string id = w.key.substr(std::min<std::size_t>(4, w.key.size()));
            w.key == jobs::job_key(id)) {
            EXPECT_EQ(final_state(id), "") << "went_back: " << id << " is told twice";
            final_at_.emplace(id, now_);
        }
        keys_[w.key] = {*w.value, revision_};
        if (w.key.rfind("job/", 0) == 0 && wire::text_field(*w.value, "final") == "done") {
            std::string id = w.key.substr(4);
            EXPECT_EQ(cancelled_.count(id), 0u) << id << " was cancelled, then called done";
            for (std::uint32_t t = 0; t < specs_[id].tasks; ++t) {
                EXPECT_TRUE(done_.count({id, t})) << "not_done: " << id << "/" << t;
            }
        }
    }
    return reply;
}

// Of the table in docs/design/meetings.md, as far as leaders and holders write them.
static const char* what_of(const kvstore::Transaction& transaction) {
    bool run = false;
    for (const auto& w : transaction.writes) {
        if (w.key.rfind("job/", 0) == 0) return "end";
        if (w.key.rfind("block/", 0) == 0) return "block";
        if (w.key.rfind(autoscaling::kIntentKeyPrefix, 0) == 0) return "intent";
        run |= w.value.has_value();
    }
    return run ? "checkpoint" : "left over";
}

bool ClusterSimulation::loses_reply_of(const kvstore::Transaction& transaction) {
    if (faults_.lost_commit_replies == 0) return false;
    const std::string& of = faults_.lost_commit_replies_of;
    return (of.empty() || of == what_of(transaction)) && chance(faults_.lost_commit_replies);
}

void ClusterSimulation::Controller::commit(
    kvstore::Transaction transaction,
    std::function<void(Millis, const kvstore::CommitReply&)> done) {
    trace("commit", traced(transaction));
    ClusterSimulation& w = *simulation;
    if (!w.state_service_answers(*this) || (w.leader_leases_ && w.now_ >= leads_until) ||
        !w.take_write_budget(transaction.writes.size())) {
        kvstore::CommitReply reply;
        reply.status = kvstore::Status::refused;
        w.at(w.now_ + w.delay(10), [&w, reply, done] { done(w.now_, reply); });
        return;
    }
    const Millis held = w.send_fault();
    bool lost = held > 0 || w.chance(w.faults_.unknown_commits);
    Millis arrive =
        w.now_ + held + (held == 0 && lost && w.chance(0.5) ? w.delay(40'000) : w.delay(10));
    const bool late = arrive > w.now_ + 2'500;
    const bool at_once = !lost && w.loses_reply_of(transaction);
    lost |= at_once;
    w.at(arrive, [&w, transaction, done, lost, late, at_once] {
        kvstore::CommitReply reply;
        reply.status = kvstore::Status::refused;
        if (w.state_service_up()) reply = w.apply_transaction(transaction);
        if (at_once && reply.status == kvstore::Status::ok) {
            ++w.coverage_.lost_commit_replies[what_of(transaction)];
            if (w.on_commit_reply_lost) w.on_commit_reply_lost(what_of(transaction));
        }
        if (late)
            ++(reply.status == kvstore::Status::ok ? w.coverage_.late_commits_applied
                                                   : w.coverage_.late_commits_refused);
        if (!lost) w.at(w.now_ + w.delay(5), [&w, reply, done] { done(w.now_, reply); });
    });
    if (lost) w.at(w.now_ + 2500, [&w, done] { done(w.now_, kvstore::CommitReply{}); });
}

void ClusterSimulation::Controller::read(
    const std::string& key, std::function<void(Millis, const kvstore::GetReply&)> done) {
    trace("get", key);
    ClusterSimulation& w = *simulation;
    w.at(w.now_ + w.delay(10), [&w, this, key, done] {
        kvstore::GetReply reply;
        reply.status = kvstore::Status::refused;
        if (!w.state_service_answers(*this)) return done(w.now_, reply);
        auto it = w.keys_.find(key);
        reply.status = it == w.keys_.end() ? kvstore::Status::missing : kvstore::Status::ok;
        if (it != w.keys_.end()) reply.entry = {key, it->second.value, it->second.version, false};
        done(w.now_, reply);
    });
}

void ClusterSimulation::Controller::list(
    const std::string& prefix, std::function<void(Millis, const kvstore::ListReply&)> done) {
    trace("list", prefix);
    ClusterSimulation& w = *simulation;
    w.at(w.now_ + w.delay(10 + w.faults_.list_delay), [&w, this, prefix, done] {
        kvstore::ListReply reply;
        reply.status = kvstore::Status::refused;
        if (!w.state_service_answers(*this)) return done(w.now_, reply);
        reply.status = kvstore::Status::ok;
        for (auto& [key, stored] : w.keys_) {
            if (key.rfind(prefix, 0) != 0) continue;
            reply.entries.push_back({key, stored.value, stored.version, false});
        }
        done(w.now_, reply);
    });
}

void ClusterSimulation::Controller::send_commands(
    const std::string& machine, const std::string& address, std::uint64_t token,
    std::uint64_t session, const std::vector<wire::Command>& commands,
    std::function<void(Millis, const cluster::CommandReply&)> done) {
    trace("direct", machine, address, token, session, traced(commands));
    ClusterSimulation& w = *simulation;
    const bool starts = std::any_of(commands.begin(), commands.end(),
                                    [](const auto& c) { return c.op == wire::Command::Op::start; });
    // What the gates of app::Node let through.
    if (w.leader_leases_ && control_loop &&
        (starts ? w.now_ >= leads_until : !w.may_respond(*this))) {
        cluster::CommandReply reply;
        reply.delivery = cluster::DeliveryStatus::refused;
        w.at(w.now_ + 1, [&w, reply, done] { done(w.now_, reply); });
        return;
    }
    if (w.faults_.refused_commands > 0 && w.chance(w.faults_.refused_commands)) {
        cluster::CommandReply reply;
        reply.delivery = cluster::DeliveryStatus::refused;
        w.at(w.now_ + w.delay(10), [&w, reply, done] { done(w.now_, reply); });
        return;
    }
    bool held = w.chance(w.faults_.delayed_commands);
    bool lost = held || w.chance(w.faults_.lost_command_replies);
    auto replied = std::make_shared<bool>(false);
    Millis arrive = w.now_ + (held ? w.delay(60'000) : w.delay(10));
    auto there = w.machines_.find(machine);
    if (const Partition* partition =
            there == w.machines_.end() ? nullptr : w.partition_of(*there->second)) {
        lost = true;
        arrive =
            partition->delays_commands ? partition->until + w.delay(500) : w.now_ + 1'000'000'000;
    }
    w.at(arrive, [&w, machine, token, session, commands, done, lost, replied, held] {
        auto it = w.machines_.find(machine);
        if (it == w.machines_.end() || !it->second->up || it->second->removed || it->second->dead ||
            w.now_ < it->second->inbound_blocked_until ||
            w.now_ < it->second->commands_blocked_until)
            return;
        Machine& m = *it->second;
        w.advance_tasks(m);  // its session may have ended by now
        cluster::CommandReply reply;
        reply.delivery = cluster::DeliveryStatus::delivered;
        reply.executed = token >= m.token && session == m.incarnation;
        if (held)
            ++(reply.executed ? w.coverage_.delayed_commands_executed
                              : w.coverage_.delayed_commands_refused);
        if (reply.executed) {
            m.token = token;
            w.execute(m, commands);
        }
        reply.heartbeat = w.make_heartbeat(m);
        if (lost) return;
        *replied = true;
        w.at(w.now_ + w.delay(10), [&w, reply, done] { done(w.now_, reply); });
    });
    w.at(w.now_ + 2000, [&w, done, replied] {
        if (!*replied) done(w.now_, cluster::CommandReply{});
    });
}

void ClusterSimulation::Controller::provision_machines(
    const std::string& request, const std::string& type, const std::string& zone, bool spot,
    std::uint32_t count, std::function<void(Millis, const cloud::ProvisionReply&)> done) {
    trace("rent", request, type, zone, spot, count);
    ClusterSimulation& w = *simulation;
    const Rental asked{type, zone, spot, count, {}};
    w.provisioned_types_.push_back(type);
    const auto [arrive, lost] = w.cloud_delivery();
    w.at(arrive, [&w, request, asked, done, lost = lost] {
        auto reply = w.provision(request, asked);
        if (lost) return;
        for (const std::string& name : reply.machines)
            w.machines_[name]->named_in_rental_reply = true;
        done(w.now_, reply);
    });
    if (lost) w.at(w.now_ + 4'000, [&w, done] { done(w.now_, cloud::ProvisionReply{}); });
}

// A name that was rented gets the same answer, and rents nothing.
cloud::ProvisionReply ClusterSimulation::provision(const std::string& request,
                                                   const Rental& asked) {
    cloud::ProvisionReply reply;
    auto known = rentals_.find(request);
    if (known != rentals_.end()) {
        const Rental& r = known->second;
        EXPECT_EQ(std::tie(r.type, r.zone, r.spot, r.count),
                  std::tie(asked.type, asked.zone, asked.spot, asked.count))
            << "the name " << request << " was used for something else";
        reply.result = cloud::ProvisionReply::Result::provisioned;
        reply.machines = r.machines;
        return reply;
    }
    if (asked.zone == faults_.exhausted_zone || chance(faults_.refused_provisioning) ||
        machines_.size() > 400) {
        reply.result = cloud::ProvisionReply::Result::no_capacity;
        return reply;
    }
    reply.result = cloud::ProvisionReply::Result::provisioned;
    for (std::uint32_t i = 0; i < asked.count; ++i) {
        auto machine = std::make_unique<Machine>();
        machine->name = "i-" + std::to_string(100000 + provisioned_machines_++);
        machine->type = asked.type;
        machine->zone = asked.zone;
        machine->spot = asked.spot;
        machine->provisioned_at = now_;
        machine->faulty = chance(faults_.faulty_machines);
        reply.machines.push_back(machine->name);
        std::string name = machine->name;
        machines_[name] = std::move(machine);
        at(now_ + faults_.min_boot + delay(faults_.max_boot - faults_.min_boot),
           [this, name] { boot_completed(name); });
    }
    rentals_[request] = asked;
    rentals_[request].machines = reply.machines;
    return reply;
}

void ClusterSimulation::Controller::release_machines(const std::vector<std::string>& names,
                                                     std::function<void(Millis, bool)> done) {
    trace("return", names);
    ClusterSimulation& w = *simulation;
    const auto [arrive, lost] = w.cloud_delivery();
    w.at(arrive, [&w, names, done, lost = lost, by = term] {
        w.release(names, by);
        if (!lost) done(w.now_, true);
    });
    if (lost) w.at(w.now_ + 4'000, [&w, done] { done(w.now_, false); });
}

void ClusterSimulation::release(const std::vector<std::string>& names, std::uint64_t by) {
    for (const std::string& name : names) {
        auto it = machines_.find(name);
        if (it == machines_.end() || it->second->removed) continue;
        for (const auto& [id, t] : it->second->tasks) {
            EXPECT_LE(t.term, by) << "a return of term " << by << " took " << name << " away from "
                                  << id.first << "/" << id.second << " of term " << t.term;
        }
        it->second->removed = true;
        it->second->removed_at = now_;
        it->second->tasks.clear();
    }
}

std::size_t ClusterSimulation::released_machines(const std::string& zone) const {
    std::size_t n = 0;
    for (const auto& [name, m] : machines_)
        n += m->removed && !m->dead && (zone.empty() || m->zone == zone) ? 1 : 0;
    return n;
}

void ClusterSimulation::boot_completed(const std::string& name) {
    Machine& machine = *machines_[name];
    if (machine.removed) return;
    machine.up = true;
    machine.up_at = now_;
    machine.lease_from = now_;
    machine.target = random_() % controllers_.size();
    send_heartbeat(name, machine.process_generation);
}

std::string ClusterSimulation::any_machine() {
    const auto all = working_machines();
    return all.empty() ? "" : all.front();
}

// Dies without a word; what was on it is gone.
void ClusterSimulation::kill_machine(const std::string& name) {
    Machine& machine = *machines_[name];
    machine.dead = true;
    machine.tasks.clear();
}

void ClusterSimulation::fail_machine(const std::string& name) {
    kill_machine(name);
    machines_[name]->failed = true;
}

wire::Heartbeat ClusterSimulation::make_heartbeat(Machine& machine) {
    wire::Heartbeat heartbeat;
    heartbeat.machine = heartbeat.address = machine.name;
    heartbeat.type = machine.type;
    heartbeat.zone = machine.zone;
    heartbeat.spot = machine.spot;
    heartbeat.incarnation = machine.incarnation;
    heartbeat.sequence = ++machine.sequence;
    heartbeat.token = machine.token;
    for (auto& [id, t] : machine.tasks) {
        wire::TaskReport tr;
        tr.job = id.first;
        tr.task = id.second;
        tr.attempt = t.attempt;
        tr.phase = t.phase == "fetching"    ? wire::TaskPhase::fetching
                   : t.phase == "gathering" ? wire::TaskPhase::waiting
                   : t.phase == "running"   ? wire::TaskPhase::running
                   : t.phase == "saving"    ? wire::TaskPhase::saving
                                            : wire::TaskPhase::exited;
        if (t.phase == "exited") {
            tr.cause = t.cause == "done"      ? wire::ExitCause::done
                       : t.cause == "error"   ? wire::ExitCause::error
                       : t.cause == "alone"   ? wire::ExitCause::alone
                       : t.cause == "peers"   ? wire::ExitCause::peers
                       : t.cause == "no_room" ? wire::ExitCause::no_room
                       : t.cause == "busy"    ? wire::ExitCause::busy
                                              : wire::ExitCause::stopped;
        }
        heartbeat.tasks.push_back(tr);
    }
    return heartbeat;
}

// What the node says to a report, at this moment.
machines::HeartbeatReply ClusterSimulation::deliver_heartbeat(
    std::size_t node, const wire::Heartbeat& heartbeat, const machines::HeartbeatArrival& arrival) {
    Controller& n = *controllers_[node];
    machines::HeartbeatReply reply;
    reply.status = 503;
    if (n.shard_holder && n.shard_holder->holds(heartbeat.machine))
        reply = n.shard_holder->on_heartbeat(heartbeat, arrival.follows_reply, now_);
    if (n.control_loop && (leader_leases_ ? may_respond(n) : n.leads || now_ < n.responds_until)) {
        reply = n.control_loop->on_heartbeat(heartbeat, arrival, now_);
        replies_by_old_ += reply.status == 200 && n.term < term_ && leader_leases_ ? 1 : 0;
    }
    if (n.partition_responder && reply.status != 200) {
        Millis heard = responder_partitioned(node) ? n.last_leader_status_at : now_;
        n.partition_responder->update(heard, heard, now_);
        if (auto token =
                n.partition_responder->token_for_reply(heartbeat, arrival.follows_reply, now_)) {
            reply = {200, "", *token, {}};
            ++replies_by_responders_;
        }
    }
    trace_.add(now_, "report-answer", node, heartbeat.machine, heartbeat.incarnation,
               heartbeat.sequence, traced(reply));
    return reply;
}

// Over a connection of their own, whose answers nobody reads.
void ClusterSimulation::send_late_copies(const wire::Heartbeat& heartbeat) {
    while (chance(faults_.late_heartbeat_copies)) {
        at(now_ + 500 + delay(90'000), [this, heartbeat] {
            ++heartbeat_copies_;
            coverage_.copies_of_old_incarnations +=
                machines_[heartbeat.machine]->incarnation > heartbeat.incarnation ? 1 : 0;
            coverage_.copies_of_old_attempts +=
                std::any_of(heartbeat.tasks.begin(), heartbeat.tasks.end(), [&](auto& t) {
                    auto it = latest_attempt_.find({t.job, t.task});
                    return it != latest_attempt_.end() && it->second > t.attempt;
                });
            deliver_heartbeat(random_() % controllers_.size(), heartbeat, false);
        });
    }
}

void ClusterSimulation::redeliver_heartbeat(const std::string& machine, bool first, Millis after) {
    at(now_ + after,
       [this, heartbeat = first ? machines_[machine]->first : machines_[machine]->last] {
           ++heartbeat_copies_;
           for (std::size_t i = 0; i < controllers_.size(); ++i) {
               if (!controllers_[i]->leads) continue;
               const auto reply = deliver_heartbeat(i, heartbeat, false);
               EXPECT_TRUE(reply.commands.empty()) << "orders to a copy";
               answered_heartbeat_copies_ += reply.status == 200 ? 1 : 0;
           }
       });
}

void ClusterSimulation::restart_machine(const std::string& name) {
    Machine& machine = *machines_[name];
    if (machine.removed || machine.dead || !machine.up) return;
    machine.tasks.clear();
    machine.acknowledged_pending.clear();
    machine.incarnation = 1;
    machine.sequence = machine.token = 0;
    machine.lease_from = now_;
    machine.last_heartbeat_answered = machine.unanswered = false;
    machine.answered_term = 0;
    const std::size_t life = ++machine.process_generation;
    at(now_ + delay(300), [this, name, life] { send_heartbeat(name, life); });
}

// One report, its answer, and the next.
void ClusterSimulation::send_heartbeat(const std::string& name, std::size_t life) {
    Machine& machine = *machines_[name];
    if (machine.removed || machine.dead || machine.process_generation != life) return;
    if (const Partition* partition = partition_of(machine);
        partition != nullptr && partition->freezes_machines) {
        at(partition->until + delay(500), [this, name, life] { send_heartbeat(name, life); });
        return;
    }
    advance_tasks(machine);
    at(now_ + 2300 + delay(1400), [this, name, life] { send_heartbeat(name, life); });
    if (machine.unanswered)
        machine.target =
            (machine.target + 1) % controllers_.size();  // the next, as the protocol has it
    const bool follows = std::exchange(machine.last_heartbeat_answered, false);
    machine.unanswered = true;
    Millis sent = now_;
    std::uint64_t session = machine.incarnation;
    wire::Heartbeat heartbeat = make_heartbeat(machine);
    if (machine.first.machine.empty()) machine.first = heartbeat;
    machine.last = heartbeat;
    send_late_copies(heartbeat);
    if (faults_.copies_for_next_leader > 0 && chance(faults_.copies_for_next_leader))
        hold_for_next_leader(heartbeat, SIZE_MAX, false);
    if (faults_.heartbeats_held_for_next_leader > 0 &&
        chance(faults_.heartbeats_held_for_next_leader))
        return hold_for_next_leader(heartbeat, machine.target, follows);
    if (forwarding_) return send_heartbeat_through_forwarder(machine, heartbeat);
    if (chance(faults_.lost_heartbeats) || !can_reach(machine, machine.target)) return;
    at(now_ + delay(10), [this, name, heartbeat, sent, session, follows, life] {
        Machine& machine = *machines_[name];
        const bool deaf = now_ < machine.inbound_blocked_until;
        coverage_.heartbeats_before_rental_reply += machine.named_in_rental_reply ? 0 : 1;
        const machines::HeartbeatReply reply =
            deliver_heartbeat(machine.target, heartbeat, follows);
        if (machine.process_generation != life || deaf) return;
        if (reply.status != 200) {
            machine.unanswered = false;
            // On to the next; whoever is out of reach is found out by trying.
            machine.target = can_reach(machine, controllers_.size() - 1) ? controllers_.size() - 1
                                                                         : random_() % 2;
            for (std::size_t i = 0; i < 2 && share_ > 0; ++i) {
                if (reply.holder == holder_settings_[i].name) machine.target = i;
            }
            return;
        }
        EXPECT_GE(reply.token, heartbeat.token) << "an answer that the worker must drop";
        if (chance(faults_.lost_heartbeats)) return;
        at(now_ + delay(10), [this, name, reply, sent, session, life] {
            Machine& machine = *machines_[name];
            if (machine.process_generation != life) return;
            machine.unanswered = false;
            machine.last_heartbeat_answered = true;
            receive_reply(name, reply, sent, session, life);
        });
    });
}

// An answer 200 has reached the worker.
void ClusterSimulation::receive_reply(const std::string& name,
                                      const machines::HeartbeatReply& reply, Millis sent,
                                      std::uint64_t session, std::size_t life) {
    Machine& machine = *machines_[name];
    const bool dropped =
        machine.incarnation != session || reply.token < machine.token || now_ - sent > 4000;
    if (machine.process_generation != life || machine.removed || machine.dead || dropped) return;
    machine.token = reply.token;
    machine.lease_from = sent;
    execute(machine, reply.commands);
}

void ClusterSimulation::forward_heartbeats(std::size_t forwarders, ForwardingFaults faults) {
    ForwardingSimulation::Environment around;
    around.after = [this](Millis wait, std::function<void()> f) { after(wait, std::move(f)); };
    around.now = [this] { return now_; };
    around.leaders = [this] {
        std::vector<ForwardingSimulation::Leader> out;
        for (std::size_t i = 0; i < controllers_.size(); ++i) {
            const Controller& n = *controllers_[i];
            const bool answers_still =
                n.control_loop &&
                (leader_leases_ ? may_respond(n) : n.leads || now_ < n.responds_until);
            if (answers_still) out.push_back({i, n.term, i + 1});
        }
        return out;
    };
    around.deliver_heartbeat = [this](std::size_t node, const wire::Heartbeat& heartbeat,
                                      const machines::HeartbeatArrival& arrival) {
        return deliver_heartbeat(node, heartbeat, arrival);
    };
    forwarding_ = std::make_unique<ForwardingSimulation>(forwarders, faults, random_,
                                                         std::move(around), trace_);
}

// A controller that does not answer is left for the next, as the protocol has it.
void ClusterSimulation::send_heartbeat_through_forwarder(Machine& machine,
                                                         const wire::Heartbeat& heartbeat) {
    if (chance(faults_.lost_heartbeats) || now_ < machine.heartbeats_blocked_until) {
        machine.answered_term = 0;
        machine.forwarder = (machine.forwarder + 1) % forwarding_->size();
        return;
    }
    const std::uint64_t follows = std::exchange(machine.answered_term, 0);
    auto answered = [this, name = machine.name, sent = now_, session = machine.incarnation,
                     life = machine.process_generation](const machines::HeartbeatReply& reply,
                                                        std::uint64_t term) {
        Machine& machine = *machines_[name];
        const bool heard = reply.status == 200 && now_ >= machine.inbound_blocked_until &&
                           !chance(faults_.lost_heartbeats);
        if (machine.process_generation != life || now_ - sent > 4000) return;
        if (!heard) {
            machine.forwarder = (machine.forwarder + 1) % forwarding_->size();
            return;
        }
        machine.answered_term = term;
        receive_reply(name, reply, sent, session, life);
    };
    forwarding_->send_heartbeat(machine.forwarder, heartbeat, follows, answered);
}

std::vector<std::string> ClusterSimulation::working_machines() const {
    std::vector<std::string> out;
    for (const auto& [name, m] : machines_) {
        if (m->up && !m->removed && !m->dead && !m->tasks.empty()) out.push_back(name);
    }
    return out;
}

void ClusterSimulation::preempt_zone(const std::string& zone) {
    for (auto& [name, m] : machines_) {
        if (m->zone != zone || m->removed) continue;
        m->removed = m->dead = true;
        m->removed_at = now_;
        m->tasks.clear();
    }
}

void ClusterSimulation::partition(const Partition& partition) { partitions_.push_back(partition); }

const Partition* ClusterSimulation::partition_of(const Machine& machine) const {
    for (const Partition& partition : partitions_) {
        if (now_ < partition.from || now_ >= partition.until || machine.zone != partition.zone)
            continue;
        // The same machines for as long as it lasts.
        if (std::hash<std::string>{}(machine.name + partition.zone) % 1000 < partition.share * 1000)
            return &partition;
    }
    return nullptr;
}

bool ClusterSimulation::responder_partitioned(std::size_t i) const {
    return std::any_of(partitions_.begin(), partitions_.end(), [&](const Partition& partition) {
        return partition.includes_controller && now_ >= partition.from && now_ < partition.until &&
               zone_of(i) == partition.zone;
    });
}

bool ClusterSimulation::can_reach(const Machine& machine, std::size_t node) const {
    if (now_ < machine.heartbeats_blocked_until) return false;
    const bool inside = node < 2 && share_ > 0 && responder_partitioned(node);
    const Partition* partition = partition_of(machine);
    if (partition == nullptr) return !inside || machine.zone == zone_of(node);
    return inside && machine.zone == zone_of(node);
}

std::string ClusterSimulation::inconsistent_job() {
    if (leader() == nullptr) return "nobody leads";
    for (const auto& [id, j] : leader()->open_jobs()) {
        if (keys_.count(jobs::open_key(id)) == 0 && j->state != jobs::JobState::finished)
            return id + " is over, and in the book as " + jobs::name(j->state);
    }
    for (const auto& [key, stored] : keys_) {
        const std::string id = jobs::job_id_of_open_key(key);
        if (!id.empty() && leader()->open_jobs().count(id) == 0) return id + " is not in the book";
    }
    return "";
}

double ClusterSimulation::gpus_used_by(const std::string& team) const {
    double sum = 0;
    for (const auto& [name, m] : machines_) {
        if (m->removed || m->dead) continue;
        for (const auto& [id, t] : m->tasks) {
            const wire::JobSpec& spec = specs_.at(id.first);
            sum += t.phase != "exited" && spec.team == team ? spec.gpus : 0;
        }
    }
    return sum;
}

std::size_t ClusterSimulation::tasks_on_machines(const std::string& id) const {
    std::size_t n = 0;
    for (const auto& [name, m] : machines_) {
        if (m->removed || m->dead) continue;
        for (const auto& [task, t] : m->tasks) n += occupies_machine(t) && task.first == id ? 1 : 0;
    }
    return n;
}

std::size_t ClusterSimulation::running_tasks(const std::string& zone) const {
    std::size_t n = 0;
    for (const auto& [name, m] : machines_) {
        if (m->removed || m->dead || m->zone != zone) continue;
        for (const auto& [id, t] : m->tasks) n += t.phase == "running" ? 1 : 0;
    }
    return n;
}

void ClusterSimulation::kill_tasks(Machine& machine) {
    tasks_killed_by_lease_ += machine.tasks.size();
    machine.tasks.clear();
}

void ClusterSimulation::execute(Machine& machine, const std::vector<wire::Command>& commands) {
    advance_tasks(machine);
    for (const auto& command : commands) {
        TaskId id{command.job, command.task};
        auto it = machine.tasks.find(id);
        bool same = it != machine.tasks.end() && it->second.attempt == command.attempt;
        if (command.op == wire::Command::Op::forget) {
            if (same && it->second.phase == "exited") {
                machine.tasks.erase(it);
                machine.acknowledged_pending.erase({command.job, command.task, command.attempt});
            }
        } else if (command.op == wire::Command::Op::stop) {
            if (!same || it->second.phase == "exited") continue;
            Task& t = it->second;
            ++stopped_tasks_;
            if (t.phase == "running" && command.grace_s >= 2) {
                t.phase = "saving";
                t.done_at = now_ + 2000;
            } else if (t.phase != "saving" || command.grace_s < 2) {
                t.phase = "exited";
                t.cause = "stopped";
            }
        } else {
            if (!machine.acknowledged_pending.insert({command.job, command.task, command.attempt})
                     .second)
                continue;
            EXPECT_EQ(cancelled_.count(command.job), 0u)
                << "a start after the confirmed end of " << command.job;
            ASSERT_TRUE(specs_.count(command.job));
            waits_since_.erase(command.job);
            const wire::JobSpec& spec = specs_[command.job];
            Task t;
            t.attempt = command.attempt;
            t.term = shards::term_of(machine.token);
            double gpus = 0;
            for (auto& [other, o] : machine.tasks)
                gpus += o.phase == "exited" ? 0 : specs_[other.first].gpus;
            double total = std::find_if(types_.begin(), types_.end(), [&](const auto& known) {
                               return known.name == machine.type;
                           })->gpus;
            if (it != machine.tasks.end() && it->second.phase != "exited") {
                ADD_FAILURE() << "two attempts of " << command.job << "/" << command.task
                              << " on one machine";
            }
            t.phase = "fetching";
            t.ready_at = now_ + (machine.images.count(spec.image) != 0 ? 50 : 2000 + delay(3000));
            if (spec.image_gb > 5 && machine.images.count(spec.image) == 0)  // give or take a third
                t.ready_at =
                    now_ + seconds(spec.image_gb * 0.75) + delay(seconds(spec.image_gb * 0.5));
            if (gpus + spec.gpus > total + 1e-6) {
                ADD_FAILURE() << "a start that does not fit";
                t.phase = "exited";
                t.cause = "no_room";
            }
            machine.tasks[id] = t;
        }
    }
}

void ClusterSimulation::check_start(const Machine& machine, const TaskId& id) {
    const wire::JobSpec& spec = specs_[id.first];
    ++started_tasks_;
    auto here = machine.tasks.find(id);
    if (here != machine.tasks.end())
        latest_attempt_[id] = std::max(latest_attempt_[id], here->second.attempt);
    if (auto c = cancelled_.find(id.first); c != cancelled_.end()) {
        EXPECT_LE(now_, c->second + seconds(settings_.cancel_s)) << "ran_cancelled: " << id.first;
    }
    std::map<std::string, std::uint32_t> in_zone;
    double team = 0;
    for (auto& [name, other] : machines_) {
        if (other->removed || other->dead) continue;
        for (auto& [tid, t] : other->tasks) {
            if (!occupies_machine(t)) continue;
            if (tid == id && name != machine.name) {
                ADD_FAILURE() << "ran_twice: " << id.first << "/" << id.second << " on " << name
                              << " and " << machine.name << " at " << now_;
            }
            if (specs_[tid.first].team == spec.team) team += specs_[tid.first].gpus;
            if (tid.first == id.first) ++in_zone[other->zone];
        }
    }
    for (const auto& rule : settings_.teams) {
        if (rule.name == spec.team) {
            EXPECT_LE(team, rule.gpus_max + 1e-6) << "quota of " << spec.team << " at " << now_;
        }
    }
    bool type_ok = spec.any_type || std::find(spec.types.begin(), spec.types.end(), machine.type) !=
                                        spec.types.end();
    EXPECT_TRUE(type_ok && (!spec.zone || *spec.zone == machine.zone) &&
                (spec.spot || !machine.spot))
        << "wrong_place: " << id.first;
    if (spec.one_zone) {
        EXPECT_LE(in_zone.size(), 1u) << "wrong_place: " << id.first << " is in two zones";
    }
    if (spec.spread) {
        EXPECT_LE(in_zone[machine.zone], (spec.tasks + 1) / 2)
            << "wrong_place: " << id.first << " is not spread";
    }
}

// Lets a machine's tasks move on to the present.
void ClusterSimulation::advance_tasks(Machine& machine) {
    if (machine.removed || machine.dead || !machine.up) return;
    const Partition* partition = partition_of(machine);
    if (now_ - machine.lease_from > seconds(settings_.lease_s)) {
        kill_tasks(machine);
        machine.acknowledged_pending.clear();
        ++machine.incarnation;
        machine.lease_from = now_;
        return;
    }
    if (partition != nullptr && partition->freezes_machines) return;
    for (auto& [id, t] : machine.tasks) {
        const wire::JobSpec& spec = specs_[id.first];
        if (t.phase == "fetching" && now_ >= t.ready_at) {
            machine.images.insert(spec.image);
            if (done_.count(id) != 0) {
                t.phase = "exited";
                t.cause = "done";
                continue;
            }
            t.phase = spec.shape == wire::Shape::gang ? "gathering" : "running";
            t.waits_until = now_ + seconds(settings_.gang_wait_s);
            t.done_at = now_ + 3000 + delay(9000);
            if (auto l = task_durations_.find(id.first); l != task_durations_.end())
                t.done_at = now_ + l->second;
            check_start(machine, id);
            if (machine.faulty || failing_jobs_.count(id.first) != 0) {
                t.phase = "exited";
                t.cause = "error";
            }
        }
        if (t.phase == "gathering" && done_.count(id) != 0) {
            t.phase = "exited";  // they complete together
            t.cause = "done";
        }
        if (t.phase == "gathering") {
            std::size_t mates = 0;
            for (auto& [n, other] : machines_) {
                if (other->removed || other->dead) continue;
                for (auto& [oid, o] : other->tasks) {
                    bool same = oid.first == id.first && o.attempt == t.attempt;
                    mates += same && (o.phase == "gathering" || o.phase == "running") ? 1 : 0;
                }
            }
            if (mates == spec.tasks) {
                t.phase = "running";
            } else if (now_ >= t.waits_until) {
                t.phase = "exited";
                t.cause = "alone";
            }
        }
        if (t.phase == "saving" && now_ >= t.done_at) {
            t.phase = "exited";
            t.cause = "stopped";
        }
        if (t.phase == "running" && spec.shape != wire::Shape::service && now_ >= t.done_at) {
            if (spec.shape == wire::Shape::gang) {
                for (std::uint32_t k = 0; k < spec.tasks; ++k) done_.insert({id.first, k});
            } else {
                done_.insert(id);
            }
            for (std::uint32_t k = 0; k < spec.tasks; ++k) {
                if (done_.count({id.first, k}) != 0) done_at_.try_emplace({id.first, k}, now_);
            }
            t.phase = "exited";
            t.cause = "done";
        } else if (t.phase == "running" && spec.shape == wire::Shape::gang) {
            std::size_t mates = 0;
            for (auto& [n, other] : machines_) {
                if (other->removed || other->dead) continue;
                for (auto& [oid, o] : other->tasks) {
                    mates += oid.first == id.first && o.attempt == t.attempt &&
                                     (o.phase == "running" || o.phase == "gathering")
                                 ? 1
                                 : 0;
                }
            }
            if (done_.count(id) != 0) {
                t.phase = "exited";
                t.cause = "done";
            } else if (mates < spec.tasks) {
                t.phase = "exited";
                t.cause = "peers";
            }
        }
    }
}

void ClusterSimulation::check_all() {
    for (auto& [name, m] : machines_) {
        advance_tasks(*m);
        if (m->removed || m->dead) continue;
        for (auto& [id, t] : m->tasks) {
            if (!occupies_machine(t)) continue;
            auto c = cancelled_.find(id.first);
            if (c == cancelled_.end()) continue;
            EXPECT_LE(now_, c->second + seconds(settings_.cancel_s))
                << "ran_cancelled: " << id.first << "/" << id.second << " is still on " << name;
        }
    }
}

bool ClusterSimulation::would_fit(const std::string& id, const wire::JobSpec& spec) const {
    std::set<std::uint32_t> there;
    std::map<std::string, std::uint32_t> in_zone, room;
    double limit = 0, used = 0;
    for (const auto& rule : settings_.teams) limit += rule.name == spec.team ? rule.gpus_max : 0;
    for (const auto& [name, m] : machines_) {
        for (const auto& [task, t] : m->tasks) {
            if (t.phase == "exited") continue;
            if (specs_.at(task.first).team == spec.team) used += specs_.at(task.first).gpus;
            if (task.first != id) continue;
            there.insert(task.second);
            ++in_zone[m->zone];
        }
    }
    const bool gang = spec.shape == wire::Shape::gang;
    std::uint32_t wanted = 0;
    for (std::uint32_t t = 0; t < spec.tasks; ++t)
        wanted += there.count(t) == 0 && done_.count({id, t}) == 0 ? 1 : 0;
    if (gang && wanted < spec.tasks) return false;
    const std::uint32_t least = gang ? spec.tasks : 1;
    if (wanted == 0 || (limit > 0 && used + least * spec.gpus > limit + 1e-6)) return false;
    for (const auto& [name, m] : machines_) {
        const bool sound = m->up && !m->dead && !m->removed && !m->faulty &&
                           partition_of(*m) == nullptr && now_ >= m->inbound_blocked_until &&
                           now_ >= m->commands_blocked_until && now_ >= m->heartbeats_blocked_until;
        const bool type_ok =
            spec.any_type || std::count(spec.types.begin(), spec.types.end(), m->type);
        if (!sound || !type_ok || (spec.zone && *spec.zone != m->zone) || (m->spot && !spec.spot))
            continue;
        const auto type = std::find_if(types_.begin(), types_.end(),
                                       [&](const auto& known) { return known.name == m->type; });
        double cpus = type->cpus, gpus = type->gpus, memory = type->memory_gb;
        for (const auto& [task, t] : m->tasks) {
            if (t.phase == "exited") continue;
            const wire::JobSpec& other = specs_.at(task.first);
            cpus -= other.cpus, gpus -= other.gpus, memory -= other.memory_gb;
        }
        room[m->zone] += placement::tasks_that_fit(cpus, gpus, memory,
                                                   {spec.cpus, spec.gpus, spec.memory_gb}, least);
    }
    std::uint32_t all = 0, most = 0;
    for (auto& [zone, n] : room) {
        const bool other_zone = spec.one_zone && !in_zone.empty() && in_zone.count(zone) == 0;
        const std::uint32_t half = (spec.tasks + 1) / 2;
        if (spec.spread) n = std::min(n, half - std::min(half, in_zone[zone]));
        if (other_zone) continue;
        all += n;
        most = std::max(most, n);
    }
    return (gang && spec.one_zone ? most : all) >= least;
}

void ClusterSimulation::check_waiting_jobs() {
    for (const auto& [id, spec] : specs_) {
        if (!final_state(id).empty() || cancel_requested_.count(id) != 0 || !would_fit(id, spec)) {
            waits_since_.erase(id);
            continue;
        }
        const Millis wait = now_ - waits_since_.try_emplace(id, now_).first->second;
        coverage_.longest_wait = std::max(coverage_.longest_wait, wait);
        EXPECT_LE(wait, longest_wait_)
            << id << " waits though it fits; " << describe_running() << describe_cluster_state();
    }
}

// Of the jobs that the leader has.
std::string ClusterSimulation::describe_cluster_state() {
    if (leader() == nullptr) return "nobody leads";
    std::string out;
    for (const auto& [id, j] : leader()->open_jobs()) {
        auto it = keys_.find(jobs::open_key(id));
        out += id + " is " + jobs::name(j->state) + ", stamp " + std::to_string(j->version) +
               " of " + std::to_string(it == keys_.end() ? 0 : it->second.version) +
               (it != keys_.end() && wire::flag_field(it->second.value, "unwanted").value_or(false)
                    ? ", unwanted"
                    : "") +
               (j->commit_in_flight ? ", in flight" : "") + ":";
        for (const auto& attempt : j->attempts)
            out += std::string(" ") + jobs::name(attempt->state) +
                   (attempt->stop_wanted ? "(stopping)" : "");
        out += "; ";
    }
    return out;
}

std::string ClusterSimulation::describe_running() const {
    std::string out;
    for (auto& [name, m] : machines_) {
        if (m->removed) continue;
        out += name + (m->dead ? "(dead)" : m->up ? "" : "(booting)") + ": ";
        for (auto& [id, t] : m->tasks)
            out += id.first + "/" + std::to_string(id.second) + "=" + t.phase + " ";
    }
    return out;
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
