/// @file
/// Simulation of controllers that handle users' requests over a simulated key-value store.
#pragma once
#include "api/job_request_handler.h"
#include "tests/cluster_simulation.h"
#include "tests/simulated_job_store.h"

namespace nickelramp::test {

/// The wall-clock time of all submissions, in milliseconds.
inline constexpr std::int64_t kAcceptedWallMs = 1;

/// A controller that handles users' requests. Its calls of the store and its responses to users are
/// traced.
struct SimulatedController : api::JobStore {
    SimulatedStore& store;
    std::size_t number;  ///< 1, 2, ... in the order of construction
    wire::Settings settings = simulation_settings();
    api::ConfirmedReads reads;
    api::JobRequestHandler request_handler;
    bool rejected = false;  ///< the store rejects the calls of this controller only
    bool dead = false;      ///< receives no more replies
    explicit SimulatedController(SimulatedStore& simulated_store,
                                 std::size_t cache_generation_size = 10'000)
        : store(simulated_store),
          number(++simulated_store.controllers),
          reads(
              *this, 100, [this](Millis at) { store.at(at, [this] { run_due_work(); }); },
              cache_generation_size),
          request_handler(settings, *this, reads,
                          {[] { return kAcceptedWallMs; }, [this] { return store.now; },
                           [](const char*, int, Millis) {},
                           [](const std::string&) {
                               return wire::TaskCounts{0, 1};
                           }}) {}
    template <typename... Fields>
    void trace(const char* kind, const Fields&... fields) {
        store.trace.add(store.now, kind, number, fields...);
    }
    /// Handles a user's request.
    void handle(const net::Request& request, api::JobRequestHandler::Respond respond) {
        const bool handled = request_handler.handle(
            request, [this, request, respond = std::move(respond)](const net::Response& response) {
                trace("user-answer", request.method, request.path, traced(response));
                respond(response);
            });
        if (!handled) trace("not-taken", request.method, request.path);
    }
    /// Reads a job's status by a confirmed read.
    void ask(const std::string& id, Millis timeout, api::ConfirmedReads::Done done) {
        reads.read(
            id, timeout,
            [this, id, done = std::move(done)](api::ConfirmedReads::Lookup lookup,
                                               const api::RecordedStatus& status) {
                trace("told", id, static_cast<int>(lookup), status.version, status.tasks,
                      status.final ? static_cast<int>(*status.final) : -1);
                done(lookup, status);
            },
            store.now);
    }
    void run_due_work() {
        if (!dead) reads.run_due_work(store.now);
    }
    template <typename Reply>
    Done<Reply> unless_dead(Done<Reply> done) {
        return [this, done = std::move(done)](Millis now, const Reply& reply) {
            if (!dead) done(now, reply);
        };
    }
    void get(const std::string& key, Millis timeout, Done<kvstore::GetReply> done) override {
        trace("get", key, timeout);
        store.call<kvstore::GetReply>(
            rejected, timeout,
            [this, key] {
                kvstore::GetReply reply;
                reply.status = kvstore::Status::missing;
                const auto found = store.keys.find(key);
                if (found == store.keys.end()) return reply;
                reply.status = kvstore::Status::ok;
                reply.entry = {key, found->second.first, found->second.second, false};
                return reply;
            },
            unless_dead(std::move(done)), store.get_reply_delay);
    }
    void changes(const std::string& prefix, std::uint64_t after,
                 Done<kvstore::ListReply> done) override {
        trace("changes", prefix, after);
        store.call<kvstore::ListReply>(
            rejected, 1'000, [this, prefix, after] { return store.changes(prefix, after); },
            unless_dead(std::move(done)));
    }
    void revision(Done<kvstore::ListReply> done) override {
        trace("revision");
        store.call<kvstore::ListReply>(
            rejected, 1'000, [this] { return store.changes("none", store.revision); },
            unless_dead(std::move(done)));
    }
    void commit(const kvstore::Transaction& transaction, Millis timeout,
                Done<kvstore::CommitReply> done) override {
        trace("commit", traced(transaction), timeout);
        store.commit(rejected, transaction, timeout, unless_dead(std::move(done)));
    }
    void watch(const std::string& prefix, std::uint64_t after, Millis timeout,
               Done<kvstore::ListReply> done) override {
        trace("watch", prefix, after, timeout);
        store.watch(prefix, after, store.now + timeout, unless_dead(std::move(done)));
    }
};

}  // namespace nickelramp::test
