#include "tests/rule_checker.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace nickelramp::test {

namespace {
constexpr double kEpsilon = 1e-6;
}  // namespace

bool RuleChecker::check_start_command(const wire::Command& command) const {
    EXPECT_FALSE(jobs_.cancelled_at(command.job))
        << "start command after the confirmed cancellation of " << command.job;
    const bool known = jobs_.contains(command.job);
    EXPECT_TRUE(known) << "start command for the unknown job " << command.job;
    return known;
}

void RuleChecker::check_task_begun(const SimulatedMachine& machine, const TaskId& id) {
    const wire::JobSpec& spec = jobs_.spec(id.job);
    ++started_tasks_;
    jobs_.record_attempt(id, machine.tasks.at(id).attempt);
    if (const auto cancelled = jobs_.cancelled_at(id.job)) {
        EXPECT_LE(context_.now(), *cancelled + seconds(settings_.cancel_s))
            << "ran_cancelled: " << id.job;
    }
    std::map<std::string, std::uint32_t> tasks_by_zone;
    double team_gpus = 0;
    for (const auto& [name, other] : workers_.all()) {
        if (!other->exists()) continue;
        for (const auto& [other_id, task] : other->tasks) {
            if (!task.occupies_machine()) continue;
            if (other_id == id && name != machine.name) {
                ADD_FAILURE() << "ran_twice: " << id.job << "/" << id.task << " on " << name
                              << " and " << machine.name << " at " << context_.now();
            }
            const wire::JobSpec& other_spec = jobs_.spec(other_id.job);
            if (other_spec.team == spec.team) team_gpus += other_spec.gpus;
            if (other_id.job == id.job) ++tasks_by_zone[other->zone];
        }
    }
    check_quota(spec.team, team_gpus);
    check_placement(machine, spec, tasks_by_zone);
}

void RuleChecker::check_quota(const std::string& team, double gpus) const {
    for (const auto& quota : settings_.teams) {
        if (quota.name == team) {
            EXPECT_LE(gpus, quota.gpus_max + kEpsilon)
                << "exceeded quota of " << team << " at " << context_.now();
        }
    }
}

void RuleChecker::check_placement(const SimulatedMachine& machine, const wire::JobSpec& spec,
                                  const std::map<std::string, std::uint32_t>& tasks_by_zone) const {
    const bool type_allowed = spec.any_type || std::find(spec.types.begin(), spec.types.end(),
                                                         machine.type) != spec.types.end();
    EXPECT_TRUE(type_allowed && (!spec.zone || *spec.zone == machine.zone) &&
                (spec.spot || !machine.spot))
        << "wrong_place: " << spec.id;
    if (spec.one_zone) {
        EXPECT_LE(tasks_by_zone.size(), 1u)
            << "wrong_place: " << spec.id << " runs in more than one zone";
    }
    if (spec.spread) {
        EXPECT_LE(tasks_by_zone.at(machine.zone), (spec.tasks + 1) / 2)
            << "wrong_place: " << spec.id << " has too many tasks in one zone";
    }
}

void RuleChecker::check_final_state(const std::string& job, const std::string& earlier,
                                    const std::string& state) {
    if (state == "withdrawn") check_withdrawn(job, earlier);
    EXPECT_EQ(earlier, "") << "went_back: " << job << " got a second final state";
    jobs_.record_final(job, context_.now());
    if (state == "done") check_done(job);
}

void RuleChecker::check_withdrawn(const std::string& job, const std::string& earlier) {
    EXPECT_TRUE(jobs_.cancel_requested(job))
        << "went_back: no cancellation was requested for " << job;
    EXPECT_NE(earlier, "done") << "went_back: " << job;
    jobs_.confirm_cancel(job, context_.now());
    for (const auto& [name, machine] : workers_.all()) {
        workers_.advance(*machine);
        if (!machine->exists()) continue;
        for (const auto& [id, task] : machine->tasks) {
            EXPECT_TRUE(id.job != job || task.exited())
                << job << "/" << id.task << " is still on " << name;
        }
    }
}

void RuleChecker::check_done(const std::string& job) const {
    EXPECT_FALSE(jobs_.cancelled_at(job)) << job << " was cancelled and then recorded as done";
    for (std::uint32_t task = 0; task < jobs_.spec(job).tasks; ++task) {
        EXPECT_TRUE(jobs_.completed({job, task})) << "not_done: " << job << "/" << task;
    }
}

void RuleChecker::check_all() {
    for (const auto& [name, machine] : workers_.all()) {
        workers_.advance(*machine);
        if (!machine->exists()) continue;
        for (const auto& [id, task] : machine->tasks) {
            if (!task.occupies_machine()) continue;
            const auto cancelled = jobs_.cancelled_at(id.job);
            if (!cancelled) continue;
            EXPECT_LE(context_.now(), *cancelled + seconds(settings_.cancel_s))
                << "ran_cancelled: " << id.job << "/" << id.task << " is still on " << name;
        }
    }
}

}  // namespace nickelramp::test
