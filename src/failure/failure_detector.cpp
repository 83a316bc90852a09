#include "failure/failure_detector.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <string_view>
#include <unordered_set>

namespace nickelramp::failure {

using jobs::Attempt;
using jobs::Job;
using machines::Machine;

namespace {
// The cloud's instance list is stale: it may show the state at most this many list lags plus this
// margin before the request.
constexpr double kMaxListLags = 3;
constexpr Millis kListMargin = 2'000;
}  // namespace

void FailureDetector::update(Millis now) {
    for (const Index zone : domains_.update(now)) {
        const FailureDomain& domain = domains_.zone(zone);
        const bool is_zone = zone != kNone;
        spdlog::info("failure domain changed zone={} health={} unresponsive={} up={}",
                     is_zone ? cluster_.zones().name(zone) : "all-healthy",
                     name(is_zone ? domain.health() : domains_.health(kNone)),
                     domain.unresponsive_count(), domain.up_count());
        cluster_.request_scheduling();
        if (domains_.is_lost(zone)) suspect_machines_of(zone);
    }
}

void FailureDetector::suspect_machines_of(Index zone) {
    for (Machine* machine : cluster_.machines()) {
        if (machine->zone == zone && machine->counts_as_up) cluster_.set_suspected(*machine, true);
    }
}

std::vector<peers::Status::LostZone> FailureDetector::lost_zones(Millis now) const {
    std::vector<peers::Status::LostZone> lost;
    for (Index zone = 0; zone < cluster_.zones().size(); ++zone) {
        if (!domains_.is_lost(zone)) continue;
        // The first machines to be missed had sent their last heartbeat about one interval before.
        const Millis since =
            domains_.zone(zone).healthy_until() - seconds(term_.settings().heartbeat_interval_s);
        lost.push_back({cluster_.zones().name(zone),
                        static_cast<std::uint64_t>(std::max<Millis>(0, now - since))});
    }
    return lost;
}

// A single unresponsive machine has probably failed. Where many machines are unresponsive, their
// tasks may still be running, and end when their leases expire.
void FailureDetector::declare_lost_if_permitted(Machine& machine, Millis now) {
    const Millis boot_time =
        machine.type == kNone ? 0 : seconds(cluster_.types()[machine.type].boot_s);
    if (!domains_.may_declare_lost(machine.zone, describe(machine), boot_time, now)) return;
    if (machine.reachability == machines::Reachability::inbound_only && !term_.is_shard_holder())
        cluster_.drain_machine(machine, "reaches no controller", now);
    else
        cluster_.release_machine(machine, cluster::ReleaseReason::unresponsive);
}

UnresponsiveMachine FailureDetector::describe(const Machine& machine) const {
    UnresponsiveMachine unresponsive;
    unresponsive.stuck = std::any_of(
        machine.attempts.begin(), machine.attempts.end(), [this](const Attempt* attempt) {
            return attempt->live() && cluster_.job_of(*attempt).gang_broken;
        });
    unresponsive.has_gangs_or_services = machine.live_gang_and_service_attempts > 0;
    unresponsive.lease_until = likely_lease_end(machine);
    unresponsive.has_movable_replicas =
        domains_.is_lost(machine.zone) && all_replicas_movable(machine);
    return unresponsive;
}

Millis FailureDetector::last_reached_at(Index zone, Millis otherwise) const {
    const auto lost = inherited_lost_since_.find(zone);
    return lost == inherited_lost_since_.end() ? otherwise : std::min(otherwise, lost->second);
}

// Returns the estimated time at which its tasks end by themselves: one lease after its last
// heartbeat with a reply, or later if a partition responder may be replying to it.
Millis FailureDetector::likely_lease_end(const Machine& machine) const {
    return may_have_responder(machine)
               ? heartbeat_delegator_.lease_end_at_latest(machine.lease_until)
               : machine.channel.renewed_at() + seconds(term_.settings().lease_s);
}

// Returns whether a controller is in the machine's zone.
bool FailureDetector::may_have_responder(const Machine& machine) const {
    if (machine.zone == kNone) return false;
    const std::string& zone = cluster_.zones().name(machine.zone);
    const auto& controllers = term_.settings().peers;
    return std::any_of(controllers.begin(), controllers.end(),
                       [&](const wire::Peer& controller) { return controller.zone == zone; });
}

// Returns whether the machine runs replicas and each of them could be started in another zone.
// Releasing the machine would not help a replica that could not, and the machine may become
// reachable again with its images.
bool FailureDetector::all_replicas_movable(const Machine& machine) const {
    bool has_replicas = false;
    for (const Attempt* attempt : machine.attempts) {
        if (!attempt->live() || !cluster_.job_of(*attempt).is_service()) continue;
        if (!is_movable(machine, *attempt)) return false;
        has_replicas = true;
    }
    return has_replicas;
}

// Returns whether the task could be started in another zone.
bool FailureDetector::is_movable(const Machine& machine, const Attempt& attempt) const {
    const Job& job = cluster_.job_of(attempt);
    if (!attempt.live() || job.zone != kNone || job.state != jobs::JobState::open) return false;
    if (!job.spec.spread || job.spec.tasks < 2) return true;
    // A spread job has at most half of its tasks, rounded up, in one zone.
    const std::uint32_t max_in_zone = (job.spec.tasks + 1) / 2;
    const std::vector<std::uint32_t> live_tasks = cluster_.live_tasks_by_zone(job);
    for (Index zone = 0; zone < live_tasks.size(); ++zone) {
        if (zone != machine.zone && !domains_.is_lost(zone) && live_tasks[zone] < max_in_zone)
            return true;
    }
    return false;
}

// Returns whether the cloud listed the machine before that time, or would have listed it.
bool FailureDetector::listed_before(const Machine& machine, Millis time) const {
    if (machine.first_listed_at != 0 && machine.first_listed_at < time) return true;
    // A machine that is known only from a job's checkpoint existed before the checkpoint was read,
    // if at all. If it was released under an earlier leader and not treated as missing, its tasks
    // would wait for three leases.
    const bool from_checkpoint =
        machine.state == machines::MachineState::booting && !machine.attempts.empty();
    return from_checkpoint && machine.provisioned_at < time;
}

// A machine stays listed until it is gone. If this list certainly shows a later state than the one
// in which the machine was listed, and lacks the machine, then the machine no longer exists.
void FailureDetector::check_missing_instances(const std::vector<wire::CloudInstance>& instances,
                                              Millis asked_at, Millis now) {
    const auto& unresponsive = cluster_.unresponsive_machines();
    const auto& provisioning = cluster_.provisioning_machines();
    if (unresponsive.empty() && provisioning.empty()) return;
    std::unordered_set<std::string_view> listed;
    for (const wire::CloudInstance& instance : instances) listed.insert(instance.id);
    const Millis list_lag = seconds(kMaxListLags * term_.settings().cloud_list_lag_s);
    const Millis earliest_list_state_at = asked_at - with_clock_drift(list_lag) - kListMargin;
    std::vector<Machine*> missing;
    const auto add_if_missing = [&](Index index) {
        Machine* machine = cluster_.machine_by_index(index);
        if (listed_before(*machine, earliest_list_state_at) && listed.count(machine->name) == 0)
            missing.push_back(machine);
    };
    for (const Index index : unresponsive) add_if_missing(index);
    // A new leader's first list may show machines that its predecessor released. No work may wait
    // for them.
    for (const Index index : provisioning) {
        if (unresponsive.count(index) == 0) add_if_missing(index);
    }
    for (Machine* machine : missing) {
        spdlog::info("machine no longer listed by the cloud machine={}", machine->name);
        cluster_.machine_gone(*machine, now);
    }
}

}  // namespace nickelramp::failure
