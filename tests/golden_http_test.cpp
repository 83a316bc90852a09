// Tests the recorded HTTP bytes of requests to the state service, the cloud and workers and of
// responses to clients, and the decoding of replies of the state service.
#include <deque>

#include "cloud/cloud_client.h"
#include "controller/worker_connections.h"
#include "kvstore/client.h"
#include "kvstore/protocol.h"
#include "lease/lease_guard.h"
#include "net/address.h"
#include "net/stream.h"
#include "tests/emulator.h"
#include "tests/event_loop.h"
#include "tests/golden.h"
#include "tests/golden_loopback.h"
#include "tests/reserved_ports.h"

namespace {

using namespace nickelramp;
using test::golden::exchange;
using test::golden::Listener;
using wire::Json;

// The address of workers in recorded requests.
constexpr const char* kRecordedAddress = "127.0.0.1:39320";

class GoldenHttp : public test::golden::Recorded, protected test::EventLoop {
  protected:
    // Records the bytes of the single request that `send` makes. It is answered with an empty 200.
    template <typename Send>
    void request(const std::string& entry, Send send) {
        Listener observer(address, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        {
            auto sender = send();
            ASSERT_TRUE(test::run_until(&loop, [&] { return observer.request_received(); }))
                << entry;
        }
        text(entry, with_recorded_address(observer.request()));
        uv_run(&loop, UV_RUN_NOWAIT);
    }
    // Returns the request with the address of this run replaced by the recorded one.
    std::string with_recorded_address(std::string request) const {
        if (const auto at = request.find(address); at != std::string::npos)
            request.replace(at, address.size(), kRecordedAddress);
        return request;
    }
    const test::ReservedPorts port;
    const std::string address = port.address();
};

TEST_F(GoldenHttp, RequestsToTheStateServiceKeepTheirBytes) {
    auto with_client = [this](const std::string& entry, auto ask) {
        request(entry, [&] {
            auto client = std::make_unique<kvstore::Client>(
                &loop, *net::parse_address(address), "state:1", kvstore::RateLimits{100, 100});
            ask(*client);
            return client;
        });
    };
    using kvstore::Client;
    using kvstore::RequestClass;
    with_client("get", [](Client& c) {
        c.get("open/job-1", RequestClass::background, 5000, [](const kvstore::GetReply&) {});
    });
    with_client("list", [](Client& c) {
        c.list("open/", RequestClass::background, [](const kvstore::ListReply&) {});
    });
    with_client("page", [](Client& c) {
        c.list_page("run/", "run/job-1/0", 100, RequestClass::background,
                    [](const kvstore::ListReply&) {});
    });
    with_client("commit", [](Client& c) {
        kvstore::Transaction transaction;
        transaction.conditions = {{"lead/term", 70}, {"open/job-1", 0}};
        transaction.writes = {{"open/job-1", Json{{"a", 1}, {"b", 2.5}}, 0},
                              {"lead/seat", Json{{"node", "n"}}, 12},
                              {"run/job-1/0", std::nullopt, 0}};
        c.commit(transaction, RequestClass::background, 5000, [](const kvstore::CommitReply&) {});
    });
    with_client("changes", [](Client& c) {
        c.changes_since("job/", 77, RequestClass::background, 5000,
                        [](const kvstore::ListReply&) {});
    });
    with_client("lease", [](Client& c) { c.grant_lease(4000, [](const kvstore::LeaseReply&) {}); });
    with_client("renewal",
                [](Client& c) { c.renew_lease(12, 2000, [](const kvstore::LeaseReply&) {}); });
    with_client("end of a lease", [](Client& c) { c.revoke_lease(12); });
    with_client("watch",
                [](Client& c) { c.watch("lead/", 77, 5000, [](const kvstore::ListReply&) {}); });
}

TEST_F(GoldenHttp, RequestsToCloudAndWorkersKeepTheirBytes) {
    lease::LeaseGuard<lease::ScaleOut> scale_out_guard([] { return Millis{0}; },
                                                       [] {
                                                           return lease::Lease{1, 1};
                                                       });
    lease::LeaseGuard<lease::ScaleIn> scale_in_guard([] { return Millis{0}; },
                                                     [] {
                                                         return lease::Lease{1, 1};
                                                     });
    auto with_cloud = [this](const std::string& entry, auto ask) {
        request(entry, [&] {
            auto cloud = std::make_unique<cloud::CloudClient>(&loop, *net::parse_address(address),
                                                              "cloud:1", 10);
            ask(*cloud);
            return cloud;
        });
    };
    with_cloud("machine types",
               [](cloud::CloudClient& c) { c.list_machine_types([](const auto&) {}); });
    with_cloud("machines", [](cloud::CloudClient& c) { c.list_instances([](const auto&) {}); });
    with_cloud("rental", [&](cloud::CloudClient& c) {
        c.provision(*scale_out_guard.prove(), "t7f9-1", "g8", "a", true, 50,
                    [](const cloud::ProvisionReply&) {});
    });
    with_cloud("return", [&](cloud::CloudClient& c) {
        c.release(*scale_in_guard.prove(), {"i-1", "i-2"}, [](bool) {});
    });
    request("commands to a worker", [this] {
        auto clients = std::make_unique<controller::WorkerConnections>(&loop, 4);
        clients->send_command("m-1", address, wire::encode_direct_commands(7, 3, {}),
                              [](Millis, const cluster::CommandReply&) {}, {});
        return clients;
    });
}

TEST_F(GoldenHttp, AnswersKeepTheirBytes) {
    std::deque<net::Response> answers;
    net::HttpServer server(
        &loop, 8, [&](const net::Request&, const net::Responder& r) { r.send(answers.front()); });
    ASSERT_EQ(server.listen(*net::parse_address(address)), 0);
    auto ask = [&](const std::string& bytes) { return exchange(&loop, address, bytes); };
    const std::string get = "GET /x HTTP/1.1\r\nConnection: close\r\n\r\n";
    for (int status : {200, 201, 400, 404, 405, 409, 413, 414, 421, 422, 429, 431, 500, 503, 504}) {
        answers = {{status, "body", status == 503 ? 7 : 0, "application/cbor"}};
        text("status " + std::to_string(status), ask(get));
    }
    answers = {{200, "", 0, "text/plain; version=0.0.4"}};
    text("empty", ask(get));
    answers = {{200, "x", 0, "application/json", 0, true}};
    text("closes", ask("GET /x HTTP/1.1\r\n\r\n"));
    text("too long a path", ask("GET /" + std::string(8000, 'x') + " HTTP/1.1\r\n\r\n"));
    text("too long headers", ask("GET / HTTP/1.1\r\nA: " + std::string(20000, 'x') + "\r\n\r\n"));
    text("too long a body",
         ask("POST / HTTP/1.1\r\nContent-Length: 70000\r\n\r\n" + std::string(70000, 'x')));
    text("no HTTP", ask("nonsense\r\n\r\n"));
}

TEST_F(GoldenHttp, RepliesOfTheStateServiceAreUnderstoodAsTheyWere) {
    std::string outcomes;
    for (int status : {200, 201, 204, 400, 403, 404, 409, 410, 429, 500, 503, 504}) {
        net::ClientReply reply;
        reply.outcome = net::ClientReply::Outcome::answered;
        reply.status = status;
        outcomes += std::to_string(status) + ": " + kvstore::name(kvstore::status_of(reply)) + "\n";
    }
    text("by status", outcomes);
    net::Response next;
    net::HttpServer server(&loop, 8,
                           [&](const net::Request&, const net::Responder& r) { r.send(next); });
    ASSERT_EQ(server.listen(*net::parse_address(address)), 0);
    kvstore::Client client(&loop, *net::parse_address(address), "state", {1000, 1000});
    std::string got, committed, watched, leased;
    auto answered_with = [&](int status, const Json& body, auto ask) {
        next = {status, wire::encode(body), 0, "application/cbor"};
        bool done = false;
        ask(done);
        EXPECT_TRUE(test::run_until(&loop, [&] { return done; }));
    };
    auto items = [](const std::vector<kvstore::Entry>& list) {
        std::string out;
        for (const kvstore::Entry& entry : list)
            out += " [" + entry.key + " " + entry.value.dump() + " " +
                   std::to_string(entry.version) + (entry.deleted ? " deleted]" : "]");
        return out;
    };
    const Json item = {{"path", "job/1"}, {"v", {{"a", 1}}}, {"stamp", 5}};
    for (const Json& body :
         {item, Json{{"set", "job/1"}, {"v", 1}, {"stamp", 6}}, Json{{"path", "job/1"}},
          Json{{"drop", "job/1"}}, Json::object(), Json{{"key", "job/1"}}}) {
        answered_with(200, body, [&](bool& done) {
            client.get("job/1", kvstore::RequestClass::background, 5000,
                       [&](const kvstore::GetReply& reply) {
                           got += body.dump() + ": " + kvstore::name(reply.status) +
                                  items({reply.entry}) + "\n";
                           done = true;
                       });
        });
    }
    text("get", got);
    for (const auto& [status, body] : {std::pair{200, Json{{"epoch", 9}}},
                                       {200, Json{{"revision", 9}}},
                                       {409, Json{{"failed", {"a", 5, "b"}}}},
                                       {400, Json{{"error", "no such lease"}}},
                                       {400, Json{{"error", "bad"}}},
                                       {503, Json::object()}}) {
        answered_with(status, body, [&, status = status, body = body](bool& done) {
            client.commit({}, kvstore::RequestClass::background, 5000,
                          [&, status, body](const kvstore::CommitReply& reply) {
                              committed += std::to_string(status) + " " + body.dump() + ": " +
                                           kvstore::name(reply.status) + " " +
                                           std::to_string(reply.revision) + " " +
                                           Json(reply.failed_conditions).dump() + "\n";
                              done = true;
                          });
        });
    }
    text("commit", committed);
    const Json change = {{"drop", "job/1"}, {"stamp", 6}};
    for (const Json& body :
         {Json{{"epoch", 9}, {"news", {change, item}}}, Json{{"epoch", 9}, {"news", Json::array()}},
          Json{{"news", {change}}}, Json{{"epoch", 9}}, Json{{"epoch", 9}, {"news", {5}}}}) {
        answered_with(200, body, [&](bool& done) {
            client.watch("job/", 1, 10, [&](const kvstore::ListReply& reply) {
                watched += body.dump() + ": " + kvstore::name(reply.status) + " " +
                           std::to_string(reply.revision) + items(reply.entries) + "\n";
                done = true;
            });
        });
    }
    text("watch", watched);
    for (const Json& body : {Json{{"permit", 12}}, Json{{"permit", 0}}, Json{{"hold", 12}}}) {
        answered_with(200, body, [&](bool& done) {
            client.grant_lease(4000, [&](const kvstore::LeaseReply& reply) {
                leased += body.dump() + ": " + kvstore::name(reply.status) + " " +
                          std::to_string(reply.lease_id) + "\n";
                done = true;
            });
        });
    }
    text("lease", leased);
    std::string listed;
    for (const Json& body : {Json{{"epoch", 9}, {"items", {item}}, {"truncated", true}},
                             Json{{"epoch", 9}, {"items", Json::array()}}, Json{{"epoch", 9}},
                             Json{{"items", {Json::object()}}}}) {
        answered_with(200, body, [&](bool& done) {
            client.list_page("job/", "", 10, kvstore::RequestClass::background,
                             [&](const kvstore::ListReply& reply) {
                                 listed += body.dump() + ": " + kvstore::name(reply.status) + " " +
                                           std::to_string(reply.revision) + items(reply.entries) +
                                           (reply.more ? " more" : "") + "\n";
                                 done = true;
                             });
        });
    }
    text("page", listed);
}

}  // namespace
