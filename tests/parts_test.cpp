// The parts of a term at their own interfaces. The book is compared with a plain recount after
// every step of random histories; the parts around it are asked for what they alone decide.
#include "tests/parts.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cmath>
#include <numeric>
#include <set>

namespace {

using namespace nickelramp;
using jobs::Attempt;
using jobs::AttemptState;
using jobs::Job;
using jobs::JobState;
using state::Outcome;
using test::job;
using test::Parts;
using test::Post;
using wire::TaskPhase;
using workers::Machine;
using workers::MachineState;

// --- the book against a recount

struct Sums {
    double cpus = 0, gpus = 0;
};

// Who is where, by job, task and attempt.
void trace_places(const Parts& p) {
    std::map<std::tuple<std::string, std::uint32_t, std::uint32_t>, std::string> places;
    for (const auto& [id, j] : p.book.jobs()) {
        for (const auto& a : j->attempts) {
            if (!a->live()) continue;
            places[{id, a->task, a->number}] = p.book.machine_of(*a)->name;
        }
    }
    for (const auto& [attempt, machine] : places) {
        const auto& [id, task, number] = attempt;
        test::test_trace().add(0, "place", id, task, number, machine);
    }
}

void recount(Parts& p) {
    std::map<Index, Sums> teams;
    std::map<const Machine*, std::vector<const Attempt*>> on;
    for (const auto& [id, j] : p.book.jobs()) {
        std::uint32_t live = 0, running = 0, recording = 0, unrecorded = 0;
        std::set<std::uint32_t> held;
        for (const auto& a : j->attempts) {
            if (!a->live()) continue;
            ++live;
            RC_ASSERT(held.insert(a->task).second);  // never twice
            running += a->state == AttemptState::running || a->state == AttemptState::saving;
            recording += a->state == AttemptState::recording;
            unrecorded += a->state == AttemptState::recording && a->in_commit == 0;
            on[p.book.machine_of(*a)].push_back(a.get());
            teams[j->team].cpus += j->spec.cpus;
            teams[j->team].gpus += j->spec.gpus;
        }
        RC_ASSERT(j->live == live && j->running == running);
        RC_ASSERT(j->recording == recording && j->unrecorded == unrecorded);
        if (j->lent_to != kNone) {
            teams[j->team].cpus += j->spec.cpus * j->spec.tasks;
            teams[j->team].gpus += j->spec.gpus * j->spec.tasks;
        }
    }
    for (auto& [team, use] : teams) {
        RC_ASSERT(std::abs(p.book.team_use(team).cpus - use.cpus) < 1e-6);
        RC_ASSERT(std::abs(p.book.team_use(team).gpus - use.gpus) < 1e-6);
    }
    std::set<Index> open, coming, returning, found, silent;
    std::vector<std::pair<int, int>> counted(4);
    std::vector<outlook::Demand> by_type(2);
    double places = 0;
    for (const Machine* m : p.book.machines()) {
        const wire::MachineType& t = p.book.types()[m->type];
        double cpus = t.cpus, gpus = t.gpus, firm_cpus = 0;
        std::uint32_t firm = 0, gangs = 0;
        for (const Attempt* a : on[m]) {
            const Job& j = p.book.job_of(*a);
            cpus -= j.spec.cpus;
            gpus -= j.spec.gpus;
            if (j.spec.shape == wire::Shape::array) continue;
            ++firm;
            gangs += j.gang();
            firm_cpus += j.spec.cpus;
        }
        RC_ASSERT(m->live == on[m].size() && m->firm == firm && m->gangs == gangs);
        RC_ASSERT(std::abs(m->cpus_free - cpus) < 1e-6 && std::abs(m->gpus_free - gpus) < 1e-6);
        RC_ASSERT(std::abs(m->firm_cpus - firm_cpus) < 1e-6);
        const bool sound = m->hearing == workers::Hearing::sound;
        const bool may = m->state == MachineState::ready && sound && !m->shaded;
        if (may && m->cpus_free > placing::kSlack) open.insert(m->index);
        if (m->state == MachineState::booting || m->state == MachineState::joining) {
            coming.insert(m->index);
        }
        if (m->state == MachineState::returning) returning.insert(m->index);
        if (!sound) silent.insert(m->index);
        if (m->state != MachineState::booting && m->state != MachineState::lent) {
            ++counted[m->zone].first;
            counted[m->zone].second += sound ? 0 : 1;
        }
        outlook::Demand& d = by_type[m->type];
        d.blank += may && !m->spot && m->live == 0;
        d.spare += may && !m->spot && firm == 0;
        if (may && m->spot) {
            double share = std::max(0.0, cpus / t.cpus);
            d.spot_room += t.gpus > 0 ? std::min(share, std::max(0.0, gpus / t.gpus)) : share;
        }
        const outlook::Standing& s = p.outlook.standing();
        const bool cheap = s.type != kNone && m->type < s.dearness.size() &&
                           s.dearness[m->type].first <= placing::kDear;
        if (may && !m->spot && cheap) {
            places += placing::how_many(m->cpus_free, m->gpus_free, m->memory_free, s.need, 1024);
        }
    }
    p.book.openings().each(
        {}, [](const auto&) { return true; }, [&](Index i) { return found.insert(i).second; });
    RC_ASSERT(found == open);
    RC_ASSERT(p.book.coming() == coming && p.book.returning() == returning);
    RC_ASSERT(p.book.silent() == silent && p.counted == counted);
    for (Index t = 0; t < 2; ++t) {
        const outlook::Demand& d = p.outlook.demand_of(t);
        RC_ASSERT(d.blank == by_type[t].blank && d.spare == by_type[t].spare);
        RC_ASSERT(std::abs(d.spot_room - by_type[t].spot_room) < 1e-6);
    }
    RC_ASSERT(std::abs(p.outlook.standing().places - places) < 1e-6);
}

struct History {
    Parts p;
    Millis now = 1000;
    int machines = 0, entered = 0;
    std::uint64_t commits = 0;

    std::vector<Attempt*> attempts(AttemptState s) {
        std::vector<Attempt*> out;
        for (const auto& [id, j] : p.book.jobs()) {
            for (const auto& a : j->attempts) {
                if (a->state == s) out.push_back(a.get());
            }
        }
        std::sort(out.begin(), out.end(), [](const Attempt* a, const Attempt* b) {
            return std::tie(a->job, a->task, a->number) < std::tie(b->job, b->task, b->number);
        });
        return out;
    }
    Attempt* some(AttemptState s, unsigned k) {
        auto list = attempts(s);
        return list.empty() ? nullptr : list[k % list.size()];
    }
    Attempt* some_live(unsigned k) {
        for (int i = 0; i < 7; ++i) {
            if (Attempt* a = some(static_cast<AttemptState>((k + i) % 7), k / 7)) return a;
        }
        return nullptr;
    }
    Job* some_job(unsigned k) {
        std::map<Index, Job*> list;
        for (const auto& [id, j] : p.book.jobs()) list[j->index] = j.get();
        if (list.empty()) return nullptr;
        return std::next(list.begin(), k % list.size())->second;
    }
    Machine* some_machine(unsigned k) {
        const auto& all = p.book.machines();
        return all.empty() ? nullptr : all[k % all.size()];
    }
    void report(Attempt* a, TaskPhase phase, wire::ExitCause cause = wire::ExitCause::none) {
        if (a == nullptr) return;
        p.book.see(*a, {p.book.job_of(*a).spec.id, a->task, a->number, phase, cause, false},
                   *p.book.machine_of(*a), now);
    }
    void step(int what, unsigned k) {
        now += 500;
        if (what == 0) {
            const char* shapes[] = {"sweep", "ensemble", "standing"};
            wire::Json spec =
                job("job-" + std::to_string(++entered), shapes[k % 3], 1 + k / 3 % 4, k / 12 % 3);
            spec["crew"] = k % 5 == 0 ? "unheard" : k % 2 == 0 ? "red" : "blue";
            spec["standby"] = k % 4 == 0;
            p.enter(spec, now);
        } else if (what == 1) {
            p.machine("m-" + std::to_string(++machines), k % 2 == 0 ? "g4" : "plain",
                      k / 2 % 2 == 0 ? "a" : "b", k / 4 % 3 == 0, now);
        } else if (what <= 5) {
            if (Job* j = some_job(k)) p.schedule.try_job(*j, now);
        } else if (what == 6) {
            if (Attempt* a = some(AttemptState::recording, k)) {
                p.book.carried(*a, ++commits);
                if (k % 5 == 0) p.book.not_carried(*a);
                if (k % 5 > 1) p.book.recorded(*a, now);
            }
        } else if (what == 7) {
            if (Attempt* a = some(AttemptState::recorded, k)) {
                p.book.sent(*a, *p.book.machine_of(*a), now);
                if (k % 4 == 0) p.book.never_arrived(*a, now);
            }
        } else if (what == 8) {
            report(some(AttemptState::starting, k),
                   k % 2 == 0 ? TaskPhase::fetching : TaskPhase::running);
        } else if (what == 9) {
            report(some(AttemptState::running, k),
                   k % 3 == 0 ? TaskPhase::saving : TaskPhase::running);
        } else if (what == 10) {
            const wire::ExitCause causes[] = {wire::ExitCause::done, wire::ExitCause::stopped,
                                              wire::ExitCause::error, wire::ExitCause::no_room};
            report(some(AttemptState::running, k), TaskPhase::exited, causes[k % 4]);
        } else if (what == 11) {
            if (Attempt* a = some_live(k)) p.book.proven_gone(*a, now);
            if (Attempt* a = some(AttemptState::exited, k)) p.book.proven_gone(*a, now);
        } else if (what == 12) {
            if (Job* j = some_job(k); j != nullptr && k % 3 == 0) p.intake.cancel(*j, now);
        } else if (what == 13) {
            Machine* m = some_machine(k);
            if (m == nullptr || m->state == MachineState::lent) return;
            if (k % 5 == 0) {
                p.book.set_hearing(*m, m->hearing == workers::Hearing::sound
                                           ? workers::Hearing::deaf
                                           : workers::Hearing::sound);
            } else if (k % 5 == 1) {
                p.book.set_shaded(*m, !m->shaded);
            } else if (k % 5 == 2) {
                p.book.give_back(*m, "is idle");
            } else if (k % 5 == 3) {
                p.book.set_machine_state(
                    *m, k % 2 == 0 ? MachineState::draining : MachineState::joining);
            } else {
                p.book.machine_gone(*m, now);
            }
        } else if (what == 14) {
            Job* j = some_job(k);
            if (j == nullptr || !j->attempts.empty() || j->state != JobState::open) return;
            if (j->lent_to == kNone)
                p.book.lend(*j, 3);
            else
                p.book.unlend(*j);
        }
    }
};

// The sums that searches and forecasts rest on are kept change by change. Any path that changes a
// state without them would make the schedule look for room that is not there.
TEST(Parts, TheBookIsAlwaysWhatARecountSays) {
    EXPECT_TRUE(rc::check([] {
        History h;
        const auto steps = *rc::gen::container<std::vector<std::pair<int, unsigned>>>(
            rc::gen::pair(rc::gen::inRange(0, 15), rc::gen::inRange(0u, 1000u)));
        h.step(1, 0);
        h.step(1, 3);
        for (auto [what, k] : steps) {
            h.step(what, k);
            recount(h.p);
            trace_places(h.p);
        }
    }));
}

// The paper's order: a next attempt is released only when the one before it is gone.
TEST(Parts, TheBookPlacesNoTaskTwice) {
    Parts p;
    Machine& m = p.machine("m-1", "plain", "a");
    Job& j = p.enter(job("job-1", "sweep", 2, 0));
    ASSERT_NE(p.book.place(j, 0, 1, m, 10), nullptr);
    EXPECT_EQ(p.book.place(j, 0, 2, m, 20), nullptr);
    EXPECT_EQ(m.live, 1u);
    p.book.proven_gone(*j.attempts.front(), 30);
    EXPECT_NE(p.book.place(j, 0, 2, m, 40), nullptr);
    p.book.cancel(j, 50);
    EXPECT_EQ(p.book.place(j, 1, 1, m, 60), nullptr) << "a start after a cancel";
}

// Ending the first member of a gang that was never sent ended the others too, and the loop over
// them went on with what was erased.
TEST(Parts, AGangThatWasNeverSentIsStoppedAsAWhole) {
    Parts p;
    p.machine("m-1", "g4", "a");
    Job& j = p.enter(job("job-1", "ensemble", 3, 1));
    ASSERT_TRUE(p.schedule.try_job(j, 1000));
    ASSERT_EQ(j.attempts.size(), 3u);
    p.book.stop_all(j, 1100);
    EXPECT_EQ(j.live, 0u);
    EXPECT_TRUE(j.attempts.empty());
    EXPECT_TRUE(p.schedule.try_job(j, 1200)) << "it may start again";
    EXPECT_EQ(j.attempts.front()->number, 2u);
}

// --- checkpoints

// No start goes out whose record is not known to be written; after an unknown outcome the record is
// read before anything builds on it.
TEST(Parts, ACheckpointPrecedesEveryStart) {
    Parts p;
    p.machine("m-1", "plain", "a");
    Job& j = p.enter(job("job-1", "sweep", 1, 0), 0, 5);
    ASSERT_TRUE(p.schedule.try_job(j, 1000));
    p.checkpoints.commit(j, 1000);
    p.courier.flush(1000);
    EXPECT_TRUE(p.post.directs.empty());
    ASSERT_EQ(p.post.commits.size(), 1u);
    std::map<std::string, std::uint64_t> conditions;
    for (const auto& c : p.post.commits.front().first.conditions) conditions[c.key] = c.version;
    EXPECT_EQ(conditions, (std::map<std::string, std::uint64_t>{
                              {"lead/term", 70}, {"open/job-1", 5}, {"run/job-1/0", 0}}));
    EXPECT_EQ(p.checkpoints.due(j), kNever) << "one is under way";
    Post::answer(p.post.commits, 2000, state::CommitReply{});  // its outcome is unknown
    p.courier.flush(2000);
    EXPECT_TRUE(p.post.directs.empty());
    const Millis again = p.checkpoints.due(j);
    ASSERT_LT(again, kNever);
    p.checkpoints.commit(j, again);
    EXPECT_TRUE(p.post.commits.empty());
    ASSERT_EQ(p.post.reads.size(), 1u);
    state::GetReply found;
    found.outcome = Outcome::ok;
    found.item = {"run/job-1/0", {}, 81, false};
    Post::answer(p.post.reads, again + 300, found);
    ASSERT_EQ(p.post.commits.size(), 1u);
    EXPECT_EQ(p.post.commits.front().first.conditions.back().version, 81u);
    state::CommitReply ok;
    ok.outcome = Outcome::ok;
    ok.revision = 90;
    Post::answer(p.post.commits, again + 400, ok);
    ASSERT_EQ(p.post.directs.size(), 1u);
    EXPECT_EQ(p.post.directs.front().commands.size(), 1u);
}

TEST(Parts, ATermThatIsOverWritesAndStartsNothing) {
    Parts p;
    p.machine("m-1", "plain", "a");
    Job& j = p.enter(job("job-1", "sweep", 1, 0));
    p.schedule.try_job(j, 1000);
    p.checkpoints.commit(j, 1000);
    state::CommitReply lost;
    lost.outcome = Outcome::conflict;
    lost.failed = {"lead/term"};
    Post::answer(p.post.commits, 1100, lost);
    EXPECT_TRUE(p.term.over());
    EXPECT_EQ(p.post.ended, "lead/term has changed");
    p.courier.flush(1200);
    EXPECT_TRUE(p.post.directs.empty());
}

// --- grants

// A machine counts as granted only when the block that names it is written; what may or may not be
// written is read first.
TEST(Parts, GrantsAreOnRecordBeforeMachinesAreUsed) {
    Parts p;
    Machine& m = p.machine("m-1", "plain", "a");
    m.granted = false;
    p.grants.ledger().add({"m-1", "m-1:1", "plain", "a", false});
    p.grants.commit(1000);
    ASSERT_EQ(p.post.commits.size(), 1u);
    EXPECT_TRUE(p.grants.in_flight());
    EXPECT_FALSE(m.granted);
    Post::answer(p.post.commits, 1100, state::CommitReply{});
    EXPECT_FALSE(m.granted);
    p.grants.commit(1200);
    EXPECT_TRUE(p.post.reads.empty()) << "not at once";
    p.grants.commit(2000);
    EXPECT_TRUE(p.post.commits.empty());
    state::GetReply missing;
    missing.outcome = Outcome::missing;
    Post::answer(p.post.reads, 2100, missing);
    p.grants.commit(2500);
    state::CommitReply ok;
    ok.outcome = Outcome::ok;
    ok.revision = 9;
    Post::answer(p.post.commits, 2600, ok);
    EXPECT_TRUE(m.granted);
}

// --- intake

// Users hear of an end in the transaction that takes the job's records away, as many as it holds;
// the rest are deleted later. A cancelled job waits for its last task.
TEST(Parts, AnEndIsToldWhenNothingOfTheJobIsLeft) {
    Parts p;  // six writes a transaction
    Machine& m = p.machine("m-1", "g4", "a");
    wire::Json spec = job("job-1", "sweep", 64 * 8, 0);
    Job& j = p.enter(spec);
    for (std::uint32_t n = 0; n < 8; ++n) j.chunks[n].version = 3 + n;
    Attempt* a = p.book.place(j, 0, 1, m, 10);
    p.book.recorded(*a, 20);
    p.book.sent(*a, m, 30);
    p.intake.cancel(j, 40);
    EXPECT_TRUE(p.post.commits.empty()) << "a task may still run";
    p.book.proven_gone(*a, 50);
    ASSERT_EQ(p.post.commits.size(), 1u);
    const state::Txn& txn = p.post.commits.front().first;
    EXPECT_EQ(txn.writes.size(), 6u);
    EXPECT_EQ(txn.writes[0].key, "job/job-1");
    EXPECT_EQ(wire::text(*txn.writes[0].value, "final"), "withdrawn");
    EXPECT_EQ(txn.writes[1].key, "open/job-1");
    state::CommitReply ok;
    ok.outcome = Outcome::ok;
    Post::answer(p.post.commits, 60, ok);
    EXPECT_EQ(p.book.job("job-1"), nullptr);
    std::set<std::string> deleted;
    for (Millis t = 100; t < 2000; t += 100) {
        p.intake.drop_leftovers(t);
        while (!p.post.commits.empty()) {
            for (const auto& w : p.post.commits.front().first.writes) deleted.insert(w.key);
            Post::answer(p.post.commits, t, ok);
        }
    }
    EXPECT_EQ(deleted,
              (std::set<std::string>{"run/job-1/4", "run/job-1/5", "run/job-1/6", "run/job-1/7"}));
}

// A gang completes as a whole. The last leader's record of that may be a part of it, and the
// machines of the rest gone: neither another attempt nor anybody's report would ever end it.
TEST(Parts, AGangThatIsDoneInPartOnRecordIsDone) {
    Parts p;
    Job& j = p.enter(job("job-1", "ensemble", 130, 0));
    jobs::RunRecord done, started;
    done.done = UINT64_MAX;
    for (std::uint32_t t = 64; t < 128; ++t) started.entries.push_back({t, 1, true, "m-9"});
    p.book.load_run(j, 0, done, 3, 0, 10);
    p.book.load_run(j, 1, started, 4, 0, 10);
    EXPECT_TRUE(p.post.commits.empty());
    p.intake.complete_load(j, 20);
    ASSERT_EQ(p.post.commits.size(), 1u);
    EXPECT_EQ(wire::text(*p.post.commits.front().first.writes[0].value, "final"), "done");
}

// --- order

// The forecast of the queue against a plain one that serves it task by task. They may differ by a
// round of tasks, and by what the forecast keeps back for what goes wrong.
TEST(Parts, TheForecastOfTheQueueAgreesWithServingItTaskByTask) {
    EXPECT_TRUE(rc::check([] {
        wire::Settings s = test::world_settings();
        s.teams = {{"red", 0, 0, 0, 0}};
        s.objectives = {{wire::Objective::Kind::deadline, "sweep", 0, 1, 0}};
        Parts p(s, {{"plain", 8, 0, 64, 50, 1, 1, 1, 10, {"a", "b"}}});
        const int machines = *rc::gen::inRange(1, 6);
        for (int n = 0; n < machines; ++n) p.machine("m-" + std::to_string(n), "plain", "a");
        const double places = machines * 4;  // of two cpus
        double served = 0;                   // seconds until the queue so far is, at the latest
        std::vector<Job*> all;
        for (int n = 0; n < 4; ++n) {
            const auto tasks = *rc::gen::inRange(1u, 120u);
            wire::Json spec = job("job-" + std::to_string(n), "sweep", tasks, 0);
            spec["due_s"] = *rc::gen::inRange(30, 600);
            all.push_back(&p.enter(spec, 0));
        }
        const std::vector<Job*> queue = p.order.queue(0);
        RC_ASSERT(queue.size() == all.size());
        p.order.foresee(queue, 0);
        for (Job* j : queue) {
            served += j->spec.tasks * 10.0 / places;
            if (p.order.lacking().job != kNone) break;  // from here on it counts machines to come
            const double due = *j->spec.deadline_s;
            if (served + 20 < 0.85 * due) RC_ASSERT(j->patience == jobs::Patience::relaxed);
            if (served - 20 > due) RC_ASSERT(j->patience == jobs::Patience::pressed);
        }
    }));
}

// --- supply

// What the cloud is asked for, in the order of need; a kind that it has just refused is left alone,
// and what is on its way is not asked for again.
TEST(Parts, TheSupplyAsksForWhatIsMissingAndNoMore) {
    Parts p;
    p.settings.cloud_rps = 10;
    admin::Options o;
    o.keep_margin = o.hire_margin = o.spot_margin = o.replica_margin = 0;
    p.term.set_options(o);
    Job& j = p.enter(job("job-1", "standing", 3, 4));  // a machine each
    p.supply.plan({&j}, {}, 900);
    EXPECT_TRUE(p.post.commits.empty()) << "what is there is not known before the cloud's list";
    p.supply.on_hosts({}, 950);
    p.supply.plan({&j}, {}, 1000);
    EXPECT_TRUE(p.post.hires.empty()) << "sent before it was on record";
    p.record_intents(1000);
    std::uint32_t asked = 0;
    for (const auto& h : p.post.hires) {
        EXPECT_EQ(h.type, "g4");
        EXPECT_FALSE(h.spot);
        asked += h.count;
    }
    EXPECT_EQ(asked, 3u);
    const std::size_t calls = p.post.hires.size();
    p.supply.plan({&j}, {}, 1500);
    p.record_intents(2100);
    EXPECT_EQ(p.post.hires.size(), calls) << "they are under way";
    const std::string refused = p.post.hires.front().zone;
    fleet::HireReply none;
    none.result = fleet::HireReply::Result::no_capacity;
    auto first = p.post.hires.front();
    p.post.hires.pop_front();
    first.done(2200, none);
    for (auto& h : p.post.hires) {
        fleet::HireReply got;
        got.result = fleet::HireReply::Result::hired;
        for (std::uint32_t i = 0; i < h.count; ++i)
            got.machines.push_back("n-" + std::to_string(i));
        h.done(2300, got);
    }
    p.post.hires.clear();
    p.supply.plan({&j}, {}, 2400);
    p.record_intents(3500);
    std::uint32_t again = 0;
    for (const auto& h : p.post.hires) {
        EXPECT_NE(h.zone, refused);
        again += h.count;
    }
    EXPECT_EQ(again, first.count);
}

// A machine stays in the book until the cloud's answer proves it gone. That it leaves is on record
// before it is sent: a return that was held up once took away what a successor had placed on it.
TEST(Parts, AReturnIsOnRecordFirstAndProvenByItsAnswerOnly) {
    Parts p;
    Machine& m = p.machine("m-1", "plain", "a");
    p.book.give_back(m, "is idle");
    p.supply.send_returns(1000);
    ASSERT_TRUE(p.post.returns.empty());
    p.intents.commit(1000);
    ASSERT_EQ(p.post.commits.size(), 1u);
    const auto& txn = p.post.commits.front().first;
    ASSERT_EQ(txn.writes.size(), 1u);
    EXPECT_EQ(txn.writes[0].key, "intent/returning/7");
    EXPECT_TRUE(std::any_of(txn.conditions.begin(), txn.conditions.end(), [](const auto& c) {
        return c.key == "duty/returning" && c.version == 61;
    }));
    p.supply.send_returns(1005);
    ASSERT_TRUE(p.post.returns.empty()) << "the record is not written yet";
    p.record_intents(1008);
    p.supply.send_returns(1010);
    ASSERT_EQ(p.post.returns.size(), 1u);
    Post::answer(p.post.returns, 1100, false);
    EXPECT_NE(p.book.machine("m-1"), nullptr);
    p.supply.send_returns(1200);
    EXPECT_TRUE(p.post.returns.empty()) << "not at once";
    p.supply.send_returns(2200);
    Post::answer(p.post.returns, 2300, true);
    EXPECT_EQ(p.book.machine("m-1"), nullptr);
    EXPECT_TRUE(p.book.buried("m-1"));
}

// While the state service does not answer, only what no successor would use goes back: what the
// cloud lists as failed, and what its worker says is taken back.
TEST(Parts, WithoutARecordOnlyMachinesGoBackThatNobodyWouldUse) {
    Parts p;
    for (const char* name : {"idle", "failed", "warned"}) {
        p.book.give_back(p.machine(name, "plain", "a"), "goes");
    }
    p.book.machine("failed")->failed = true;
    p.book.machine("warned")->warned_until = 9000;
    p.supply.send_returns(1000);
    p.intents.commit(1000);
    state::CommitReply down;
    down.outcome = state::Outcome::refused;
    Post::answer(p.post.commits, 1010, down);
    ASSERT_EQ(p.post.returns.size(), 1u);
    const std::set<std::string> gone(p.post.returns[0].first.begin(),
                                     p.post.returns[0].first.end());
    EXPECT_EQ(gone, (std::set<std::string>{"failed", "warned"}));
}

// A rental whose outcome nobody knows is asked again under its name. A new name once rented the
// same need twice.
TEST(Parts, ARentalOfUnknownOutcomeIsAskedAgainUnderItsName) {
    using Result = fleet::HireReply::Result;
    Parts p;
    p.settings.cloud_rps = 10;
    admin::Options o;
    o.keep_margin = o.hire_margin = o.spot_margin = o.replica_margin = 0;
    p.term.set_options(o);
    wire::Json spec = job("job-1", "standing", 1, 4);
    spec["yard"] = "a";
    Job& j = p.enter(spec);
    p.supply.on_hosts({}, 950);
    p.supply.plan({&j}, {}, 1000);
    p.record_intents(1000);
    ASSERT_EQ(p.post.hires.size(), 1u);
    const std::string name = p.post.hires[0].request;
    Post::answer(p.post.hires, 1300, fleet::HireReply{Result::unknown, {}});
    p.supply.plan({&j}, {}, 1400);
    p.record_intents(2500);
    EXPECT_TRUE(p.post.hires.empty()) << "asked for again under another name, or at once";
    p.supply.tend(3000);
    ASSERT_EQ(p.post.hires.size(), 1u);
    EXPECT_EQ(p.post.hires[0].request, name);
    // "Trouble" says that this one was not executed; the first may be yet.
    Post::answer(p.post.hires, 3100, fleet::HireReply{Result::trouble, {}});
    p.supply.plan({&j}, {}, 3200);
    p.supply.tend(4800);
    ASSERT_EQ(p.post.hires.size(), 1u);
    EXPECT_EQ(p.post.hires[0].request, name);
    Post::answer(p.post.hires, 4900, fleet::HireReply{Result::hired, {"n-1"}});
    EXPECT_NE(p.book.machine("n-1"), nullptr);
    EXPECT_TRUE(p.intents.on_record(duties::Duty::renting, name)) << "until lists have it";
    p.supply.tend(4900 + 2 * 3'000 + 1'000);
    EXPECT_FALSE(p.intents.on_record(duties::Duty::renting, name));
}

// While nobody is known to have the duty of reclaiming, a block that is taken back is not recorded:
// a condition on no fence once said that nobody may have the duty, and held.
TEST(Parts, BlocksAreTakenBackUnderTheirDutyOnly) {
    Parts p;
    auto& ledger = p.grants.ledger();
    for (const char* name : {"m-1", "m-2"}) ledger.add({name, "x:1", "g4", "a", false});
    const std::uint32_t lent = ledger.lend({"m-1"}, "holder-0");
    p.grants.commit(1000);
    p.record_intents(1000);  // answers all that was asked
    ledger.take_back(lent);
    p.term.set_fence(duties::Duty::reclaiming, 0);
    p.grants.commit(2000);
    EXPECT_TRUE(p.post.commits.empty());
    p.term.set_fence(duties::Duty::reclaiming, 88);
    p.grants.commit(3000);
    ASSERT_EQ(p.post.commits.size(), 1u);
    const auto& conditions = p.post.commits.front().first.conditions;
    EXPECT_TRUE(std::any_of(conditions.begin(), conditions.end(), [](const auto& c) {
        return c.key == "duty/reclaiming" && c.version == 88;
    }));
}

// A duty whose fence has changed is not acted under: the record is not written, whoever keeps the
// duties is told, and nothing goes out until the new fence is known.
TEST(Parts, NothingIsSentUnderADutyThatIsAnothers) {
    Parts p;
    p.book.give_back(p.machine("m-1", "plain", "a"), "is idle");
    p.supply.send_returns(1000);
    p.intents.commit(1000);
    state::CommitReply conflict;
    conflict.outcome = state::Outcome::conflict;
    conflict.failed = {"duty/returning"};
    Post::answer(p.post.commits, 1010, conflict);
    ASSERT_EQ(p.post.refutations.size(), 1u);
    EXPECT_EQ(p.post.refutations[0], duties::Duty::returning);
    p.record_intents(3000);
    p.supply.send_returns(3000);
    EXPECT_TRUE(p.post.returns.empty());
    p.term.set_fence(duties::Duty::returning, 99);
    p.intents.commit(4000);  // reads what became of the record first
    state::GetReply none;
    none.outcome = state::Outcome::missing;
    Post::answer(p.post.reads, 4010, none);
    p.record_intents(4020);
    p.supply.send_returns(4030);
    EXPECT_EQ(p.post.returns.size(), 1u);
}

// --- sharing

// A block is taken back in this order: the leases run out, its record changes, the records of its
// jobs are read, and only then its machines are asked.
TEST(Parts, ABlockComesBackRecordFirstThenJobsThenMachines) {
    Parts p;
    admin::Options o;
    o.lent_machines = 2;
    o.keep_margin = o.replica_margin = 0;
    p.term.set_options(o);
    for (int n = 0; n < 4; ++n) {
        const std::string name = "m-" + std::to_string(n);
        p.machine(name, "plain", "a");
        p.grants.ledger().add({name, name + ":1", "plain", "a", false});
    }
    p.grants.commit(500);
    state::CommitReply ok;
    ok.outcome = Outcome::ok;
    ok.revision = 11;
    Post::answer(p.post.commits, 510, ok);
    peers::Status s;
    s.from = "holder-0";
    s.incarnation = 3;
    s.clock_ms = 900;
    p.lender.peer_heard(s, 1000);
    p.lender.share_machines(1000);
    ASSERT_EQ(p.lender.leases().size(), 1u);
    const auto& [block, lease] = *p.lender.leases().begin();
    EXPECT_TRUE(p.lender.grants(900, 1000).empty()) << "not on record yet";
    EXPECT_EQ(p.lender.holder_of(lease.room[0].machine), "");
    Post::answer(p.post.commits, 1010, ok);
    ASSERT_EQ(p.lender.grants(900, 1050).size(), 1u);
    EXPECT_EQ(p.lender.holder_of(lease.room[0].machine), "holder-0");
    Job& big = p.enter(job("job-1", "sweep", 9, 0));  // eight places
    EXPECT_FALSE(p.lender.lend_job(big, 1100));
    Job& j = p.enter(job("job-2", "sweep", 8, 0));
    EXPECT_TRUE(p.lender.lend_job(j, 1100));
    Job& late = p.enter(job("job-3", "sweep", 1, 0));
    EXPECT_FALSE(p.lender.lend_job(late, 1100)) << "the room is taken";
    EXPECT_EQ(p.book.team_use(j.team).cpus, 16);
    // The holder has ended; another process has its name.
    s.incarnation = 4;
    p.lender.peer_heard(s, 1200);
    p.lender.check_leases(1300);
    EXPECT_EQ(lease.state, sharing::LeaseState::ending);
    EXPECT_TRUE(p.post.commits.empty()) << "its lease may last";
    p.lender.check_leases(1050 + longer(4'000) + 1);
    EXPECT_EQ(lease.state, sharing::LeaseState::reclaimed);
    p.grants.commit(7000);
    EXPECT_TRUE(p.post.lists.empty());
    ok.revision = 12;
    Post::answer(p.post.commits, 7010, ok);
    EXPECT_EQ(lease.state, sharing::LeaseState::reading);
    Machine* m = p.book.machine_at(lease.room[0].machine);
    EXPECT_TRUE(m->unread);
    ASSERT_EQ(p.post.lists.size(), 1u);
    state::ListReply runs;
    runs.outcome = Outcome::ok;
    runs.items = {{"run/job-2/0", jobs::run_record({1, {{1, 1, true, m->name}}}), 13, false}};
    Post::answer(p.post.lists, 7100, runs);
    EXPECT_FALSE(m->unread);
    EXPECT_TRUE(p.lender.leases().empty());
    EXPECT_EQ(j.done, 1u);
    EXPECT_EQ(j.live, 1u) << "it may be there";
    EXPECT_EQ(j.unstarted(), 6u);
    EXPECT_EQ(p.book.team_use(j.team).cpus, 2);
}

// --- courier

// What certainly never arrived is sent again under the same token; what may be under way is made
// harmless by a higher one first.
TEST(Parts, LostCommandsAreFencedRefusedOnesAreNot) {
    for (const bool lost : {false, true}) {
        Parts p;
        Machine& m = p.machine("m-1", "plain", "a");
        Job& j = p.enter(job("job-1", "sweep", 1, 0));
        Attempt* a = p.book.place(j, 0, 1, m, 1000);
        p.book.recorded(*a, 1000);
        p.courier.flush(1000);
        p.courier.poke(m);
        p.courier.flush(1001);
        ASSERT_EQ(p.post.directs.size(), 1u) << "one at a time";
        const std::uint64_t token = m.token;
        auto done = p.post.directs.front().done;
        p.post.directs.clear();
        book::DirectReply reply;
        reply.delivery = lost ? book::Delivery::unknown : book::Delivery::refused;
        done(1100, reply);
        EXPECT_EQ(a->state, lost ? AttemptState::starting : AttemptState::recorded);
        EXPECT_EQ(m.token, lost ? token + 1 : token);
        EXPECT_TRUE(p.post.directs.empty()) << "not at once";
        p.courier.poke(m);
        p.courier.flush(2000);
        ASSERT_EQ(p.post.directs.size(), 1u);
        EXPECT_EQ(p.post.directs.front().commands.size(), lost ? 0u : 1u);
        EXPECT_EQ(p.post.directs.front().token, m.token);
    }
}

}  // namespace
