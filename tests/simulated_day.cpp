#include "tests/simulated_day.h"

#include <gtest/gtest.h>

namespace nickelramp::test {

Millis simulated_lease() { return seconds(simulation_settings().lease_s); }

void for_each_seed(std::uint64_t from, std::uint64_t count,
                   const std::function<void(std::uint64_t)>& test) {
    for (std::uint64_t seed = from; seed < from + count && !testing::Test::HasFailure(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        test(seed);
    }
}

admin::Options options_without_margins() {
    admin::Options options;
    options.idle_retention_margin = 0;
    options.provisioning_margin = 0;
    options.spot_margin = 0;
    options.replica_margin = 0;
    return options;
}

SimulatedDay::SimulatedDay(std::uint64_t seed, const Faults& faults, std::uint32_t shard_share)
    : random(seed), simulation(seed, faults, shard_share) {
    simulation.simulate_leader_leases();
}

void SimulatedDay::submit(const std::string& shape, std::uint32_t tasks, double gpus,
                          const wire::Json& more) {
    wire::Json spec = job("job-" + std::to_string(ids.size()), shape, tasks, gpus);
    if (ids.size() % 2 == 0) spec["crew"] = "blue";
    if (more.is_object()) spec.update(more);
    ids.push_back(spec["id"]);
    is_service.push_back(shape == "standing");
    simulation.submit(spec);
}

void SimulatedDay::submit_mix(std::uint32_t array_tasks, bool one_zone) {
    for (int n = 0; n < 4; ++n) submit("standing", 2, 1, {{"scatter", n % 2 == 0}});
    for (int n = 0; n < 3; ++n) submit("ensemble", 2 + static_cast<std::uint32_t>(random() % 3), 1);
    submit("sweep", array_tasks, 1, {{"one_zone", one_zone}});
}

void SimulatedDay::cancel(std::size_t n) {
    cancelled.insert(ids[n]);
    simulation.request_cancel_until_answered(ids[n]);
}

void SimulatedDay::cancel_some(unsigned one_in) {
    for (std::size_t n = 0; n < ids.size(); ++n)
        if (random() % one_in == 0) cancel(n);
}

std::string SimulatedDay::unfinished_jobs() const {
    std::string unfinished;
    for (std::size_t n = 0; n < ids.size(); ++n) {
        if (must_finish(n) && simulation.final_state(ids[n]).empty()) unfinished += ids[n] + " ";
    }
    return unfinished;
}

void SimulatedDay::expect_finished(Millis within) {
    simulation.clear_faults();
    const Millis end = simulation.now() + within;
    while (simulation.now() < end && !unfinished_jobs().empty() && !testing::Test::HasFailure())
        run(500);
    EXPECT_EQ(unfinished_jobs(), "")
        << simulation.describe_running() << simulation.describe_cluster_state();
}

void SimulatedDay::expect_all_finished(Millis within) {
    for (std::size_t n = 0; n < ids.size(); ++n)
        if (is_service[n]) cancel(n);
    expect_finished(within);
}

void SimulatedDay::expect_services_running() {
    std::size_t replicas = 0;
    for (std::size_t n = 0; n < 4; ++n) replicas += must_finish(n) ? 0 : 2;
    EXPECT_GE(running_tasks(), replicas)
        << simulation.describe_running() << simulation.describe_cluster_state();
}

}  // namespace nickelramp::test
