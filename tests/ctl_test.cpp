// Tests of nickelrampctl against a service on loopback: its requests, retries, output and exit
// codes.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "ctl/config.h"
#include "ctl/program.h"
#include "ctl/retry_policy.h"
#include "ctl/show.h"
#include "tests/cluster_simulation.h"
#include "tests/ctl_service.h"
#include "tests/reserved_ports.h"

namespace {

using namespace nickelramp;
using ctl::RetryPolicy;
using net::ClientReply;
using wire::Json;

// The rules of PROTOCOL for users: a retry follows after 1 s or the Retry-After time, up to 30 s. A
// final answer is never retried. After a refused connection the next controller is tried without a
// pause, until all controllers have refused.
TEST(Ctl, RetriesAsTheProtocolAsksClientsTo) {
    EXPECT_TRUE(rc::check([] {
        const auto n = *rc::gen::inRange<std::size_t>(1, 5);
        const Millis until = *rc::gen::inRange<Millis>(1'000, 120'000);
        RetryPolicy t(n, *rc::gen::inRange<std::size_t>(0, 100), until);
        Millis now = 0;
        std::size_t made = 0, refused = 0;
        for (;;) {
            ClientReply reply;
            reply.outcome =
                *rc::gen::element(ClientReply::Outcome::answered, ClientReply::Outcome::refused,
                                  ClientReply::Outcome::unknown, ClientReply::Outcome::too_long);
            reply.status = *rc::gen::element(200, 201, 400, 404, 409, 422, 429, 500, 503, 504);
            reply.retry_after_s = *rc::gen::element(0, 1, 7, 1000);
            const std::size_t requested = t.controller();
            RC_ASSERT(requested < n);
            const RetryPolicy::Next next = t.next_after(reply, now);
            RC_ASSERT(t.attempts() == ++made);
            const bool there = reply.outcome != ClientReply::Outcome::refused;
            const bool answer = reply.outcome == ClientReply::Outcome::answered &&
                                reply.status < 500 && reply.status != 429;
            RC_ASSERT((next == RetryPolicy::Next::answer) == answer);
            if (answer) return;
            RC_ASSERT((next == RetryPolicy::Next::give_up) == (t.retry_at() >= until));
            refused = there ? 0 : refused + 1;
            const Millis pause = t.retry_at() - now;
            if (refused > 0 && refused % n != 0)
                RC_ASSERT(pause == 0);
            else
                RC_ASSERT(pause >= 1'000 && pause <= 30'000 &&
                          (reply.retry_after_s > 30 || pause >= reply.retry_after_s * 1'000));
            if (next == RetryPolicy::Next::give_up) return;
            RC_ASSERT(n == 1 || t.controller() != requested);
            now = t.retry_at() + (there ? 10 : 0);
        }
    }));
}

TEST(Ctl, ConfigurationErrorsNameTheLine) {
    const ctl::Config c =
        ctl::parse_config("give_up_s = 5\ncontrollers = [\"10.0.0.1:80\", \"10.0.0.2:80\"]", "f");
    EXPECT_EQ(c.controllers.size(), 2u);
    EXPECT_EQ(c.give_up_s, 5);
    const std::pair<const char*, const char*> wrong[] = {
        {"controllers = [", "f:1: "},
        {"", "f: controllers is missing or empty"},
        {"controllers = []", "f: controllers is missing or empty"},
        {"\ncontrollers = [\"here\"]", "f:2: controllers must be like"},
        {"controllers = \"10.0.0.1:80\"", "f:1: controllers must be a list"},
        {"controllers = [\"10.0.0.1:80\"]\ngive_up_s = 0", "f:2: give_up_s must be"},
        {"contrlers = []", "f:1: unknown field 'contrlers'"},
    };
    for (const auto& [text, says] : wrong) {
        try {
            ctl::parse_config(text, "f");
            ADD_FAILURE() << text << " was accepted";
        } catch (const std::runtime_error& e) {
            EXPECT_EQ(std::string(e.what()).rfind(says, 0), 0u) << e.what();
        }
    }
}

TEST(Ctl, TableColumnsAreAligned) {
    EXPECT_EQ(ctl::table({"id", "n"}, {{"job-1", "7"}, {"x", "1000"}}),
              "id        n\njob-1     7\nx      1000\n");
}

struct CtlOnLoopback : testing::Test {
    test::CtlService service;
    const test::ReservedPorts closed_port;
    const std::string service_address = service.address(), closed_address = closed_port.address();
    std::vector<net::Response>& answers = service.answers;
    std::string output, err_output;
    int ctl(const std::vector<std::string>& arguments, const std::string& input = "") {
        const test::CtlRun run = service.run(arguments, input);
        output = run.out;
        err_output = run.err;
        return run.exit_code;
    }
    // Returns method and path of each request.
    std::vector<std::string> requested() const {
        std::vector<std::string> lines;
        for (const net::Request& request : service.requests)
            lines.push_back(request.method + " " + request.path);
        return lines;
    }
    static net::Response cbor(int status, const Json& body, int retry_after = 0) {
        return {status, wire::encode(body), retry_after, "application/cbor"};
    }
};

TEST_F(CtlOnLoopback, RetriesASubmissionUntilItIsAccepted) {
    answers = {cbor(503, {{"error", "try again"}}, 1),
               cbor(201, wire::encode_job_answer("job-5", wire::JobStatus::pending))};
    const std::string job = test::job("job-5", "sweep", 2, 0).dump();
    EXPECT_EQ(
        ctl({"--controller", closed_address, "--controller", service_address, "submit", "-"}, job),
        ctl::kExitOk);
    EXPECT_EQ(output, "job-5 is pending\n");
    EXPECT_EQ(requested(), (std::vector<std::string>{"POST /work", "POST /work"}));
}

TEST_F(CtlOnLoopback, PassesOnRejectionsOfTheService) {
    answers = {cbor(422, {{"error", "unknown team"}})};
    const std::string job = test::job("job-5", "sweep", 2, 0).dump();
    EXPECT_EQ(ctl({"--controller", service_address, "submit", "-"}, job), ctl::kExitRejected);
    EXPECT_EQ(err_output, "the service says 422: unknown team\n");
    EXPECT_EQ(requested().size(), 1u);
}

TEST_F(CtlOnLoopback, WatchesAJobUntilItFinishes) {
    answers = {cbor(200, wire::encode_job_answer("job-5", wire::JobStatus::running, {{1, 2}})),
               cbor(200, wire::encode_job_answer("job-5", wire::JobStatus::done, {{3, 0}}))};
    EXPECT_EQ(ctl({"--controller", service_address, "show", "job-5", "--watch", "0.1"}),
              ctl::kExitOk);
    EXPECT_EQ(
        output,
        "job-5 is running, 1 tasks done, 2 running\njob-5 is done, 3 tasks done, 0 running\n");
}

TEST_F(CtlOnLoopback, FindsTheLeader) {
    const Json follower = {{"node", "n2"}, {"leader", "n1"}, {"state_service", "answers"}};
    Json leader = follower;
    leader["book"] = {{"term", 4},
                      {"confirmed", true},
                      {"open_jobs", 1},
                      {"machines", {{"ready", 3}}},
                      {"waiting", Json::array()},
                      {"late",
                       {{{"id", "job-9"},
                         {"class", "train"},
                         {"objective", "finish"},
                         {"within_s", 60.0},
                         {"left_s", -2.5},
                         {"why", "allowed machines are full"}}}}};
    answers = {{200, follower.dump(), 0, "application/json"},
               {200, leader.dump(), 0, "application/json"}};
    EXPECT_EQ(ctl({"--controller", service_address, "--controller", service_address, "late"}),
              ctl::kExitOk);
    EXPECT_EQ(output,
              "id     class  objective  within_s  left_s  why\n"
              "job-9  train  finish           60    -2.5  allowed machines are full\n");
    EXPECT_EQ(requested().size(), 2u);
}

// A plan is requested until the leader answers, polled until it is complete, and read page by page.
TEST_F(CtlOnLoopback, JoinsThePagesOfADrainPlan) {
    auto step = [](const char* machine, double empty_s) {
        return Json{
            {"machine", machine}, {"type", "g4"},       {"zone", "a"},           {"wave", 0},
            {"from_s", 0.0},      {"empty_s", empty_s}, {"moves", Json::array()}};
    };
    Json plan = {
        {"id", "up"}, {"state", "planning"}, {"machines", 0}, {"empty_s", 0.0}, {"cost", 0.0}};
    auto json = [](int status, const Json& body, int retry_after = 0) {
        return net::Response{status, body.dump(), retry_after, "application/json"};
    };
    answers = {json(503, {{"error", "this controller does not lead"}}, 1), json(201, plan),
               json(200, plan)};
    plan["state"] = "refused";
    plan["machines"] = 2;
    plan["empty_s"] = 7.5;
    plan["steps"] = {step("m-1", 4)};
    plan["refusals"] = {{{"job", "job-1"},
                         {"task", 0},
                         {"machine", "m-1"},
                         {"why", "it would miss its deadline"},
                         {"instead", "later"},
                         {"due_s", 30.0},
                         {"ends_s", 40.5}}};
    plan["next"] = 1;
    answers.push_back(json(200, plan));
    answers.push_back(
        json(200, {{"id", "up"}, {"state", "refused"}, {"steps", {step("m-2", 7.5)}}}));
    EXPECT_EQ(ctl({"--controller", service_address, "plan", "make", "--machine", "m-1", "--machine",
                   "m-2", "up"}),
              ctl::kExitRejected);
    EXPECT_EQ(output,
              "plan up is refused: 2 machines, empty after 7.5 s, costs 0 more\n\n"
              "machine  type  zone  wave  tasks  from_s  empty_s\n"
              "m-1      g4    a        0      0       0        4\n"
              "m-2      g4    a        0      0       0      7.5\n\n"
              "job    task  machine  due_s  ends_s  why                         instead\n"
              "job-1     0  m-1         30    40.5  it would miss its deadline  later\n");
    EXPECT_EQ(requested(), (std::vector<std::string>{"POST /admin/plans", "POST /admin/plans",
                                                     "GET /admin/plans/up", "GET /admin/plans/up",
                                                     "GET /admin/plans/up"}));
}

// Guards against printing an answer that is nested so deeply that it takes more than the stack.
TEST_F(CtlOnLoopback, DeeplyNestedAnswersAreNotRead) {
    constexpr std::size_t kLevels = 1'000'000;
    const std::string nested =
        R"({"id": )" + std::string(kLevels, '[') + std::string(kLevels, ']') + "}";
    answers = {{200, nested, 0, "application/json"}};
    EXPECT_EQ(ctl({"--json", "--controller", service_address, "status"}), ctl::kExitNoAnswer);
    EXPECT_EQ(err_output, "the answer cannot be read\n");
    const std::string shallower =
        R"({"id": )" + std::string(2'000, '[') + std::string(2'000, ']') + "}";
    answers = {{200, shallower, 0, "application/json"}};
    EXPECT_EQ(ctl({"--json", "--controller", service_address, "settings"}), ctl::kExitOk);
    answers = {{422, R"({"error": )" + nested + "}", 0, "application/json"}};
    EXPECT_EQ(ctl({"--controller", service_address, "settings"}), ctl::kExitRejected);
    EXPECT_EQ(err_output, "the service says 422\n");
}

TEST_F(CtlOnLoopback, ReportsThatNoControllerAnswers) {
    EXPECT_EQ(ctl({"--controller", closed_address, "--give-up", "1", "show", "job-5"}),
              ctl::kExitNoAnswer);
    EXPECT_EQ(err_output.rfind("no controller has answered (", 0), 0u) << err_output;
    EXPECT_EQ(err_output.find("may have been done"), std::string::npos)
        << "no controller was reached";
}

TEST_F(CtlOnLoopback, UsageErrorsExitWithTwoAndSendNothing) {
    for (const std::vector<std::string>& words : std::vector<std::vector<std::string>>{
             {},
             {"dance"},
             {"--controller", "here", "status"},
             {"--controller", service_address, "show", "no id"},
             {"--controller", service_address, "submit", "/nowhere/job.json"},
             {"--controller", service_address, "submit", "-"},
             {"--controller", service_address, "settings", "lent_machines"},
             {"--controller", service_address, "settings", "lent_machines", "many"},
             {"--config", "/nowhere.toml", "status"},
             {"--controller", service_address, "--give-up", "0", "status"}}) {
        EXPECT_EQ(ctl(words, "{\"id\": 5}"), ctl::kExitUsage)
            << (words.empty() ? "" : words.back());
        EXPECT_FALSE(err_output.empty());
    }
    EXPECT_TRUE(requested().empty());
}

}  // namespace
