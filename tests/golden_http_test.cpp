// HTTP as it goes over the wire: requests to the state service, the cloud and workers, answers to
// whoever asks, and how replies of the state service are understood.
#include <deque>

#include "app/worker_clients.h"
#include "duties/lease.h"
#include "fleet/cloud.h"
#include "net/address.h"
#include "net/stream.h"
#include "state/client.h"
#include "tests/golden.h"
#include "tests/golden_loopback.h"
#include "tests/standin.h"

namespace {

using namespace nickelramp;
using test::golden::exchange;
using test::golden::Listener;
using wire::Json;

constexpr const char* kAddress = "127.0.0.1:39320";
constexpr int kPort = 39320;

class GoldenHttp : public test::golden::Recorded {
  protected:
    GoldenHttp() { uv_loop_init(&loop); }
    ~GoldenHttp() override {
        uv_run(&loop, UV_RUN_NOWAIT);
        uv_run(&loop, UV_RUN_NOWAIT);
        uv_loop_close(&loop);
    }
    // The bytes of the one request that `send` makes; it is answered with an empty 200.
    template <typename Send>
    void request(const std::string& entry, Send send) {
        Listener listener(kPort, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        {
            auto sender = send();
            ASSERT_TRUE(test::run_until(&loop, [&] { return listener.heard(); })) << entry;
        }
        text(entry, listener.request());
        uv_run(&loop, UV_RUN_NOWAIT);
    }
    uv_loop_t loop;
};

TEST_F(GoldenHttp, RequestsToTheStateServiceKeepTheirBytes) {
    auto with_client = [this](const std::string& entry, auto ask) {
        request(entry, [&] {
            auto client = std::make_unique<state::Client>(&loop, *net::parse_address(kAddress),
                                                          "state:1", state::Limits{100, 100});
            ask(*client);
            return client;
        });
    };
    using state::Client;
    using state::Urgency;
    with_client("get", [](Client& c) {
        c.get("open/job-1", Urgency::work, 5000, [](const state::GetReply&) {});
    });
    with_client("list",
                [](Client& c) { c.list("open/", Urgency::work, [](const state::ListReply&) {}); });
    with_client("page", [](Client& c) {
        c.page("run/", "run/job-1/0", 100, Urgency::work, [](const state::ListReply&) {});
    });
    with_client("commit", [](Client& c) {
        state::Txn txn;
        txn.conditions = {{"lead/term", 70}, {"open/job-1", 0}};
        txn.writes = {{"open/job-1", Json{{"a", 1}, {"b", 2.5}}, 0},
                      {"lead/seat", Json{{"node", "n"}}, 12},
                      {"run/job-1/0", std::nullopt, 0}};
        c.commit(txn, Urgency::work, 5000, [](const state::CommitReply&) {});
    });
    with_client("changes", [](Client& c) {
        c.changes("job/", 77, Urgency::work, 5000, [](const state::ListReply&) {});
    });
    with_client("lease", [](Client& c) { c.lease(4000, [](const state::LeaseReply&) {}); });
    with_client("renewal", [](Client& c) { c.renew(12, 2000, [](const state::LeaseReply&) {}); });
    with_client("end of a lease", [](Client& c) { c.end_lease(12); });
    with_client("watch",
                [](Client& c) { c.watch("lead/", 77, 5000, [](const state::ListReply&) {}); });
}

TEST_F(GoldenHttp, RequestsToCloudAndWorkersKeepTheirBytes) {
    duties::Gate<duties::Renting> renting([] { return Millis{0}; },
                                          [] {
                                              return duties::Right{1, 1};
                                          });
    duties::Gate<duties::Returning> returning([] { return Millis{0}; },
                                              [] {
                                                  return duties::Right{1, 1};
                                              });
    auto with_cloud = [this](const std::string& entry, auto ask) {
        request(entry, [&] {
            auto cloud =
                std::make_unique<fleet::Cloud>(&loop, *net::parse_address(kAddress), "cloud:1", 10);
            ask(*cloud);
            return cloud;
        });
    };
    with_cloud("machine types", [](fleet::Cloud& c) { c.types([](const auto&) {}); });
    with_cloud("machines", [](fleet::Cloud& c) { c.hosts([](const auto&) {}); });
    with_cloud("rental", [&](fleet::Cloud& c) {
        c.hire(*renting.permit(), "t7f9-1", "g8", "a", true, 50, [](const fleet::HireReply&) {});
    });
    with_cloud("return", [&](fleet::Cloud& c) {
        c.give_back(*returning.permit(), {"i-1", "i-2"}, [](bool) {});
    });
    request("commands to a worker", [this] {
        auto clients = std::make_unique<app::WorkerClients>(&loop, 4);
        clients->command("m-1", kAddress, wire::direct_commands(7, 3, {}),
                         [](Millis, const book::DirectReply&) {}, {});
        return clients;
    });
}

TEST_F(GoldenHttp, AnswersKeepTheirBytes) {
    std::deque<net::Response> answers;
    net::HttpServer server(
        &loop, 8, [&](const net::Request&, const net::Responder& r) { r.send(answers.front()); });
    ASSERT_EQ(server.listen(*net::parse_address(kAddress)), 0);
    auto ask = [&](const std::string& bytes) { return exchange(&loop, kPort, bytes); };
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
        net::Reply reply;
        reply.outcome = net::Reply::Outcome::answered;
        reply.status = status;
        outcomes += std::to_string(status) + ": " + state::name(state::outcome_of(reply)) + "\n";
    }
    text("by status", outcomes);
    net::Response next;
    net::HttpServer server(&loop, 8,
                           [&](const net::Request&, const net::Responder& r) { r.send(next); });
    ASSERT_EQ(server.listen(*net::parse_address(kAddress)), 0);
    state::Client client(&loop, *net::parse_address(kAddress), "state", {1000, 1000});
    std::string got, committed, watched, leased;
    auto answered_with = [&](int status, const Json& body, auto ask) {
        next = {status, wire::encode(body), 0, "application/cbor"};
        bool done = false;
        ask(done);
        EXPECT_TRUE(test::run_until(&loop, [&] { return done; }));
    };
    auto items = [](const std::vector<state::Item>& list) {
        std::string out;
        for (const state::Item& i : list)
            out += " [" + i.key + " " + i.value.dump() + " " + std::to_string(i.version) +
                   (i.deleted ? " deleted]" : "]");
        return out;
    };
    const Json item = {{"path", "job/1"}, {"v", {{"a", 1}}}, {"stamp", 5}};
    for (const Json& body :
         {item, Json{{"set", "job/1"}, {"v", 1}, {"stamp", 6}}, Json{{"path", "job/1"}},
          Json{{"drop", "job/1"}}, Json::object(), Json{{"key", "job/1"}}}) {
        answered_with(200, body, [&](bool& done) {
            client.get("job/1", state::Urgency::work, 5000, [&](const state::GetReply& r) {
                got += body.dump() + ": " + state::name(r.outcome) + items({r.item}) + "\n";
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
            client.commit(
                {}, state::Urgency::work, 5000, [&, status, body](const state::CommitReply& r) {
                    committed += std::to_string(status) + " " + body.dump() + ": " +
                                 state::name(r.outcome) + " " + std::to_string(r.revision) + " " +
                                 Json(r.failed).dump() + "\n";
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
            client.watch("job/", 1, 10, [&](const state::ListReply& r) {
                watched += body.dump() + ": " + state::name(r.outcome) + " " +
                           std::to_string(r.revision) + items(r.items) + "\n";
                done = true;
            });
        });
    }
    text("watch", watched);
    for (const Json& body : {Json{{"permit", 12}}, Json{{"permit", 0}}, Json{{"hold", 12}}}) {
        answered_with(200, body, [&](bool& done) {
            client.lease(4000, [&](const state::LeaseReply& r) {
                leased += body.dump() + ": " + state::name(r.outcome) + " " +
                          std::to_string(r.lease) + "\n";
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
            client.page("job/", "", 10, state::Urgency::work, [&](const state::ListReply& r) {
                listed += body.dump() + ": " + state::name(r.outcome) + " " +
                          std::to_string(r.revision) + items(r.items) + (r.more ? " more" : "") +
                          "\n";
                done = true;
            });
        });
    }
    text("page", listed);
}

}  // namespace
