/// @file
/// Simulation of controllers that handle users' requests, and of a key-value store whose calls are
/// delayed or fail. Simulated time advances only in run_until().
#pragma once
#include <map>
#include <random>

#include "api/job_request_handler.h"
#include "tests/cluster_simulation.h"

namespace nickelramp::test {

/// The wall-clock time of all submissions, in milliseconds.
inline constexpr std::int64_t kAcceptedWallMs = 1;

/// The key-value store, with faults set by the test. The sequence of events is determined by the
/// seed.
struct SimulatedStore {
    Trace trace;
    struct Change {
        std::uint64_t revision;
        std::string key;
        wire::Json value;
        bool deleted = false;
    };
    std::mt19937_64 random;
    Millis now = 0;
    std::multimap<Millis, std::function<void()>> queue;
    std::vector<Change> log;
    std::map<std::string, std::pair<wire::Json, std::uint64_t>> keys;
    std::uint64_t revision = 10;
    std::size_t retained_changes = 10'000;   ///< latest ones kept; reads of earlier ones fail
    std::size_t max_value_bytes = 8 * 1024;  ///< as JSON; a transaction with more is malformed
    double failure_rate = 0;
    double slow_reply_rate = 0;  ///< of the calls: the reply arrives after the timeout
    double late_write_rate = 0;  ///< of the transactions: executed seconds later, without a reply
    double lost_reply_rate = 0;  ///< of the transactions: executed at once, without a reply
    bool down = false;           ///< unavailable to all controllers
    Millis get_reply_delay = 0;  ///< from the execution of a get to its reply; 0: random
    std::size_t reads = 0, writes_applied_late = 0, replies_lost = 0;  ///< counts so far
    std::size_t controllers = 0;                                       ///< constructed so far

    void at(Millis time, std::function<void()> event) { queue.emplace(time, std::move(event)); }
    Millis random_delay(Millis max) {
        return 1 + static_cast<Millis>(random() % static_cast<unsigned>(max));
    }
    bool chance(double probability) {
        return std::uniform_real_distribution<double>(0, 1)(random) < probability;
    }
    void set_job_record(const std::string& id, const char* final) {
        apply({{},
               {{jobs::job_key(id),
                 wire::Json{{"final", final == nullptr ? wire::Json() : wire::Json(final)},
                            {"tasks", 3}}}}});
    }
    void run_until(Millis time) {
        while (!queue.empty() && queue.begin()->first <= time) {
            const auto event = std::move(queue.begin()->second);
            now = queue.begin()->first;
            queue.erase(queue.begin());
            event();
        }
        now = time;
    }
    bool has_too_long_value(const kvstore::Transaction& transaction) const {
        return std::any_of(transaction.writes.begin(), transaction.writes.end(),
                           [this](const kvstore::Write& write) {
                               return write.value && write.value->dump().size() > max_value_bytes;
                           });
    }
    kvstore::CommitReply apply(const kvstore::Transaction& transaction) {
        kvstore::CommitReply reply;
        if (has_too_long_value(transaction)) {
            reply.status = kvstore::Status::protocol_error;
            return reply;
        }
        reply.status = kvstore::Status::conflict;
        for (const auto& condition : transaction.conditions) {
            const auto found = keys.find(condition.key);
            const std::uint64_t version = found == keys.end() ? 0 : found->second.second;
            if (version != condition.version) return reply;
        }
        ++revision;
        for (const auto& write : transaction.writes) {
            if (write.value)
                keys[write.key] = {*write.value, revision};
            else
                keys.erase(write.key);
            log.push_back({revision, write.key, write.value.value_or(wire::Json()), !write.value});
        }
        reply.status = kvstore::Status::ok;
        reply.revision = revision;
        return reply;
    }
    kvstore::ListReply changes(const std::string& prefix, std::uint64_t after) {
        kvstore::ListReply reply;
        reply.status = kvstore::Status::ok;
        if (log.size() > retained_changes &&
            log[log.size() - retained_changes].revision > after + 1)
            reply.status = kvstore::Status::lease_or_revision_expired;
        reply.revision = revision;
        auto change =
            std::upper_bound(log.begin(), log.end(), after,
                             [](auto revision, const Change& c) { return revision < c.revision; });
        for (; change != log.end(); ++change) {
            if (change->key.rfind(prefix, 0) == 0)
                reply.entries.push_back(
                    {change->key, change->value, change->revision, change->deleted});
        }
        return reply;
    }
    /// Executes a controller's call after a delay and replies after another delay, or fails the
    /// call. `rejected`: the store rejects all calls of this controller. `reply_delay`: from the
    /// execution to the reply; 0: random.
    template <typename Reply>
    void call(bool rejected, Millis timeout, std::function<Reply()> execute,
              std::function<void(Millis, const Reply&)> done, Millis reply_delay = 0) {
        ++reads;
        Reply failed;
        failed.status = kvstore::Status::refused;
        if (rejected || down) {
            at(now + random_delay(10), [this, failed, done] { done(now, failed); });
            return;
        }
        if (chance(slow_reply_rate)) {
            at(now + timeout, [this, done] { done(now, Reply{}); });
            return;
        }
        if (chance(failure_rate)) {
            if (random() % 2 == 0) failed.status = kvstore::Status::unknown;
            at(now + random_delay(timeout), [this, failed, done] { done(now, failed); });
            return;
        }
        at(now + random_delay(40), [this, execute, done, reply_delay, deadline = now + timeout] {
            const Reply reply = execute();
            const Millis arrival =
                now + (reply_delay > 0 ? reply_delay : random_delay(random() % 10 == 0 ? 400 : 40));
            if (arrival < deadline)
                at(arrival, [this, reply, done] { done(now, reply); });
            else
                at(std::max(now, deadline), [this, done] { done(now, Reply{}); });
        });
    }
    void commit(bool rejected, const kvstore::Transaction& transaction, Millis timeout,
                std::function<void(Millis, const kvstore::CommitReply&)> done) {
        const bool is_late = chance(late_write_rate);
        const bool is_unanswered = is_late || chance(lost_reply_rate);
        if (rejected || down || !is_unanswered) {
            call<kvstore::CommitReply>(
                rejected, timeout, [this, transaction] { return apply(transaction); }, done);
            return;
        }
        at(now + (is_late ? 2'000 + random_delay(10'000) : random_delay(20)),
           [this, transaction, is_late] {
               if (apply(transaction).status != kvstore::Status::ok) return;
               ++(is_late ? writes_applied_late : replies_lost);
           });
        at(now + timeout, [this, done] { done(now, {}); });
    }
    /// Replies with the first changes, or at the deadline. Stays open while the store is down.
    void watch(const std::string& prefix, std::uint64_t after, Millis deadline,
               std::function<void(Millis, const kvstore::ListReply&)> done) {
        at(now + 5, [=, this] {
            kvstore::ListReply reply;
            if (!down) reply = changes(prefix, after);
            if (reply.entries.empty() && now < deadline)
                return watch(prefix, after, deadline, done);
            done(now, reply);
        });
    }
};

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
