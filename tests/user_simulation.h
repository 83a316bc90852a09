// What users meet, simulated: a state service whose calls are executed and answered some time
// later, or fail, and controllers as far as users see them, over time that the test moves on.
#pragma once
#include <map>
#include <random>

#include "api/job_request_handler.h"
#include "tests/cluster_simulation.h"

namespace nickelramp::test {

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
    std::size_t retained_changes = 10'000;  // changes that watches may still ask for
    double failure_rate = 0;
    double slow_reply_rate = 0;  // of the calls: answered too late to be heard
    double late_write_rate = 0;  // of the transactions: carried out seconds later, never answered
    double lost_reply_rate = 0;  // of the transactions: carried out at once, never answered
    bool down = false;           // for everybody
    Millis get_takes = 0;        // from the execution of a get to its answer; 0: a while
    std::size_t reads = 0, applied_late = 0, answers_lost = 0;
    std::size_t controllers = 0;  // made so far

    void at(Millis t, std::function<void()> f) { queue.emplace(t, std::move(f)); }
    Millis random_delay(Millis most) {
        return 1 + static_cast<Millis>(random() % static_cast<unsigned>(most));
    }
    bool chance(double p) { return std::uniform_real_distribution<double>(0, 1)(random) < p; }
    void set_job_record(const std::string& id, const char* final) {
        apply({{},
               {{jobs::job_key(id),
                 wire::Json{{"final", final == nullptr ? wire::Json() : wire::Json(final)},
                            {"tasks", 3}}}}});
    }
    void run_until(Millis t) {
        while (!queue.empty() && queue.begin()->first <= t) {
            auto f = std::move(queue.begin()->second);
            now = queue.begin()->first;
            queue.erase(queue.begin());
            f();
        }
        now = t;
    }
    kvstore::CommitReply apply(const kvstore::Transaction& transaction) {
        kvstore::CommitReply reply;
        reply.status = kvstore::Status::conflict;
        for (const auto& c : transaction.conditions) {
            auto it = keys.find(c.key);
            if ((it == keys.end() ? 0 : it->second.second) != c.version) return reply;
        }
        ++revision;
        for (const auto& w : transaction.writes) {
            if (w.value)
                keys[w.key] = {*w.value, revision};
            else
                keys.erase(w.key);
            log.push_back({revision, w.key, w.value.value_or(wire::Json()), !w.value});
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
        for (auto c = std::upper_bound(log.begin(), log.end(), after,
                                       [](auto a, const Change&c) { return a < c.revision; });
             c != log.end(); ++c) {
            if (c->key.rfind(prefix, 0) == 0)
                reply.entries.push_back({c->key, c->value, c->revision, c->deleted});
        }
        return reply;
    }
    // Executed there, answered here, or neither.
    template <typename Reply>
    void call(bool refused, Millis wait, std::function<Reply()> execute,
              std::function<void(Millis, const Reply&)> done, Millis takes = 0) {
        ++reads;
        Reply failed;
        failed.status = kvstore::Status::refused;
        if (refused || down) {
            at(now + random_delay(10), [this, failed, done] { done(now, failed); });
            return;
        }
        if (chance(slow_reply_rate)) {
            at(now + wait, [this, done] { done(now, Reply{}); });
            return;
        }
        if (chance(failure_rate)) {
            if (random() % 2 == 0) failed.status = kvstore::Status::unknown;
            at(now + random_delay(wait), [this, failed, done] { done(now, failed); });
            return;
        }
        at(now + random_delay(40), [this, execute, done, takes, end = now + wait] {
            const Reply r = execute();
            const Millis t =
                now + (takes > 0 ? takes : random_delay(random() % 10 == 0 ? 400 : 40));
            if (t < end)
                at(t, [this, r, done] { done(now, r); });
            else
                at(std::max(now, end), [this, done] { done(now, Reply{}); });
        });
    }
    void commit(bool refused, const kvstore::Transaction& transaction, Millis wait,
                std::function<void(Millis, const kvstore::CommitReply&)> done) {
        const bool is_late = chance(late_write_rate), unheard = is_late || chance(lost_reply_rate);
        if (refused || down || !unheard) {
            call<kvstore::CommitReply>(
                refused, wait, [this, transaction] { return apply(transaction); }, done);
            return;
        }
        at(now + (is_late ? 2'000 + random_delay(10'000) : random_delay(20)),
           [this, transaction, is_late] {
               if (apply(transaction).status != kvstore::Status::ok) return;
               ++(is_late ? applied_late : answers_lost);
           });
        at(now + wait, [this, done] { done(now, {}); });
    }
    // Answered with the first change, or at the end; it stays open while nobody is served.
    void watch(const std::string& prefix, std::uint64_t after, Millis until,
               std::function<void(Millis, const kvstore::ListReply&)> done) {
        at(now + 5, [=, this] {
            kvstore::ListReply reply;
            if (!down) reply = changes(prefix, after);
            if (reply.entries.empty() && now < until) return watch(prefix, after, until, done);
            done(now, reply);
        });
    }
};

struct SimulatedController : api::JobStore {
    SimulatedStore& store;
    std::size_t number;  // in the order of their construction
    wire::Settings settings = simulation_settings();
    api::ConfirmedReads reads;
    api::JobRequestHandler request_handler;
    bool rejected = false;  // this one alone
    bool dead = false;      // sends nothing and hears nothing any more
    explicit SimulatedController(SimulatedStore& s, std::size_t half = 10'000)
        : store(s),
          number(++s.controllers),
          reads(
              *this, 100, [this](Millis at) { store.at(at, [this] { run_due_work(); }); }, half),
          request_handler(settings, *this, reads,
                          {[] { return std::int64_t{1}; }, [this] { return store.now; },
                           [](const char*, int, Millis) {},
                           [](const std::string&, std::uint64_t&, std::uint64_t& running) {
                               running = 1;
                               return true;
                           }}) {}
    template <typename... Fields>
    void trace(const char* kind, const Fields&... fields) {
        store.trace.add(store.now, kind, number, fields...);
    }
    // A user's request, and what the desk answers to it.
    void handle(const net::Request& request, api::JobRequestHandler::Respond respond) {
        const bool taken = request_handler.handle(
            request, [this, request, respond = std::move(respond)](const net::Response& response) {
                trace("user-answer", request.method, request.path, traced(response));
                respond(response);
            });
        if (!taken) trace("not-taken", request.method, request.path);
    }
    // A question for what is known of a job.
    void ask(const std::string& id, Millis patience, api::ConfirmedReads::Done done) {
        reads.read(
            id, patience,
            [this, id, done = std::move(done)](api::ConfirmedReads::Lookup found,
                                               const api::RecordedStatus& status) {
                trace("told", id, static_cast<int>(found), status.version, status.tasks,
                      status.final ? static_cast<int>(*status.final) : -1);
                done(found, status);
            },
            store.now);
    }
    void run_due_work() {
        if (!dead) reads.run_due_work(store.now);
    }
    template <typename Reply>
    Done<Reply> unless_dead(Done<Reply> done) {
        return [this, done = std::move(done)](Millis t, const Reply& reply) {
            if (!dead) done(t, reply);
        };
    }
    void get(const std::string& key, Millis wait, Done<kvstore::GetReply> done) override {
        trace("get", key, wait);
        store.call<kvstore::GetReply>(
            rejected, wait,
            [this, key] {
                kvstore::GetReply reply;
                auto it = store.keys.find(key);
                reply.status =
                    it == store.keys.end() ? kvstore::Status::missing : kvstore::Status::ok;
                if (it != store.keys.end())
                    reply.entry = {key, it->second.first, it->second.second, false};
                return reply;
            },
            unless_dead(std::move(done)), store.get_takes);
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
    void commit(const kvstore::Transaction& transaction, Millis wait,
                Done<kvstore::CommitReply> done) override {
        trace("commit", traced(transaction), wait);
        store.commit(rejected, transaction, wait, unless_dead(std::move(done)));
    }
    void watch(const std::string& prefix, std::uint64_t after, Millis wait,
               Done<kvstore::ListReply> done) override {
        trace("watch", prefix, after, wait);
        store.watch(prefix, after, store.now + wait, unless_dead(std::move(done)));
    }
};

}  // namespace nickelramp::test
