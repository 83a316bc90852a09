// Tests every ordered pair of faults of a table (docs/design/combined-faults.md).
#include <gtest/gtest.h>

#include "tests/combined_faults.h"

namespace {

using namespace nickelramp;
using test::bounded_random;
using test::ClusterSimulation;
using test::Faults;

struct NamedFault {
    const char* name;
    std::function<void(ClusterSimulation&, std::mt19937_64&)> inject;
};

// Returns a fault that sets these random faults. They last until another random fault replaces
// them, or until expect_all_finish() ends them.
NamedFault lasting_fault(const char* name, const Faults& faults) {
    return {name,
            [faults](ClusterSimulation& simulation, auto&) { simulation.set_faults(faults); }};
}

// Returns a fault that injects `inject` into each machine with tasks with a probability of
// 1 / `part`.
NamedFault machine_fault(
    const char* name, std::size_t part,
    std::function<void(ClusterSimulation&, std::mt19937_64&, const std::string&)> inject) {
    return {name, [part, inject = std::move(inject)](ClusterSimulation& simulation,
                                                     std::mt19937_64& random) {
                for (const std::string& machine : simulation.working_machines())
                    if (random() % part == 0) inject(simulation, random, machine);
            }};
}

std::vector<NamedFault> leader_faults() {
    return {
        {"store refuses leader",
         [](ClusterSimulation& simulation, std::mt19937_64& random) {
             simulation.reject_leader_at_state_service(2'000 + bounded_random(40'000, random));
         }},
        {"store down",
         [](ClusterSimulation& simulation, std::mt19937_64& random) {
             simulation.take_state_service_down(1'000 + bounded_random(45'000, random));
         }},
        {"leader crashes",
         [](ClusterSimulation& simulation, std::mt19937_64&) { simulation.crash_leader(); }},
        {"leader crashes twice",
         [](ClusterSimulation& simulation, std::mt19937_64& random) {
             simulation.crash_leader();
             simulation.run_until(simulation.now() + 4'000 + bounded_random(1'000, random));
             simulation.crash_leader();
         }},
        {"leader freezes",
         [](ClusterSimulation& simulation, std::mt19937_64& random) {
             simulation.freeze_leader(1'000 + bounded_random(40'000, random));
         }},
    };
}

std::vector<NamedFault> message_faults() {
    Faults copies, delayed_commands, late_writes;
    copies.late_heartbeat_copies = 0.6;
    delayed_commands.delayed_commands = 0.3;
    late_writes.unknown_commits = 0.4;
    return {
        lasting_fault("heartbeat copies", copies),
        lasting_fault("delayed commands", delayed_commands),
        lasting_fault("late writes", late_writes),
        machine_fault("outbound only", 3,
                      [](auto& simulation, auto& random, const std::string& machine) {
                          const Millis until =
                              simulation.now() + 5'000 + bounded_random(60'000, random);
                          simulation.block_inbound(machine, until);
                      }),
        machine_fault("no commands", 2,
                      [](auto& simulation, auto& random, const std::string& machine) {
                          const Millis until =
                              simulation.now() + 5'000 + bounded_random(60'000, random);
                          simulation.block_commands(machine, until);
                      }),
    };
}

std::vector<NamedFault> machine_faults() {
    return {
        {"zone partitioned, commands delayed",
         [](ClusterSimulation& simulation, std::mt19937_64& random) {
             const bool includes_controller = random() % 2 == 0;
             const Millis until = simulation.now() + 5'000 + bounded_random(50'000, random);
             simulation.partition(
                 {"b", 1, false, true, includes_controller, simulation.now(), until});
         }},
        {"machines freeze",
         [](ClusterSimulation& simulation, std::mt19937_64& random) {
             const Millis until = simulation.now() + 3'000 + bounded_random(40'000, random);
             simulation.partition({"a", 0.4, true, false, false, simulation.now(), until});
         }},
        machine_fault("machines die", 4,
                      [](auto& simulation, auto&, const std::string& machine) {
                          simulation.kill_machine(machine);
                      }),
        machine_fault("workers restart", 4,
                      [](auto& simulation, auto&, const std::string& machine) {
                          simulation.restart_machine(machine);
                      }),
        {"shard holders restart",
         [](ClusterSimulation& simulation, std::mt19937_64&) { simulation.restart_holders(); }},
    };
}

std::vector<NamedFault> all_faults() {
    std::vector<NamedFault> faults;
    for (const auto& group : {leader_faults(), message_faults(), machine_faults()})
        faults.insert(faults.end(), group.begin(), group.end());
    return faults;
}

void cancel_a_third(ClusterSimulation& simulation, std::mt19937_64& random,
                    const std::vector<std::string>& ids) {
    for (const std::string& id : ids)
        if (random() % 3 == 0) simulation.request_cancel_until_answered(id);
}

// Injects the faults at the same time or up to 9 s apart. Some jobs are cancelled before the first
// fault and after the second.
void inject_both(std::uint64_t seed, const NamedFault& first, const NamedFault& second) {
    std::mt19937_64 random(seed);
    ClusterSimulation simulation(seed, {}, 1);
    simulation.simulate_leader_leases();
    const auto ids = test::run_mixed_jobs(simulation, random, 9);
    cancel_a_third(simulation, random, ids);
    first.inject(simulation, random);
    const Millis apart[] = {0, 300, 3'000, 9'000};
    simulation.run_until(simulation.now() + apart[random() % 4]);
    second.inject(simulation, random);
    cancel_a_third(simulation, random, ids);
    simulation.run_until(simulation.now() + 30'000);
    test::expect_all_finish(simulation, ids, 250'000);
}

TEST(CombinedFaults, EveryPairOfFaults) {
    const auto faults = all_faults();
    std::uint64_t seed = 1'000;
    for (const NamedFault& first : faults) {
        for (const NamedFault& second : faults) {
            if (HasFailure()) return;
            ++seed;
            SCOPED_TRACE(testing::Message()
                         << first.name << ", then " << second.name << ", seed " << seed);
            inject_both(seed, first, second);
        }
    }
}

}  // namespace
