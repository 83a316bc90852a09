/// @file
/// Tests on loopback sockets: HTTP, requests of users, and elections and cloud calls against
/// emulated services. Also tests lease validity and shard leases without sockets.
#include <gtest/gtest.h>

#include <algorithm>

#include "api/confirmed_reads_driver.h"
#include "api/job_request_handler.h"
#include "cloud/cloud_client.h"
#include "election/election_driver.h"
#include "net/address.h"
#include "net/http_client.h"
#include "tests/byte_exchange.h"
#include "tests/cluster_simulation.h"
#include "tests/emulator.h"
#include "tests/event_loop.h"
#include "tests/reserved_ports.h"

namespace {

using namespace nickelramp;
using wire::Json;

struct Loopback : testing::Test, test::EventLoop {
    // Sends one request and returns the reply.
    net::ClientReply ask(net::HttpClient& client, const char* method, const std::string& path,
                         const std::string& body = "") {
        net::ClientReply received;
        bool done = false;
        client.request(method, path, body, 15'000, [&](const net::ClientReply& reply) {
            received = reply;
            done = true;
        });
        EXPECT_TRUE(until([&] { return done; }));
        return received;
    }
    // Sends raw bytes on a new connection and returns what is received until the server closes it.
    std::string exchange_bytes(const std::string& server, const std::string& bytes) {
        auto exchange = std::make_unique<test::ByteExchange>();
        exchange->sent = bytes;
        uv_tcp_init(&loop, &exchange->tcp);
        exchange->tcp.data = exchange->connect.data = exchange.get();
        const auto address = *net::parse_address(server);
        uv_tcp_connect(&exchange->connect, &exchange->tcp,
                       reinterpret_cast<const sockaddr*>(&address), [](uv_connect_t* request, int) {
                           static_cast<test::ByteExchange*>(request->data)->start();
                       });
        EXPECT_TRUE(until([&] { return exchange->closed; }));
        bool handle_closed = false;
        exchange->tcp.data = &handle_closed;
        uv_close(reinterpret_cast<uv_handle_t*>(&exchange->tcp),
                 [](uv_handle_t* handle) { *static_cast<bool*>(handle->data) = true; });
        until([&] { return handle_closed; });
        return exchange->received;
    }
};

TEST_F(Loopback, MalformedHttpClosesTheConnectionAndOversizeIsRejected) {
    net::HttpServer server(&loop, 8, [](const net::Request& request, net::Responder responder) {
        responder.send({200, std::to_string(request.body.size()), 0, "text/plain"});
    });
    const test::ReservedPorts ports;
    ASSERT_EQ(server.listen(*net::parse_address(ports.address())), 0);
    EXPECT_EQ(exchange_bytes(ports.address(), "nonsense\r\n\r\n"), "");
    EXPECT_NE(
        exchange_bytes(ports.address(), "GET /" + std::string(8000, 'x') + " HTTP/1.1\r\n\r\n")
            .find(" 414 "),
        std::string::npos);
    EXPECT_NE(exchange_bytes(ports.address(),
                             "GET / HTTP/1.1\r\nA: " + std::string(20000, 'x') + "\r\n\r\n")
                  .find(" 431 "),
              std::string::npos);
    EXPECT_NE(exchange_bytes(ports.address(), "POST / HTTP/1.1\r\nContent-Length: 70000\r\n\r\n" +
                                                  std::string(70000, 'x'))
                  .find(" 413 "),
              std::string::npos);
    EXPECT_NE(exchange_bytes(ports.address(), "GET / HTTP/1.1\r\nConnection: close\r\n\r\n")
                  .find(" 200 "),
              std::string::npos);
    net::HttpClient client(&loop, *net::parse_address(ports.address()), "x", 1, 4);
    EXPECT_EQ(ask(client, "POST", "/", std::string(60'000, 'y')).body, "60000");
    EXPECT_EQ(ask(client, "GET", "/").body, "0");  // the same connection
    EXPECT_EQ(server.connections(), 1u);
}

// A controller that only takes part in elections.
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

// Users write more than the state service accepts. A leader must still be elected without delay.
TEST_F(Loopback, UserRequestsDoNotDelayElections) {
    const test::ReservedPorts ports;
    test::StateServiceEmulator state_service(&loop, ports.address());
    kvstore::Client client(&loop, *net::parse_address(ports.address()), "state", {200, 10});
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
    const test::ReservedPorts ports;
    net::HttpClient client(&loop, *net::parse_address(ports.address()), "x", 1, 4);
    EXPECT_EQ(ask(client, "GET", "/").outcome, net::ClientReply::Outcome::refused);
}

struct JobRequestsOnLoopback : Loopback {
    wire::Settings settings = test::simulation_settings();
    const test::ReservedPorts ports{2};
    const std::string state_address = ports.address(0), own_address = ports.address(1);
    test::StateServiceEmulator emulator{&loop, state_address};
    kvstore::Client state{&loop, *net::parse_address(state_address), "state", {200, 200}};
    std::vector<int> reported_statuses;
    api::ConfirmedReadsDriver reads{&loop, state, settings};
    api::JobRequestHandler request_handler{
        settings,
        reads.store(),
        reads.reads(),
        {[] { return std::int64_t{1}; }, [this] { return static_cast<Millis>(uv_now(&loop)); },
         [this](const char*, int status, Millis) { reported_statuses.push_back(status); },
         [](const std::string&) { return wire::TaskCounts{}; }}};
    net::HttpServer server{&loop, 8, [this](const net::Request& request, net::Responder responder) {
                               if (!request_handler.handle(request, responder))
                                   responder.send({404, "", 0, "x"});
                           }};
    net::HttpClient user{&loop, *net::parse_address(own_address), "desk", 2, 8};
    JobRequestsOnLoopback() {
        EXPECT_EQ(server.listen(*net::parse_address(own_address)), 0);
        request_handler.set_machine_types({{"g4", 16, 4, 64, 50, 1, 10, 4, 10, {"a", "b"}}});
    }
    // Writes the final status of a cancelled job. The leader does this when no task is left.
    void finish_cancelled(const std::string& id) {
        kvstore::Transaction transaction;
        transaction.writes = {{"job/" + id, Json{{"final", "withdrawn"}, {"tasks", 2}}, 0},
                              {"open/" + id, std::nullopt, 0}};
        bool done = false;
        state.commit(transaction, kvstore::RequestClass::background, 1000,
                     [&](const kvstore::CommitReply&) { done = true; });
        EXPECT_TRUE(until([&] { return done; }));
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
    EXPECT_TRUE(emulator.has("open/job-1"));
    // Its tasks are not stopped yet. The cancellation is recorded and the user must retry.
    for (int attempt = 0; attempt < 2; ++attempt) {
        EXPECT_EQ(ask(user, "POST", "/work/job-1/abort").status, 503);
    }
    EXPECT_TRUE(emulator.value("open/job-1")["unwanted"]);
    EXPECT_EQ(status_of(ask(user, "GET", "/work/job-1")), "pending");
    finish_cancelled("job-1");
    EXPECT_EQ(status_of(ask(user, "POST", "/work/job-1/abort")), "withdrawn");
    EXPECT_EQ(status_of(ask(user, "POST", "/work", body)), "withdrawn");
    EXPECT_EQ(ask(user, "POST", "/work/job-9/abort").status, 404);
    EXPECT_EQ(ask(user, "GET", "/work").status, 405);
    EXPECT_EQ(ask(user, "POST", "/work", "no cbor").status, 400);
    const Json unschedulable = test::job("job-2", "sweep", 1, 5);
    EXPECT_EQ(ask(user, "POST", "/work", wire::encode(unschedulable)).status, 422);
    EXPECT_EQ(reported_statuses.front(), 201);
}

// A cancellation that completes quickly is confirmed in the response to the same request.
TEST_F(JobRequestsOnLoopback, ACancellationIsConfirmedOnceItIsComplete) {
    std::string body = wire::encode(test::job("job-1", "sweep", 2, 1));
    EXPECT_EQ(ask(user, "POST", "/work", body).status, 201);
    std::string status;
    user.request("POST", "/work/job-1/abort", "", 5000,
                 [&](const net::ClientReply& reply) { status = status_of(reply); });
    ASSERT_TRUE(until([&] { return emulator.value("open/job-1").contains("unwanted"); }));
    EXPECT_EQ(status, "");
    finish_cancelled("job-1");
    ASSERT_TRUE(until([&] { return !status.empty(); }));
    EXPECT_EQ(status, "withdrawn");
}

// Guards against rejecting a resubmitted job that was accepted under other machine types.
TEST_F(JobRequestsOnLoopback, ResubmittingAKnownJobIsNeverRejected) {
    std::string body = wire::encode(test::job("job-1", "sweep", 2, 4));
    EXPECT_EQ(ask(user, "POST", "/work", body).status, 201);
    request_handler.set_machine_types({{"g1", 16, 1, 64, 50, 1, 10, 4, 10, {"a"}}});
    EXPECT_EQ(ask(user, "POST", "/work", body).status, 200);
}

TEST_F(JobRequestsOnLoopback, RequestsFailImmediatelyDuringAnOutageAndNoJobIsLost) {
    std::string body = wire::encode(test::job("job-1", "sweep", 2, 1));
    EXPECT_EQ(ask(user, "POST", "/work", body).status, 201);
    emulator.down = true;
    const auto rejected =
        ask(user, "POST", "/work", wire::encode(test::job("job-2", "sweep", 2, 1)));
    EXPECT_EQ(rejected.status, 503);
    EXPECT_EQ(ask(user, "GET", "/work/job-1").status, 503);  // not 404
    emulator.down = false;
    EXPECT_EQ(ask(user, "GET", "/work/job-1").status, 200);
    EXPECT_EQ(ask(user, "GET", "/work/job-2").status, 404);
}

// Guards against rejecting a submission because the key-value store throttles writes briefly. Users
// retry only after a second, but the store may accept writes again immediately.
TEST_F(JobRequestsOnLoopback, ShortThrottlingIsWaitedOut) {
    emulator.requests_to_reject = 2;
    const net::ClientReply reply =
        ask(user, "POST", "/work", wire::encode(test::job("job-1", "sweep", 2, 1)));
    EXPECT_EQ(reply.status, 201);
    EXPECT_EQ(emulator.requests_to_reject, 0);
    EXPECT_EQ(emulator.commits, 1);
    EXPECT_EQ(status_of(ask(user, "GET", "/work/job-1")), "pending");
}

TEST_F(JobRequestsOnLoopback, AnUnknownTransactionOutcomeIsAnsweredWithRetryLater) {
    std::string body = wire::encode(test::job("job-1", "sweep", 2, 1));
    emulator.drop_next_reply = true;
    // The write is applied, but its reply is lost.
    EXPECT_EQ(ask(user, "POST", "/work", body).status, 503);
    EXPECT_EQ(ask(user, "POST", "/work", body).status, 200);
}

TEST_F(Loopback, OneLeaderIsElectedAndSucceeded) {
    const test::ReservedPorts ports;
    test::StateServiceEmulator state_service(&loop, ports.address());
    const auto address = *net::parse_address(ports.address());
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
    validity.extend(500);                    // an older reply that was received late
    EXPECT_TRUE(validity.valid(4900));
    validity.reset();
    EXPECT_FALSE(validity.valid(1001));
}

TEST(ShardLeaseTable, GrantsAreRecordedWithRisingTokens) {
    shards::ShardLeaseTable table;
    table.start_term(7, "a");
    for (int i = 0; i < 40; ++i)
        table.add_machine({"i-" + std::to_string(i), "x:1", "g4", "a", false});
    EXPECT_EQ(table.shards().size(), 2u);  // a record holds 32 machines
    const std::uint64_t own_token = table.token_of("i-0");
    const std::uint32_t shard = table.lease_out({"i-0", "i-35"}, "b");
    // Above all increments of the earlier token.
    EXPECT_GT(table.token_of("i-0"), own_token | 0xfff);
    const auto decoded = shards::decode_shard(shards::encode_shard(table.shard(shard)));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->holder, "b");
    ASSERT_EQ(decoded->members.size(), 2u);
    EXPECT_EQ(decoded->members[1].name, "i-35");
    const std::uint64_t delegated_token = table.token_of("i-0");
    table.reclaim(shard);
    EXPECT_GT(table.token_of("i-0"), delegated_token | 0xfff);
    EXPECT_GT(shards::grant_token(8, 1), shards::grant_token(7, 0xfffff) | 0xfff);
}

// Provision requests are sent in the order in which they were made, and a list request waits for at
// most five of them. Guards against sending the oldest ones last and postponing lists forever.
TEST_F(Loopback, CloudCallsKeepTheirOrderAndListsAreNotStarved) {
    std::vector<std::string> received;
    net::HttpServer server(&loop, 16, [&](const net::Request& request, net::Responder responder) {
        const auto body = wire::decode_map(request.body);
        received.push_back(body ? wire::text_field(*body, "hire").value_or(request.path)
                                : request.path);
        responder.send({503, "", 0, "application/cbor"});
    });
    const test::ReservedPorts ports;
    const auto address = *net::parse_address(ports.address());
    ASSERT_EQ(server.listen(address), 0);
    cloud::CloudClient cloud(&loop, address, "cloud", 20);
    std::size_t replies = 0;
    lease::LeaseGuard<lease::ScaleOut> guard([] { return Millis{0}; },
                                             [] {
                                                 return lease::Lease{1, 1};
                                             });
    auto provision = [&](const std::string& name) {
        cloud.provision(*guard.prove(), name, "g4", "a", true, 1,
                        [&](const cloud::ProvisionReply&) { ++replies; });
    };
    // Exhaust the burst that the rate limit allows, one request at a time.
    for (std::size_t n = 0; n < 32; ++n) {
        provision("first-" + std::to_string(n));
        ASSERT_TRUE(until([&] { return replies == n + 1; }));
    }
    const std::size_t before = received.size();
    cloud.list_instances([&](const auto&) { ++replies; });
    for (int n = 0; n < 8; ++n) provision("then-" + std::to_string(n));
    ASSERT_TRUE(until([&] { return replies == 32 + 9; }));
    std::vector<std::string> after(received.begin() + static_cast<std::ptrdiff_t>(before),
                                   received.end());
    auto list = std::find(after.begin(), after.end(), "/hosts");
    ASSERT_NE(list, after.end());
    EXPECT_LE(list - after.begin(), 5);
    after.erase(list);
    for (std::size_t n = 0; n < 8; ++n) EXPECT_EQ(after[n], "then-" + std::to_string(n));
}

// A call that waits for the cloud's rate limit is not sent once the lease under which it was made
// has expired, even if a new lease of the same role has begun. Guards against sending queued calls
// without checking the lease again.
TEST_F(Loopback, QueuedCallsOfAnExpiredLeaseAreNeverSent) {
    std::vector<std::string> received;
    net::HttpServer server(&loop, 16, [&](const net::Request& request, net::Responder responder) {
        const auto body = wire::decode_map(request.body);
        received.push_back(body ? wire::text_field(*body, "hire").value_or(request.path)
                                : request.path);
        responder.send({503, "", 0, "application/cbor"});
    });
    const test::ReservedPorts ports;
    const auto address = *net::parse_address(ports.address());
    ASSERT_EQ(server.listen(address), 0);
    Millis clock = 0;
    lease::Lease lease{5, 100};
    lease::LeaseGuard<lease::ScaleOut> guard([&] { return clock; }, [&] { return lease; });
    using Result = cloud::ProvisionReply::Result;
    for (bool has_successor : {false, true}) {
        lease = {5, 100};
        clock = 0;
        received.clear();
        cloud::CloudClient cloud(&loop, address, "cloud", 10);
        std::map<std::string, Result> results;
        for (int n = 0; n < 24; ++n) {
            const std::string name = "r-" + std::to_string(n);
            cloud.provision(
                *guard.prove(), name, "g4", "a", true, 1,
                [&, name](const cloud::ProvisionReply& reply) { results[name] = reply.result; });
        }
        ASSERT_TRUE(until([&] { return !received.empty(); }));
        clock = 100;
        if (has_successor) lease = {6, 200};
        const std::size_t before = received.size();
        ASSERT_TRUE(until([&] { return results.size() == 24; }));
        EXPECT_LE(received.size(), before + 6)
            << "calls were sent that were not in progress when the lease expired";
        EXPECT_LT(received.size(), 24u);
        for (const auto& [name, result] : results) {
            const bool sent = std::find(received.begin(), received.end(), name) != received.end();
            EXPECT_EQ(result, sent ? Result::rejected : Result::not_sent) << name;
        }
        EXPECT_EQ(guard.prove().has_value(), has_successor);
    }
}

}  // namespace
