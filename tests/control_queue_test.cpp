// Tests the forecast of when the queued jobs start.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

#include "tests/control_fixture.h"

namespace {

using namespace nickelramp;
using jobs::Job;
using test::ControlFixture;

// Compares the forecast of the queue with a simple simulation that runs the queue task by task. The
// two may differ by one round of tasks and by the margin of the forecast.
TEST(ControlParts, TheQueueForecastMatchesATaskByTaskSimulation) {
    EXPECT_TRUE(rc::check([] {
        wire::Settings settings = test::simulation_settings();
        settings.teams = {{"red", 0, 0, 0, 0}};
        settings.objectives = {{wire::Objective::Kind::deadline, "sweep", 0, 1, 0}};
        ControlFixture fixture(settings, {{"plain", 8, 0, 64, 50, 1, 1, 1, 10, {"a", "b"}}});
        const int machines = *rc::gen::inRange(1, 6);
        for (int n = 0; n < machines; ++n)
            fixture.add_ready_machine("m-" + std::to_string(n), "plain", "a");
        const double slots = machines * 4;  // with two cpus each
        double served_s = 0;                // latest end of all jobs up to the current one
        std::vector<Job*> jobs;
        for (int n = 0; n < 4; ++n) {
            const auto tasks = *rc::gen::inRange(1u, 120u);
            wire::Json spec = test::job("job-" + std::to_string(n), "sweep", tasks, 0);
            spec["due_s"] = *rc::gen::inRange(30, 600);
            jobs.push_back(&fixture.add_job(spec, 0));
        }
        const std::vector<Job*> queue = fixture.job_queue.ordered_jobs(0);
        RC_ASSERT(queue.size() == jobs.size());
        fixture.job_queue.forecast(queue, 0);
        for (Job* job : queue) {
            served_s += job->spec.tasks * 10.0 / slots;
            if (fixture.job_queue.shortage().job != kNone)
                break;  // from here on the forecast includes machines that are being provisioned
            const double due_s = *job->spec.deadline_s;
            if (served_s + 20 < 0.85 * due_s) RC_ASSERT(job->slack == jobs::ScheduleSlack::on_time);
            if (served_s - 20 > due_s) RC_ASSERT(job->slack == jobs::ScheduleSlack::at_risk);
        }
    }));
}

}  // namespace
