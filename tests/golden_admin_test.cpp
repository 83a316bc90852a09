// Tests the recorded form of what operators read and set: options, drain plans, the leader's
// overview and metrics.
#include "admin/metrics.h"
#include "admin/options.h"
#include "control/control_loop.h"
#include "drain/request_handler.h"
#include "election/election.h"
#include "readiness/readiness.h"
#include "relay/forward_admission.h"
#include "roles/role_assigner.h"
#include "tests/control_fixture.h"
#include "tests/golden.h"
#include "tests/golden_samples.h"

namespace {

using namespace nickelramp;
using test::golden::abbreviated;
using test::golden::mostly_invalid_values;
using wire::Json;

using GoldenAdmin = test::golden::Recorded;

TEST_F(GoldenAdmin, OptionsKeepNamesAndRanges) {
    std::string all, verdicts;
    const admin::Options defaults;
    std::vector<Json> values = mostly_invalid_values();
    for (double n : {-0.5, 16.0, 17.0, 20.0, 20.5}) values.push_back(n);
    for (const admin::Option& option : admin::all_options()) {
        all += std::string(option.name) + ": " + std::to_string(option.min) + " to " +
               std::to_string(option.max) + (option.whole_number ? ", whole" : "") + ", default " +
               std::to_string(defaults.*option.member) + "\n";
        for (const Json& value : values) {
            admin::Options options;
            const auto error = admin::set_option(options, option, value);
            verdicts += std::string(option.name) + " = " + abbreviated(value) + ": " +
                        (error ? error->message() : std::to_string(options.*option.member)) + "\n";
        }
    }
    text("options", all);
    text("values", verdicts);
}

TEST_F(GoldenAdmin, DrainRequestsAreReadAsTheyWere) {
    const Json good = {{"id", "up-1_A"}, {"machines", {"m-2", "m-1", "m-2"}}, {"at_once", 3}};
    auto read = [](const Json& body) {
        std::string error;
        const auto r = drain::parse_request(body, error);
        if (!r) return "refused: " + error;
        return "id " + r->id + ", machines " + Json(r->machines).dump() + ", zone " + r->zone +
               ", type " + r->type + (r->all ? ", all" : "") + ", at once " +
               std::to_string(r->at_once);
    };
    std::string out = read(good) + "\n";
    for (const char* body :
         {R"({"id": "x", "zone": "a"})", R"({"id": "x", "type": "g4"})",
          R"({"id": "x", "zone": "a", "type": "g4", "at_once": 10000})",
          R"({"id": "x", "all": true, "at_once": 1})", R"({"id": "x", "all": true})",
          R"({"id": "x"})", R"({"id": "x", "zone": "a", "all": true, "at_once": 1})",
          R"({"id": "x", "zone": "a", "machines": ["m"]})", "{}", "[]", "5"})
        out += std::string(body) + ": " + read(Json::parse(body)) + "\n";
    text("requests", out);
    out.clear();
    for (const char* name : {"id", "machines", "zone", "type", "all", "at_once"}) {
        for (const Json& value : mostly_invalid_values())
            out += std::string(name) + " = " + abbreviated(value) + ": " +
                   read(test::golden::with(good, name, value)) + "\n";
    }
    text("one field wrong", out);
}

drain::Plan full_plan() {
    drain::Plan plan;
    plan.request.id = "up-1";
    plan.state = drain::PlanState::refused;
    plan.steps = {
        {"m-1",
         "g4",
         "a",
         0,
         0,
         12.5,
         {{"job-1", 0, drain::MoveKind::moves_elsewhere, "m-2", false, 0, 3.5, std::nullopt, 0},
          {"job-2", 7, drain::MoveKind::checkpoints_and_moves, "spot g4 b", true, 1, 20, 90.25, 12},
          {"job-3", 1, drain::MoveKind::runs_to_end, "", false, 12.5, 0, 12.5, 3},
          {"job-4", 2, drain::MoveKind::already_stopping, "", false, 2, 0, std::nullopt, 0}}},
        {"m-3", "plain", "b", 1, 12.5, 12.5, {}}};
    plan.skipped_machines = {"m-9 is not known"};
    plan.violations = {{"job-2", 7, "m-1", "it would miss its deadline", "later", 30, 40.5},
                       {"job-3", 1, "m-1", "why", "", std::nullopt, std::nullopt}};
    plan.provisioned_machines = {{"g4", "b", 2, 4.5}};
    plan.empty_s = 12.5;
    plan.cost = 0.75;
    return plan;
}

TEST_F(GoldenAdmin, DrainPlansKeepTheirText) {
    drain::Plan plan = full_plan();
    text("summary", drain::plan_json(plan).dump(1));
    text("first page", drain::plan_page(plan, 0).dump(1));
    text("second page", drain::plan_page(plan, 1).dump(1));
    drain::Plan none;
    text("empty", drain::plan_page(none, 0).dump(1));
    plan.steps[0].moves.resize(300);
    Json page = drain::plan_page(plan, 0);
    text("where the next page begins", page["next"].dump());
    std::string names;
    using drain::PlanState;
    for (PlanState state : {PlanState::planning, PlanState::ready, PlanState::refused})
        names += std::string(drain::name(state)) + "\n";
    text("states", names);
}

TEST_F(GoldenAdmin, DrainCallsAreAnswered) {
    test::ControlFixture fixture;
    fixture.add_ready_machine("m-1", "plain", "a");
    drain::Planner planner{fixture.term, fixture.cluster, fixture.forecast, fixture.placement_rules,
                           fixture.failure_detector};
    auto ask = [&](const std::string& entry, const std::string& method, const std::string& path,
                   const std::string& query = "", const std::string& body = "", bool leads = true) {
        const net::Response r =
            drain::answer_request({method, path, query, body}, leads ? &planner : nullptr);
        text(entry, std::to_string(r.status) + " " + r.type + ", retry after " +
                        std::to_string(r.retry_after_s) + "\n" + r.body);
    };
    const std::string good = R"({"id": "x", "zone": "a"})";
    const std::string plans = drain::kPlansPath;
    ask("not the leader", "POST", plans, "", good, false);
    ask("none", "GET", plans);
    ask("made", "POST", plans, "", good);
    ask("made again", "POST", plans, "", good);
    ask("another of its name", "POST", plans, "", R"({"id": "x", "zone": "b"})");
    ask("no JSON", "POST", plans, "", "no json");
    ask("planning", "GET", plans + "/x");
    planner.advance(1000);
    ask("ready", "GET", plans + "/x");
    ask("page", "GET", plans + "/x", "from=1");
    ask("bad page", "GET", plans + "/x", "from=x");
    ask("bad query", "GET", plans + "/x", "to=1");
    ask("list", "GET", plans);
    ask("unknown", "GET", plans + "/y");
    ask("wrong method", "DELETE", plans);
    ask("wrong method of one", "PUT", plans + "/x");
    ask("other path", "GET", plans + "e");
    for (int n = 0; n < 16; ++n)
        (void)drain::answer_request(
            {"POST", plans, "", R"({"id": "p)" + std::to_string(n) + R"(", "zone": "a"})"},
            &planner);
    ask("too many", "POST", plans, "", R"({"id": "one-more", "zone": "a"})");
}

TEST_F(GoldenAdmin, MetricsKeepTheirText) {
    admin::Metrics metrics;
    text("nothing counted", metrics.text());
    metrics.record_answer("submit", 201, 12.5);
    metrics.record_start("train", 4);
    metrics.record_finish("train", 90);
    metrics.set_gauge("machines", "ready", 3);
    text("one of each", metrics.text());
    std::string names;
    for (std::size_t i = 0; i < relay::kRejectionCount; ++i)
        names += std::string(relay::name(static_cast<relay::Rejection>(i))) + "\n";
    text("refused reports", names);
    names.clear();
    for (int i = 0; i < 7; ++i)
        names += std::string(machines::name(static_cast<machines::MachineState>(i))) + "\n";
    text("machines", names);
    names.clear();
    using election::ElectionState;
    for (ElectionState state : {ElectionState::following, ElectionState::reading_term,
                                ElectionState::acquiring_lease, ElectionState::claiming_leadership,
                                ElectionState::leading, ElectionState::lease_uncertain})
        names += std::string(election::name(state)) + "\n";
    text("leadership", names);
    names.clear();
    for (int i = 0; i < 5; ++i)
        names += std::string(readiness::name(static_cast<readiness::ReadinessState>(i))) + "\n";
    text("serving", names);
    names.clear();
    for (int i = 0; i < 6; ++i)
        names += std::string(roles::name(static_cast<roles::RoleState>(i))) + "\n";
    text("duties", names);
}

// A leader with machines of an earlier term and jobs that wait for different reasons.
struct Leader {
    Leader() {
        settings.objectives = {{wire::Objective::Kind::wait, "sweep", 5, 1, 0.9},
                               {wire::Objective::Kind::finished, "ensemble", 10, 1, 0.9},
                               {wire::Objective::Kind::deadline, "standing", 0, 2, 0.9}};
        control_loop.set_machine_types({{"g4", 16, 4, 64, 50, 1, 10, 4, 10, {"a", "b"}},
                                        {"plain", 8, 0, 32, 50, 1, 1, 0.4, 10, {"a", "b"}}});
        shards::Shard shard;
        shard.holder = "other";
        shard.fencing_token = 5;
        shard.members = {{"m-1", "m-1:1", "g4", "a", false}, {"m-2", "m-2:1", "plain", "b", true}};
        control_loop.load_shard(0, shard);
        load("job-1", test::job("job-1", "sweep", 5, 0));
        load("job-2", test::job("job-2", "ensemble", 4, 4));
        Json service = test::job("job-3", "standing", 1, 0);
        service["due_s"] = 3.0;
        load("job-3", service);
        Json nowhere = test::job("job-4", "sweep", 1, 0);
        nowhere["rigs"] = {"m1"};
        load("job-4", nowhere);
        control_loop.load_checkpoint("job-1", 0, {1, {{1, 1, true, "m-1"}}}, 41, 1000);
        control_loop.start(1000);
    }
    void load(const std::string& id, const Json& spec) {
        jobs::OpenRecord record;
        record.spec = *wire::parse_job(spec);
        record.accepted_wall_ms = 1'000'000;
        control_loop.load_job(record, 31, 1'000'500, 1000);
        (void)id;
    }
    // The order of jobs in the overview is unspecified, so the lists are sorted.
    std::string overview(Millis now) const {
        Json out = control_loop.overview(now);
        for (const char* list : {"waiting", "late"}) std::sort(out[list].begin(), out[list].end());
        return out.dump(1);
    }
    wire::Settings settings = test::simulation_settings();
    test::RecordingGateway gateway;
    control::ControlLoop control_loop{settings, {7, "lead/term", 70}, gateway, 1000};
};

TEST_F(GoldenAdmin, OverviewOfALeaderKeepsItsText) {
    Leader leader;
    text("new", leader.overview(2000));
    leader.control_loop.confirm_lease_until(0);
    text("not confirmed", leader.overview(3000));
    leader.control_loop.confirm_lease_until(kNever);
    text("later", leader.overview(60'000));
}

// Records what a new leader sends first to the state service and to the machines of earlier terms.
TEST_F(GoldenAdmin, FirstStepsOfALeaderKeepTheirTransactions) {
    Leader leader;
    leader.control_loop.tick(1200);
    std::size_t n = 0;
    for (const auto& [txn, done] : leader.gateway.commits)
        transaction("transaction " + std::to_string(n++), txn);
    std::string direct;
    for (const auto& d : leader.gateway.command_messages)
        direct += d.machine + " " +
                  test::golden::shown_bytes(
                      wire::encode_direct_commands(d.token, d.incarnation, d.commands)) +
                  "\n";
    text("direct commands", direct);
}

}  // namespace
