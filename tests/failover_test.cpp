/// @file
/// Failover combined with other faults: quota in use at that time, cancellations, and messages that
/// arrive late (docs/design/combined-faults.md). Each test also checks how often the intended
/// combination occurred.
#include <gtest/gtest.h>

#include "tests/cluster_simulation.h"

namespace {

using namespace nickelramp;
using test::ClusterSimulation;
using test::Faults;
using test::job;
using Random = std::mt19937_64;

const Millis kLease = seconds(test::simulation_settings().lease_s);
const Millis kCancel = seconds(test::simulation_settings().cancel_s);

// Jobs that were submitted, and those whose cancellation was requested.
struct Work {
    std::vector<std::string> ids, cancel_requested;
    std::map<std::string, std::uint32_t> services;  // number of tasks by job id

    void submit(ClusterSimulation& simulation, const std::string& shape, std::uint32_t tasks,
                const char* team) {
        ids.push_back("job-" + std::to_string(ids.size()));
        wire::Json spec = job(ids.back(), shape, tasks, 1);
        spec["crew"] = team;
        spec["standby"] = true;
        if (shape == "ensemble") spec["bundle"] = "img-" + ids.back();  // fetched by each member
        if (shape == "standing") services[ids.back()] = tasks;
        simulation.submit(spec);
    }
    // Submits more than the quotas of both teams allow at once: services that run permanently, and
    // arrays and gangs that end and are replaced by waiting ones.
    void fill(ClusterSimulation& simulation, int rounds) {
        for (int n = 0; n < rounds; ++n) {
            for (const char* team : {"red", "blue"}) {
                if (n < 2) submit(simulation, "standing", team[0] == 'r' ? 3 : 4, team);
                submit(simulation, "sweep", 8, team);
                submit(simulation, "ensemble", 2 + n % 3, team);
            }
        }
    }
    void request_cancellation(ClusterSimulation& simulation, const std::string& id) {
        if (!simulation.final_state(id).empty()) return;
        simulation.request_cancel_until_answered(id);
        cancel_requested.push_back(id);
    }
};

// Expects the cluster to recover once faults end at `over`: cancelled jobs soon have a final state,
// the others finish or run, and the leader's cluster state agrees with the stored records. Tasks on
// an unreachable machine may run for three more leases: its heartbeats may be answered for two, and
// its own lease lasts for one more.
void expect_settled(ClusterSimulation& simulation, const Work& work, Millis over) {
    simulation.run_until(std::max(simulation.now(), over));
    simulation.clear_faults();
    auto wait = [&](Millis most, const std::function<std::string()>& missing) {
        const Millis until = simulation.now() + most;
        while (simulation.now() < until && !missing().empty() && !testing::Test::HasFailure())
            simulation.run_until(simulation.now() + 1'000);
        EXPECT_EQ(missing(), "") << simulation.describe_running()
                                 << simulation.describe_cluster_state();
    };
    wait(25'000 + 3 * kLease + 5'000, [&]() -> std::string {
        for (const std::string& id : work.cancel_requested)
            if (simulation.final_state(id).empty()) return id + " has no final state";
        return "";
    });
    wait(300'000, [&]() -> std::string {
        for (const std::string& id : work.ids) {
            auto service = work.services.find(id);
            if (!simulation.final_state(id).empty()) continue;
            if (service == work.services.end()) return id + " does not finish";
            if (simulation.tasks_on_machines(id) < service->second)
                return id + " does not run all tasks";
        }
        return simulation.inconsistent_job();
    });
}

struct LeaderFault {
    const char* name;
    std::function<void(ClusterSimulation&, Random&)> inject_fault;
};
const LeaderFault kLeaderFaults[] = {
    {"none", [](ClusterSimulation&, Random&) {}},
    {"refused", [](ClusterSimulation& simulation,
                   Random& r) { simulation.reject_leader_at_state_service(5'000 + r() % 40'000); }},
    {"crashes", [](ClusterSimulation& simulation, Random&) { simulation.crash_leader(); }},
    {"freezes", [](ClusterSimulation& simulation,
                   Random& r) { simulation.freeze_leader(3'000 + r() % 30'000); }},
    {"crashes twice",
     [](ClusterSimulation& simulation, Random& r) {
         simulation.crash_leader();
         simulation.run_until(simulation.now() + 3'000 + r() % 5'000);
         simulation.crash_leader();
     }},
    {"refused, then state service down",
     [](ClusterSimulation& simulation, Random& r) {
         simulation.reject_leader_at_state_service(3'000 + r() % 40'000);
         simulation.run_until(simulation.now() + 500 + r() % 1'000);
         simulation.take_state_service_down(kCancel + 2'000);
     }},
};

// Both teams are at their quotas with more tasks waiting, some machines are unreachable, the leader
// changes and jobs are cancelled. At each start the simulation counts all tasks whose image has
// been fetched, on any machine. When a job is reported as ended, it checks that no task of it is
// left.
TEST(Failover, EveryTeamAtItsLimit) {
    struct Machines {
        const char* name;
        std::function<void(ClusterSimulation&, Random&, Millis)> start_failure;
    };
    auto some = [](ClusterSimulation& simulation, Random& r, auto f) {
        for (const std::string& name : simulation.working_machines())
            if (r() % 2 == 0) f(name);
    };
    const Machines machines[] = {
        {"cut off",
         [](ClusterSimulation& simulation, Random& r, Millis until) {
             simulation.partition({"a", 0.5, false, r() % 2 == 0, false, simulation.now(), until});
             simulation.partition(
                 {"b", 0.5, false, r() % 2 == 0, r() % 2 == 0, simulation.now(), until});
         }},
        {"frozen",
         [](ClusterSimulation& simulation, Random& r, Millis until) {
             for (const char* zone : {"a", "b"})
                 simulation.partition(
                     {zone, 0.5, true, r() % 2 == 0, false, simulation.now(), until});
         }},
        {"inbound messages blocked",
         [&](ClusterSimulation& simulation, Random& r, Millis until) {
             some(simulation, r, [&](auto& name) { simulation.block_inbound(name, until); });
         }},
        {"commands blocked",
         [&](ClusterSimulation& simulation, Random& r, Millis until) {
             some(simulation, r, [&](auto& name) { simulation.block_commands(name, until); });
         }},
        {"dead",
         [&](ClusterSimulation& simulation, Random& r, Millis) {
             some(simulation, r, [&](auto& name) {
                 r() % 2 == 0 ? simulation.kill_machine(name) : simulation.fail_machine(name);
             });
         }},
    };
    std::uint64_t seed = 2'000;
    std::size_t full = 0, changes = 0, cancelled_jobs = 0, shards_granted = 0;
    for (const Machines& m : machines) {
        for (const LeaderFault& fault : kLeaderFaults) {
            for (std::uint32_t share = 0; share < 3; ++share) {
                if (HasFailure()) return;
                SCOPED_TRACE(testing::Message() << m.name << ", leader " << fault.name << ", seed "
                                                << ++seed << ", share " << share);
                Random random(seed);
                ClusterSimulation simulation(seed, {}, share);
                simulation.simulate_leader_leases();
                Work work;
                work.fill(simulation, 4);
                simulation.run_until(35'000 + random() % 10'000);
                const std::size_t terms = simulation.term_count();
                // Shorter or longer than a lease: a machine keeps its tasks or loses them.
                const Millis until = simulation.now() + 4'000 + random() % 45'000;
                const bool before = random() % 2 == 0;
                double red = 0, blue = 0;
                if (before) m.start_failure(simulation, random, until);
                for (const std::string& id : work.ids) {
                    red = std::max(red, simulation.gpus_used_by("red"));
                    blue = std::max(blue, simulation.gpus_used_by("blue"));
                    if (random() % 3 == 0) work.request_cancellation(simulation, id);
                    if (id == work.ids[3]) fault.inject_fault(simulation, random);
                    if (id == work.ids[3] && !before) m.start_failure(simulation, random, until);
                    if (share > 0 && random() % 12 == 0) simulation.restart_holders();
                    simulation.run_until(simulation.now() + random() % 1'500);
                }
                expect_settled(simulation, work, until + 1'000);
                full += red > 11 && blue > 15 ? 1 : 0;
                changes += simulation.term_count() - terms;
                cancelled_jobs += work.cancel_requested.size();
                shards_granted += simulation.accepted_shard_grants();
            }
        }
    }
    EXPECT_GT(full, 30u);
    EXPECT_GT(changes, 70u);
    EXPECT_GT(cancelled_jobs, 300u);
    EXPECT_GT(shards_granted, 100u);
}

// --- Jobs whose work is being handed over

using FindJob =
    std::function<std::string(ClusterSimulation&)>;  // id of a job in that phase; empty: none

std::string find(ClusterSimulation& simulation,
                 const std::function<bool(const jobs::Job&)>& satisfies) {
    if (simulation.leader() == nullptr) return "";
    for (const auto& [id, j] : simulation.leader()->open_jobs())
        if (j->state == jobs::JobState::open && satisfies(*j)) return id;
    return "";
}

bool shard_reclaim_in_progress(ClusterSimulation& simulation) {
    const auto& all = simulation.leader()->registry().all();
    return std::any_of(all.begin(), all.end(), [](const auto* m) { return m->recovering_jobs; });
}

// A job is cancelled while its work is being handed over, alone or together with a fault of the
// leader. The holder of its shard may crash as well.
TEST(Failover, CancellationsWhileJobsChangeHands) {
    const std::pair<const char*, FindJob> moments[] = {
        {"records being read",
         [](ClusterSimulation& simulation) {
             return simulation.leader_is_loading() ? std::string("any") : "";
         }},
        {"checkpoint in flight",
         [](ClusterSimulation& simulation) {
             return find(simulation, [](auto& j) { return j.commit_in_flight; });
         }},
        {"gang partly started",
         [](ClusterSimulation& simulation) {
             return find(simulation, [](auto& j) {
                 auto waits = [](auto& a) { return a->state == jobs::AttemptState::waiting; };
                 const auto n = std::count_if(j.attempts.begin(), j.attempts.end(), waits);
                 return j.is_gang() && n > 0 && n < static_cast<long>(j.spec.tasks);
             });
         }},
        {"delegated, not started",
         [](ClusterSimulation& simulation) {
             return find(simulation, [](auto& j) {
                 return j.delegated_shard != kNone && j.delegated_running == 0;
             });
         }},
        {"being reclaimed",
         [](ClusterSimulation& simulation) {
             return find(simulation, [&](auto& j) {
                 return j.delegated_shard != kNone && shard_reclaim_in_progress(simulation);
             });
         }},
    };
    std::uint64_t seed = 3'000;
    std::map<std::string, std::size_t> met;
    std::size_t cancelled_during_load = 0;
    for (const auto& [name, now] : moments) {
        for (const LeaderFault& fault : kLeaderFaults) {
            for (int n = 0; n < 6; ++n) {
                if (HasFailure()) return;
                SCOPED_TRACE(testing::Message()
                             << name << ", leader " << fault.name << ", seed " << ++seed);
                Random random(seed);
                Faults slow;
                slow.list_delay = 700;
                slow.watch_delay = n % 2 == 0 ? 0 : 900;
                // Without shards, because a gang that can be delegated is delegated.
                const std::uint32_t share = name == moments[2].first ? 0 : 2;
                ClusterSimulation simulation(seed, slow, share);
                simulation.simulate_leader_leases();
                Work work;
                work.fill(simulation, 1);
                simulation.run_until(20'000 + random() % 20'000);
                if (name == moments[0].first) simulation.crash_leader();
                std::string id;
                for (int step = 0; step < 1'500 && id.empty() && !HasFailure(); ++step) {
                    if (step % 60 == 0)
                        work.submit(simulation, step % 120 ? "sweep" : "ensemble", 3, "blue");
                    if (name == moments[4].first && step % 300 == 299) simulation.restart_holders();
                    simulation.run_until(simulation.now() + 30);
                    id = now(simulation);
                }
                if (!id.empty()) ++met[name];
                if (id == "any") {
                    for (const std::string& each : work.ids)
                        if (random() % 2 == 0) work.request_cancellation(simulation, each);
                } else if (!id.empty()) {
                    work.request_cancellation(simulation, id);
                }
                if (share > 0 && random() % 3 == 0) simulation.restart_holders();
                fault.inject_fault(simulation, random);
                simulation.run_until(simulation.now() + 45'000);
                expect_settled(simulation, work, 0);
                cancelled_during_load += simulation.coverage().cancellations_during_load;
            }
        }
    }
    for (const auto& [name, now] : moments) EXPECT_GT(met[name], 9u) << name;
    EXPECT_GT(cancelled_during_load, 20u);
}

// A shard holder finishes a job. The leader learns of it only after it has read the job's records
// while reclaiming the shard, or never, because its watch was interrupted. Guards against a fault
// in which the leader then kept the job, new or delegated, and its share of the quota forever,
// while no transaction for the job could succeed.
TEST(Failover, CompletionsThatArriveLateOrNever) {
    std::size_t met[2] = {};
    for (std::uint64_t seed = 4'000; seed < 4'100 && !HasFailure(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Random random(seed);
        const bool lost = seed % 2 != 0;
        Faults slow;
        slow.watch_delay = lost ? 0 : 9'000;
        ClusterSimulation simulation(seed, slow, 2);
        Work work;
        bool late = false;
        auto over = [&](bool lent) {
            return !find(simulation, [&](auto& j) {
                        return (j.delegated_shard != kNone) == lent &&
                               !simulation.final_state(j.spec.id).empty();
                    }).empty();
        };
        for (int step = 0; step < 1'200 && !HasFailure(); ++step) {
            if (step % 50 == 0)
                work.submit(simulation, step % 100 ? "sweep" : "ensemble", 3, "blue");
            if (lost && step % 150 == 100) simulation.interrupt_watch(14'900);
            if (!lost && over(true) && random() % 3 == 0) simulation.restart_holders();
            simulation.run_until(simulation.now() + 100);
            late |= over(lost);
        }
        met[lost] += late ? 1 : 0;
        expect_settled(simulation, work, 0);
    }
    EXPECT_GT(met[0], 10u);
    EXPECT_GT(met[1], 10u);
}

// A holder releases its shard, and the leader continues to grant it. The holder does not accept it
// again, so that no controller runs its jobs. The holder releases the shard because it received no
// grants for a while, or because a machine of the shard failed: the shard's record was then
// rewritten and the holder's transactions failed.
TEST(Failover, AHolderThatHasReleasedItsShard) {
    std::size_t delegated_jobs = 0;
    for (std::uint64_t seed = 5'000; seed < 5'080 && !HasFailure(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Random random(seed);
        ClusterSimulation simulation(seed, {}, 2);
        Work work;
        std::string id;
        for (int step = 0; step < 600 && id.empty() && !HasFailure(); ++step) {
            if (step % 25 == 0) work.submit(simulation, "sweep", 4, "blue");
            simulation.run_until(simulation.now() + 200);
            id = find(simulation, [](auto& j) {
                return j.delegated_shard != kNone && j.delegated_running > 0;
            });
        }
        delegated_jobs += id.empty() ? 0 : 1;
        Faults faults;
        if (seed % 2 == 0) {
            faults.holder_one_way_partition = true;
            simulation.set_faults(faults);
        } else {
            for (const auto* machine : simulation.leader()->registry().all())
                if (machine->state == machines::MachineState::leased_out && random() % 2 == 0)
                    simulation.fail_machine(machine->name);
        }
        for (int n = 0; n < 5; ++n) {
            work.submit(simulation, "sweep", 2, "blue");
            simulation.run_until(simulation.now() + 4'000);
        }
        expect_settled(simulation, work, 0);
    }
    EXPECT_GT(delegated_jobs, 15u);
}

// Copies of earlier heartbeats reach every controller when a new leader starts, and again after it
// has acted. Other heartbeats are delayed until then. They contain earlier sessions and attempts,
// and come from machines that are gone and from workers that have restarted.
TEST(Failover, OldHeartbeatsAtANewLeader) {
    ClusterSimulation::Coverage met;
    for (std::uint64_t seed = 6'000; seed < 6'060 && !HasFailure(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Random random(seed);
        Faults faults;
        faults.copies_for_next_leader = 0.4;
        faults.heartbeats_held_for_next_leader = 0.1;
        faults.machine_failures_per_s = 0.02;
        faults.list_delay = seed % 2 == 0 ? 500 : 0;
        ClusterSimulation simulation(seed, faults, seed % 3);
        simulation.simulate_leader_leases();
        Work work;
        work.fill(simulation, 3);
        simulation.run_until(35'000);
        for (int n = 0; n < 5 && !HasFailure(); ++n) {
            for (const std::string& name : simulation.working_machines()) {
                if (random() % 8 == 0) simulation.restart_machine(name);
                if (random() % 8 == 0)
                    simulation.block_inbound(name, simulation.now() + kLease + 4'000);
            }
            work.request_cancellation(simulation, work.ids[random() % work.ids.size()]);
            simulation.run_until(simulation.now() + random() % 20'000);
            kLeaderFaults[1 + random() % 4].inject_fault(simulation, random);
            simulation.run_until(simulation.now() + 4'000 + random() % 9'000);
        }
        expect_settled(simulation, work, simulation.now() + kLease + 4'000);
        met.held_copies += simulation.coverage().held_copies;
        met.held_copies_of_gone_machines += simulation.coverage().held_copies_of_gone_machines;
        met.held_copies_of_old_incarnations +=
            simulation.coverage().held_copies_of_old_incarnations;
        met.held_heartbeats_delivered += simulation.coverage().held_heartbeats_delivered;
    }
    EXPECT_GT(met.held_copies, 2'000u);
    EXPECT_GT(met.held_copies_of_gone_machines, 200u);
    EXPECT_GT(met.held_copies_of_old_incarnations, 500u);
    EXPECT_GT(met.held_heartbeats_delivered, 300u);
}

}  // namespace
