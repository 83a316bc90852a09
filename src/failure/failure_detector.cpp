#include "failure/failure_detector.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <unordered_set>

namespace nickelramp::failure {

using jobs::Attempt;
using jobs::Job;
using machines::Machine;

namespace {
// A list may be older than the last: by so many lags at the most, and then some.
constexpr double kListLags = 3;
constexpr Millis kListSlack = 2'000;
}  // namespace

void FailureDetector::update(Millis now) {
    for (Index z : domains_.update(now)) {
        const bool zone = z != kNone;
        const FailureDomain& domain = domains_.zone(z);
        spdlog::info("{}: {}, {} of {} machines are silent",
                     zone ? "zone " + cluster_.zones().name(z) : "all zones together",
                     name(zone ? domain.health() : domains_.health(kNone)),
                     domain.unresponsive_count(), domain.up_count());
        cluster_.request_scheduling();
        if (!domains_.is_lost(z)) continue;
        for (Machine* machine : cluster_.machines()) {
            if (machine->zone == z && machine->counts_as_up) cluster_.set_suspected(*machine, true);
        }
    }
}

std::vector<peers::Status::LostZone> FailureDetector::lost_zones(Millis now) const {
    std::vector<peers::Status::LostZone> out;
    for (Index z = 0; z < cluster_.zones().size(); ++z) {
        if (!domains_.is_lost(z)) continue;
        // The first that were missed had been heard somewhat more than a report before.
        const Millis since =
            domains_.zone(z).healthy_until() - seconds(term_.settings().heartbeat_interval_s);
        out.push_back({cluster_.zones().name(z),
                       static_cast<std::uint64_t>(std::max<Millis>(0, now - since))});
    }
    return out;
}

// Alone it is likelier dead than not. Where many are silent, what is on it may well run on, and
// ends by itself with its lease.
void FailureDetector::consider_giving_up(Machine& machine, Millis now) {
    UnresponsiveMachine s;
    s.stuck = std::any_of(machine.attempts.begin(), machine.attempts.end(),
                          [this](const Attempt* attempt) {
                              return attempt->live() && cluster_.job_of(*attempt).gang_broken;
                          });
    s.has_gangs_or_services = machine.live_gang_and_service_attempts > 0;
    s.lease_until = likely_lease_end(machine);
    if (domains_.is_lost(machine.zone)) s.has_movable_replicas = all_replicas_movable(machine);
    const Millis boot = machine.type == kNone ? 0 : seconds(cluster_.types()[machine.type].boot_s);
    if (!domains_.may_give_up(machine.zone, s, boot, now)) return;
    if (machine.reachability == machines::Reachability::inbound_only && !term_.is_shard_holder())
        cluster_.drain_machine(machine, "reaches no controller", now);
    else
        cluster_.release_machine(machine, cluster::ReleaseReason::unresponsive);
}

Millis FailureDetector::expected_recovery_by(Index zone, Millis otherwise) const {
    auto lost = inherited_lost_since_.find(zone);
    return lost == inherited_lost_since_.end() ? otherwise : std::min(otherwise, lost->second);
}

// About when its tasks end by themselves: a lease after its last answered report, or later where a
// deputy may be answering it.
Millis FailureDetector::likely_lease_end(const Machine& machine) const {
    const bool deputy =
        machine.zone != kNone &&
        std::any_of(term_.settings().peers.begin(), term_.settings().peers.end(),
                    [&](const auto& p) { return p.zone == cluster_.zones().name(machine.zone); });
    return deputy ? heartbeat_delegator_.lease_end_at_latest(machine.lease_until)
                  : machine.channel.renewed_at() + seconds(term_.settings().lease_s);
}

// Replicas are on it, and each of them could be started in another zone. One that could not would
// gain nothing by the return: it may come back with its machine and the images there.
bool FailureDetector::all_replicas_movable(const Machine& machine) const {
    bool any = false;
    for (const Attempt* attempt : machine.attempts) {
        if (!attempt->live() || !cluster_.job_of(*attempt).is_service()) continue;
        if (!is_movable(machine, *attempt)) return false;
        any = true;
    }
    return any;
}

// Might the task be started in another zone?
bool FailureDetector::is_movable(const Machine& machine, const Attempt& attempt) const {
    const Job& job = cluster_.job_of(attempt);
    if (!attempt.live() || job.zone != kNone || job.state != jobs::JobState::open) return false;
    if (!job.spec.spread || job.spec.tasks < 2) return true;
    const std::vector<std::uint32_t> in_zone = cluster_.live_tasks_by_zone(job);
    for (Index z = 0; z < in_zone.size(); ++z) {
        if (z != machine.zone && !domains_.is_lost(z) && in_zone[z] < (job.spec.tasks + 1) / 2)
            return true;
    }
    return false;
}

// A machine stays listed until it is gone. One that was listed so long ago that this list is
// certainly of a later moment, and is not in it, has been taken.
void FailureDetector::check_missing_instances(const std::vector<wire::CloudInstance>& hosts,
                                              Millis asked, Millis now) {
    if (cluster_.unresponsive_machines().empty() && cluster_.provisioning_machines().empty())
        return;
    std::unordered_set<std::string_view> listed;
    for (const wire::CloudInstance& instance : hosts) listed.insert(instance.id);
    const Millis behind =
        with_clock_drift(seconds(kListLags * term_.settings().cloud_list_lag_s)) + kListSlack;
    std::vector<Machine*> missing;
    auto look_for = [&](Index i) {
        Machine* machine = cluster_.machine_by_index(i);
        // One that only a job's record names was there before that was read, if it is there at all.
        // It went under an earlier leader, and its tasks would wait for three leases.
        const bool recorded =
            machine->state == machines::MachineState::booting && !machine->attempts.empty();
        const bool long_ago =
            (machine->first_listed_at != 0 && machine->first_listed_at + behind < asked) ||
            (recorded && machine->provisioned_at + behind < asked);
        if (long_ago && listed.count(machine->name) == 0) missing.push_back(machine);
    };
    std::for_each(cluster_.unresponsive_machines().begin(), cluster_.unresponsive_machines().end(),
                  look_for);
    // A new leader's first list may show what its predecessor returned: no work is to wait for it.
    for (Index i : cluster_.provisioning_machines()) {
        if (cluster_.unresponsive_machines().count(i) == 0) look_for(i);
    }
    for (Machine* machine : missing) {
        spdlog::info("machine {} is not in the cloud's list any more", machine->name);
        cluster_.machine_gone(*machine, now);
    }
}

}  // namespace nickelramp::failure
