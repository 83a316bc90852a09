// Transactions of a term in small scenarios: their conditions, keys, values and urgency.
#include "dispatch/holding.h"
#include "duties/keeper.h"
#include "duties/sweep.h"
#include "leadership/term.h"
#include "peers/messages.h"
#include "tests/golden.h"
#include "tests/parts.h"

namespace {

using namespace nickelramp;
using duties::Duty;
using jobs::AttemptState;
using test::job;
using test::Parts;
using test::Post;
using wire::Json;

class GoldenTransactions : public test::golden::Recorded {
  protected:
    static state::CommitReply committed(std::uint64_t revision) {
        state::CommitReply reply;
        reply.outcome = state::Outcome::ok;
        reply.revision = revision;
        return reply;
    }
    // Records the oldest transaction that waits and answers it.
    void take(const std::string& entry, Parts& parts, Millis now, std::uint64_t revision) {
        ASSERT_FALSE(parts.post.commits.empty()) << entry;
        transaction(entry, parts.post.commits.front().first);
        Post::answer(parts.post.commits, now, committed(revision));
    }
};

TEST_F(GoldenTransactions, CheckpointsOfAnArray) {
    Parts p;
    p.machine("m-0", "g4", "a");
    p.machine("m-1", "plain", "b");
    jobs::Job& j = p.enter(job("job-1", "sweep", 70, 0), 1000, 31);
    p.schedule.try_job(j, 1000);
    p.checkpoints.commit(j, 1000);
    take("starts", p, 1010, 80);
    // Some have completed, some have failed and wait for their next attempt.
    std::size_t n = 0;
    for (auto& a : std::vector<jobs::Attempt*>{j.attempts[0].get(), j.attempts[1].get(),
                                               j.attempts[2].get()}) {
        p.book.sent(*a, *p.book.machine_of(*a), 1020);
        const auto cause = n++ < 2 ? wire::ExitCause::done : wire::ExitCause::error;
        p.book.see(*a, {"job-1", a->task, a->number, wire::TaskPhase::exited, cause, false},
                   *p.book.machine_of(*a), 1100);
    }
    p.checkpoints.commit(j, 30'000);
    take("completions and failures", p, 30'010, 90);
}

TEST_F(GoldenTransactions, CheckpointOfAGangAndAService) {
    Parts p;
    for (const char* name : {"m-0", "m-1", "m-2"}) p.machine(name, "g4", "a");
    jobs::Job& gang = p.enter(job("job-1", "ensemble", 3, 4), 1000, 31);
    p.schedule.try_job(gang, 1000);
    p.checkpoints.commit(gang, 1000);
    take("gang", p, 1010, 80);
    Parts q;
    q.machine("m-0", "plain", "a");
    jobs::Job& service = q.enter(job("job-2", "standing", 2, 0), 1000, 32);
    q.schedule.try_job(service, 1000);
    q.checkpoints.commit(service, 1000);
    take("service of production", q, 1010, 80);
}

TEST_F(GoldenTransactions, EndsOfJobs) {
    Parts p;
    p.machine("m-0", "g4", "a");
    jobs::Job& j = p.enter(job("job-1", "sweep", 1, 0), 1000, 31);
    p.schedule.try_job(j, 1000);
    p.checkpoints.commit(j, 1000);
    Post::answer(p.post.commits, 1010, committed(80));
    jobs::Attempt& a = *j.attempts[0];
    p.book.sent(a, *p.book.machine_of(a), 1020);
    p.book.see(a, {"job-1", 0, 1, wire::TaskPhase::exited, wire::ExitCause::done, false},
               *p.book.machine_of(a), 1100);
    p.intake.move_on(j, 1100);
    take("done", p, 1110, 90);
    jobs::Job& never = p.enter(job("job-2", "sweep", 3, 0), 1000, 32);
    p.intake.cancel(never, 2000);
    take("cancelled before it began", p, 2010, 91);
}

TEST_F(GoldenTransactions, EndOfAJobWithMoreRecordsThanATransactionTakes) {
    Parts p;
    jobs::Job& j = p.enter(job("job-1", "sweep", 640, 0), 1000, 31);
    for (std::uint32_t chunk = 0; chunk < 10; ++chunk)
        p.intake.load_run("job-1", chunk, {0, {}}, 40 + chunk, 1, 1000);
    p.intake.cancel(j, 2000);
    take("cancelled", p, 2010, 90);
    p.intake.drop_leftovers(3000);
    take("leftovers", p, 3010, 91);
}

TEST_F(GoldenTransactions, GrantsAndBlocksTakenBack) {
    Parts p;
    p.machine("m-0", "g4", "a");
    p.machine("m-1", "plain", "b", true);
    p.grants.ledger().add({"m-0", "m-0:1", "g4", "a", false});
    p.grants.ledger().add({"m-1", "m-1:1", "plain", "b", true});
    p.grants.commit(500);
    take("first", p, 510, 80);
    const std::uint32_t lent = p.grants.ledger().lend({"m-1"}, "holder-0");
    p.grants.commit(1000);
    take("lent", p, 1010, 81);
    p.grants.ledger().take_back(lent);
    p.grants.commit(2000);
    take("taken back", p, 2010, 82);
    blocks::Block earlier;
    earlier.version = 70;
    earlier.holder = "other";
    earlier.token = 5;
    earlier.members = {{"m-9", "m-9:1", "g4", "a", false}};
    p.grants.ledger().load(9, earlier);
    p.grants.commit(3000);
    take("of an earlier term", p, 3010, 83);
}

TEST_F(GoldenTransactions, IntentsAndThoseOfEarlierTerms) {
    Parts p;
    p.intents.load(Duty::renting, "intent/renting/6",
                   duties::intents_record(Duty::renting, {{"t6f1-1", "g4", "a", false, 2}}), 55);
    ASSERT_TRUE(p.intents.add(Duty::renting, {"t7f60-1", "plain", "b", true, 3}));
    ASSERT_TRUE(p.intents.add(Duty::returning, {"m-1", "", "", false, 0}));
    p.intents.commit(1000);
    take("renting", p, 1010, 80);
    take("returning", p, 1010, 81);
    p.intents.settled(Duty::returning, "m-1");
    p.intents.commit(5000);
    p.intents.commit(9000);
    take("returning, settled", p, 9010, 82);
}

TEST_F(GoldenTransactions, ConditionsOfAHolder) {
    const wire::Settings settings = test::world_settings();
    Post post;
    book::Term term{settings, {7, "lead/term", 70}, book::Role::holder, post};
    term.set_grant({blocks::block_key(3), 81});
    term.set_fence(Duty::renting, 60);
    state::Txn txn;
    txn.conditions = term.conditions();
    transaction("grant", txn);
    txn.conditions = term.conditions(Duty::renting);
    transaction("grant and duty", txn);
}

// A block that is lent with a job, as the leader offers it and as its holder takes it up.
TEST_F(GoldenTransactions, ABlockThatIsLentWithAJob) {
    Parts p;
    admin::Options options;
    options.lent_machines = 2;
    options.keep_margin = options.replica_margin = 0;
    p.term.set_options(options);
    for (const char* name : {"m-0", "m-1", "m-2", "m-3"}) {
        p.machine(name, "plain", "a");
        p.grants.ledger().add({name, std::string(name) + ":1", "plain", "a", false});
    }
    p.grants.commit(500);
    Post::answer(p.post.commits, 510, committed(80));
    peers::Status status;
    status.from = "holder-0";
    status.incarnation = 3;
    status.clock_ms = 900;
    p.lender.peer_heard(status, 1000);
    p.lender.share_machines(1000);
    take("block", p, 1010, 81);
    p.lender.lend_job(p.enter(job("job-2", "sweep", 8, 0)), 1100);
    const auto grants = p.lender.grants(900, 1200);
    ASSERT_EQ(grants.size(), 1u);
    bytes("grant", peers::encode(grants[0].second).frame);

    wire::Settings settings = test::world_settings();
    settings.name = "holder-0";
    Post post;
    dispatch::Holding holding(settings, leadership::kTermKey, post, 3);
    holding.on_grant(grants[0].second, p.book.types(), 0, 1000);
    ASSERT_EQ(post.reads.size(), 1u);
    text("read by the holder", post.reads.front().first);
    state::GetReply open;
    open.outcome = state::Outcome::ok;
    open.item = {"open/job-2", jobs::open_record(job("job-2", "sweep", 8, 0), 0, false), 32, false};
    Post::answer(post.reads, 1010, open);
    ASSERT_EQ(post.lists.size(), 1u);
    text("listed by the holder", post.lists.front().first);
    state::ListReply none;
    none.outcome = state::Outcome::ok;
    Post::answer(post.lists, 1020, none);
    const auto news = holding.news();
    ASSERT_TRUE(news);
    bytes("news", peers::encode(*news).frame);
}

TEST_F(GoldenTransactions, PostsOfDuties) {
    std::vector<state::Txn> sent;
    std::vector<std::function<void(Millis, const state::CommitReply&)>> answers;
    duties::Keeper keeper("ramper-0", 99,
                          {[&](state::Txn txn, auto done) {
                               sent.push_back(std::move(txn));
                               answers.push_back(std::move(done));
                           },
                           [](auto done) {
                               state::ListReply none;
                               none.outcome = state::Outcome::ok;
                               none.revision = 50;
                               done(1000, none);
                           },
                           [](Duty, std::uint64_t) {}});
    keeper.lead({"lead/term", 70}, 12, 1000);
    ASSERT_EQ(sent.size(), 1u);
    transaction("claimed", sent[0]);
    answers[0](1010, committed(80));
    keeper.give(Duty::cleaning, {"ramper-1", 88, 13});
    ASSERT_EQ(sent.size(), 2u);
    transaction("given away", sent[1]);
    answers[1](1020, committed(81));
    keeper.take(Duty::cleaning);
    ASSERT_EQ(sent.size(), 3u);
    transaction("taken back", sent[2]);
}

// Answers at once: runs of jobs, every second of which is over.
struct Swept {
    std::vector<state::Txn> sent;
    std::vector<std::string> asked;
    Millis now = 1000;
    duties::Gate<duties::Cleaning> gate{[this] { return now; },
                                        [] {
                                            return duties::Right{63, kNever};
                                        }};
    duties::Sweep sweep{
        6,
        {[this](const std::string& prefix, const std::string& after, std::size_t most, auto done) {
             asked.push_back(prefix + " after '" + after + "' " + std::to_string(most));
             state::ListReply reply;
             reply.outcome = state::Outcome::ok;
             reply.revision = 70;
             reply.more = true;
             if (prefix == "run/")
                 reply.items = {{"run/job-1/0", {}, 31, false}, {"run/job-2/0", {}, 32, false}};
             if (prefix == "open/") reply.items = {{"open/job-2", {}, 33, false}};
             if (prefix == duties::kCursorKey)
                 reply.items = {{prefix, {{"after", "run/job-0/0"}, {"rounds", 4}}, 34, false}};
             done(now, reply);
         },
         [this](const auto&, state::Txn txn, auto done) {
             sent.push_back(std::move(txn));
             state::CommitReply reply;
             reply.outcome = state::Outcome::ok;
             reply.revision = 90;
             done(now, reply);
         },
         [] { return true; }}};
};

TEST_F(GoldenTransactions, RecordsDroppedBySweepsAndTheirCursor) {
    Swept s;
    for (int i = 0; i < 20; ++i) {
        s.sweep.tend(s.gate.permit(), s.now);
        s.now += 5000;
    }
    ASSERT_GT(s.sent.size(), 16u);
    transaction("dropped", s.sent[0]);
    transaction("cursor", s.sent[16]);
    ASSERT_GT(s.asked.size(), 4u);
    std::string asked;
    for (std::size_t i = 0; i < 5; ++i) asked += s.asked[i] + "\n";
    text("pages", asked);
}

// The state service as an election sees it: a free seat, and term 6 before it.
struct ElectionStore : leadership::Store {
    std::vector<state::Txn> sent;
    std::string calls;
    bool first = false;  // no term was before
    void list(const std::string& prefix,
              std::function<void(Millis, const state::ListReply&)> done) override {
        calls += "list " + prefix + "\n";
        state::ListReply reply;
        reply.outcome = state::Outcome::ok;
        reply.revision = 60;
        done(1000, reply);
    }
    void watch(const std::string& prefix, std::uint64_t after, Millis wait,
               std::function<void(Millis, const state::ListReply&)>) override {
        calls += "watch " + prefix + " after " + std::to_string(after) + " for " +
                 std::to_string(wait) + "\n";
    }
    void get(const std::string& key,
             std::function<void(Millis, const state::GetReply&)> done) override {
        calls += "get " + key + "\n";
        state::GetReply reply;
        reply.outcome = first ? state::Outcome::missing : state::Outcome::ok;
        if (!first) reply.item = {key, {{"term", 6}, {"node", "ramper-2"}}, 55, false};
        done(2000, reply);
    }
    void commit(const state::Txn& txn,
                std::function<void(Millis, const state::CommitReply&)>) override {
        sent.push_back(txn);
    }
    void lease(Millis life, std::function<void(Millis, const state::LeaseReply&)> done) override {
        calls += "lease for " + std::to_string(life) + "\n";
        state::LeaseReply reply;
        reply.outcome = state::Outcome::ok;
        reply.lease = 12;
        done(2010, reply);
    }
    void renew(std::uint64_t, std::function<void(Millis, const state::LeaseReply&)>) override {}
    void end_lease(std::uint64_t) override {}
};

TEST_F(GoldenTransactions, SeatAndTermOfALeader) {
    for (bool first : {false, true}) {
        ElectionStore store;
        store.first = first;
        leadership::Election election(
            store, "ramper-0", 1,
            {[](std::uint64_t, std::uint64_t) {}, [](Millis) {}, [](const std::string&) {},
             [](const std::string&) {}, [](Millis) {}});
        election.start();
        election.tend(2000);
        ASSERT_EQ(store.sent.size(), 1u);
        transaction(first ? "the first term" : "a later term", store.sent[0]);
        if (!first) text("calls", store.calls);
    }
}

}  // namespace
