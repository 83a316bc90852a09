// The parts of a term, each to be asked at its own interface: what they ask of the world is kept
// until a test answers it, and what they say upwards reaches those that it concerns.
#pragma once
#include <deque>
#include <functional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "checkpoint/grants.h"
#include "dispatch/courier.h"
#include "intake/intake.h"
#include "schedule/order.h"
#include "schedule/schedule.h"
#include "sharing/lender.h"
#include "supply/supply.h"
#include "tests/trace.h"
#include "tests/world.h"

namespace nickelramp::test {

// Everything that was asked, oldest first.
struct Post : book::Outbox {
    template <typename Reply>
    using Done = std::function<void(Millis, const Reply&)>;
    struct Direct {
        std::string machine;
        std::uint64_t token, session;
        std::vector<wire::Command> commands;
        Done<book::DirectReply> done;
    };
    struct Hire {
        std::string request, type, zone;
        bool spot;
        std::uint32_t count;
        Done<fleet::HireReply> done;
    };
    std::deque<std::pair<state::Txn, Done<state::CommitReply>>> commits;
    std::deque<std::pair<std::string, Done<state::GetReply>>> reads;
    std::deque<std::pair<std::string, Done<state::ListReply>>> lists;
    std::deque<Direct> directs;
    std::deque<Hire> hires;
    std::deque<std::pair<std::vector<std::string>, std::function<void(Millis, bool)>>> returns;
    std::vector<duties::Duty> refutations;
    std::string ended;

    void commit(state::Txn t, Done<state::CommitReply> done) override {
        test_trace().add(0, "commit", traced(t));
        commits.emplace_back(std::move(t), std::move(done));
    }
    void read(const std::string& key, Done<state::GetReply> done) override {
        test_trace().add(0, "get", key);
        reads.emplace_back(key, std::move(done));
    }
    void list(const std::string& prefix, Done<state::ListReply> done) override {
        test_trace().add(0, "list", prefix);
        lists.emplace_back(prefix, std::move(done));
    }
    void direct(const std::string& machine, const std::string& address, std::uint64_t token,
                std::uint64_t session, const std::vector<wire::Command>& commands,
                Done<book::DirectReply> done) override {
        test_trace().add(0, "direct", machine, address, token, session, traced(commands));
        directs.push_back({machine, token, session, commands, std::move(done)});
    }
    void hire(const std::string& request, const std::string& type, const std::string& zone,
              bool spot, std::uint32_t count, Done<fleet::HireReply> done) override {
        test_trace().add(0, "rent", request, type, zone, spot, count);
        hires.push_back({request, type, zone, spot, count, std::move(done)});
    }
    void give_back(const std::vector<std::string>& names,
                   std::function<void(Millis, bool)> done) override {
        test_trace().add(0, "return", names);
        returns.emplace_back(names, std::move(done));
    }
    void refuted(duties::Duty d) override {
        test_trace().add(0, "refuted", static_cast<int>(d));
        refutations.push_back(d);
    }
    void deposed(const std::string& why) override {
        test_trace().add(0, "deposed");
        ended = why;
    }

    // Answers the oldest of a kind and forgets it.
    template <typename Asked, typename Reply>
    static void answer(std::deque<Asked>& asked, Millis now, const Reply& reply) {
        ASSERT_FALSE(asked.empty()) << "nothing was asked";
        const Asked front = std::move(asked.front());
        asked.pop_front();
        if constexpr (requires { front.done; })
            front.done(now, reply);
        else
            front.second(now, reply);
    }
};

struct Parts : book::Listener,
               book::Turn,
               checkpoint::Grants::Listener,
               dispatch::Courier::Listener,
               duties::Intents::Listener {
    explicit Parts(wire::Settings s = world_settings(), std::vector<wire::MachineType> t = {})
        : settings(std::move(s)) {
        if (t.empty()) {
            t = {{"g4", 16, 4, 64, 50, 1, 10, 4, 10, {"a", "b"}},
                 {"plain", 8, 0, 32, 50, 1, 1, 0.4, 10, {"a", "b"}}};
        }
        book.load_types(t);
        for (duties::Duty d : duties::kAll) term.set_fence(d, 60 + static_cast<unsigned>(d));
    }

    wire::Settings settings;
    Post post;
    book::Term term{settings, {7, "lead/term", 70}, book::Role::leader, post};
    book::Book book{term, *this, *this, 0};
    outlook::Outlook outlook{term, book};
    fleet::Market market;
    duties::Intents intents{term, *this};
    deputy::Deputies deputies{settings};
    domains::Silence silence{term, book, deputies};
    checkpoint::Checkpoints checkpoints{term, book, *this};
    checkpoint::Grants grants{term, book, *this, *this};
    intake::Intake intake{term, book, checkpoints};
    schedule::Rules rules{term, book, outlook};
    schedule::Order order{term, book, outlook, rules, market};
    schedule::Schedule schedule{book, outlook, rules};
    sharing::Lender lender{term, book, *this, grants, intake, outlook, rules};
    supply::Supply supply{term, book, *this, outlook, rules, market, intents, silence};
    dispatch::Courier courier{term, book, *this, silence, *this};
    std::vector<std::pair<int, int>> counted{4};  // by zone: up, silent
    std::size_t reports = 0;

    void job_entered(jobs::Job& j) override { outlook.job_entered(j); }
    void machines_counted(Index zone, int up, int silent) override {
        counted[zone].first += up;
        counted[zone].second += silent;
    }
    void machine_changed(workers::Machine& m) override { outlook.machine_changed(m); }
    void machine_gone(const workers::Machine&) override {}
    void runs(const jobs::Job& j, bool begins) override { outlook.runs(j, begins); }
    void first_run(const jobs::Job&, const jobs::Attempt&, Millis) override {}
    void completed(const jobs::Job& j, const jobs::Attempt& a, Millis now) override {
        outlook.completed(j, a, now);
    }
    void has_commands(workers::Machine& m) override { courier.poke(m); }
    void job_moved(jobs::Job& j, Millis now) override { intake.move_on(j, now); }
    void flush(Millis now) override { courier.flush(now); }
    void settle(Millis) override {}
    void granted(workers::Machine&, Millis) override {}
    void block_recorded(std::uint32_t block, Millis now) override {
        lender.block_recorded(block, now);
    }
    void on_record(duties::Duty d, const std::vector<std::string>& names, Millis now) override {
        supply.on_record(d, names, now);
    }
    // What is to be asked of the cloud gets on record.
    void record_intents(Millis now) {
        intents.commit(now);
        while (!post.commits.empty()) {
            state::CommitReply ok;
            ok.outcome = state::Outcome::ok;
            ok.revision = ++revision;
            Post::answer(post.commits, now, ok);
        }
    }
    std::uint64_t revision = 1000;
    void answered(workers::Machine&, const wire::Report&, Millis) override { ++reports; }

    // A machine that may be given tasks.
    workers::Machine& machine(const std::string& name, const std::string& type,
                              const std::string& zone, bool spot = false, Millis now = 0) {
        workers::Machine* m = book.adopt(name, now);
        book.identify(*m, name + ":1", type, zone, spot);
        m->up_at = 1;
        book.charge(*m, blocks::term_token(7), now);
        wire::Report r;
        r.session = r.seq = 1;
        r.token = m->token;
        EXPECT_EQ(m->contact.reported(r, false, now), workers::Proof::fresh);
        m->granted = true;
        book.set_machine_state(*m, workers::MachineState::ready);
        return *m;
    }
    jobs::Job& enter(const wire::Json& spec, Millis now = 0, std::uint64_t version = 1) {
        std::string error;
        auto parsed = wire::parse_job(spec, error);
        EXPECT_TRUE(parsed) << error;
        jobs::Job& j = book.add({*parsed, now, false, false}, version, now, now);
        book.want_places(j);
        return j;
    }
};

}  // namespace nickelramp::test
