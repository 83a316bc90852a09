// What users meet, simulated: a state service whose calls are executed and answered some time
// later, or fail, and controllers as far as users see them, over time that the test moves on.
#pragma once
#include <map>
#include <random>

#include "jobs/desk.h"
#include "tests/world.h"

namespace nickelramp::test {

struct Store {
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
    std::size_t kept = 10'000;  // changes that watches may still ask for
    double fails = 0;
    double slow = 0;       // of the calls: answered too late to be heard
    double late = 0;       // of the transactions: carried out seconds later, never answered
    double lost = 0;       // of the transactions: carried out at once, never answered
    bool down = false;     // for everybody
    Millis get_takes = 0;  // from the execution of a get to its answer; 0: a while
    std::size_t reads = 0, applied_late = 0, answers_lost = 0;
    std::size_t controllers = 0;  // made so far

    void at(Millis t, std::function<void()> f) { queue.emplace(t, std::move(f)); }
    Millis some(Millis most) {
        return 1 + static_cast<Millis>(random() % static_cast<unsigned>(most));
    }
    bool chance(double p) { return std::uniform_real_distribution<double>(0, 1)(random) < p; }
    void put(const std::string& id, const char* final) {
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
    state::CommitReply apply(const state::Txn& txn) {
        state::CommitReply r;
        r.outcome = state::Outcome::conflict;
        for (const auto& c : txn.conditions) {
            auto it = keys.find(c.key);
            if ((it == keys.end() ? 0 : it->second.second) != c.version) return r;
        }
        ++revision;
        for (const auto& w : txn.writes) {
            if (w.value)
                keys[w.key] = {*w.value, revision};
            else
                keys.erase(w.key);
            log.push_back({revision, w.key, w.value.value_or(wire::Json()), !w.value});
        }
        r.outcome = state::Outcome::ok;
        r.revision = revision;
        return r;
    }
    state::ListReply changes(const std::string& prefix, std::uint64_t after) {
        state::ListReply r;
        r.outcome = state::Outcome::ok;
        if (log.size() > kept && log[log.size() - kept].revision > after + 1)
            r.outcome = state::Outcome::expired;
        r.revision = revision;
        for (auto c = std::upper_bound(log.begin(), log.end(), after,
                                       [](auto a, const Change&c) { return a < c.revision; });
             c != log.end(); ++c) {
            if (c->key.rfind(prefix, 0) == 0)
                r.items.push_back({c->key, c->value, c->revision, c->deleted});
        }
        return r;
    }
    // Executed there, answered here, or neither.
    template <typename Reply>
    void call(bool refused, Millis wait, std::function<Reply()> execute,
              std::function<void(Millis, const Reply&)> done, Millis takes = 0) {
        ++reads;
        Reply failed;
        failed.outcome = state::Outcome::refused;
        if (refused || down) {
            at(now + some(10), [this, failed, done] { done(now, failed); });
            return;
        }
        if (chance(slow)) {
            at(now + wait, [this, done] { done(now, Reply{}); });
            return;
        }
        if (chance(fails)) {
            if (random() % 2 == 0) failed.outcome = state::Outcome::unknown;
            at(now + some(wait), [this, failed, done] { done(now, failed); });
            return;
        }
        at(now + some(40), [this, execute, done, takes, end = now + wait] {
            const Reply r = execute();
            const Millis t = now + (takes > 0 ? takes : some(random() % 10 == 0 ? 400 : 40));
            if (t < end)
                at(t, [this, r, done] { done(now, r); });
            else
                at(std::max(now, end), [this, done] { done(now, Reply{}); });
        });
    }
    void commit(bool refused, const state::Txn& txn, Millis wait,
                std::function<void(Millis, const state::CommitReply&)> done) {
        const bool is_late = chance(late), unheard = is_late || chance(lost);
        if (refused || down || !unheard) {
            call<state::CommitReply>(
                refused, wait, [this, txn] { return apply(txn); }, done);
            return;
        }
        at(now + (is_late ? 2'000 + some(10'000) : some(20)), [this, txn, is_late] {
            if (apply(txn).outcome != state::Outcome::ok) return;
            ++(is_late ? applied_late : answers_lost);
        });
        at(now + wait, [this, done] { done(now, {}); });
    }
    // Answered with the first change, or at the end; it stays open while nobody is served.
    void watch(const std::string& prefix, std::uint64_t after, Millis until,
               std::function<void(Millis, const state::ListReply&)> done) {
        at(now + 5, [=, this] {
            state::ListReply r;
            if (!down) r = changes(prefix, after);
            if (r.items.empty() && now < until) return watch(prefix, after, until, done);
            done(now, r);
        });
    }
};

struct Controller : jobs::Records {
    Store& store;
    std::size_t number;  // in the order of their construction
    wire::Settings settings = world_settings();
    jobs::Answers answers;
    jobs::Desk desk;
    bool refused = false;  // this one alone
    bool dead = false;     // sends nothing and hears nothing any more
    explicit Controller(Store& s, std::size_t half = 10'000)
        : store(s),
          number(++s.controllers),
          answers(
              *this, 100, [this](Millis at) { store.at(at, [this] { tend(); }); }, half),
          desk(settings, *this, answers,
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
    void handle(const net::Request& request, jobs::Desk::Respond respond) {
        const bool taken = desk.handle(
            request, [this, request, respond = std::move(respond)](const net::Response& response) {
                trace("user-answer", request.method, request.path, traced(response));
                respond(response);
            });
        if (!taken) trace("not-taken", request.method, request.path);
    }
    // A question for what is known of a job.
    void ask(const std::string& id, Millis patience, jobs::Answers::Done done) {
        answers.ask(
            id, patience,
            [this, id, done = std::move(done)](jobs::Answers::Found found, const jobs::Told& told) {
                trace("told", id, static_cast<int>(found), told.version, told.tasks,
                      told.final ? static_cast<int>(*told.final) : -1);
                done(found, told);
            },
            store.now);
    }
    void tend() {
        if (!dead) answers.tend(store.now);
    }
    template <typename Reply>
    Done<Reply> heard(Done<Reply> done) {
        return [this, done = std::move(done)](Millis t, const Reply& r) {
            if (!dead) done(t, r);
        };
    }
    void get(const std::string& key, Millis wait, Done<state::GetReply> done) override {
        trace("get", key, wait);
        store.call<state::GetReply>(
            refused, wait,
            [this, key] {
                state::GetReply r;
                auto it = store.keys.find(key);
                r.outcome = it == store.keys.end() ? state::Outcome::missing : state::Outcome::ok;
                if (it != store.keys.end())
                    r.item = {key, it->second.first, it->second.second, false};
                return r;
            },
            heard(std::move(done)), store.get_takes);
    }
    void changes(const std::string& prefix, std::uint64_t after,
                 Done<state::ListReply> done) override {
        trace("changes", prefix, after);
        store.call<state::ListReply>(
            refused, 1'000, [this, prefix, after] { return store.changes(prefix, after); },
            heard(std::move(done)));
    }
    void revision(Done<state::ListReply> done) override {
        trace("revision");
        store.call<state::ListReply>(
            refused, 1'000, [this] { return store.changes("none", store.revision); },
            heard(std::move(done)));
    }
    void commit(const state::Txn& txn, Millis wait, Done<state::CommitReply> done) override {
        trace("commit", traced(txn), wait);
        store.commit(refused, txn, wait, heard(std::move(done)));
    }
    void watch(const std::string& prefix, std::uint64_t after, Millis wait,
               Done<state::ListReply> done) override {
        trace("watch", prefix, after, wait);
        store.watch(prefix, after, store.now + wait, heard(std::move(done)));
    }
};

}  // namespace nickelramp::test
