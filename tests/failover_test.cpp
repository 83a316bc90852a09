// One controller's work goes to another: what is in use at that moment, what is cancelled in it,
// and what is heard late (docs/design/combined-faults.md). Each test counts that its meeting came
// about.
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

// What was submitted, and what its users have asked to cancel.
struct Work {
    std::vector<std::string> ids, asked;
    std::map<std::string, std::uint32_t> services;  // with their tasks

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
    // More than both teams may have at once: half of it services, the rest ends and is followed.
    void fill(ClusterSimulation& simulation, int rounds) {
        for (int n = 0; n < rounds; ++n) {
            for (const char* team : {"red", "blue"}) {
                if (n < 2) submit(simulation, "standing", team[0] == 'r' ? 3 : 4, team);
                submit(simulation, "sweep", 8, team);
                submit(simulation, "ensemble", 2 + n % 3, team);
            }
        }
    }
    void ask(ClusterSimulation& simulation, const std::string& id) {
        if (!simulation.final_state(id).empty()) return;
        simulation.request_cancel_until_answered(id);
        asked.push_back(id);
    }
};

// Troubles end then. What was cancelled is told soon, the rest ends or runs, and book and records
// agree. Whoever could not be reached may have been answered for two leases and lives one more.
void settles(ClusterSimulation& simulation, const Work& work, Millis over) {
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
        for (const std::string& id : work.asked)
            if (simulation.final_state(id).empty()) return id + " is not told";
        return "";
    });
    wait(300'000, [&]() -> std::string {
        for (const std::string& id : work.ids) {
            auto service = work.services.find(id);
            if (!simulation.final_state(id).empty()) continue;
            if (service == work.services.end()) return id + " does not end";
            if (simulation.tasks_on_machines(id) < service->second) return id + " does not run";
        }
        return simulation.inconsistent_job();
    });
}

struct Blow {
    const char* name;
    std::function<void(ClusterSimulation&, Random&)> strike;
};
const Blow kBlows[] = {
    {"none", [](ClusterSimulation&, Random&) {}},
    {"refused", [](ClusterSimulation& simulation,
                   Random& r) { simulation.reject_leader_at_state_service(5'000 + r() % 40'000); }},
    {"ends", [](ClusterSimulation& simulation, Random&) { simulation.crash_leader(); }},
    {"stands still", [](ClusterSimulation& simulation,
                        Random& r) { simulation.freeze_leader(3'000 + r() % 30'000); }},
    {"ends twice",
     [](ClusterSimulation& simulation, Random& r) {
         simulation.crash_leader();
         simulation.run_until(simulation.now() + 3'000 + r() % 5'000);
         simulation.crash_leader();
     }},
    {"refused, then down for all",
     [](ClusterSimulation& simulation, Random& r) {
         simulation.reject_leader_at_state_service(3'000 + r() % 40'000);
         simulation.run_until(simulation.now() + 500 + r() % 1'000);
         simulation.take_state_service_down(kCancel + 2'000);
     }},
};

// Both teams are at their limits with more to start, some machines can not be asked, the leader
// changes and jobs are cancelled. The world counts every task that has its image, wherever it is,
// at each start, and looks for what is left at each telling.
TEST(Failover, EveryTeamAtItsLimit) {
    struct Machines {
        const char* name;
        std::function<void(ClusterSimulation&, Random&, Millis)> befall;
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
        {"hanging",
         [](ClusterSimulation& simulation, Random& r, Millis until) {
             for (const char* zone : {"a", "b"})
                 simulation.partition(
                     {zone, 0.5, true, r() % 2 == 0, false, simulation.now(), until});
         }},
        {"deaf",
         [&](ClusterSimulation& simulation, Random& r, Millis until) {
             some(simulation, r, [&](auto& name) { simulation.block_inbound(name, until); });
         }},
        {"mute",
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
    std::size_t full = 0, changes = 0, told = 0, lent = 0;
    for (const Machines& m : machines) {
        for (const Blow& fault : kBlows) {
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
                // Shorter than a lease and longer: it goes on, or has lost its tasks.
                const Millis until = simulation.now() + 4'000 + random() % 45'000;
                const bool before = random() % 2 == 0;
                double red = 0, blue = 0;
                if (before) m.befall(simulation, random, until);
                for (const std::string& id : work.ids) {
                    red = std::max(red, simulation.gpus_used_by("red"));
                    blue = std::max(blue, simulation.gpus_used_by("blue"));
                    if (random() % 3 == 0) work.ask(simulation, id);
                    if (id == work.ids[3]) fault.strike(simulation, random);
                    if (id == work.ids[3] && !before) m.befall(simulation, random, until);
                    if (share > 0 && random() % 12 == 0) simulation.restart_holders();
                    simulation.run_until(simulation.now() + random() % 1'500);
                }
                settles(simulation, work, until + 1'000);
                full += red > 11 && blue > 15 ? 1 : 0;
                changes += simulation.term_count() - terms;
                told += work.asked.size();
                lent += simulation.accepted_shard_grants();
            }
        }
    }
    EXPECT_GT(full, 30u);
    EXPECT_GT(changes, 70u);
    EXPECT_GT(told, 300u);
    EXPECT_GT(lent, 100u);
}

// --- what changes hands

using Find =
    std::function<std::string(ClusterSimulation&)>;  // a job in that moment; empty: not now

std::string find(ClusterSimulation& simulation,
                 const std::function<bool(const jobs::Job&)>& meets) {
    if (simulation.leader() == nullptr) return "";
    for (const auto& [id, j] : simulation.leader()->open_jobs())
        if (j->state == jobs::JobState::open && meets(*j)) return id;
    return "";
}

bool taking_back(ClusterSimulation& simulation) {
    const auto& all = simulation.leader()->registry().all();
    return std::any_of(all.begin(), all.end(), [](const auto* m) { return m->recovering_jobs; });
}

// A cancellation falls into the moment in which a job's work goes from one to another, alone or
// with a blow to the leader, and its holder may end as well.
TEST(Failover, CancellationsWhileJobsChangeHands) {
    const std::pair<const char*, Find> moments[] = {
        {"records are read",
         [](ClusterSimulation& simulation) {
             return simulation.leader_is_loading() ? std::string("any") : "";
         }},
        {"checkpoint under way",
         [](ClusterSimulation& simulation) {
             return find(simulation, [](auto& j) { return j.commit_in_flight; });
         }},
        {"gang half started",
         [](ClusterSimulation& simulation) {
             return find(simulation, [](auto& j) {
                 auto waits = [](auto& a) { return a->state == jobs::AttemptState::waiting; };
                 const auto n = std::count_if(j.attempts.begin(), j.attempts.end(), waits);
                 return j.is_gang() && n > 0 && n < static_cast<long>(j.spec.tasks);
             });
         }},
        {"lent, not begun",
         [](ClusterSimulation& simulation) {
             return find(simulation, [](auto& j) {
                 return j.delegated_shard != kNone && j.delegated_running == 0;
             });
         }},
        {"taken back",
         [](ClusterSimulation& simulation) {
             return find(simulation, [&](auto& j) {
                 return j.delegated_shard != kNone && taking_back(simulation);
             });
         }},
    };
    std::uint64_t seed = 3'000;
    std::map<std::string, std::size_t> met;
    std::size_t wishes = 0;
    for (const auto& [name, now] : moments) {
        for (const Blow& fault : kBlows) {
            for (int n = 0; n < 6; ++n) {
                if (HasFailure()) return;
                SCOPED_TRACE(testing::Message()
                             << name << ", leader " << fault.name << ", seed " << ++seed);
                Random random(seed);
                Faults slow;
                slow.list_delay = 700;
                slow.watch_delay = n % 2 == 0 ? 0 : 900;
                // Gangs that could be lent would be.
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
                        if (random() % 2 == 0) work.ask(simulation, each);
                } else if (!id.empty()) {
                    work.ask(simulation, id);
                }
                if (share > 0 && random() % 3 == 0) simulation.restart_holders();
                fault.strike(simulation, random);
                simulation.run_until(simulation.now() + 45'000);
                settles(simulation, work, 0);
                wishes += simulation.coverage().cancellations_during_load;
            }
        }
    }
    for (const auto& [name, now] : moments) EXPECT_GT(met[name], 9u) << name;
    EXPECT_GT(wishes, 20u);
}

// A holder ends a job, and the leader hears of it when it has read the job's records for itself, as
// the block was taken back; or not at all, as its watch was lost. It had the job for good then, new
// or lent, with its part of the limit, and no transaction for it could succeed.
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
        settles(simulation, work, 0);
    }
    EXPECT_GT(met[0], 10u);
    EXPECT_GT(met[1], 10u);
}

// A holder lets its block go, and the leader goes on granting it: it does not take it up again, and
// nobody has the jobs. It heard no grants for a while, or a machine of the block has failed, so
// that the block's record was written again and its transactions failed.
TEST(Failover, AHolderThatHasReleasedItsShard) {
    std::size_t lent = 0;
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
        lent += id.empty() ? 0 : 1;
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
        settles(simulation, work, 0);
    }
    EXPECT_GT(lent, 15u);
}

// Reports of before reach every controller in the moment in which a leader begins, and again when
// it has acted; others are held back until then on their way. They are of earlier sessions and
// attempts, of machines that are gone and of workers that have begun anew.
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
            work.ask(simulation, work.ids[random() % work.ids.size()]);
            simulation.run_until(simulation.now() + random() % 20'000);
            kBlows[1 + random() % 4].strike(simulation, random);
            simulation.run_until(simulation.now() + 4'000 + random() % 9'000);
        }
        settles(simulation, work, simulation.now() + kLease + 4'000);
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
