/// @file
/// Random histories of a cluster, for tests that check invariants after every step.
#pragma once
#include <algorithm>
#include <array>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "tests/control_fixture.h"

namespace nickelramp::test {

/// The kinds of steps of a history.
enum class Step {
    submit_job,
    add_machine,
    place_job,
    place_job_again1,  // repeated, so that enough tasks are placed
    place_job_again2,
    place_job_again3,
    commit_attempt,
    send_start,
    report_started,
    report_running,
    report_exited,
    lose_attempt,
    cancel_job,
    change_machine,
    delegate_or_reclaim,
    count
};

/// Applies random changes to a cluster. A step selects the kind of change, and a number selects the
/// object that is changed.
class RandomHistory {
  public:
    ControlFixture fixture;

    void apply(Step step, unsigned pick) {
        now_ += 500;
        switch (step) {
            case Step::submit_job:
                return submit_job(pick);
            case Step::add_machine:
                return add_machine(pick);
            case Step::place_job:
            case Step::place_job_again1:
            case Step::place_job_again2:
            case Step::place_job_again3:
                if (jobs::Job* job = some_job(pick)) fixture.scheduler.place_job(*job, now_);
                return;
            case Step::commit_attempt:
                return commit_attempt(pick);
            case Step::send_start:
                return send_start(pick);
            case Step::report_started:
                return report(some_attempt(jobs::AttemptState::starting, pick),
                              pick % 2 == 0 ? wire::TaskPhase::fetching : wire::TaskPhase::running);
            case Step::report_running:
                return report(some_attempt(jobs::AttemptState::running, pick),
                              pick % 3 == 0 ? wire::TaskPhase::saving : wire::TaskPhase::running);
            case Step::report_exited:
                return report_exited(pick);
            case Step::lose_attempt:
                return lose_attempt(pick);
            case Step::cancel_job:
                if (jobs::Job* job = some_job(pick); job != nullptr && pick % 3 == 0)
                    fixture.lifecycle.cancel(*job, now_);
                return;
            case Step::change_machine:
                return change_machine(pick);
            case Step::delegate_or_reclaim:
                return delegate_or_reclaim(pick);
            case Step::count:
                return;
        }
    }

  private:
    std::vector<jobs::Attempt*> attempts_in(jobs::AttemptState state) {
        std::vector<jobs::Attempt*> attempts;
        for (const auto& [id, job] : fixture.cluster.jobs()) {
            for (const auto& attempt : job->attempts) {
                if (attempt->state == state) attempts.push_back(attempt.get());
            }
        }
        std::sort(
            attempts.begin(), attempts.end(), [](const jobs::Attempt* a, const jobs::Attempt* b) {
                return std::tie(a->job, a->task, a->number) < std::tie(b->job, b->task, b->number);
            });
        return attempts;
    }

    jobs::Attempt* some_attempt(jobs::AttemptState state, unsigned pick) {
        const auto attempts = attempts_in(state);
        return attempts.empty() ? nullptr : attempts[pick % attempts.size()];
    }

    jobs::Attempt* some_live_attempt(unsigned pick) {
        constexpr unsigned kLiveStates = 7;
        for (unsigned i = 0; i < kLiveStates; ++i) {
            const auto state = static_cast<jobs::AttemptState>((pick + i) % kLiveStates);
            if (jobs::Attempt* attempt = some_attempt(state, pick / kLiveStates)) return attempt;
        }
        return nullptr;
    }

    jobs::Job* some_job(unsigned pick) {
        std::map<Index, jobs::Job*> by_index;
        for (const auto& [id, job] : fixture.cluster.jobs()) by_index[job->index] = job.get();
        if (by_index.empty()) return nullptr;
        return std::next(by_index.begin(), pick % by_index.size())->second;
    }

    machines::Machine* some_machine(unsigned pick) {
        const auto& machines = fixture.cluster.machines();
        return machines.empty() ? nullptr : machines[pick % machines.size()];
    }

    void report(jobs::Attempt* attempt, wire::TaskPhase phase,
                wire::ExitCause cause = wire::ExitCause::none) {
        if (attempt == nullptr) return;
        fixture.cluster.apply_task_report(*attempt,
                                          {fixture.cluster.job_of(*attempt).spec.id, attempt->task,
                                           attempt->number, phase, cause, false},
                                          *fixture.cluster.machine_of(*attempt), now_);
    }

    void submit_job(unsigned pick) {
        constexpr std::array kShapes{"sweep", "ensemble", "standing"};
        wire::Json spec = job("job-" + std::to_string(++jobs_), kShapes[pick % 3], 1 + pick / 3 % 4,
                              pick / 12 % 3);
        spec["crew"] = pick % 5 == 0 ? "unheard" : pick % 2 == 0 ? "red" : "blue";
        spec["standby"] = pick % 4 == 0;
        fixture.add_job(spec, now_);
    }

    void add_machine(unsigned pick) {
        fixture.add_ready_machine("m-" + std::to_string(++machines_),
                                  pick % 2 == 0 ? "g4" : "plain", pick / 2 % 2 == 0 ? "a" : "b",
                                  pick / 4 % 3 == 0, now_);
    }

    void commit_attempt(unsigned pick) {
        jobs::Attempt* attempt = some_attempt(jobs::AttemptState::recording, pick);
        if (attempt == nullptr) return;
        fixture.cluster.attempt_in_commit(*attempt, ++commits_);
        if (pick % 5 == 0) fixture.cluster.attempt_not_committed(*attempt);
        if (pick % 5 > 1) fixture.cluster.attempt_recorded(*attempt, now_);
    }

    void send_start(unsigned pick) {
        jobs::Attempt* attempt = some_attempt(jobs::AttemptState::recorded, pick);
        if (attempt == nullptr) return;
        fixture.cluster.attempt_start_sent(*attempt, *fixture.cluster.machine_of(*attempt), now_);
        if (pick % 4 == 0) fixture.cluster.attempt_start_not_executed(*attempt, now_);
    }

    void report_exited(unsigned pick) {
        constexpr std::array kCauses{wire::ExitCause::done, wire::ExitCause::stopped,
                                     wire::ExitCause::error, wire::ExitCause::no_room};
        report(some_attempt(jobs::AttemptState::running, pick), wire::TaskPhase::exited,
               kCauses[pick % 4]);
    }

    void lose_attempt(unsigned pick) {
        if (jobs::Attempt* attempt = some_live_attempt(pick))
            fixture.cluster.attempt_gone(*attempt, now_);
        if (jobs::Attempt* attempt = some_attempt(jobs::AttemptState::exited, pick))
            fixture.cluster.attempt_gone(*attempt, now_);
    }

    void change_machine(unsigned pick) {
        machines::Machine* machine = some_machine(pick);
        if (machine == nullptr || machine->state == machines::MachineState::leased_out) return;
        if (pick % 5 == 0) {
            const bool reachable = machine->reachability == machines::Reachability::reachable;
            fixture.cluster.set_reachability(*machine, reachable
                                                           ? machines::Reachability::outbound_only
                                                           : machines::Reachability::reachable);
        } else if (pick % 5 == 1) {
            fixture.cluster.set_suspected(*machine, !machine->suspected);
        } else if (pick % 5 == 2) {
            fixture.cluster.release_machine(*machine, cluster::ReleaseReason::idle);
        } else if (pick % 5 == 3) {
            fixture.cluster.set_machine_state(*machine, pick % 2 == 0
                                                            ? machines::MachineState::draining
                                                            : machines::MachineState::joining);
        } else {
            fixture.cluster.machine_gone(*machine, now_);
        }
    }

    void delegate_or_reclaim(unsigned pick) {
        constexpr Index kShard = 3;
        jobs::Job* job = some_job(pick);
        if (job == nullptr || !job->attempts.empty() || job->state != jobs::JobState::open) return;
        if (job->delegated_shard == kNone)
            fixture.cluster.delegate_job(*job, kShard);
        else
            fixture.cluster.reclaim_job(*job);
    }

    Millis now_ = 1000;
    int machines_ = 0, jobs_ = 0;
    std::uint64_t commits_ = 0;
};

}  // namespace nickelramp::test
