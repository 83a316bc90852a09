#include <algorithm>

#include "tests/cluster_simulation.h"

namespace nickelramp::test {

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

}  // namespace nickelramp::test
