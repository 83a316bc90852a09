#include "autoscaling/autoscaler.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace nickelramp::autoscaling {

using jobs::Job;
using lease::Role;
using machines::Machine;
using machines::MachineState;
using scheduling::JobQueue;

namespace {
constexpr std::uint32_t kMaxMachinesPerRequest = 50;  // the cloud's own limit
constexpr std::size_t kMaxMachinesPerRelease = 100;   // the cloud's own limit
constexpr std::size_t kMinRequestsInFlight = 2;
constexpr Millis kListMargin = 1'000;
constexpr Millis kReleaseRetryDelay = 1'000;
constexpr double kSurplusRetentionS = 10;
constexpr double kSpotRetentionBoots = 2;     // in boot times, for empty spot machines
constexpr double kNeededRetentionBoots = 20;  // in boot times, for needed on-demand machines
constexpr double kUnknownBootS = 60;          // boot time if the machine type is not known yet
}  // namespace

void Autoscaler::scale_out(const std::vector<Job*>& unplaced,
                           const JobQueue::CapacityShortage& shortage, Millis now) {
    // Machines requested by earlier terms are in the intent records or in the cloud's list. Before
    // both have been read, it is unknown which machines are missing.
    if (cluster_.types().empty() || !instances_listed_) return;
    ScaleOutPlan plan(term_, cluster_, forecast_, rules_, provisioning_, failure_detector_, now);
    const std::size_t max_requests = std::max(
        kMinRequestsInFlight, static_cast<std::size_t>(term_.settings().cloud_requests_per_s));
    std::size_t quota = remaining_machine_quota();
    // Demand that is not requested now is planned again in the next round.
    for (const MachineDemand& demand : plan.make(unplaced, shortage)) {
        if (provisioning_.own_request_count() >= max_requests || quota == 0) break;
        const auto count = static_cast<std::uint32_t>(
            std::min<std::size_t>({demand.count, kMaxMachinesPerRequest, quota}));
        request_machines(demand.kind, count);
        quota -= count;
    }
}

// Returns how many machines may be requested beyond the existing and the requested ones.
std::size_t Autoscaler::remaining_machine_quota() const {
    std::size_t machines = cluster_.machines().size();
    for (const auto& [name, request] : provisioning_.requests()) machines += request.count;
    return max_machines_ - std::min(max_machines_, machines);
}

// Records the name, kind and count before the request is sent, so that a later leader can retry it.
void Autoscaler::request_machines(const cloud::MachineKind& kind, std::uint32_t count) {
    const std::uint64_t fence = term_.role_fence(Role::scale_out);
    if (fence == 0) return;  // no holder of the role is known
    const std::string request =
        provisioning_.start_request(term_.info().number, fence, kind, count);
    if (request.empty()) return;
    const std::string& type = cluster_.types()[kind.type].name;
    const std::string& zone = cluster_.zones().name(kind.zone);
    if (!record_intent({request, type, zone, kind.spot, count})) {
        provisioning_.withdraw_request(request);
        return;
    }
    spdlog::info("provisioning machines: request={} count={} type={} zone={} spot={}", request,
                 count, type, zone, kind.spot);
}

// If the record is full, removes answered requests, which are kept for the next leader only.
bool Autoscaler::record_intent(const autoscaling::ProvisioningIntent& intent) {
    while (!intent_log_.add(Role::scale_out, intent)) {
        if (answered_requests_.empty()) return false;
        forget_oldest_answered_request();
    }
    return true;
}

void Autoscaler::forget_oldest_answered_request() {
    intent_log_.remove(Role::scale_out, answered_requests_.front().name);
    answered_requests_.pop_front();
}

void Autoscaler::on_intents_recorded(Role role, const std::vector<std::string>& names, Millis now) {
    if (role == Role::scale_in) {
        send_releases(now);
        return;
    }
    for (const std::string& request : names) send_provision_request(request);
}

void Autoscaler::send_provision_request(const std::string& request) {
    auto it = provisioning_.requests().find(request);
    if (it == provisioning_.requests().end()) return;
    const cloud::MachineKind kind = it->second.kind;
    const std::uint32_t count = it->second.count;
    provisioning_.on_sent(request);
    term_.gateway().provision_machines(
        request, cluster_.types()[kind.type].name, cluster_.zones().name(kind.zone), kind.spot,
        count, term_.guarded([this, request, kind](Millis at, const cloud::ProvisionReply& reply) {
            on_provisioned(request, kind, reply, at);
        }));
}

void Autoscaler::run_due_work(Millis now) {
    if (!term_.lease_confirmed(now)) return;
    if (term_.role_fence(Role::scale_out) != 0) {
        for (const std::string& request : provisioning_.due_retries(now))
            send_provision_request(request);
    }
    while (!answered_requests_.empty() && now >= answered_requests_.front().forget_at)
        forget_oldest_answered_request();
    intent_log_.write(now);
}

void Autoscaler::inherit_intents(Role role,
                                 const std::vector<autoscaling::ProvisioningIntent>& intents,
                                 Millis now) {
    for (const autoscaling::ProvisioningIntent& intent : intents) {
        if (role == Role::scale_in) {
            // The release may be executed at any time, so nothing may be placed on the machine.
            Machine* machine = cluster_.add_machine(intent.name, now);
            cluster_.release_machine(*machine, cluster::ReleaseReason::released_earlier);
            continue;
        }
        const Index type = cluster_.type_names().find(intent.type);
        const Index zone = cluster_.zones().find(intent.zone);
        if (type == kNone || zone == kNone) {
            spdlog::error(
                "inherited request has an unknown type or zone: request={} type={} zone={}",
                intent.name, intent.type, intent.zone);
            intent_log_.remove(role, intent.name);
            continue;
        }
        provisioning_.inherit_request(intent.name, {type, zone, intent.spot}, intent.count);
    }
}

void Autoscaler::on_provisioned(const std::string& request, const cloud::MachineKind& kind,
                                const cloud::ProvisionReply& reply, Millis now) {
    using Result = cloud::ProvisionReply::Result;
    if (provisioning_.on_reply(request, reply, now)) {
        // A list may be up to twice the list lag old when it is read.
        const Millis list_age = seconds(2 * term_.settings().cloud_list_lag_s) + kListMargin;
        if (reply.result == Result::provisioned)
            answered_requests_.push_back({now + list_age, request});
        else
            intent_log_.remove(Role::scale_out, request);
    }
    const std::string& type = cluster_.types()[kind.type].name;
    if (reply.result == Result::malformed)
        spdlog::error("cloud rejected provisioning request as malformed: request={} type={}",
                      request, type);
    for (const std::string& name : reply.machines) {
        if (cluster_.is_tombstoned(name)) continue;
        Machine* machine = cluster_.add_machine(name, now);
        cluster_.set_machine_identity(*machine, "", type, cluster_.zones().name(kind.zone),
                                      kind.spot);
    }
    cluster_.request_scheduling();
    actions_.schedule_if_needed(now);
}

void Autoscaler::on_instances_listed(const std::vector<wire::CloudInstance>& instances,
                                     Millis now) {
    instances_listed_ = true;
    for (const wire::CloudInstance& instance : instances) {
        // The list may still contain machines that have been released.
        if (!cluster_.is_tombstoned(instance.id)) update_listed_machine(instance, now);
    }
}

void Autoscaler::update_listed_machine(const wire::CloudInstance& instance, Millis now) {
    Machine* machine = cluster_.machine(instance.id);
    if (machine == nullptr) {
        machine = cluster_.add_machine(instance.id, now);
        machine->provisioned_at = now - seconds(instance.age_s);
        spdlog::info("listed machine was not in the cluster state: machine={}", instance.id);
    }
    cluster_.set_machine_identity(*machine, instance.address, instance.type, instance.zone,
                                  instance.spot);
    cluster_.set_unverified(*machine, false);
    if (machine->first_listed_at == 0) machine->first_listed_at = now;
    if (instance.status == wire::InstanceStatus::failed) {
        machine->failed = true;
        cluster_.release_machine(*machine, cluster::ReleaseReason::failed);
    } else if (instance.status == wire::InstanceStatus::running &&
               machine->state == MachineState::booting && machine->listed_running_at == 0) {
        machine->listed_running_at = now;
    }
}

// Empty spot machines are cheap to keep. An on-demand machine is kept for long only if it is likely
// to be needed before another machine could boot.
Millis Autoscaler::idle_retention(const Machine& machine, Millis now) {
    const double boot_s =
        machine.type == kNone ? kUnknownBootS : cluster_.types()[machine.type].boot_s;
    if (machine.spot) return seconds(kSpotRetentionBoots * boot_s);
    const bool needed_for_replicas =
        machine.replica_slots > 0 &&
        forecast_.replica_headroom().free_slots - machine.replica_slots <
            forecast_.wanted_replica_slots(now);
    if (needed_for_replicas) return seconds(kNeededRetentionBoots * boot_s);
    if (machine.type == kNone) return seconds(kSurplusRetentionS);
    const std::size_t available =
        forecast_.mutable_demand(machine.type).available_for_whole_machine_tasks;
    const std::size_t wanted = forecast_.wanted_spare_machines(machine.type, now);
    if (available > wanted) return seconds(kSurplusRetentionS);
    return seconds(kNeededRetentionBoots * boot_s);
}

void Autoscaler::send_releases(Millis now) {
    if (release_in_flight_ || now < retry_release_at_ || !term_.lease_confirmed(now) ||
        term_.is_shard_holder() || term_.role_fence(Role::scale_in) == 0)
        return;
    const std::vector<std::string> names = releasable_machines();
    if (names.empty()) return;
    release_in_flight_ = true;
    term_.gateway().release_machines(
        names, term_.guarded([this, names](Millis at, bool ok) { on_released(names, ok, at); }));
}

// Returns the machines that may be released now and records the intent to release the others. A
// release may be executed late, when the next leader has already placed work on the machine, so it
// must be recorded first. This is not necessary for machines on which no leader places work: those
// that have failed and those whose worker has announced their preemption. They are released even
// while the state service is unavailable.
std::vector<std::string> Autoscaler::releasable_machines() {
    std::vector<std::string> names;
    bool record_has_room = true;
    for (const Index index : cluster_.releasing_machines()) {
        const Machine& machine = *cluster_.machine_by_index(index);
        const bool gets_no_work = machine.failed || machine.preemption_expected_at != 0;
        if (gets_no_work || intent_log_.is_recorded(Role::scale_in, machine.name)) {
            if (names.size() < kMaxMachinesPerRelease) names.push_back(machine.name);
        } else if (record_has_room) {
            record_has_room = intent_log_.add(Role::scale_in, {machine.name, "", "", false, 0});
        }
    }
    return names;
}

void Autoscaler::on_released(const std::vector<std::string>& names, bool ok, Millis now) {
    release_in_flight_ = false;
    if (!ok) {
        retry_release_at_ = now + kReleaseRetryDelay;
        return;
    }
    // The reply proves that the machines and the tasks on them no longer exist.
    for (const std::string& name : names) {
        if (Machine* machine = cluster_.machine(name)) cluster_.machine_gone(*machine, now);
    }
    actions_.send_queued_commands(now);
    actions_.schedule_if_needed(now);
}

}  // namespace nickelramp::autoscaling
