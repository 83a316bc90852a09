// Leaders: their election, the loading of records, and their faults.
#include <algorithm>
#include <iterator>

#include "tests/cluster_simulation_controller.h"

namespace nickelramp::test {

using wire::Json;

namespace {
constexpr const char* kTermKey = "lead/term";
constexpr Millis kTickInterval = 100, kLoadRetryDelay = 500;
constexpr Millis kListInstancesInterval = 4'000;
constexpr std::size_t kPageSize = 4;
constexpr Millis kSendDelayOfFault = 25'000;
// Listed one after the other, as the program does.
const char* const kLoadedPrefixes[] = {"open/", "run/", "block/", autoscaling::kIntentKeyPrefix};
}  // namespace

ClusterSimulation::Controller* ClusterSimulation::leading_controller() {
    const auto it = std::find_if(controllers_.begin(), controllers_.end(),
                                 [](const auto& controller) { return controller->leads; });
    return it == controllers_.end() ? nullptr : it->get();
}

control::ControlLoop* ClusterSimulation::leader() {
    Controller* controller = leading_controller();
    return controller == nullptr ? nullptr : controller->control_loop.get();
}

bool ClusterSimulation::leader_is_loading() {
    const Controller* controller = leading_controller();
    return controller != nullptr && !controller->control_loop &&
           controller->rejected_until != kNever;
}

void ClusterSimulation::fail_over() {
    depose_leader();
    ++term_;
    store_.put(kTermKey, Json{{"term", term_}});
    const std::size_t index = controllers_.size();
    controllers_.push_back(std::make_unique<Controller>(*this, index));
    Controller& controller = *controllers_.back();
    controller.term = term_;
    controller.leads = true;
    load(index);
}

// Ends the old leader, or lets it respond to workers for as long as it is allowed to.
void ClusterSimulation::depose_leader() {
    for (auto& controller : controllers_) {
        if (!controller->leads) continue;
        controller->leads = false;
        if (context_.chance(context_.faults.lingering_old_leaders)) {
            controller->control_loop->confirm_lease_until(0);
            controller->responds_until = now() + partition::longest_response_window(settings_);
        } else {
            controller->control_loop.reset();
        }
    }
}

// Makes the new leader read the records in pages: users' requests, shards, intents and checkpoints.
// This takes no time without the fault list_delay.
void ClusterSimulation::load(std::size_t index) {
    const Controller& controller = *controllers_[index];
    if (!controller.leads) return;
    if (!state_service_answers(controller) || now() < controller.frozen_until) {
        context_.after(kLoadRetryDelay, [this, index] { load(index); });
        return;
    }
    auto progress = std::make_shared<LoadProgress>();
    progress->began = now();
    progress->revision = store_.revision();
    read_next_page(index, std::move(progress));
}

void ClusterSimulation::read_next_page(std::size_t index, std::shared_ptr<LoadProgress> progress) {
    const Controller& controller = *controllers_[index];
    if (!controller.leads) return;
    if (!state_service_answers(controller) || now() < controller.frozen_until)
        return load(index);  // from the beginning
    const Millis list_delay = context_.faults.list_delay;
    while (progress->prefix < std::size(kLoadedPrefixes)) {
        if (read_page(*progress)) {
            ++progress->prefix;
            progress->after.clear();
        }
        if (list_delay == 0) continue;
        context_.after(context_.delay(list_delay),
                       [this, index, progress] { read_next_page(index, progress); });
        return;
    }
    start_control_loop(index, *progress);
}

// Reads the next page of a list. Returns whether it was the last page of the list.
bool ClusterSimulation::read_page(LoadProgress& progress) {
    const std::string prefix = kLoadedPrefixes[progress.prefix];
    const auto& keys = store_.keys();
    auto it = keys.upper_bound(std::max(prefix, progress.after));
    auto at_end = [&] { return it == keys.end() || it->first.rfind(prefix, 0) != 0; };
    for (std::size_t i = 0; !at_end(); ++it, ++i) {
        if (context_.faults.list_delay > 0 && i == kPageSize) break;
        progress.records[it->first] = it->second;
        progress.after = it->first;
    }
    return at_end();
}

void ClusterSimulation::start_control_loop(std::size_t index, const LoadProgress& progress) {
    Controller& controller = *controllers_[index];
    controller.state_seen_at = progress.began;
    cluster::ServiceGateway& gateway = controller;
    const control::TermInfo term{controller.term, kTermKey, store_.version(kTermKey)};
    controller.control_loop =
        std::make_unique<control::ControlLoop>(settings_, term, gateway, now());
    control::ControlLoop& control_loop = *controller.control_loop;
    if (leader_leases_) control_loop.confirm_lease_until(controller.leads_until);
    control_loop.set_machine_types(types_);
    for (const lease::Role role : lease::kAllRoles) {
        store_.put(lease::role_key(role), Json{{"holder", "node"}});
        control_loop.set_role_fence(role, store_.revision());
    }
    options_.delegated_machines = delegated_machines_;
    control_loop.set_options(options_);
    load_records(control_loop, progress);
    if (testing::Test::HasFatalFailure()) return;
    control_loop.start(now());
    // The watch starts at the revision of the first page.
    for (const auto& [key, stored] : store_.keys()) {
        if (jobs::job_id_of_open_key(key).empty() || stored.version <= progress.revision) continue;
        ++context_.coverage.cancellations_during_load;
        notify_leader(key);
    }
    deliver_held_heartbeats();
    context_.after(kTickInterval, [this, index] { tick_controller(index); });
}

// Loads shards first, then intents, jobs and checkpoints, because each kind refers to earlier ones.
void ClusterSimulation::load_records(control::ControlLoop& control_loop,
                                     const LoadProgress& progress) {
    for (const auto& [key, stored] : progress.records) {
        const auto shard_number = shards::parse_shard_key(key);
        if (!shard_number) continue;
        auto shard = shards::decode_shard(stored.value);
        ASSERT_TRUE(shard);
        shard->version = stored.version;
        control_loop.load_shard(*shard_number, *shard);
    }
    for (const auto& [key, stored] : progress.records) {
        if (key.rfind(autoscaling::kIntentKeyPrefix, 0) == 0)
            control_loop.load_intents(key, stored.value, stored.version);
    }
    for (const auto& [key, stored] : progress.records) {
        if (jobs::job_id_of_open_key(key).empty()) continue;
        control_loop.load_job(*jobs::decode_open_record(stored.value), stored.version, now(),
                              now());
    }
    for (const auto& [key, stored] : progress.records) {
        const auto run_key = jobs::parse_run_key(key);
        if (!run_key) continue;
        control_loop.load_checkpoint(run_key->job_id, run_key->chunk,
                                     *jobs::decode_run_record(stored.value), stored.version, now());
    }
}

void ClusterSimulation::tick_controller(std::size_t index) {
    Controller& controller = *controllers_[index];
    if ((!controller.leads && !leader_leases_) || !controller.control_loop) return;
    if (now() < controller.frozen_until) {
        context_.at(controller.frozen_until + 1, [this, index] { tick_controller(index); });
        return;
    }
    controller.control_loop->tick(now());
    if (now() % kListInstancesInterval < kTickInterval || !controller.instances_listed) {
        controller.instances_listed = true;
        controller.control_loop->on_instances_listed(cloud_.list(), now(), now());
        cloud_.count_list_errors();
    }
    context_.after(kTickInterval, [this, index] { tick_controller(index); });
}

void ClusterSimulation::set_options(const admin::Options& options) {
    options_ = options;
    options_.delegated_machines = delegated_machines_;
    if (leader() != nullptr) leader()->set_options(options_);
}

void ClusterSimulation::inject_at_send(std::size_t step, SendFault fault) {
    inject_at_send_ = sends_ + step;
    send_fault_ = fault;
}

// Counts a message of the leader and injects the fault that is due. Returns the delay of the
// message; 0: no delay.
Millis ClusterSimulation::send_fault() {
    if (++sends_ != inject_at_send_) return 0;
    const SendFault fault = send_fault_;
    if (fault == SendFault::crash || fault == SendFault::freeze) {
        context_.after(1, [this, fault] {
            // A frozen leader keeps its cluster state, but answers no requests meanwhile.
            context_.faults.lingering_old_leaders = fault == SendFault::freeze ? 1 : 0;
            fail_over();
            for (auto& controller : controllers_) controller->responds_until = now();
        });
    }
    return fault == SendFault::freeze || fault == SendFault::delay ? kSendDelayOfFault : 0;
}

void ClusterSimulation::crash_leader() {
    count_unrecorded_completions();
    if (Controller* controller = leading_controller()) {
        controller->control_loop.reset();
        controller->rejected_until = kNever;  // so that its lease is not renewed
    }
}

void ClusterSimulation::freeze_leader(Millis length) {
    if (Controller* controller = leading_controller()) controller->frozen_until = now() + length;
}

void ClusterSimulation::count_unrecorded_completions() {
    for (const auto& [id, completed_at] : jobs_.completed_tasks()) {
        if (!final_state(id.job).empty()) continue;
        const auto* stored = store_.find(jobs::run_key(id.job, id.task / jobs::kChunkTasks));
        if (stored == nullptr) continue;
        const auto run = jobs::decode_run_record(stored->value);
        if (run && (run->done >> (id.task % jobs::kChunkTasks) & 1) == 0)
            ++context_.coverage.unrecorded_completions;
    }
}

}  // namespace nickelramp::test
