#include "autoscaling/autoscaler.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

namespace nickelramp::autoscaling {

using forecast::ReplicaHeadroom;
using forecast::TypeDemand;
using jobs::Job;
using lease::Role;
using machines::Machine;
using machines::MachineState;
using placement::Need;
using scheduling::JobQueue;

namespace {
constexpr std::uint32_t kMostHire = 50;   // the cloud's own limit a request
constexpr std::size_t kMostReturn = 100;  // likewise
constexpr Millis kListSlack = 1'000;
constexpr double kIdleSurplus = 10;      // seconds
constexpr std::size_t kMostFresh = 400;  // machines to ask for in one go
}  // namespace

void Autoscaler::scale_out(const std::vector<Job*>& unplaced,
                           const JobQueue::CapacityShortage& lacking, Millis now) {
    // What earlier terms rented is on record or in the list; before both are read, nothing is known
    // to be missing.
    if (cluster_.types().empty() || !instances_listed_) return;
    const std::vector<TypeDemand>& demand = forecast_.demand();
    const ReplicaHeadroom& headroom = forecast_.replica_headroom();
    struct Bin {
        Index type, zone;
        bool spot;
        double cpus, gpus, memory_gb;
    };
    std::vector<Bin> bins;
    auto add_bin = [&](Index type, Index zone, bool spot) {
        const wire::MachineType& machine_type = cluster_.types()[type];
        bins.push_back(
            {type, zone, spot, machine_type.cpus, machine_type.gpus, machine_type.memory_gb});
    };
    for (Index i : cluster_.provisioning_machines()) {
        const Machine& machine = *cluster_.machine_by_index(i);
        if (machine.type == kNone || machine.unverified) continue;
        if (failure_detector_.is_lost(machine.zone))
            continue;  // nothing can be started there for now
        bool late = now - machine.provisioned_at >
                    seconds(cluster_.types()[machine.type].boot_s * kLateBootFactor);
        if (machine.state == MachineState::joining || !late)
            add_bin(machine.type, machine.zone, machine.spot);
    }
    for (const auto& [name, h] : provisioning_.requests()) {
        for (std::uint32_t i = 0; i < h.count; ++i) add_bin(h.kind.type, h.kind.zone, h.kind.spot);
    }
    // What the most urgent work needs is asked for first: the cloud takes few calls.
    std::vector<std::pair<cloud::MachineKind, std::uint32_t>> wanted;
    auto want = [&](const cloud::MachineKind& kind) {
        auto it = std::find_if(wanted.begin(), wanted.end(),
                               [&](const auto& w) { return w.first == kind; });
        if (it == wanted.end()) it = wanted.insert(it, {kind, 0});
        ++it->second;
    };
    std::vector<std::uint32_t> there = cluster_.machine_count_by_zone();
    there.resize(cluster_.zones().size());
    // The cheapest kind that the cloud has not just refused.
    auto cheapest = [&](const Job& job, const Need& need, Index zone, bool at_any_price,
                        auto zone_ok) {
        double least = 0;
        std::optional<cloud::MachineKind> kind;
        for (Index t = 0; t < cluster_.types().size() && t < job.allowed_type.size(); ++t) {
            const wire::MachineType& type = cluster_.types()[t];
            double fits = placement::tasks_that_fit(type.cpus, type.gpus, type.memory_gb, need, 64);
            if (job.allowed_type[t] == 0 || fits == 0) continue;
            for (const std::string& zone_name : type.zones) {
                Index z = cluster_.zones().find(zone_name);
                if ((zone != kNone && z != zone) || !zone_ok(z) || failure_detector_.is_lost(z))
                    continue;
                for (bool spot : {true, false}) {
                    if (spot && (!job.spec.spot || term_.options().use_spot == 0)) continue;
                    if (!at_any_price && rules_.is_expensive(job, t, spot)) continue;
                    if (rules_.reserved_for_other_work(job, t)) continue;
                    if (provisioning_.is_backing_off({t, z, spot}, now)) continue;
                    double price = (spot ? type.spot_price : type.price) / fits;
                    price *= 1.0 + 0.001 * there[z];  // keep zones even
                    if (!kind || price < least) {
                        kind = {t, z, spot};
                        least = price;
                    }
                }
            }
        }
        return kind;
    };
    // Where the cloud has not just refused, the zone with fewest machines.
    auto emptiest = [&](Index type, bool spot) {
        std::optional<Index> best;
        for (const std::string& name : cluster_.types()[type].zones) {
            Index z = cluster_.zones().find(name);
            if (provisioning_.is_backing_off({type, z, spot}, now)) continue;
            if (failure_detector_.is_lost(z)) continue;
            if (!best || there[z] < there[*best]) best = z;
        }
        return best;
    };
    std::size_t fresh = 0;
    std::vector<std::uint32_t> soon_free = forecast_.slots_freed_soon();
    auto supply = [&](Job* job) {
        Need need = placement::need_of(*job);
        std::uint32_t tasks = std::min(job->placeable_tasks(), rules_.tasks_within_limit(*job));
        if (job->is_gang() && tasks < job->spec.tasks) return;
        if (job->spec.shape == wire::Shape::array) {
            for (Index t = 0; t < soon_free.size() && t < job->allowed_type.size(); ++t) {
                if (job->allowed_type[t] == 0 || rules_.reserved_for_other_work(*job, t)) continue;
                const std::uint32_t k = std::min(tasks, soon_free[t]);
                soon_free[t] -= k;
                tasks -= k;
            }
        }
        Index zone = job->zone;
        std::vector<std::uint32_t> in_zone(cluster_.zones().size());
        const std::uint32_t half = (job->spec.tasks + 1) / 2;
        auto zone_ok = [&](Index z) { return !job->spec.spread || in_zone[z] < half; };
        if (job->spec.one_zone || job->spec.spread) {
            in_zone = cluster_.live_tasks_by_zone(*job);
            for (Index z = 0; job->spec.one_zone && z < in_zone.size(); ++z) {
                if (in_zone[z] > 0) zone = z;
            }
        }
        // Gangs of one zone are packed into the zone that already has most room coming, of those
        // where the rest can be had: in a zone without another machine it would be waited for as
        // long as that room lasts.
        if (job->is_gang() && job->spec.one_zone && zone == kNone && job->spec.tasks > 1) {
            std::vector<std::uint32_t> room(cluster_.zones().size());
            for (const Bin& b : bins) {
                if (b.spot && !job->spec.spot) continue;
                room[b.zone] += placement::tasks_that_fit(b.cpus, b.gpus, b.memory_gb, need, tasks);
            }
            for (Machine* machine : rules_.fitting_machines(*job, need, now)) {
                room[machine->zone] += placement::tasks_that_fit(
                    machine->cpus_free, machine->gpus_free, machine->memory_free, need, tasks);
            }
            if (*std::max_element(room.begin(), room.end()) > 0) {
                for (Index z = 0; z < room.size(); ++z) {
                    if (zone != kNone && room[z] <= room[zone]) continue;
                    if (room[z] >= tasks || cheapest(*job, need, z, false, zone_ok)) zone = z;
                }
            }
        }
        auto pack = [&](Bin& b) {
            if (job->allowed_type.size() <= b.type || job->allowed_type[b.type] == 0) return;
            if ((zone != kNone && b.zone != zone) || !zone_ok(b.zone)) return;
            if (b.spot && !job->spec.spot) return;
            if (rules_.reserved_for_other_work(*job, b.type)) return;
            std::uint32_t k = placement::tasks_that_fit(b.cpus, b.gpus, b.memory_gb, need, tasks);
            if (job->spec.spread) k = std::min(k, half - in_zone[b.zone]);
            if (k == 0) return;
            b.cpus -= k * need.cpus;
            b.gpus -= k * need.gpus;
            b.memory_gb -= k * need.memory_gb;
            in_zone[b.zone] += k;
            if (job->spec.one_zone) zone = b.zone;
            tasks -= k;
        };
        for (Bin& b : bins) {
            if (tasks == 0) break;
            pack(b);
        }
        while (tasks > 0 && fresh < kMostFresh) {
            auto kind = cheapest(*job, need, zone, false, zone_ok);
            if (!kind) break;
            auto [t, z, spot] = *kind;
            add_bin(t, z, spot);
            want(*kind);
            ++there[z];
            ++fresh;
            pack(bins.back());
        }
        std::erase_if(bins, [&](const Bin& b) {
            return b.cpus <= placement::kFitTolerance ||
                   (cluster_.types()[b.type].gpus > 0 && b.gpus <= placement::kFitTolerance);
        });
    };
    for (Job* job : unplaced) {
        if (!job->spec.spot) supply(job);
    }
    // Machines for gangs that are likely to come before another could boot. They are set aside
    // before jobs that may use spot machines are packed: arrays would take them, and as many more
    // would be hired ahead the next time, and the next.
    for (Index type = 0; type < demand.size(); ++type) {
        const wire::MachineType& machine_type = cluster_.types()[type];
        auto likely = static_cast<std::size_t>(forecast_.wanted_urgent_machines(type, now));
        likely -= std::min(likely, demand[type].available_for_whole_machine_tasks);
        std::erase_if(bins, [&](const Bin& b) {
            bool untouched = b.type == type && !b.spot && b.gpus >= machine_type.gpus &&
                             b.cpus >= machine_type.cpus;
            if (!untouched || likely == 0) return false;
            --likely;
            return true;
        });
        for (; likely > 0; --likely) {
            auto best = emptiest(type, false);
            if (!best) break;
            want({type, *best, false});
            ++there[*best];
        }
    }
    if (headroom.type != kNone) {
        double ahead = forecast_.wanted_replica_slots(now) - headroom.free_slots;
        const wire::MachineType& best = cluster_.types()[headroom.type];
        auto places_of = [&](double cpus, double gpus, double memory_gb) {
            return placement::tasks_that_fit(cpus, gpus, memory_gb, headroom.need, 1024);
        };
        for (Bin& b : bins) {
            if (ahead <= 0) break;
            if (b.spot || b.type >= headroom.relative_cost.size() ||
                headroom.relative_cost[b.type].on_demand > placement::kExpensiveFactor) {
                continue;
            }
            const std::uint32_t k = places_of(b.cpus, b.gpus, b.memory_gb);
            ahead -= k;
            b.cpus -= k * headroom.need.cpus;
            b.gpus -= k * headroom.need.gpus;
            b.memory_gb -= k * headroom.need.memory_gb;
        }
        for (; ahead > 0; ahead -= places_of(best.cpus, best.gpus, best.memory_gb)) {
            auto zone = emptiest(headroom.type, false);
            if (!zone || fresh >= kMostFresh) break;
            ++fresh;
            want({headroom.type, *zone, false});
            ++there[*zone];
        }
    }
    for (Job* job : unplaced) {
        if (job->spec.spot) supply(job);
    }
    // Dear machines for arrays, as many as the forecast of the queue lacks.
    if (lacking.job != kNone && cluster_.job_by_index(lacking.job) != nullptr) {
        Job& job = *cluster_.job_by_index(lacking.job);
        double cpus = lacking.cpus;
        for (const auto& [name, h] : provisioning_.requests()) {
            if (rules_.is_expensive(job, h.kind.type, h.kind.spot))
                cpus -= h.count * cluster_.types()[h.kind.type].cpus;
        }
        while (cpus > 0 && fresh < kMostFresh) {
            auto kind =
                cheapest(job, placement::need_of(job), job.zone, true, [](Index) { return true; });
            if (!kind) break;
            auto [t, z, spot] = *kind;
            want(*kind);
            ++there[z];
            ++fresh;
            cpus -= std::max(1.0, cluster_.types()[t].cpus);
        }
    }
    // Spot machines are cheap: room for what is likely to come is hired before it comes.
    for (Index t = 0; t < demand.size() && term_.options().use_spot != 0; ++t) {
        double ahead = forecast_.wanted_spot_machines(t, now) - demand[t].free_spot_machines;
        for (const Bin& b : bins) {
            if (b.spot && b.type == t) ahead -= b.cpus / std::max(1.0, cluster_.types()[t].cpus);
        }
        for (; ahead >= 1; ahead -= 1) {
            auto best = emptiest(t, true);
            if (!best || fresh >= kMostFresh) break;
            ++fresh;
            want({t, *best, true});
            ++there[*best];
        }
    }
    // What does not go out now is counted anew the next time, with what has come meanwhile.
    const std::size_t most =
        std::max<std::size_t>(2, static_cast<std::size_t>(term_.settings().cloud_requests_per_s));
    std::size_t room = remaining_machine_quota();
    for (const auto& [kind, n] : wanted) {
        if (provisioning_.own_request_count() >= most || room == 0) break;
        const auto count = static_cast<std::uint32_t>(std::min<std::size_t>({n, kMostHire, room}));
        request_machines(kind, count);
        room -= count;
    }
}

// How many more could be enrolled, beside those that there are or that are being rented.
std::size_t Autoscaler::remaining_machine_quota() const {
    std::size_t there = cluster_.machines().size();
    for (const auto& [name, hire] : provisioning_.requests()) there += hire.count;
    return max_machines_ - std::min(max_machines_, there);
}

// Its name, kind and count are on record before it is sent: whoever leads by then can repeat it.
void Autoscaler::request_machines(const cloud::MachineKind& kind, std::uint32_t count) {
    const std::uint64_t fence = term_.role_fence(Role::scale_out);
    if (fence == 0) return;  // nobody may send it
    const std::string request =
        provisioning_.start_request(term_.info().number, fence, kind, count);
    if (request.empty()) return;
    const std::string& type = cluster_.types()[kind.type].name;
    const std::string& zone = cluster_.zones().name(kind.zone);
    if (!record_intent({request, type, zone, kind.spot, count})) {
        provisioning_.withdraw_request(request);
        return;
    }
    spdlog::info("hiring {} {} {} in {}", count, kind.spot ? "spot" : "ordinary", type, zone);
}

// What lingers makes room for what is new.
bool Autoscaler::record_intent(const autoscaling::ProvisioningIntent& rental) {
    while (!intent_log_.add(Role::scale_out, rental)) {
        if (answered_requests_.empty()) return false;
        intent_log_.remove(Role::scale_out, answered_requests_.front().second);
        answered_requests_.pop_front();
    }
    return true;
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
    const cloud::ProvisioningTracker::Request h = it->second;
    provisioning_.on_sent(request);
    term_.gateway().provision_machines(
        request, cluster_.types()[h.kind.type].name, cluster_.zones().name(h.kind.zone),
        h.kind.spot, h.count,
        term_.guarded([this, request, kind = h.kind](Millis t, const cloud::ProvisionReply& reply) {
            on_provisioned(request, kind, reply, t);
        }));
}

void Autoscaler::run_due_work(Millis now) {
    if (!term_.lease_confirmed(now)) return;
    if (term_.role_fence(Role::scale_out) != 0) {
        for (const std::string& request : provisioning_.due_retries(now))
            send_provision_request(request);
    }
    while (!answered_requests_.empty() && now >= answered_requests_.front().first) {
        intent_log_.remove(Role::scale_out, answered_requests_.front().second);
        answered_requests_.pop_front();
    }
    intent_log_.write(now);
}

void Autoscaler::inherit_intents(Role role,
                                 const std::vector<autoscaling::ProvisioningIntent>& intents,
                                 Millis now) {
    for (const autoscaling::ProvisioningIntent& intent : intents) {
        if (role == Role::scale_in) {
            // Nothing may be placed on it: the return may be executed at any time.
            Machine* machine = cluster_.add_machine(intent.name, now);
            cluster_.release_machine(*machine, cluster::ReleaseReason::released_earlier);
            continue;
        }
        const Index type = cluster_.type_names().find(intent.type);
        const Index zone = cluster_.zones().find(intent.zone);
        if (type == kNone || zone == kNone) {
            spdlog::error("rental {} is of a kind that the cloud does not name: {} in {}",
                          intent.name, intent.type, intent.zone);
            intent_log_.remove(role, intent.name);
            continue;
        }
        provisioning_.inherit_request(intent.name, {type, zone, intent.spot}, intent.count);
    }
}

void Autoscaler::on_provisioned(const std::string& request, const cloud::MachineKind& kind,
                                const cloud::ProvisionReply& reply, Millis now) {
    if (provisioning_.on_reply(request, reply, now)) {
        // A list can be two lags old.
        const bool linger = reply.result == cloud::ProvisionReply::Result::provisioned;
        if (linger)
            answered_requests_.emplace_back(
                now + seconds(2 * term_.settings().cloud_list_lag_s) + kListSlack, request);
        else
            intent_log_.remove(Role::scale_out, request);
    }
    const std::string& type = cluster_.types()[kind.type].name;
    if (reply.result == cloud::ProvisionReply::Result::malformed) {
        spdlog::error("the cloud calls the hire of {} malformed", type);
    }
    for (const std::string& name : reply.machines) {
        if (cluster_.is_tombstoned(name)) continue;
        Machine* machine = cluster_.add_machine(name, now);
        cluster_.set_machine_identity(*machine, "", type, cluster_.zones().name(kind.zone),
                                      kind.spot);
    }
    cluster_.request_scheduling();
    actions_.schedule_if_needed(now);
}

void Autoscaler::on_instances_listed(const std::vector<wire::CloudInstance>& hosts, Millis now) {
    instances_listed_ = true;
    for (const wire::CloudInstance& instance : hosts) {
        if (cluster_.is_tombstoned(instance.id)) continue;  // the list lags behind its return
        Machine* machine = cluster_.machine(instance.id);
        if (machine == nullptr) {
            machine = cluster_.add_machine(instance.id, now);
            machine->provisioned_at = now - seconds(instance.age_s);
            spdlog::info("machine {} of the list was not in the book", instance.id);
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
}

// A spot machine is cheap to keep. An ordinary one stays while it may be needed before another
// boots.
Millis Autoscaler::idle_retention(const Machine& machine, Millis now) {
    double boot = machine.type == kNone ? 60 : cluster_.types()[machine.type].boot_s;
    if (machine.spot) return seconds(2 * boot);
    const bool for_replicas = machine.replica_slots > 0 &&
                              forecast_.replica_headroom().free_slots - machine.replica_slots <
                                  forecast_.wanted_replica_slots(now);
    if (for_replicas) return seconds(20 * boot);
    if (machine.type == kNone ||
        forecast_.mutable_demand(machine.type).available_for_whole_machine_tasks >
            forecast_.wanted_spare_machines(machine.type, now)) {
        return seconds(kIdleSurplus);
    }
    return seconds(20 * boot);
}

// A return may be executed late, when a successor has placed work on the machine: that it leaves is
// on record first. Not needed where no successor would place anything: on what has failed, and on
// what its own worker says is taken back. So these go even while the state service does not answer.
void Autoscaler::send_releases(Millis now) {
    if (release_in_flight_ || now < retry_release_at_ || !term_.lease_confirmed(now) ||
        term_.is_shard_holder() || term_.role_fence(Role::scale_in) == 0) {
        return;
    }
    std::vector<std::string> names;
    bool room = true;
    for (Index i : cluster_.releasing_machines()) {
        const Machine& machine = *cluster_.machine_by_index(i);
        const bool safe = machine.failed || machine.preemption_expected_at != 0;
        if (safe || intent_log_.is_recorded(Role::scale_in, machine.name)) {
            if (names.size() < kMostReturn) names.push_back(machine.name);
        } else if (room) {
            room = intent_log_.add(Role::scale_in, {machine.name, "", "", false, 0});
        }
    }
    if (names.empty()) return;
    release_in_flight_ = true;
    term_.gateway().release_machines(
        names, term_.guarded([this, names](Millis t, bool ok) { on_released(names, ok, t); }));
}

void Autoscaler::on_released(const std::vector<std::string>& names, bool ok, Millis now) {
    release_in_flight_ = false;
    if (!ok) {
        retry_release_at_ = now + 1000;
        return;
    }
    // The answer proves them gone, and everything on them.
    for (const std::string& name : names) {
        if (Machine* machine = cluster_.machine(name)) cluster_.machine_gone(*machine, now);
    }
    actions_.send_queued_commands(now);
    actions_.schedule_if_needed(now);
}

}  // namespace nickelramp::autoscaling
