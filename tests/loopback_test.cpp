/// @file
/// Real sockets on loopback: HTTP, requests of users, and the election against emulated services.
#include <gtest/gtest.h>

#include <algorithm>

#include "api/confirmed_reads_driver.h"
#include "api/job_request_handler.h"
#include "cloud/cloud_client.h"
#include "election/election_driver.h"
#include "net/address.h"
#include "net/http_client.h"
#include "tests/cluster_simulation.h"
#include "tests/emulator.h"

namespace {

using namespace nickelramp;
using wire::Json;

struct Loopback : testing::Test {
    uv_loop_t loop;
    Loopback() { uv_loop_init(&loop); }
    ~Loopback() override {
        uv_run(&loop, UV_RUN_NOWAIT);
        uv_run(&loop, UV_RUN_NOWAIT);
        uv_loop_close(&loop);
    }
    bool until(const std::function<bool()>& f) { return test::run_until(&loop, f); }
    // One request, and its answer.
    net::ClientReply ask(net::HttpClient& c, const char* method, const std::string& path,
                         std::string body = "") {
        net::ClientReply out;
        bool done = false;
        c.request(method, path, std::move(body), 15'000, [&](const net::ClientReply& reply) {
            out = reply;
            done = true;
        });
        EXPECT_TRUE(until([&] { return done; }));
        return out;
    }
    // Bytes as they are, and what comes back before the connection closes.
    std::string raw(int port, const std::string& bytes) {
        struct Talk {
            uv_tcp_t tcp;
            uv_connect_t connect;
            uv_write_t write;
            std::string out, in;
            bool closed = false;
        };
        auto t = std::make_unique<Talk>();
        t->out = bytes;
        uv_tcp_init(&loop, &t->tcp);
        t->tcp.data = t->connect.data = t.get();
        auto address = *net::parse_address("127.0.0.1:" + std::to_string(port));
        uv_tcp_connect(
            &t->connect, &t->tcp, reinterpret_cast<sockaddr*>(&address), [](uv_connect_t* c, int) {
                auto* t = static_cast<Talk*>(c->data);
                uv_buf_t buf = uv_buf_init(t->out.data(), static_cast<unsigned>(t->out.size()));
                uv_write(&t->write, c->handle, &buf, 1, [](uv_write_t*, int) {});
                uv_read_start(
                    c->handle,
                    [](uv_handle_t*, std::size_t, uv_buf_t* b) {
                        static char space[65536];
                        *b = uv_buf_init(space, sizeof space);
                    },
                    [](uv_stream_t* s, ssize_t n, const uv_buf_t* b) {
                        auto* t = static_cast<Talk*>(s->data);
                        if (n > 0) t->in.append(b->base, static_cast<std::size_t>(n));
                        if (n < 0) t->closed = true;
                    });
            });
        EXPECT_TRUE(until([&] { return t->closed; }));
        bool gone = false;
        t->tcp.data = &gone;
        uv_close(reinterpret_cast<uv_handle_t*>(&t->tcp),
                 [](uv_handle_t* h) { *static_cast<bool*>(h->data) = true; });
        until([&] { return gone; });
        return t->in;
    }
};

TEST_F(Loopback, MalformedHttpClosesTheConnectionAndOversizeIsRejected) {
    net::HttpServer server(&loop, 8, [](const net::Request& q, net::Responder r) {
        r.send({200, std::to_string(q.body.size()), 0, "text/plain"});
    });
    ASSERT_EQ(server.listen(*net::parse_address("127.0.0.1:39301")), 0);
    EXPECT_EQ(raw(39301, "nonsense\r\n\r\n"), "");
    EXPECT_NE(raw(39301, "GET /" + std::string(8000, 'x') + " HTTP/1.1\r\n\r\n").find(" 414 "),
              std::string::npos);
    EXPECT_NE(
        raw(39301, "GET / HTTP/1.1\r\nA: " + std::string(20000, 'x') + "\r\n\r\n").find(" 431 "),
        std::string::npos);
    EXPECT_NE(
        raw(39301, "POST / HTTP/1.1\r\nContent-Length: 70000\r\n\r\n" + std::string(70000, 'x'))
            .find(" 413 "),
        std::string::npos);
    EXPECT_NE(raw(39301, "GET / HTTP/1.1\r\nConnection: close\r\n\r\n").find(" 200 "),
              std::string::npos);
    net::HttpClient client(&loop, *net::parse_address("127.0.0.1:39301"), "x", 1, 4);
    EXPECT_EQ(ask(client, "POST", "/", std::string(60'000, 'y')).body, "60000");
    EXPECT_EQ(ask(client, "GET", "/").body, "0");  // the same connection
    EXPECT_EQ(server.connections(), 1u);
}

// One controller as far as the election goes.
struct Candidate : private election::ElectionObserver {
    std::uint64_t term = 0;
    bool leads = false;
    Millis lease_confirmed_until = 0;
    election::ElectionDriver election;

    Candidate(uv_loop_t* loop, kvstore::Client& client, const char* name, std::uint64_t seed)
        : election(loop, client, name, seed, *this) {
        election.start();
    }

  private:
    void on_elected(std::uint64_t elected_term, std::uint64_t) override {
        term = elected_term;
        leads = true;
    }
    void on_lease_confirmed(Millis valid_until) override { lease_confirmed_until = valid_until; }
    void on_deposed() override { leads = false; }
    void on_leader_changed(const std::string&) override {}
};

// Users write more than the state service accepts; a leader is elected all the same.
TEST_F(Loopback, UserRequestsDoNotDelayElections) {
    test::StateServiceEmulator state_service(&loop, 39305);
    kvstore::Client client(&loop, *net::parse_address("127.0.0.1:39305"), "state", {200, 10});
    std::size_t written = 0;
    constexpr std::size_t kSubmissions = 200;  // 40 s of writes
    for (std::size_t i = 0; i < kSubmissions; ++i) {
        kvstore::Transaction transaction;
        const std::string n = std::to_string(i);
        transaction.writes = {{"job/" + n, Json{{"n", i}}, 0}, {"open/" + n, Json{{"n", i}}, 0}};
        client.commit(transaction, kvstore::RequestClass::user, 60'000,
                      [&](const kvstore::CommitReply&) { ++written; });
    }
    Candidate candidate(&loop, client, "a", 1);
    EXPECT_TRUE(until([&] { return candidate.leads; }));
    EXPECT_LT(written, kSubmissions / 2);
}

TEST_F(Loopback, AnUnreachableServerIsRefusedNotUnknown) {
    net::HttpClient client(&loop, *net::parse_address("127.0.0.1:39302"), "x", 1, 4);
    EXPECT_EQ(ask(client, "GET", "/").outcome, net::ClientReply::Outcome::refused);
}

struct JobRequestsOnLoopback : Loopback {
    wire::Settings settings = test::simulation_settings();
    test::StateServiceEmulator standin{&loop, 39303};
    kvstore::Client state{&loop, *net::parse_address("127.0.0.1:39303"), "state", {200, 200}};
    std::vector<int> counted;
    api::ConfirmedReadsDriver answers{&loop, state, settings};
    api::JobRequestHandler desk{
        settings,
        answers.store(),
        answers.reads(),
        {[] { return std::int64_t{1}; }, [this] { return static_cast<Millis>(uv_now(&loop)); },
         [this](const char*, int status, Millis) { counted.push_back(status); },
         [](const std::string&, std::uint64_t&, std::uint64_t&) { return false; }}};
    net::HttpServer server{&loop, 8, [this](const net::Request& q, net::Responder r) {
                               if (!desk.handle(q, r)) r.send({404, "", 0, "x"});
                           }};
    net::HttpClient user{&loop, *net::parse_address("127.0.0.1:39304"), "desk", 2, 8};
    JobRequestsOnLoopback() {
        EXPECT_EQ(server.listen(*net::parse_address("127.0.0.1:39304")), 0);
        desk.set_machine_types({{"g4", 16, 4, 64, 50, 1, 10, 4, 10, {"a", "b"}}});
    }
    // What the leader does when no task is left.
    void end(const std::string& id) {
        kvstore::Transaction transaction;
        transaction.writes = {{"job/" + id, Json{{"final", "withdrawn"}, {"tasks", 2}}, 0},
                              {"open/" + id, std::nullopt, 0}};
        bool over = false;
        state.commit(transaction, kvstore::RequestClass::background, 1000,
                     [&](const kvstore::CommitReply&) { over = true; });
        EXPECT_TRUE(until([&] { return over; }));
    }
    std::string status_of(const net::ClientReply& reply) {
        auto body = wire::decode_map(reply.body);
        return body ? wire::text_field(*body, "status").value_or("") : "";
    }
};

TEST_F(JobRequestsOnLoopback, SubmissionsAreIdempotentAndFinalStatesAreKept) {
    std::string body = wire::encode(test::job("job-1", "sweep", 2, 1));
    EXPECT_EQ(ask(user, "GET", "/work/job-1").status, 404);
    EXPECT_EQ(ask(user, "POST", "/work", body).status, 201);
    EXPECT_EQ(ask(user, "POST", "/work", body).status, 200);
    EXPECT_EQ(status_of(ask(user, "GET", "/work/job-1")), "pending");
    EXPECT_TRUE(standin.has("open/job-1"));
    // Nobody stops its tasks yet: the wish is kept, and the user is to come back.
    for (int n = 0; n < 2; ++n) {
        EXPECT_EQ(ask(user, "POST", "/work/job-1/abort").status, 503);
    }
    EXPECT_TRUE(standin.value("open/job-1")["unwanted"]);
    EXPECT_EQ(status_of(ask(user, "GET", "/work/job-1")), "pending");
    end("job-1");
    EXPECT_EQ(status_of(ask(user, "POST", "/work/job-1/abort")), "withdrawn");
    EXPECT_EQ(status_of(ask(user, "POST", "/work", body)), "withdrawn");
    EXPECT_EQ(ask(user, "POST", "/work/job-9/abort").status, 404);
    EXPECT_EQ(ask(user, "GET", "/work").status, 405);
    EXPECT_EQ(ask(user, "POST", "/work", "no cbor").status, 400);
    Json never = test::job("job-2", "sweep", 1, 5);
    EXPECT_EQ(ask(user, "POST", "/work", wire::encode(never)).status, 422);
    EXPECT_EQ(counted.front(), 201);
}

// What is over within some messages is told at once.
TEST_F(JobRequestsOnLoopback, ACancellationIsConfirmedOnceItIsOver) {
    std::string body = wire::encode(test::job("job-1", "sweep", 2, 1));
    EXPECT_EQ(ask(user, "POST", "/work", body).status, 201);
    std::string status;
    user.request("POST", "/work/job-1/abort", "", 5000,
                 [&](const net::ClientReply& reply) { status = status_of(reply); });
    ASSERT_TRUE(until([&] { return standin.value("open/job-1").contains("unwanted"); }));
    EXPECT_EQ(status, "");
    end("job-1");
    ASSERT_TRUE(until([&] { return !status.empty(); }));
    EXPECT_EQ(status, "withdrawn");
}

// Guards against contradicting a job that was accepted under other machine types.
TEST_F(JobRequestsOnLoopback, ResubmittingAKnownJobIsNeverRejected) {
    std::string body = wire::encode(test::job("job-1", "sweep", 2, 4));
    EXPECT_EQ(ask(user, "POST", "/work", body).status, 201);
    desk.set_machine_types({{"g1", 16, 1, 64, 50, 1, 10, 4, 10, {"a"}}});
    EXPECT_EQ(ask(user, "POST", "/work", body).status, 200);
}

TEST_F(JobRequestsOnLoopback, AnOutageIsAnsweredAtOnceAndForgetsNothing) {
    std::string body = wire::encode(test::job("job-1", "sweep", 2, 1));
    EXPECT_EQ(ask(user, "POST", "/work", body).status, 201);
    standin.down = true;
    auto refused = ask(user, "POST", "/work", wire::encode(test::job("job-2", "sweep", 2, 1)));
    EXPECT_EQ(refused.status, 503);
    EXPECT_EQ(ask(user, "GET", "/work/job-1").status, 503);  // not 404
    standin.down = false;
    EXPECT_EQ(ask(user, "GET", "/work/job-1").status, 200);
    EXPECT_EQ(ask(user, "GET", "/work/job-2").status, 404);
}

// A submission that the state service had no room for at that moment was once sent back to its
// user, who comes again a second later, while there was room for it the next moment.
TEST_F(JobRequestsOnLoopback, ShortThrottlingIsWaitedOut) {
    standin.too_many = 2;
    const net::ClientReply reply =
        ask(user, "POST", "/work", wire::encode(test::job("job-1", "sweep", 2, 1)));
    EXPECT_EQ(reply.status, 201);
    EXPECT_EQ(standin.too_many, 0);
    EXPECT_EQ(standin.commits, 1);
    EXPECT_EQ(status_of(ask(user, "GET", "/work/job-1")), "pending");
}

TEST_F(JobRequestsOnLoopback, AnUnknownTransactionOutcomeIsNotAnswered) {
    std::string body = wire::encode(test::job("job-1", "sweep", 2, 1));
    standin.swallow_next = true;
    EXPECT_EQ(ask(user, "POST", "/work", body).status, 503);  // applied, but who could know
    EXPECT_EQ(ask(user, "POST", "/work", body).status, 200);
}

TEST_F(Loopback, OneLeaderIsElectedAndSucceeded) {
    test::StateServiceEmulator state_service(&loop, 39305);
    const auto address = *net::parse_address("127.0.0.1:39305");
    kvstore::Client client_a(&loop, address, "state", {200, 200});
    kvstore::Client client_b(&loop, address, "state", {200, 200});
    Candidate a(&loop, client_a, "a", 1);
    Candidate b(&loop, client_b, "b", 2);
    ASSERT_TRUE(until([&] { return a.leads || b.leads; }));
    Candidate& first = a.leads ? a : b;
    Candidate& second = a.leads ? b : a;
    ASSERT_TRUE(until([&] { return second.election.leader() == (&first == &a ? "a" : "b"); }));
    EXPECT_FALSE(a.leads && b.leads);
    EXPECT_GT(first.lease_confirmed_until, 0);
    EXPECT_EQ(first.election.lease_valid_until(), first.lease_confirmed_until);
    first.election.step_down("test", 60'000);
    ASSERT_TRUE(until([&] { return second.leads; }));
    EXPECT_FALSE(first.leads);
    EXPECT_EQ(first.election.lease_valid_until(), 0);
    EXPECT_GT(second.term, first.term);
}

TEST(Election, ALeaseIsValidFromTheSendingOfItsRenewal) {
    lease::LeaseValidity validity(4000);
    EXPECT_FALSE(validity.valid(0));
    validity.extend(1000);
    EXPECT_TRUE(validity.valid(4900));
    EXPECT_FALSE(validity.valid(5000 - 4));  // clock drift is allowed for
    validity.extend(500);                    // an older reply that came late
    EXPECT_TRUE(validity.valid(4900));
    validity.reset();
    EXPECT_FALSE(validity.valid(1001));
}

TEST(ShardLeaseTable, GrantsAreRecordedWithRisingTokens) {
    shards::ShardLeaseTable ledger;
    ledger.start_term(7, "a");
    for (int i = 0; i < 40; ++i)
        ledger.add_machine({"i-" + std::to_string(i), "x:1", "g4", "a", false});
    EXPECT_EQ(ledger.shards().size(), 2u);  // a record holds 32
    std::uint64_t own = ledger.token_of("i-0");
    std::uint32_t n = ledger.lease_out({"i-0", "i-35"}, "b");
    EXPECT_GT(ledger.token_of("i-0"), own | 0xfff);  // above every raise of the earlier grant
    auto back = shards::decode_shard(shards::encode_shard(ledger.shard(n)));
    ASSERT_TRUE(back);
    EXPECT_EQ(back->holder, "b");
    ASSERT_EQ(back->members.size(), 2u);
    EXPECT_EQ(back->members[1].name, "i-35");
    std::uint64_t lent = ledger.token_of("i-0");
    ledger.reclaim(n);
    EXPECT_GT(ledger.token_of("i-0"), lent | 0xfff);
    EXPECT_GT(shards::grant_token(8, 1), shards::grant_token(7, 0xfffff) | 0xfff);
}

// Hires go out in the order in which they were asked for, and a list waits for five changes at
// most: machines wanted first were once asked for last, and lists were put off for good.
TEST_F(Loopback, CloudCallsKeepTheirOrderAndListsAreNotStarved) {
    std::vector<std::string> seen;
    net::HttpServer server(&loop, 16, [&](const net::Request& q, net::Responder r) {
        auto body = wire::decode_map(q.body);
        seen.push_back(body ? wire::text_field(*body, "hire").value_or(q.path) : q.path);
        r.send({503, "", 0, "application/cbor"});
    });
    ASSERT_EQ(server.listen(*net::parse_address("127.0.0.1:39306")), 0);
    cloud::CloudClient cloud(&loop, *net::parse_address("127.0.0.1:39306"), "cloud", 20);
    std::size_t answers = 0;
    lease::LeaseGuard<lease::ScaleOut> gate([] { return Millis{0}; },
                                            [] {
                                                return lease::Lease{1, 1};
                                            });
    auto hire = [&](const std::string& name) {
        cloud.provision(*gate.prove(), name, "g4", "a", true, 1,
                        [&](const cloud::ProvisionReply&) { ++answers; });
    };
    // What may be sent at once is used up, a few at a time.
    for (std::size_t n = 0; n < 32; ++n) {
        hire("first-" + std::to_string(n));
        ASSERT_TRUE(until([&] { return answers == n + 1; }));
    }
    const std::size_t before = seen.size();
    cloud.list_instances([&](const auto&) { ++answers; });
    for (int n = 0; n < 8; ++n) hire("then-" + std::to_string(n));
    ASSERT_TRUE(until([&] { return answers == 32 + 9; }));
    std::vector<std::string> after(seen.begin() + static_cast<std::ptrdiff_t>(before), seen.end());
    auto list = std::find(after.begin(), after.end(), "/hosts");
    ASSERT_NE(list, after.end());
    EXPECT_LE(list - after.begin(), 5);
    after.erase(list);
    for (std::size_t n = 0; n < 8; ++n) EXPECT_EQ(after[n], "then-" + std::to_string(n));
}

// What waits for the cloud's rate is not sent once the right it was asked for under is over, be it
// that another of the same kind has begun: it was once sent whenever its turn came.
TEST_F(Loopback, QueuedCallsOfAnExpiredLeaseAreNeverSent) {
    std::vector<std::string> seen;
    net::HttpServer server(&loop, 16, [&](const net::Request& q, net::Responder r) {
        auto body = wire::decode_map(q.body);
        seen.push_back(body ? wire::text_field(*body, "hire").value_or(q.path) : q.path);
        r.send({503, "", 0, "application/cbor"});
    });
    ASSERT_EQ(server.listen(*net::parse_address("127.0.0.1:39307")), 0);
    Millis clock = 0;
    lease::Lease right{5, 100};
    lease::LeaseGuard<lease::ScaleOut> gate([&] { return clock; }, [&] { return right; });
    using Result = cloud::ProvisionReply::Result;
    for (bool another : {false, true}) {
        right = {5, 100};
        clock = 0;
        seen.clear();
        cloud::CloudClient cloud(&loop, *net::parse_address("127.0.0.1:39307"), "cloud", 10);
        std::map<std::string, Result> answers;
        for (int n = 0; n < 24; ++n) {
            const std::string name = "r-" + std::to_string(n);
            cloud.provision(
                *gate.prove(), name, "g4", "a", true, 1,
                [&, name](const cloud::ProvisionReply& reply) { answers[name] = reply.result; });
        }
        ASSERT_TRUE(until([&] { return !seen.empty(); }));
        clock = 100;
        if (another) right = {6, 200};
        const std::size_t before = seen.size();
        ASSERT_TRUE(until([&] { return answers.size() == 24; }));
        EXPECT_LE(seen.size(), before + 6) << "more than what was on its way";
        EXPECT_LT(seen.size(), 24u);
        for (const auto& [name, result] : answers) {
            const bool sent = std::find(seen.begin(), seen.end(), name) != seen.end();
            EXPECT_EQ(result, sent ? Result::rejected : Result::not_sent) << name;
        }
        EXPECT_EQ(gate.prove().has_value(), another);
    }
}

}  // namespace
