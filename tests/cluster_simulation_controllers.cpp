#include <algorithm>

#include "tests/cluster_simulation.h"

namespace nickelramp::test {

using wire::Json;

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

}  // namespace nickelramp::test
