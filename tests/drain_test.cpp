// Tests of drain plans: properties of every plan over random clusters, single difficult cases, and
// requests of the administration API.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cmath>
#include <set>

#include "drain/request_handler.h"
#include "tests/control_fixture.h"

namespace {

using namespace nickelramp;
using drain::MoveKind;
using drain::Planner;
using drain::PlanState;
using jobs::Attempt;
using jobs::Job;
using machines::Machine;
using machines::MachineState;
using test::ControlFixture;
using test::job;
using test::test_trace;
using test::traced;
using wire::Json;

struct PlannerFixture : ControlFixture {
    using ControlFixture::ControlFixture;
    drain::Planner planner{term, cluster, forecast, placement_rules, failure_detector};

    const drain::Plan& plan(const Json& request, Millis now) {
        std::string error;
        auto r = drain::parse_request(request, error);
        EXPECT_TRUE(r) << error;
        EXPECT_EQ(planner.request_plan(*r), Planner::RequestResult::accepted);
        while (planner.find(r->id)->state == PlanState::planning) planner.advance(now);
        test_trace().add(now, "plan", drain::plan_json(*planner.find(r->id)));
        return *planner.find(r->id);
    }
    // Places the job and reports all its tasks as running.
    void run(Job& job, Millis now) {
        scheduler.place_job(job, now);
        for (const auto& attempt : job.attempts) {
            if (attempt->state != jobs::AttemptState::recording) continue;
            Machine& machine = *cluster.machine_of(*attempt);
            cluster.attempt_recorded(*attempt, now);
            cluster.attempt_start_sent(*attempt, machine, now);
            cluster.apply_task_report(*attempt,
                                      {job.spec.id, attempt->task, attempt->number,
                                       wire::TaskPhase::running, wire::ExitCause::none, false},
                                      machine, now);
        }
    }
};

Json with(Json spec, const char* field, const Json& value) {
    spec[field] = value;
    return spec;
}

// In any cluster, a plan lists each leaving task once. Its target is a remaining machine that the
// job may use and that fits all tasks the plan places there. The limits of spread, one_zone and
// at_once hold, and the cluster state is not modified.
TEST(Drain, EveryPlanFollowsThePlacementRules) {
    EXPECT_TRUE(rc::check([] {
        PlannerFixture p;
        const int machines = *rc::gen::inRange(2, 14);
        for (int n = 0; n < machines; ++n) {
            const char* type = *rc::gen::element("g4", "plain");
            const char* zone = *rc::gen::element("a", "b");
            const bool spot = *rc::gen::inRange(0, 4) == 0;
            p.add_ready_machine("m-" + std::to_string(n), type, zone, spot);
        }
        const int entered = *rc::gen::inRange(1, 8);
        for (int n = 0; n < entered; ++n) {
            const char* shape = *rc::gen::element("sweep", "ensemble", "standing");
            const auto tasks = *rc::gen::inRange(1u, 6u);
            const int gpus = *rc::gen::inRange(0, 3);
            Json spec = job("job-" + std::to_string(n), shape, tasks, gpus);
            spec["crew"] = "unheard";
            spec["standby"] = *rc::gen::arbitrary<bool>();
            spec["scatter"] = *rc::gen::arbitrary<bool>();
            spec["one_zone"] = !spec["scatter"].get<bool>() && *rc::gen::arbitrary<bool>();
            spec["save_every_s"] = *rc::gen::element(0.0, 5.0);
            if (*rc::gen::inRange(0, 4) == 0) spec["yard"] = "a";
            if (*rc::gen::inRange(0, 4) == 0) spec["rigs"] = {"g4"};
            p.run(p.add_job(spec, 1000), 1000);
        }
        Json request = {{"id", "up-1"}};
        const int selection = *rc::gen::inRange(0, 3);
        if (selection == 0) request["zone"] = *rc::gen::element("a", "b");
        if (selection == 1) request["type"] = *rc::gen::element("g4", "plain");
        if (selection == 2) request["all"] = true;
        const auto at_once = *rc::gen::inRange(1u, 5u);
        request["at_once"] = at_once;
        std::vector<double> before;
        for (const Machine* machine : p.cluster.machines()) before.push_back(machine->cpus_free);
        const drain::Plan& plan = p.plan(request, 5000);

        std::set<std::string> leaving;
        std::map<std::uint32_t, std::uint32_t> wave;
        for (const auto& s : plan.steps) {
            RC_ASSERT(leaving.insert(s.machine).second);
            RC_ASSERT(++wave[s.wave] <= at_once);
            RC_ASSERT(s.empty_s >= s.from_s && s.empty_s <= plan.empty_s);
            const Machine* machine = p.cluster.machine(s.machine);
            if (selection == 0) RC_ASSERT(s.zone == request["zone"].get<std::string>());
            if (selection == 1) RC_ASSERT(s.type == request["type"].get<std::string>());
            RC_ASSERT(s.moves.size() == machine->live_attempts);
        }
        std::map<std::string, placement::Need> sent;
        std::map<std::string, std::vector<std::uint32_t>> zones;
        for (const auto& [id, j] : p.cluster.jobs()) zones[id] = p.cluster.live_tasks_by_zone(*j);
        std::set<std::pair<std::string, std::uint32_t>> named;
        for (const auto& s : plan.steps) {
            for (const auto& m : s.moves) {
                RC_ASSERT(named.emplace(m.job, m.task).second);
                const Job& job = *p.cluster.job(m.job);
                RC_ASSERT((m.kind == MoveKind::moves_elsewhere) == job.is_service());
                if (m.kind == MoveKind::runs_to_end || m.to.empty()) continue;
                Index zone = kNone;
                if (m.provisioned) {
                    zone = p.cluster.zones().find(m.to.substr(m.to.size() - 1));
                    RC_ASSERT(job.spec.spot || m.to.rfind("spot ", 0) != 0);
                } else {
                    RC_ASSERT(leaving.count(m.to) == 0);
                    const Machine* to = p.cluster.machine(m.to);
                    zone = to->zone;
                    RC_ASSERT(p.placement_rules.allowed(job, *to));
                    placement::Need& need = sent[m.to];
                    need = {need.cpus + job.spec.cpus, need.gpus + job.spec.gpus,
                            need.memory_gb + job.spec.memory_gb};
                    RC_ASSERT(placement::fits_within(to->cpus_free, to->gpus_free, to->memory_free,
                                                     need));
                }
                RC_ASSERT(job.zone == kNone || zone == job.zone);
                --zones[m.job][p.cluster.machine(s.machine)->zone];
                ++zones[m.job][zone];
            }
        }
        for (const auto& [id, in] : zones) {
            const Job& job = *p.cluster.job(id);
            const bool whole = plan.violations.empty();
            for (std::uint32_t n : in) {
                if (job.spec.spread && job.spec.tasks > 1 && whole) {
                    RC_ASSERT(n <= (job.spec.tasks + 1) / 2);
                }
                if (job.spec.one_zone && selection == 2 && whole &&
                    job.spec.checkpoint_interval_s > 0) {
                    RC_ASSERT(n == 0 || n == job.live_attempts);
                }
            }
        }
        std::size_t i = 0;
        for (const Machine* machine : p.cluster.machines())
            RC_ASSERT(machine->cpus_free == before[i++]);
        RC_ASSERT(p.gateway.commits.empty() && p.gateway.provision_calls.empty() &&
                  p.gateway.release_calls.empty());
        // Only for the trace: a plan at a time after all forecast task ends.
        request["id"] = "up-2";
        p.plan(request, 60'000);
    }));
}

// A gang meets its deadline if it is not moved, and misses it if it must wait for a machine to
// boot. The plan reports the violation with a suggestion.
TEST(Drain, AMovePastItsDeadlineIsReportedWithTheReason) {
    PlannerFixture p;
    p.add_ready_machine("gpu3", "g4", "a");
    Json spec = job("job-1", "ensemble", 1, 4);
    spec["guess_s"] = 100.0;
    spec["pull_gb"] = 0.0;
    spec["due_s"] = 105.0;
    p.run(p.add_job(spec, 1000), 1000);
    const drain::Plan& late = p.plan({{"id", "driver"}, {"machines", {"gpu3"}}}, 1000);
    EXPECT_EQ(late.state, PlanState::refused);
    ASSERT_EQ(late.violations.size(), 1u);
    EXPECT_EQ(late.violations[0].job, "job-1");
    EXPECT_EQ(late.violations[0].machine, "gpu3");
    EXPECT_DOUBLE_EQ(*late.violations[0].due_s, 105);
    EXPECT_DOUBLE_EQ(*late.violations[0].ends_s, 110);  // a boot of 10 s, then the full run time
    EXPECT_EQ(late.violations[0].suggestion, "more machines: g4 in a hired 6 s before");
    // With a second machine the deadline is met.
    p.add_ready_machine("gpu4", "g4", "a");
    const drain::Plan& fine = p.plan({{"id", "driver-2"}, {"machines", {"gpu3"}}}, 1000);
    EXPECT_EQ(fine.state, PlanState::ready);
    EXPECT_EQ(fine.steps[0].moves[0].to, "gpu4");
    EXPECT_DOUBLE_EQ(fine.steps[0].empty_s, 4);  // 2 s for the checkpoint and 2 s to stop
}

TEST(Drain, TasksWithoutCheckpointsRunToTheirEnd) {
    PlannerFixture p;
    p.add_ready_machine("m-1", "plain", "a");
    p.add_ready_machine("m-2", "plain", "a");
    Job& j = p.add_job(with(job("job-1", "sweep", 1, 0), "save_every_s", 0.0), 1000);
    p.run(j, 1000);
    const Machine* machine = p.cluster.machine_of(*j.attempts[0]);
    const drain::Plan& plan = p.plan({{"id", "d"}, {"machines", {machine->name}}}, 4000);
    ASSERT_EQ(plan.steps.size(), 1u);
    EXPECT_EQ(plan.steps[0].moves[0].kind, MoveKind::runs_to_end);
    EXPECT_DOUBLE_EQ(plan.steps[0].empty_s, 7);  // of a run time of 10 s
    EXPECT_EQ(plan.state, PlanState::ready);
}

// A job that is being cancelled needs no slot elsewhere.
TEST(Drain, TasksBeingStoppedAreNotPlacedAgain) {
    PlannerFixture p;
    Machine& machine = p.add_ready_machine("m-1", "g4", "a");
    Job& j = p.add_job(job("job-1", "standing", 2, 1), 1000);
    p.run(j, 1000);
    p.lifecycle.cancel(j, 1500);
    ASSERT_EQ(machine.live_attempts, 2u);
    const drain::Plan& plan = p.plan({{"id", "d"}, {"zone", "a"}}, 2000);
    EXPECT_EQ(plan.state, PlanState::ready);
    EXPECT_TRUE(plan.provisioned_machines.empty());
    EXPECT_EQ(plan.steps[0].moves[0].kind, MoveKind::already_stopping);
    EXPECT_DOUBLE_EQ(plan.empty_s, 2);
}

TEST(Drain, AReplicaAwayTooLongIsReported) {
    wire::Settings settings = test::simulation_settings();
    settings.objectives = {{wire::Objective::Kind::wait, "standing", 8, 1, 0}};
    PlannerFixture p(settings);
    p.add_ready_machine("m-1", "g4", "a");
    p.run(p.add_job(job("job-1", "standing", 1, 4), 1000), 1000);
    const drain::Plan& plan = p.plan({{"id", "d"}, {"zone", "a"}}, 2000);
    EXPECT_EQ(plan.state, PlanState::refused);
    EXPECT_EQ(plan.violations[0].reason,
              "a replica would be away for 12 s, its class is promised a start within 8 s");
    ASSERT_EQ(plan.provisioned_machines.size(), 1u);
    EXPECT_EQ(plan.provisioned_machines[0].count, 1u);
    EXPECT_GT(plan.cost, 0);
}

TEST(Drain, UnknownGoneAndDelegatedMachinesAreSkipped) {
    PlannerFixture p;
    p.cluster.set_machine_state(p.add_ready_machine("m-1", "plain", "a"), MachineState::leased_out);
    p.cluster.release_machine(p.add_ready_machine("m-2", "plain", "a"),
                              cluster::ReleaseReason::idle);
    Machine& gone = p.add_ready_machine("m-3", "plain", "a");
    std::string error;
    auto r = drain::parse_request({{"id", "d"}, {"machines", {"m-0", "m-1", "m-2", "m-3"}}}, error);
    ASSERT_EQ(p.planner.request_plan(*r), Planner::RequestResult::accepted);
    p.cluster.machine_gone(gone, 1100);  // between request and advance()
    p.planner.advance(1200);
    const drain::Plan& plan = *p.planner.find("d");
    EXPECT_EQ(plan.state, PlanState::ready);
    EXPECT_TRUE(plan.steps.empty());
    EXPECT_EQ(plan.skipped_machines,
              (std::vector<std::string>{
                  "m-0: there is no such machine", "m-1: it is lent to another controller",
                  "m-2: it goes back to the cloud already", "m-3: it has gone meanwhile"}));
}

// Each call of advance() looks at a bounded number of tasks, however large the cluster.
TEST(Drain, WorkPerTurnIsBounded) {
    PlannerFixture p;
    for (int n = 0; n < 200; ++n) p.add_ready_machine("m-" + std::to_string(n), "plain", "a");
    for (int n = 0; n < 40; ++n) {
        p.run(p.add_job(job("job-" + std::to_string(n), "sweep", 20, 0), 1000), 1000);
    }
    std::string error;
    p.planner.request_plan(*drain::parse_request({{"id", "d"}, {"zone", "a"}}, error));
    std::size_t turns = 0;
    while (p.planner.find("d")->state == PlanState::planning) {
        const std::size_t looked = p.planner.advance(2000);
        EXPECT_LE(looked, 105u);  // 100 and the remaining tasks of one machine
        ASSERT_LT(++turns, 100u);
    }
    EXPECT_GE(turns, 8u);
    // The size of a page is bounded, too.
    std::set<std::string> named;
    std::size_t from = 0, pages = 0;
    for (;; ++pages) {
        const Json page = drain::plan_page(*p.planner.find("d"), from);
        test_trace().add(0, "page", page);
        std::size_t moves = 0;
        for (const Json& s : page["steps"]) {
            EXPECT_TRUE(named.insert(s["machine"]).second);
            moves += s["moves"].size();
        }
        EXPECT_LE(moves, 304u);
        if (!page.contains("next")) break;
        from = page["next"];
    }
    EXPECT_EQ(named.size(), 200u);
    EXPECT_GE(pages, 2u);
    EXPECT_EQ(p.planner.advance(2000), 0u);
}

TEST(Drain, BadRequestsNameTheFieldAtFault) {
    PlannerFixture p;
    p.add_ready_machine("m-1", "plain", "a");
    auto ask = [&](const std::string& method, const std::string& path, const std::string& body,
                   bool leads = true) {
        const net::Response r =
            drain::answer_request({method, path, "", body}, leads ? &p.planner : nullptr);
        test_trace().add(0, "admin-answer", traced(r));
        return r;
    };
    const std::pair<const char*, const char*> wrong[] = {
        {"no json", "the body"},
        {"{}", "id"},
        {R"({"id": "a b"})", "id"},
        {R"({"id": "x"})", "one of machines, zone or type, and all"},
        {R"({"id": "x", "zone": "a", "all": true, "at_once": 1})",
         "one of machines, zone or type, and all"},
        {R"({"id": "x", "machines": "m-1"})", "machines"},
        {R"({"id": "x", "machines": [1]})", "machines"},
        {R"({"id": "x", "zone": 5})", "zone"},
        {R"({"id": "x", "all": true})", "at_once"},
        {R"({"id": "x", "zone": "a", "at_once": 0})", "at_once"},
        {R"({"id": "x", "zone": "a", "at_once": -1})", "at_once"}};
    for (const auto& [body, field] : wrong) {
        const net::Response r = ask("POST", "/admin/plans", body);
        EXPECT_EQ(r.status, 400) << body;
        EXPECT_EQ(Json::parse(r.body)["field"], field) << body;
    }
    const std::string good = R"({"id": "x", "zone": "a", "unheard": 1})";
    EXPECT_EQ(ask("POST", "/admin/plans", good, false).status, 503);
    EXPECT_EQ(ask("POST", "/admin/plans", good, false).retry_after_s, 1);
    EXPECT_EQ(ask("POST", "/admin/plans", good).status, 201);
    EXPECT_EQ(ask("POST", "/admin/plans", good).status, 200);
    EXPECT_EQ(ask("POST", "/admin/plans", R"({"id": "x", "zone": "b"})").status, 409);
    EXPECT_EQ(ask("GET", "/admin/plans/y", "").status, 404);
    EXPECT_EQ(ask("GET", "/admin/planse", "").status, 404);
    EXPECT_EQ(ask("PUT", "/admin/plans/x", "").status, 405);
    p.planner.advance(1000);
    EXPECT_EQ(Json::parse(ask("GET", "/admin/plans/x", "").body)["state"], "ready");
    auto page = [&](const std::string& query) {
        return drain::answer_request({"GET", "/admin/plans/x", query, ""}, &p.planner);
    };
    EXPECT_EQ(page("from=x").status, 400);
    EXPECT_EQ(page("to=1").status, 400);
    EXPECT_TRUE(Json::parse(page("from=99").body)["steps"].empty());
    for (int n = 0; n < 40; ++n) {
        const std::string body = R"({"id": "p)" + std::to_string(n) + R"(", "zone": "a"})";
        const net::Response r = ask("POST", "/admin/plans", body);
        EXPECT_EQ(r.status, n < 16 ? 201 : 503);
        EXPECT_EQ(r.retry_after_s > 0, n >= 16);
    }
    EXPECT_EQ(Json::parse(ask("GET", "/admin/plans", "").body)["plans"].size(), 16u);
}

}  // namespace
