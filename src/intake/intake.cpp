#include "intake/intake.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace nickelramp::intake {

using jobs::Job;
using jobs::JobState;

namespace {
constexpr Millis kRetryCommit = 300;
constexpr Millis kRetryLeftovers = 1'000;
}  // namespace

// Sets the date by which the job has something to do by itself.
void Intake::attend(Job& j, Millis now) {
    Millis at = checkpoints_.due(j);
    if (j.hold_until != 0) at = std::min(at, j.hold_until);
    bool ending = j.state == JobState::finishing || (j.state == JobState::cancelled && j.live == 0);
    if (ending && !j.commit_in_flight && j.lent_to == kNone) at = std::min(at, j.retry_commit_at);
    // Never again in this turn, whatever it comes to.
    if (at < kNever) book_.remind(j, std::max(at, now + 1));
}

void Intake::tend(Job& j, Millis now) {
    if (!term_.confirmed(now)) {
        book_.remind(j, now + kRetryCommit);
        return;
    }
    if (j.hold_until != 0 && now >= j.hold_until) {
        j.hold_until = 0;
        book_.touch();
    }
    if (now >= checkpoints_.due(j))
        checkpoints_.commit(j, now);
    else
        maybe_finish(j, now);
    attend(j, now);
}

void Intake::tend_jobs(Millis now) {
    for (Index i : book_.due_jobs(now)) {
        if (Job* j = book_.job_at(i)) tend(*j, now);
    }
}

void Intake::load_run(const std::string& id, std::uint32_t chunk, const jobs::RunRecord& record,
                      std::uint64_t version, std::uint64_t token, Millis now) {
    // Of a job that is over: whoever has the duty of cleaning drops it.
    if (Job* j = book_.job(id)) book_.load_run(*j, chunk, record, version, token, now);
}

void Intake::load_runs(const state::ListReply& runs, std::uint64_t token, Millis now) {
    for (const state::Item& i : runs.items) {
        std::string id;
        std::uint32_t chunk = 0;
        auto r = jobs::read_run(i.value);
        if (r && jobs::parse_run_key(i.key, id, chunk)) {
            load_run(id, chunk, *r, i.version, token, now);
        }
    }
}

// After the last record of a job.
void Intake::complete_load(Job& j, Millis now) {
    book_.loaded(j);
    if (j.state == JobState::cancelled) book_.stop_all(j, now);
    book_.want_places(j);
    move_on(j, now);
}

void Intake::move_on(Job& j, Millis now) {
    maybe_finish(j, now);
    attend(j, now);
}

void Intake::on_open_record(const jobs::OpenRecord& record, std::uint64_t version,
                            std::int64_t wall_ms, Millis now) {
    Job* j = book_.job(record.spec.id);
    if (j == nullptr) {
        j = &book_.add(record, version, wall_ms, now);
        book_.want_places(*j);
        spdlog::debug("job {} of {}: {} tasks of class {}, image {} of {} GB{}", j->spec.id,
                      j->spec.team, j->spec.tasks, j->spec.job_class, j->spec.image,
                      j->spec.image_gb, j->within_guarantee ? ", within the guarantee" : "");
        if (record.cancelled || record.unwanted) maybe_finish(*j, now);
        return;
    }
    if (version <= j->version) return;
    j->version = version;
    // All of it has completed: it is done, unless its user was told otherwise.
    if (record.unwanted && !record.cancelled && j->state == JobState::finishing) return;
    if (record.cancelled || record.unwanted) cancel(*j, now);
}

void Intake::on_open_dropped(const std::string& id, Millis now) {
    Job* j = book_.job(id);
    if (j == nullptr || j->lent_to != kNone || j->state == JobState::finished) return;
    const bool open = j->state == JobState::open;
    book_.set_job_state(*j, JobState::finished);
    // Nothing was started without its open record; what was placed is given up.
    if (open) book_.stop_all(*j, now);
    book_.drop(id);
    book_.touch();
}

void Intake::cancel(Job& j, Millis now) {
    if (j.state == JobState::cancelled || j.state == JobState::finished) return;
    book_.cancel(j, now);
    move_on(j, now);
    book_.touch();
}

void Intake::maybe_finish(Job& j, Millis now) {
    if (j.state == JobState::open && !j.service() && j.done == j.spec.tasks) {
        book_.set_job_state(j, JobState::finishing);
    }
    if (j.lent_to != kNone) return;  // its holder does that
    bool over = j.state == JobState::finishing || (j.state == JobState::cancelled && j.live == 0);
    if (over && !j.commit_in_flight && now >= j.retry_commit_at) finish(j, now);
}

// One transaction tells users that the job is done and takes its records away.
void Intake::finish(Job& j, Millis now) {
    if (!term_.confirmed(now)) {
        j.retry_commit_at = now + kRetryCommit;
        attend(j, now);
        return;
    }
    bool done = j.state == JobState::finishing;
    state::Txn txn;
    txn.conditions = term_.conditions();
    txn.conditions.push_back({jobs::open_key(j.spec.id), j.version});
    // A cancellation is told when nothing of the job is left: until then whoever could not hear of
    // it may have gone on answering its machines.
    const auto end = done ? wire::JobStatus::done : wire::JobStatus::cancelled;
    txn.writes.push_back({jobs::job_key(j.spec.id),
                          wire::Json{{"final", wire::final_name(end)}, {"tasks", j.spec.tasks}}});
    txn.writes.push_back({jobs::open_key(j.spec.id), std::nullopt});
    std::vector<std::string> rest;
    for (const auto& [n, c] : j.chunks) {
        if (c.version == 0 && !c.uncertain) continue;
        std::string key = jobs::run_key(j.spec.id, n);
        if (txn.writes.size() < term_.settings().state_txn_ops)
            txn.writes.push_back({key, std::nullopt});
        else
            rest.push_back(key);
    }
    j.commit_in_flight = true;
    term_.outbox().commit(
        std::move(txn),
        term_.guarded([this, id = j.spec.id, rest](Millis t, const state::CommitReply& reply) {
            on_finish(id, rest, reply, t);
        }));
}

void Intake::on_finish(const std::string& id, const std::vector<std::string>& rest,
                       const state::CommitReply& reply, Millis now) {
    if (reply.outcome == state::Outcome::ok)
        leftovers_.insert(leftovers_.end(), rest.begin(), rest.end());
    Job* j = book_.job(id);
    if (j == nullptr) return;
    j->commit_in_flight = false;
    if (reply.outcome == state::Outcome::ok) {
        book_.set_job_state(*j, JobState::finished);
        book_.drop(id);
        book_.touch();
        return;
    }
    j->retry_commit_at = now + kRetryCommit;
    attend(*j, now);
    if (reply.outcome != state::Outcome::conflict || term_.superseded(reply)) return;
    // Cancelled meanwhile, applied after all, or another leader: the record tells.
    term_.outbox().read(jobs::open_key(id),
                        term_.guarded([this, id](Millis t, const state::GetReply& got) {
                            Job* again = book_.job(id);
                            if (again == nullptr) return;
                            if (got.outcome == state::Outcome::missing) {
                                book_.set_job_state(*again, JobState::finished);
                                book_.drop(id);
                            } else if (got.outcome == state::Outcome::ok) {
                                auto record = jobs::read_open(got.item.value);
                                if (record) on_open_record(*record, got.item.version, 0, t);
                            }
                        }));
}

// Records of jobs that are over, beyond what their last transaction could take.
void Intake::drop_leftovers(Millis now) {
    if (leftovers_.empty() || !term_.confirmed(now) || now < retry_leftovers_at_) return;
    state::Txn txn;
    txn.conditions = term_.conditions();
    while (!leftovers_.empty() && txn.writes.size() < term_.settings().state_txn_ops / 2) {
        txn.writes.push_back({leftovers_.back(), std::nullopt});
        leftovers_.pop_back();
    }
    term_.outbox().commit(
        txn, term_.guarded([this, txn](Millis t, const state::CommitReply& reply) {
            if (reply.outcome == state::Outcome::ok || reply.outcome == state::Outcome::conflict)
                return;
            for (const state::Write& w : txn.writes) leftovers_.push_back(w.key);
            retry_leftovers_at_ = t + kRetryLeftovers;
        }));
}

}  // namespace nickelramp::intake
