// The parts of a term at their own interfaces. The book is compared with a plain recount after
// every step of random histories; the parts around it are asked for what they alone decide.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cmath>
#include <numeric>
#include <set>

#include "tests/control_fixture.h"

namespace {

using namespace nickelramp;
using jobs::Attempt;
using jobs::AttemptState;
using jobs::Job;
using jobs::JobState;
using kvstore::Status;
using machines::Machine;
using machines::MachineState;
using test::ControlFixture;
using test::job;
using test::RecordingGateway;
using wire::TaskPhase;

// --- the book against a recount

struct Sums {
    double cpus = 0, gpus = 0;
};

// Who is where, by job, task and attempt.
void trace_places(const ControlFixture& fixture) {
    std::map<std::tuple<std::string, std::uint32_t, std::uint32_t>, std::string> places;
    for (const auto& [id, j] : fixture.cluster.jobs()) {
        for (const auto& a : j->attempts) {
            if (!a->live()) continue;
            places[{id, a->task, a->number}] = fixture.cluster.machine_of(*a)->name;
        }
    }
    for (const auto& [attempt, machine] : places) {
        const auto& [id, task, number] = attempt;
        test::test_trace().add(0, "place", id, task, number, machine);
    }
}

void recount(ControlFixture& fixture) {
    std::map<Index, Sums> teams;
    std::map<const Machine*, std::vector<const Attempt*>> on;
    for (const auto& [id, j] : fixture.cluster.jobs()) {
        std::uint32_t live = 0, running = 0, recording = 0, unrecorded = 0;
        std::set<std::uint32_t> held;
        for (const auto& attempt : j->attempts) {
            if (!attempt->live()) continue;
            ++live;
            RC_ASSERT(held.insert(attempt->task).second);  // never twice
            running +=
                attempt->state == AttemptState::running || attempt->state == AttemptState::saving;
            recording += attempt->state == AttemptState::recording;
            unrecorded += attempt->state == AttemptState::recording && attempt->commit_number == 0;
            on[fixture.cluster.machine_of(*attempt)].push_back(attempt.get());
            teams[j->team].cpus += j->spec.cpus;
            teams[j->team].gpus += j->spec.gpus;
        }
        RC_ASSERT(j->live_attempts == live && j->running_attempts == running);
        RC_ASSERT(j->unconfirmed_attempts == recording && j->uncommitted_attempts == unrecorded);
        if (j->delegated_shard != kNone) {
            teams[j->team].cpus += j->spec.cpus * j->spec.tasks;
            teams[j->team].gpus += j->spec.gpus * j->spec.tasks;
        }
    }
    for (auto& [team, use] : teams) {
        RC_ASSERT(std::abs(fixture.cluster.team_usage(team).cpus - use.cpus) < 1e-6);
        RC_ASSERT(std::abs(fixture.cluster.team_usage(team).gpus - use.gpus) < 1e-6);
    }
    std::set<Index> open, coming, returning, found, silent;
    std::vector<std::pair<int, int>> counted(4);
    std::vector<forecast::TypeDemand> by_type(2);
    double places = 0;
    for (const Machine* machine : fixture.cluster.machines()) {
        const wire::MachineType& machine_type = fixture.cluster.types()[machine->type];
        double cpus = machine_type.cpus, gpus = machine_type.gpus, firm_cpus = 0;
        std::uint32_t firm = 0, gangs = 0;
        for (const Attempt* attempt : on[machine]) {
            const Job& job = fixture.cluster.job_of(*attempt);
            cpus -= job.spec.cpus;
            gpus -= job.spec.gpus;
            if (job.spec.shape == wire::Shape::array) continue;
            ++firm;
            gangs += job.is_gang();
            firm_cpus += job.spec.cpus;
        }
        RC_ASSERT(machine->live_attempts == on[machine].size() &&
                  machine->live_gang_and_service_attempts == firm &&
                  machine->live_gang_attempts == gangs);
        RC_ASSERT(std::abs(machine->cpus_free - cpus) < 1e-6 &&
                  std::abs(machine->gpus_free - gpus) < 1e-6);
        RC_ASSERT(std::abs(machine->gang_and_service_cpus - firm_cpus) < 1e-6);
        const bool sound = machine->reachability == machines::Reachability::reachable;
        const bool may = machine->state == MachineState::ready && sound && !machine->suspected;
        if (may && machine->cpus_free > placement::kFitTolerance) open.insert(machine->index);
        if (machine->state == MachineState::booting || machine->state == MachineState::joining) {
            coming.insert(machine->index);
        }
        if (machine->state == MachineState::releasing) returning.insert(machine->index);
        if (!sound) silent.insert(machine->index);
        if (machine->state != MachineState::booting && machine->state != MachineState::leased_out) {
            ++counted[machine->zone].first;
            counted[machine->zone].second += sound ? 0 : 1;
        }
        forecast::TypeDemand& demand = by_type[machine->type];
        demand.empty_on_demand += may && !machine->spot && machine->live_attempts == 0;
        demand.available_for_whole_machine_tasks += may && !machine->spot && firm == 0;
        if (may && machine->spot) {
            double share = std::max(0.0, cpus / machine_type.cpus);
            demand.free_spot_machines +=
                machine_type.gpus > 0 ? std::min(share, std::max(0.0, gpus / machine_type.gpus))
                                      : share;
        }
        const forecast::ReplicaHeadroom& headroom = fixture.forecast.replica_headroom();
        const bool cheap =
            headroom.type != kNone && machine->type < headroom.relative_cost.size() &&
            headroom.relative_cost[machine->type].first <= placement::kExpensiveFactor;
        if (may && !machine->spot && cheap) {
            places += placement::tasks_that_fit(machine->cpus_free, machine->gpus_free,
                                                machine->memory_free, headroom.need, 1024);
        }
    }
    fixture.cluster.free_capacity().for_each_candidate(
        {}, [](const auto&) { return true; }, [&](Index i) { return found.insert(i).second; });
    RC_ASSERT(found == open);
    RC_ASSERT(fixture.cluster.provisioning_machines() == coming &&
              fixture.cluster.releasing_machines() == returning);
    RC_ASSERT(fixture.cluster.unresponsive_machines() == silent && fixture.counted == counted);
    for (Index t = 0; t < 2; ++t) {
        const forecast::TypeDemand& demand = fixture.forecast.mutable_demand(t);
        RC_ASSERT(demand.empty_on_demand == by_type[t].empty_on_demand &&
                  demand.available_for_whole_machine_tasks ==
                      by_type[t].available_for_whole_machine_tasks);
        RC_ASSERT(std::abs(demand.free_spot_machines - by_type[t].free_spot_machines) < 1e-6);
    }
    RC_ASSERT(std::abs(fixture.forecast.replica_headroom().free_slots - places) < 1e-6);
}

struct History {
    ControlFixture p;
    Millis now = 1000;
    int machines = 0, entered = 0;
    std::uint64_t commits = 0;

    std::vector<Attempt*> attempts(AttemptState state) {
        std::vector<Attempt*> out;
        for (const auto& [id, j] : p.cluster.jobs()) {
            for (const auto& attempt : j->attempts) {
                if (attempt->state == state) out.push_back(attempt.get());
            }
        }
        std::sort(out.begin(), out.end(), [](const Attempt* attempt, const Attempt* b) {
            return std::tie(attempt->job, attempt->task, attempt->number) <
                   std::tie(b->job, b->task, b->number);
        });
        return out;
    }
    Attempt* some(AttemptState state, unsigned k) {
        auto list = attempts(state);
        return list.empty() ? nullptr : list[k % list.size()];
    }
    Attempt* some_live(unsigned k) {
        for (int i = 0; i < 7; ++i) {
            if (Attempt* attempt = some(static_cast<AttemptState>((k + i) % 7), k / 7))
                return attempt;
        }
        return nullptr;
    }
    Job* some_job(unsigned k) {
        std::map<Index, Job*> list;
        for (const auto& [id, j] : p.cluster.jobs()) list[j->index] = j.get();
        if (list.empty()) return nullptr;
        return std::next(list.begin(), k % list.size())->second;
    }
    Machine* some_machine(unsigned k) {
        const auto& all = p.cluster.machines();
        return all.empty() ? nullptr : all[k % all.size()];
    }
    void report(Attempt* attempt, TaskPhase phase, wire::ExitCause cause = wire::ExitCause::none) {
        if (attempt == nullptr) return;
        p.cluster.apply_task_report(*attempt,
                                    {p.cluster.job_of(*attempt).spec.id, attempt->task,
                                     attempt->number, phase, cause, false},
                                    *p.cluster.machine_of(*attempt), now);
    }
    void step(int what, unsigned k) {
        now += 500;
        if (what == 0) {
            const char* shapes[] = {"sweep", "ensemble", "standing"};
            wire::Json spec =
                job("job-" + std::to_string(++entered), shapes[k % 3], 1 + k / 3 % 4, k / 12 % 3);
            spec["crew"] = k % 5 == 0 ? "unheard" : k % 2 == 0 ? "red" : "blue";
            spec["standby"] = k % 4 == 0;
            p.add_job(spec, now);
        } else if (what == 1) {
            p.add_ready_machine("m-" + std::to_string(++machines), k % 2 == 0 ? "g4" : "plain",
                                k / 2 % 2 == 0 ? "a" : "b", k / 4 % 3 == 0, now);
        } else if (what <= 5) {
            if (Job* job = some_job(k)) p.scheduler.place_job(*job, now);
        } else if (what == 6) {
            if (Attempt* attempt = some(AttemptState::recording, k)) {
                p.cluster.attempt_in_commit(*attempt, ++commits);
                if (k % 5 == 0) p.cluster.attempt_not_committed(*attempt);
                if (k % 5 > 1) p.cluster.attempt_recorded(*attempt, now);
            }
        } else if (what == 7) {
            if (Attempt* attempt = some(AttemptState::recorded, k)) {
                p.cluster.attempt_start_sent(*attempt, *p.cluster.machine_of(*attempt), now);
                if (k % 4 == 0) p.cluster.attempt_start_not_delivered(*attempt, now);
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
            if (Attempt* attempt = some_live(k)) p.cluster.attempt_gone(*attempt, now);
            if (Attempt* attempt = some(AttemptState::exited, k))
                p.cluster.attempt_gone(*attempt, now);
        } else if (what == 12) {
            if (Job* job = some_job(k); job != nullptr && k % 3 == 0) p.lifecycle.cancel(*job, now);
        } else if (what == 13) {
            Machine* machine = some_machine(k);
            if (machine == nullptr || machine->state == MachineState::leased_out) return;
            if (k % 5 == 0) {
                p.cluster.set_reachability(
                    *machine, machine->reachability == machines::Reachability::reachable
                                  ? machines::Reachability::outbound_only
                                  : machines::Reachability::reachable);
            } else if (k % 5 == 1) {
                p.cluster.set_suspected(*machine, !machine->suspected);
            } else if (k % 5 == 2) {
                p.cluster.release_machine(*machine, "is idle");
            } else if (k % 5 == 3) {
                p.cluster.set_machine_state(
                    *machine, k % 2 == 0 ? MachineState::draining : MachineState::joining);
            } else {
                p.cluster.machine_gone(*machine, now);
            }
        } else if (what == 14) {
            Job* job = some_job(k);
            if (job == nullptr || !job->attempts.empty() || job->state != JobState::open) return;
            if (job->delegated_shard == kNone)
                p.cluster.delegate_job(*job, 3);
            else
                p.cluster.reclaim_job(*job);
        }
    }
};

// The sums that searches and forecasts rest on are kept change by change. Any path that changes a
// state without them would make the schedule look for room that is not there.
TEST(ControlParts, ClusterStateMatchesARecount) {
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
TEST(ControlParts, NoTaskIsPlacedTwice) {
    ControlFixture fixture;
    Machine& machine = fixture.add_ready_machine("m-1", "plain", "a");
    Job& j = fixture.add_job(job("job-1", "sweep", 2, 0));
    ASSERT_NE(fixture.cluster.add_attempt(j, 0, 1, machine, 10), nullptr);
    EXPECT_EQ(fixture.cluster.add_attempt(j, 0, 2, machine, 20), nullptr);
    EXPECT_EQ(machine.live_attempts, 1u);
    fixture.cluster.attempt_gone(*j.attempts.front(), 30);
    EXPECT_NE(fixture.cluster.add_attempt(j, 0, 2, machine, 40), nullptr);
    fixture.cluster.cancel_job(j, 50);
    EXPECT_EQ(fixture.cluster.add_attempt(j, 1, 1, machine, 60), nullptr)
        << "a start after a cancel";
}

// Ending the first member of a gang that was never sent ended the others too, and the loop over
// them went on with what was erased.
TEST(ControlParts, AGangThatWasNeverSentIsStoppedAsAWhole) {
    ControlFixture fixture;
    fixture.add_ready_machine("m-1", "g4", "a");
    Job& j = fixture.add_job(job("job-1", "ensemble", 3, 1));
    ASSERT_TRUE(fixture.scheduler.place_job(j, 1000));
    ASSERT_EQ(j.attempts.size(), 3u);
    fixture.cluster.stop_all_attempts(j, 1100);
    EXPECT_EQ(j.live_attempts, 0u);
    EXPECT_TRUE(j.attempts.empty());
    EXPECT_TRUE(fixture.scheduler.place_job(j, 1200)) << "it may start again";
    EXPECT_EQ(j.attempts.front()->number, 2u);
}

// --- checkpoints

// No start goes out whose record is not known to be written; after an unknown outcome the record is
// read before anything builds on it.
TEST(ControlParts, ACheckpointPrecedesEveryStart) {
    ControlFixture fixture;
    fixture.add_ready_machine("m-1", "plain", "a");
    Job& j = fixture.add_job(job("job-1", "sweep", 1, 0), 0, 5);
    ASSERT_TRUE(fixture.scheduler.place_job(j, 1000));
    fixture.checkpoint_writer.write(j, 1000);
    fixture.command_sender.send_queued(1000);
    EXPECT_TRUE(fixture.gateway.command_messages.empty());
    ASSERT_EQ(fixture.gateway.commits.size(), 1u);
    std::map<std::string, std::uint64_t> conditions;
    for (const auto& c : fixture.gateway.commits.front().first.conditions)
        conditions[c.key] = c.version;
    EXPECT_EQ(conditions, (std::map<std::string, std::uint64_t>{
                              {"lead/term", 70}, {"open/job-1", 5}, {"run/job-1/0", 0}}));
    EXPECT_EQ(fixture.checkpoint_writer.next_write_at(j), kNever) << "one is under way";
    RecordingGateway::answer(fixture.gateway.commits, 2000,
                             kvstore::CommitReply{});  // its outcome is unknown
    fixture.command_sender.send_queued(2000);
    EXPECT_TRUE(fixture.gateway.command_messages.empty());
    const Millis again = fixture.checkpoint_writer.next_write_at(j);
    ASSERT_LT(again, kNever);
    fixture.checkpoint_writer.write(j, again);
    EXPECT_TRUE(fixture.gateway.commits.empty());
    ASSERT_EQ(fixture.gateway.reads.size(), 1u);
    kvstore::GetReply found;
    found.status = Status::ok;
    found.entry = {"run/job-1/0", {}, 81, false};
    RecordingGateway::answer(fixture.gateway.reads, again + 300, found);
    ASSERT_EQ(fixture.gateway.commits.size(), 1u);
    EXPECT_EQ(fixture.gateway.commits.front().first.conditions.back().version, 81u);
    kvstore::CommitReply ok;
    ok.status = Status::ok;
    ok.revision = 90;
    RecordingGateway::answer(fixture.gateway.commits, again + 400, ok);
    ASSERT_EQ(fixture.gateway.command_messages.size(), 1u);
    EXPECT_EQ(fixture.gateway.command_messages.front().commands.size(), 1u);
}

TEST(ControlParts, AnEndedTermWritesAndStartsNothing) {
    ControlFixture fixture;
    fixture.add_ready_machine("m-1", "plain", "a");
    Job& j = fixture.add_job(job("job-1", "sweep", 1, 0));
    fixture.scheduler.place_job(j, 1000);
    fixture.checkpoint_writer.write(j, 1000);
    kvstore::CommitReply lost;
    lost.status = Status::conflict;
    lost.failed_conditions = {"lead/term"};
    RecordingGateway::answer(fixture.gateway.commits, 1100, lost);
    EXPECT_TRUE(fixture.term.is_over());
    EXPECT_EQ(fixture.gateway.ended, "lead/term has changed");
    fixture.command_sender.send_queued(1200);
    EXPECT_TRUE(fixture.gateway.command_messages.empty());
}

// --- grants

// A machine counts as granted only when the block that names it is written; what may or may not be
// written is read first.
TEST(ControlParts, ShardLeasesAreRecordedBeforeMachinesAreUsed) {
    ControlFixture fixture;
    Machine& machine = fixture.add_ready_machine("m-1", "plain", "a");
    machine.shard_recorded = false;
    fixture.shard_lease_writer.table().add_machine({"m-1", "m-1:1", "plain", "a", false});
    fixture.shard_lease_writer.write(1000);
    ASSERT_EQ(fixture.gateway.commits.size(), 1u);
    EXPECT_TRUE(fixture.shard_lease_writer.write_in_flight());
    EXPECT_FALSE(machine.shard_recorded);
    RecordingGateway::answer(fixture.gateway.commits, 1100, kvstore::CommitReply{});
    EXPECT_FALSE(machine.shard_recorded);
    fixture.shard_lease_writer.write(1200);
    EXPECT_TRUE(fixture.gateway.reads.empty()) << "not at once";
    fixture.shard_lease_writer.write(2000);
    EXPECT_TRUE(fixture.gateway.commits.empty());
    kvstore::GetReply missing;
    missing.status = Status::missing;
    RecordingGateway::answer(fixture.gateway.reads, 2100, missing);
    fixture.shard_lease_writer.write(2500);
    kvstore::CommitReply ok;
    ok.status = Status::ok;
    ok.revision = 9;
    RecordingGateway::answer(fixture.gateway.commits, 2600, ok);
    EXPECT_TRUE(machine.shard_recorded);
}

// --- intake

// Users hear of an end in the transaction that takes the job's records away, as many as it holds;
// the rest are deleted later. A cancelled job waits for its last task.
TEST(ControlParts, AFinalStatusIsWrittenOnceNoTaskIsLeft) {
    ControlFixture fixture;  // six writes a transaction
    Machine& machine = fixture.add_ready_machine("m-1", "g4", "a");
    wire::Json spec = job("job-1", "sweep", 64 * 8, 0);
    Job& job = fixture.add_job(spec);
    for (std::uint32_t n = 0; n < 8; ++n) job.chunks[n].version = 3 + n;
    Attempt* attempt = fixture.cluster.add_attempt(job, 0, 1, machine, 10);
    fixture.cluster.attempt_recorded(*attempt, 20);
    fixture.cluster.attempt_start_sent(*attempt, machine, 30);
    fixture.lifecycle.cancel(job, 40);
    EXPECT_TRUE(fixture.gateway.commits.empty()) << "a task may still run";
    fixture.cluster.attempt_gone(*attempt, 50);
    ASSERT_EQ(fixture.gateway.commits.size(), 1u);
    const kvstore::Transaction& transaction = fixture.gateway.commits.front().first;
    EXPECT_EQ(transaction.writes.size(), 6u);
    EXPECT_EQ(transaction.writes[0].key, "job/job-1");
    EXPECT_EQ(wire::text_field(*transaction.writes[0].value, "final"), "withdrawn");
    EXPECT_EQ(transaction.writes[1].key, "open/job-1");
    kvstore::CommitReply ok;
    ok.status = Status::ok;
    RecordingGateway::answer(fixture.gateway.commits, 60, ok);
    EXPECT_EQ(fixture.cluster.job("job-1"), nullptr);
    std::set<std::string> deleted;
    for (Millis t = 100; t < 2000; t += 100) {
        fixture.lifecycle.delete_leftover_records(t);
        while (!fixture.gateway.commits.empty()) {
            for (const auto& w : fixture.gateway.commits.front().first.writes)
                deleted.insert(w.key);
            RecordingGateway::answer(fixture.gateway.commits, t, ok);
        }
    }
    EXPECT_EQ(deleted,
              (std::set<std::string>{"run/job-1/4", "run/job-1/5", "run/job-1/6", "run/job-1/7"}));
}

// A gang completes as a whole. The last leader's record of that may be a part of it, and the
// machines of the rest gone: neither another attempt nor anybody's report would ever end it.
TEST(ControlParts, AGangRecordedAsPartlyDoneIsDone) {
    ControlFixture fixture;
    Job& j = fixture.add_job(job("job-1", "ensemble", 130, 0));
    jobs::RunRecord done, started;
    done.done = UINT64_MAX;
    for (std::uint32_t t = 64; t < 128; ++t) started.entries.push_back({t, 1, true, "m-9"});
    fixture.cluster.load_checkpoint(j, 0, done, 3, 0, 10);
    fixture.cluster.load_checkpoint(j, 1, started, 4, 0, 10);
    EXPECT_TRUE(fixture.gateway.commits.empty());
    fixture.lifecycle.complete_load(j, 20);
    ASSERT_EQ(fixture.gateway.commits.size(), 1u);
    EXPECT_EQ(wire::text_field(*fixture.gateway.commits.front().first.writes[0].value, "final"),
              "done");
}

// --- order

// The forecast of the queue against a plain one that serves it task by task. They may differ by a
// round of tasks, and by what the forecast keeps back for what goes wrong.
TEST(ControlParts, TheQueueForecastMatchesATaskByTaskSimulation) {
    EXPECT_TRUE(rc::check([] {
        wire::Settings settings = test::simulation_settings();
        settings.teams = {{"red", 0, 0, 0, 0}};
        settings.objectives = {{wire::Objective::Kind::deadline, "sweep", 0, 1, 0}};
        ControlFixture fixture(settings, {{"plain", 8, 0, 64, 50, 1, 1, 1, 10, {"a", "b"}}});
        const int machines = *rc::gen::inRange(1, 6);
        for (int n = 0; n < machines; ++n)
            fixture.add_ready_machine("m-" + std::to_string(n), "plain", "a");
        const double places = machines * 4;  // of two cpus
        double served = 0;                   // seconds until the queue so far is, at the latest
        std::vector<Job*> all;
        for (int n = 0; n < 4; ++n) {
            const auto tasks = *rc::gen::inRange(1u, 120u);
            wire::Json spec = job("job-" + std::to_string(n), "sweep", tasks, 0);
            spec["due_s"] = *rc::gen::inRange(30, 600);
            all.push_back(&fixture.add_job(spec, 0));
        }
        const std::vector<Job*> queue = fixture.job_queue.ordered_jobs(0);
        RC_ASSERT(queue.size() == all.size());
        fixture.job_queue.forecast(queue, 0);
        for (Job* job : queue) {
            served += job->spec.tasks * 10.0 / places;
            if (fixture.job_queue.shortage().job != kNone)
                break;  // from here on it counts machines to come
            const double due = *job->spec.deadline_s;
            if (served + 20 < 0.85 * due) RC_ASSERT(job->slack == jobs::ScheduleSlack::on_time);
            if (served - 20 > due) RC_ASSERT(job->slack == jobs::ScheduleSlack::at_risk);
        }
    }));
}

// --- supply

// What the cloud is asked for, in the order of need; a kind that it has just refused is left alone,
// and what is on its way is not asked for again.
TEST(ControlParts, TheAutoscalerRequestsWhatIsMissingAndNoMore) {
    ControlFixture fixture;
    fixture.settings.cloud_requests_per_s = 10;
    admin::Options options;
    options.idle_retention_margin = options.provisioning_margin = options.spot_margin =
        options.replica_margin = 0;
    fixture.term.set_options(options);
    Job& j = fixture.add_job(job("job-1", "standing", 3, 4));  // a machine each
    fixture.autoscaler.scale_out({&j}, {}, 900);
    EXPECT_TRUE(fixture.gateway.commits.empty())
        << "what is there is not known before the cloud's list";
    fixture.autoscaler.on_instances_listed({}, 950);
    fixture.autoscaler.scale_out({&j}, {}, 1000);
    EXPECT_TRUE(fixture.gateway.provision_calls.empty()) << "sent before it was on record";
    fixture.record_intents(1000);
    std::uint32_t asked = 0;
    for (const auto& request : fixture.gateway.provision_calls) {
        EXPECT_EQ(request.type, "g4");
        EXPECT_FALSE(request.spot);
        asked += request.count;
    }
    EXPECT_EQ(asked, 3u);
    const std::size_t calls = fixture.gateway.provision_calls.size();
    fixture.autoscaler.scale_out({&j}, {}, 1500);
    fixture.record_intents(2100);
    EXPECT_EQ(fixture.gateway.provision_calls.size(), calls) << "they are under way";
    const std::string refused = fixture.gateway.provision_calls.front().zone;
    cloud::ProvisionReply none;
    none.result = cloud::ProvisionReply::Result::no_capacity;
    auto first = fixture.gateway.provision_calls.front();
    fixture.gateway.provision_calls.pop_front();
    first.done(2200, none);
    for (auto& request : fixture.gateway.provision_calls) {
        cloud::ProvisionReply got;
        got.result = cloud::ProvisionReply::Result::provisioned;
        for (std::uint32_t i = 0; i < request.count; ++i)
            got.machines.push_back("n-" + std::to_string(i));
        request.done(2300, got);
    }
    fixture.gateway.provision_calls.clear();
    fixture.autoscaler.scale_out({&j}, {}, 2400);
    fixture.record_intents(3500);
    std::uint32_t again = 0;
    for (const auto& request : fixture.gateway.provision_calls) {
        EXPECT_NE(request.zone, refused);
        again += request.count;
    }
    EXPECT_EQ(again, first.count);
}

// A machine stays in the book until the cloud's answer proves it gone. That it leaves is on record
// before it is sent: a return that was held up once took away what a successor had placed on it.
TEST(ControlParts, AReleaseIsRecordedFirstAndProvenByItsReplyOnly) {
    ControlFixture fixture;
    Machine& machine = fixture.add_ready_machine("m-1", "plain", "a");
    fixture.cluster.release_machine(machine, "is idle");
    fixture.autoscaler.send_releases(1000);
    ASSERT_TRUE(fixture.gateway.release_calls.empty());
    fixture.intent_log.write(1000);
    ASSERT_EQ(fixture.gateway.commits.size(), 1u);
    const auto& transaction = fixture.gateway.commits.front().first;
    ASSERT_EQ(transaction.writes.size(), 1u);
    EXPECT_EQ(transaction.writes[0].key, "intent/returning/7");
    EXPECT_TRUE(
        std::any_of(transaction.conditions.begin(), transaction.conditions.end(),
                    [](const auto& c) { return c.key == "duty/returning" && c.version == 61; }));
    fixture.autoscaler.send_releases(1005);
    ASSERT_TRUE(fixture.gateway.release_calls.empty()) << "the record is not written yet";
    fixture.record_intents(1008);
    fixture.autoscaler.send_releases(1010);
    ASSERT_EQ(fixture.gateway.release_calls.size(), 1u);
    RecordingGateway::answer(fixture.gateway.release_calls, 1100, false);
    EXPECT_NE(fixture.cluster.machine("m-1"), nullptr);
    fixture.autoscaler.send_releases(1200);
    EXPECT_TRUE(fixture.gateway.release_calls.empty()) << "not at once";
    fixture.autoscaler.send_releases(2200);
    RecordingGateway::answer(fixture.gateway.release_calls, 2300, true);
    EXPECT_EQ(fixture.cluster.machine("m-1"), nullptr);
    EXPECT_TRUE(fixture.cluster.is_tombstoned("m-1"));
}

// While the state service does not answer, only what no successor would use goes back: what the
// cloud lists as failed, and what its worker says is taken back.
TEST(ControlParts, WithoutARecordOnlyUnusableMachinesAreReleased) {
    ControlFixture fixture;
    for (const char* name : {"idle", "failed", "warned"}) {
        fixture.cluster.release_machine(fixture.add_ready_machine(name, "plain", "a"), "goes");
    }
    fixture.cluster.machine("failed")->failed = true;
    fixture.cluster.machine("warned")->preemption_expected_at = 9000;
    fixture.autoscaler.send_releases(1000);
    fixture.intent_log.write(1000);
    kvstore::CommitReply down;
    down.status = kvstore::Status::refused;
    RecordingGateway::answer(fixture.gateway.commits, 1010, down);
    ASSERT_EQ(fixture.gateway.release_calls.size(), 1u);
    const std::set<std::string> gone(fixture.gateway.release_calls[0].first.begin(),
                                     fixture.gateway.release_calls[0].first.end());
    EXPECT_EQ(gone, (std::set<std::string>{"failed", "warned"}));
}

// A rental whose outcome nobody knows is asked again under its name. A new name once rented the
// same need twice.
TEST(ControlParts, AProvisioningRequestOfUnknownOutcomeIsRetriedUnderItsName) {
    using Result = cloud::ProvisionReply::Result;
    ControlFixture fixture;
    fixture.settings.cloud_requests_per_s = 10;
    admin::Options options;
    options.idle_retention_margin = options.provisioning_margin = options.spot_margin =
        options.replica_margin = 0;
    fixture.term.set_options(options);
    wire::Json spec = job("job-1", "standing", 1, 4);
    spec["yard"] = "a";
    Job& job = fixture.add_job(spec);
    fixture.autoscaler.on_instances_listed({}, 950);
    fixture.autoscaler.scale_out({&job}, {}, 1000);
    fixture.record_intents(1000);
    ASSERT_EQ(fixture.gateway.provision_calls.size(), 1u);
    const std::string name = fixture.gateway.provision_calls[0].request;
    RecordingGateway::answer(fixture.gateway.provision_calls, 1300,
                             cloud::ProvisionReply{Result::unknown, {}});
    fixture.autoscaler.scale_out({&job}, {}, 1400);
    fixture.record_intents(2500);
    EXPECT_TRUE(fixture.gateway.provision_calls.empty())
        << "asked for again under another name, or at once";
    fixture.autoscaler.run_due_work(3000);
    ASSERT_EQ(fixture.gateway.provision_calls.size(), 1u);
    EXPECT_EQ(fixture.gateway.provision_calls[0].request, name);
    // "Trouble" says that this one was not executed; the first may be yet.
    RecordingGateway::answer(fixture.gateway.provision_calls, 3100,
                             cloud::ProvisionReply{Result::rejected, {}});
    fixture.autoscaler.scale_out({&job}, {}, 3200);
    fixture.autoscaler.run_due_work(4800);
    ASSERT_EQ(fixture.gateway.provision_calls.size(), 1u);
    EXPECT_EQ(fixture.gateway.provision_calls[0].request, name);
    RecordingGateway::answer(fixture.gateway.provision_calls, 4900,
                             cloud::ProvisionReply{Result::provisioned, {"n-1"}});
    EXPECT_NE(fixture.cluster.machine("n-1"), nullptr);
    EXPECT_TRUE(fixture.intent_log.is_recorded(lease::Role::scale_out, name))
        << "until lists have it";
    fixture.autoscaler.run_due_work(4900 + 2 * 3'000 + 1'000);
    EXPECT_FALSE(fixture.intent_log.is_recorded(lease::Role::scale_out, name));
}

// While nobody is known to have the duty of reclaiming, a block that is taken back is not recorded:
// a condition on no fence once said that nobody may have the duty, and held.
TEST(ControlParts, ShardsAreReclaimedUnderTheirRoleOnly) {
    ControlFixture fixture;
    auto& ledger = fixture.shard_lease_writer.table();
    for (const char* name : {"m-1", "m-2"}) ledger.add_machine({name, "x:1", "g4", "a", false});
    const std::uint32_t lent = ledger.lease_out({"m-1"}, "holder-0");
    fixture.shard_lease_writer.write(1000);
    fixture.record_intents(1000);  // answers all that was asked
    ledger.reclaim(lent);
    fixture.term.set_role_fence(lease::Role::shard_reclaim, 0);
    fixture.shard_lease_writer.write(2000);
    EXPECT_TRUE(fixture.gateway.commits.empty());
    fixture.term.set_role_fence(lease::Role::shard_reclaim, 88);
    fixture.shard_lease_writer.write(3000);
    ASSERT_EQ(fixture.gateway.commits.size(), 1u);
    const auto& conditions = fixture.gateway.commits.front().first.conditions;
    EXPECT_TRUE(std::any_of(conditions.begin(), conditions.end(), [](const auto& c) {
        return c.key == "duty/reclaiming" && c.version == 88;
    }));
}

// A duty whose fence has changed is not acted under: the record is not written, whoever keeps the
// duties is told, and nothing goes out until the new fence is known.
TEST(ControlParts, NothingIsSentUnderARoleHeldElsewhere) {
    ControlFixture fixture;
    fixture.cluster.release_machine(fixture.add_ready_machine("m-1", "plain", "a"), "is idle");
    fixture.autoscaler.send_releases(1000);
    fixture.intent_log.write(1000);
    kvstore::CommitReply conflict;
    conflict.status = kvstore::Status::conflict;
    conflict.failed_conditions = {"duty/returning"};
    RecordingGateway::answer(fixture.gateway.commits, 1010, conflict);
    ASSERT_EQ(fixture.gateway.refutations.size(), 1u);
    EXPECT_EQ(fixture.gateway.refutations[0], lease::Role::scale_in);
    fixture.record_intents(3000);
    fixture.autoscaler.send_releases(3000);
    EXPECT_TRUE(fixture.gateway.release_calls.empty());
    fixture.term.set_role_fence(lease::Role::scale_in, 99);
    fixture.intent_log.write(4000);  // reads what became of the record first
    kvstore::GetReply none;
    none.status = kvstore::Status::missing;
    RecordingGateway::answer(fixture.gateway.reads, 4010, none);
    fixture.record_intents(4020);
    fixture.autoscaler.send_releases(4030);
    EXPECT_EQ(fixture.gateway.release_calls.size(), 1u);
}

// --- sharing

// A block is taken back in this order: the leases run out, its record changes, the records of its
// jobs are read, and only then its machines are asked.
TEST(ControlParts, AShardIsReclaimedRecordFirstThenJobsThenMachines) {
    ControlFixture fixture;
    admin::Options options;
    options.delegated_machines = 2;
    options.idle_retention_margin = options.replica_margin = 0;
    fixture.term.set_options(options);
    for (int n = 0; n < 4; ++n) {
        const std::string name = "m-" + std::to_string(n);
        fixture.add_ready_machine(name, "plain", "a");
        fixture.shard_lease_writer.table().add_machine({name, name + ":1", "plain", "a", false});
    }
    fixture.shard_lease_writer.write(500);
    kvstore::CommitReply ok;
    ok.status = Status::ok;
    ok.revision = 11;
    RecordingGateway::answer(fixture.gateway.commits, 510, ok);
    peers::Status status;
    status.from = "holder-0";
    status.incarnation = 3;
    status.clock_ms = 900;
    fixture.shard_allocator.on_peer_status(status, 1000);
    fixture.shard_allocator.allocate_shards(1000);
    ASSERT_EQ(fixture.shard_allocator.leases().size(), 1u);
    const auto& [block, lease] = *fixture.shard_allocator.leases().begin();
    EXPECT_TRUE(fixture.shard_allocator.renewals(900, 1000).empty()) << "not on record yet";
    EXPECT_EQ(fixture.shard_allocator.holder_of(lease.capacity[0].machine), "");
    RecordingGateway::answer(fixture.gateway.commits, 1010, ok);
    ASSERT_EQ(fixture.shard_allocator.renewals(900, 1050).size(), 1u);
    EXPECT_EQ(fixture.shard_allocator.holder_of(lease.capacity[0].machine), "holder-0");
    Job& big = fixture.add_job(job("job-1", "sweep", 9, 0));  // eight places
    EXPECT_FALSE(fixture.shard_allocator.delegate_job(big, 1100));
    Job& j = fixture.add_job(job("job-2", "sweep", 8, 0));
    EXPECT_TRUE(fixture.shard_allocator.delegate_job(j, 1100));
    Job& late = fixture.add_job(job("job-3", "sweep", 1, 0));
    EXPECT_FALSE(fixture.shard_allocator.delegate_job(late, 1100)) << "the room is taken";
    EXPECT_EQ(fixture.cluster.team_usage(j.team).cpus, 16);
    // The holder has ended; another process has its name.
    status.incarnation = 4;
    fixture.shard_allocator.on_peer_status(status, 1200);
    fixture.shard_allocator.check_leases(1300);
    EXPECT_EQ(lease.state, sharding::ShardLeaseState::expiring);
    EXPECT_TRUE(fixture.gateway.commits.empty()) << "its lease may last";
    fixture.shard_allocator.check_leases(1050 + with_clock_drift(4'000) + 1);
    EXPECT_EQ(lease.state, sharding::ShardLeaseState::reclaiming);
    fixture.shard_lease_writer.write(7000);
    EXPECT_TRUE(fixture.gateway.lists.empty());
    ok.revision = 12;
    RecordingGateway::answer(fixture.gateway.commits, 7010, ok);
    EXPECT_EQ(lease.state, sharding::ShardLeaseState::recovering);
    Machine* machine = fixture.cluster.machine_by_index(lease.capacity[0].machine);
    EXPECT_TRUE(machine->recovering_jobs);
    ASSERT_EQ(fixture.gateway.lists.size(), 1u);
    kvstore::ListReply runs;
    runs.status = Status::ok;
    runs.entries = {
        {"run/job-2/0", jobs::encode_run_record({1, {{1, 1, true, machine->name}}}), 13, false}};
    RecordingGateway::answer(fixture.gateway.lists, 7100, runs);
    EXPECT_FALSE(machine->recovering_jobs);
    EXPECT_TRUE(fixture.shard_allocator.leases().empty());
    EXPECT_EQ(j.completed_tasks, 1u);
    EXPECT_EQ(j.live_attempts, 1u) << "it may be there";
    EXPECT_EQ(j.unplaced_tasks(), 6u);
    EXPECT_EQ(fixture.cluster.team_usage(j.team).cpus, 2);
}

// --- courier

// What certainly never arrived is sent again under the same token; what may be under way is made
// harmless by a higher one first.
TEST(ControlParts, LostCommandsAreFencedRefusedOnesAreNot) {
    for (const bool lost : {false, true}) {
        ControlFixture fixture;
        Machine& machine = fixture.add_ready_machine("m-1", "plain", "a");
        Job& j = fixture.add_job(job("job-1", "sweep", 1, 0));
        Attempt* attempt = fixture.cluster.add_attempt(j, 0, 1, machine, 1000);
        fixture.cluster.attempt_recorded(*attempt, 1000);
        fixture.command_sender.send_queued(1000);
        fixture.command_sender.queue(machine);
        fixture.command_sender.send_queued(1001);
        ASSERT_EQ(fixture.gateway.command_messages.size(), 1u) << "one at a time";
        const std::uint64_t token = machine.token;
        auto done = fixture.gateway.command_messages.front().done;
        fixture.gateway.command_messages.clear();
        cluster::CommandReply reply;
        reply.delivery = lost ? cluster::DeliveryStatus::unknown : cluster::DeliveryStatus::refused;
        done(1100, reply);
        EXPECT_EQ(attempt->state, lost ? AttemptState::starting : AttemptState::recorded);
        EXPECT_EQ(machine.token, lost ? token + 1 : token);
        EXPECT_TRUE(fixture.gateway.command_messages.empty()) << "not at once";
        fixture.command_sender.queue(machine);
        fixture.command_sender.send_queued(2000);
        ASSERT_EQ(fixture.gateway.command_messages.size(), 1u);
        EXPECT_EQ(fixture.gateway.command_messages.front().commands.size(), lost ? 0u : 1u);
        EXPECT_EQ(fixture.gateway.command_messages.front().token, machine.token);
    }
}

}  // namespace
