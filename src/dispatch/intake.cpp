// Jobs enter, are cancelled, finish and leave.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <limits>

#include "dispatch/dispatcher.h"

namespace nickelramp::dispatch {

using jobs::JobState;

namespace {
constexpr Millis kRetryCommit = 300;
}

Dispatcher::Dispatcher(const wire::Settings& settings, TermInfo term, Outbox& outbox, Millis now,
                       Role role)
    : settings_(settings),
      term_(std::move(term)),
      outbox_(outbox),
      role_(role),
      began_(now),
      domains_(settings.report_s, settings.lease_s),
      deputies_(settings) {
    inherited_token_ = blocks::term_token(term_.number) - 1;
    for (const wire::Team& t : settings.teams) {
        team_names_.add(t.name);
        team_rules_.push_back(t);
        teams_.emplace_back();
        guarantees_.push_back(std::make_unique<Guarantee>(t));
    }
    for (const std::string& z : settings.zones) zone_names_.add(z);
    ledger_.begin(term_.number, settings.name);
    // An earlier leader may have gone on answering for a while after it lost the state service.
    inherited_lease_until_ = deputy::last_lease(settings, now);
}

void Dispatcher::load_types(const std::vector<wire::MachineType>& types) {
    for (const wire::MachineType& t : types) {
        Index i = type_names_.add(t.name);
        if (i >= types_.size()) types_.resize(i + 1);
        types_[i] = t;
        for (const std::string& z : t.zones) zone_names_.add(z);
    }
    dirty_ = true;
}

void Dispatcher::expect_lost(const std::string& zone, Millis since) {
    lost_since_[zone_names_.add(zone)] = since;
}

void Dispatcher::load_block(std::uint32_t n, blocks::Block block) {
    for (const blocks::Member& b : block.members) {
        Machine* m = adopt(b.name, began_);
        identify(*m, b.address, b.type, b.zone, b.spot);
        m->up_at = began_;
        auto lost = lost_since_.find(m->zone);
        m->heard_at = lost == lost_since_.end() ? began_ : std::min(began_, lost->second);
        m->lease_until = inherited_lease_until_;
        m->wants_confirm = true;
        set_machine_state(*m, MachineState::joining);
    }
    ledger_.load(n, std::move(block));
    for (const blocks::Member& b : ledger_.block(n).members) {
        roster_.find(b.name)->token = ledger_.block(n).token;
    }
}

void Dispatcher::load_job(const jobs::OpenRecord& record, std::uint64_t version,
                          std::int64_t wall_ms, Millis now) {
    add_job(record, version, wall_ms, now);
}

void Dispatcher::load_run(const std::string& id, std::uint32_t chunk, const jobs::RunRecord& record,
                          std::uint64_t version, Millis now) {
    Job* j = find_job(id);
    if (j == nullptr) {
        leftovers_.push_back(jobs::run_key(id, chunk));  // its job is over
        return;
    }
    jobs::Chunk& c = j->chunks[chunk];
    c.version = version;
    c.done_recorded = record.done;
    std::uint32_t first = chunk * jobs::kChunkTasks;
    for (std::uint32_t i = 0; i < jobs::kChunkTasks && first + i < j->spec.tasks; ++i) {
        if ((record.done >> i & 1) != 0) j->mark_done(first + i);
    }
    c.dirty = false;
    // Chunks are begun in order, tasks within them too.
    for (const jobs::RunEntry& e : record.entries) {
        if (e.task >= j->spec.tasks) continue;
        j->gang_attempt = std::max(j->gang_attempt, e.attempt);
        if (j->is_done(e.task)) {
            if (!e.started) continue;
        }
        if (!e.started) {
            j->waiting.push_back({e.task, e.attempt});
            continue;
        }
        if (roster_.buried(e.machine)) {  // gone meanwhile, with all on it
            if (!j->gang()) j->waiting.push_back({e.task, e.attempt});
            continue;
        }
        // It may be there: it counts until proven gone.
        Machine* m = adopt(e.machine, now);
        if (m->state == MachineState::booting) m->lease_until = inherited_lease_until_;
        auto a = std::make_unique<Attempt>();
        a->job = j->index;
        a->task = e.task;
        a->number = e.attempt;
        a->machine = m->index;
        a->committed = true;
        a->placed_at = now;
        a->state = AttemptState::starting;
        // Only a report under a token given since then can show that it is not there.
        a->token = inherited_token_;
        a->session = UINT64_MAX;
        if (m->type != kNone) {
            // Its image is likely there still, whatever has become of the task.
            placing::touch_image(*m, types_[m->type], j->image, j->spec.image_gb, true, now);
        }
        link_start(*j, *a);
        a->place = static_cast<std::uint32_t>(j->attempts.size());
        occupy(*a, *j, *m);
        j->attempts.push_back(std::move(a));
    }
}

void Dispatcher::start(Millis now) {
    started_ = true;
    for (auto& [id, job] : jobs_) complete_load(*job, now);
    tick(now);
}

// After the last record of a job: what is still to be started?
void Dispatcher::complete_load(Job& j, Millis now) {
    // Fresh tasks are those that no record names.
    std::vector<char> named;
    std::uint32_t last = 0;
    auto name = [&](std::uint32_t task) {
        if (named.size() <= task) named.resize(task + 1);
        named[task] = 1;
        last = std::max(last, task + 1);
    };
    for (const auto& a : j.attempts) name(a->task);
    for (const jobs::Waiting& w : j.waiting) name(w.task);
    for (const auto& [n, c] : j.chunks) {
        for (std::uint32_t i = 0; i < jobs::kChunkTasks; ++i) {
            if ((c.done >> i & 1) != 0) name(n * jobs::kChunkTasks + i);
        }
    }
    j.next_fresh = last;
    for (std::uint32_t t = 0; t < last; ++t) {
        if (named[t] == 0) j.waiting.push_back({t, 0});
    }
    if (j.state == JobState::cancelled) stop_all(j, now);
    want_places(j);
    maybe_finish(j, now);
    attend(j, now);
}

// It joins the list of those that the schedule looks at.
void Dispatcher::want_places(Job& j) {
    if (j.queued || j.unstarted() == 0) return;
    j.queued = true;
    waiting_.push_back(j.index);
    dirty_ = true;
}

// Sets the date by which the job has something to do by itself.
void Dispatcher::attend(Job& j, Millis now) {
    Millis at = commit_due(j);
    if (j.hold_until != 0) at = std::min(at, j.hold_until);
    bool ending = j.state == JobState::finishing || (j.state == JobState::cancelled && j.live == 0);
    if (ending && !j.commit_in_flight && j.lent_to == kNone) at = std::min(at, j.retry_commit_at);
    // Never again in this turn, whatever it comes to.
    if (at < kNever) job_agenda_.by(j.index, std::max(at, now + 1));
}

void Dispatcher::tend(Job& j, Millis now) {
    if (!confirmed_) {
        job_agenda_.by(j.index, now + kRetryCommit);
        return;
    }
    if (j.hold_until != 0 && now >= j.hold_until) {
        j.hold_until = 0;
        dirty_ = true;
    }
    if (now >= commit_due(j))
        commit_job(j, now);
    else
        maybe_finish(j, now);
    attend(j, now);
}

void Dispatcher::tend_jobs(Millis now) {
    std::vector<Index> due;
    for (Index i = job_agenda_.next(now); i != kNone; i = job_agenda_.next(now)) due.push_back(i);
    for (Index i : due) {
        if (slots_[i] != nullptr) tend(*slots_[i], now);
    }
}

Dispatcher::Job* Dispatcher::find_job(const std::string& id) {
    auto it = jobs_.find(id);
    return it == jobs_.end() ? nullptr : it->second.get();
}

// What its places cost on each kind of machine, and on which type least.
void Dispatcher::appraise(Job& j) {
    Need need = placing::need_of(j);
    double least = std::numeric_limits<double>::infinity();
    for (Index t = 0; t < types_.size() && t < j.allowed_type.size(); ++t) {
        j.places_on.push_back(placing::places_on(types_[t], need));
        double ordinary = placing::rent(types_[t], false, need);
        j.dearness.push_back({ordinary, placing::rent(types_[t], true, need)});
        if (j.allowed_type[t] == 0 || ordinary >= least) continue;
        least = ordinary;
        j.best_type = t;
    }
    if (j.best_type == kNone) return;
    for (auto& [ordinary, spot] : j.dearness) {
        // Without prices nothing is dear.
        ordinary = least > 0 ? ordinary / least : 1;
        spot = least > 0 ? spot / least : 1;
    }
    auto fits = [&](Index t) {
        return j.allowed_type[t] != 0 && std::isfinite(j.dearness_of(t, false));
    };
    std::size_t fitting = 0;
    for (Index t = 0; t < j.dearness.size(); ++t) fitting += fits(t) ? 1 : 0;
    if (fitting == 1) demand_of(j.best_type).sole = true;
    const wire::MachineType& type = types_[j.best_type];
    j.share = j.spec.cpus / std::max(1.0, type.cpus);
    if (type.gpus > 0) j.share = std::max(j.share, j.spec.gpus / type.gpus);
}

void Dispatcher::note_replicas(const Job& j) {
    standing_.arrivals.arrived(j.spec.tasks, j.accepted_at);
    Need need = placing::need_of(j);
    need = {std::max(need.cpus, standing_.need.cpus), std::max(need.gpus, standing_.need.gpus),
            std::max(need.memory_gb, standing_.need.memory_gb)};
    bool same = standing_.type == j.best_type && need.cpus == standing_.need.cpus &&
                need.gpus == standing_.need.gpus && need.memory_gb == standing_.need.memory_gb;
    if (same) return;
    standing_.need = need;
    standing_.type = j.best_type;
    standing_.dearness = j.dearness;
    for (Machine* m : roster_.all()) refresh(*m);
}

Dispatcher::Job* Dispatcher::add_job(const jobs::OpenRecord& record, std::uint64_t version,
                                     std::int64_t wall_ms, Millis now) {
    auto owned = std::make_unique<Job>();
    Job& j = *owned;
    j.spec = record.spec;
    j.version = version;
    j.accepted_wall_ms = record.accepted_wall_ms;
    j.accepted_at = now - std::max<std::int64_t>(0, wall_ms - record.accepted_wall_ms);
    j.team = team_names_.find(j.spec.team);
    if (j.team == kNone) {
        // Accepted under other settings: without a team rule nothing limits it.
        j.team = team_names_.add(j.spec.team);
        team_rules_.push_back({j.spec.team});
        teams_.emplace_back();
        guarantees_.push_back(std::make_unique<Guarantee>(team_rules_.back()));
    }
    j.image = image_names_.add(j.spec.image);
    j.job_class = class_names_.add(j.spec.job_class);
    learned_.resize(class_names_.size());
    if (j.spec.zone) j.zone = zone_names_.add(*j.spec.zone);
    j.allowed_type.assign(type_names_.size(), j.spec.any_type ? 1 : 0);
    for (const std::string& t : j.spec.types) {
        Index i = type_names_.find(t);
        if (i != kNone) j.allowed_type[i] = 1;
    }
    if (free_slots_.empty()) {
        j.index = static_cast<Index>(slots_.size());
        slots_.push_back(&j);
    } else {
        j.index = free_slots_.back();
        free_slots_.pop_back();
        slots_[j.index] = &j;
    }
    j.accepted_event = j.links.add_event({});
    j.cancelled_event = j.links.add_event({.forcible = true});
    j.links.submit(j.accepted_event);
    appraise(j);
    Learned& learned = learned_[j.job_class];
    learned.type = j.best_type;
    learned.spot = j.spec.spot;
    learned.priority = j.spec.priority;
    if (j.spec.shape == wire::Shape::array) {
        learned.work.arrived(j.spec.cpus * j.spec.tasks, j.accepted_at);
    }
    if (j.best_type != kNone && j.spec.spot && !j.service()) {
        demand_of(j.best_type).spot.arrived(j.share * j.spec.tasks, j.accepted_at);
    }
    if (j.service() && j.best_type != kNone) note_replicas(j);
    learned.whole = learned.whole || whole(j);
    // Those that may use spot machines are looked after there.
    if (j.best_type != kNone && !j.spec.spot && whole(j)) {
        Demand& demand = demand_of(j.best_type);
        demand.whole.arrived(j.spec.tasks, j.accepted_at);
        bool pressing = std::any_of(
            settings_.objectives.begin(), settings_.objectives.end(), [&](const auto& o) {
                return o.kind == wire::Objective::Kind::wait && o.job_class == j.spec.job_class &&
                       o.within_s < types_[j.best_type].boot_s;
            });
        if (pressing) demand.pressing.arrived(j.spec.tasks, j.accepted_at);
    }
    jobs_.emplace(j.spec.id, std::move(owned));
    if (record.cancelled || record.unwanted) {
        j.links.submit(j.cancelled_event);
        set_job_state(j, JobState::cancelled);
    } else {
        guarantees_[j.team]->add(j);
    }
    dirty_ = true;
    return &j;
}

void Dispatcher::on_open_record(const jobs::OpenRecord& record, std::uint64_t version,
                                std::int64_t wall_ms, Millis now) {
    Job* j = find_job(record.spec.id);
    if (j == nullptr) {
        j = add_job(record, version, wall_ms, now);
        want_places(*j);
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

void Dispatcher::cancel(Job& j, Millis now) {
    if (j.state == JobState::cancelled || j.state == JobState::finished) return;
    dirty_ = true;
    j.links.submit(j.cancelled_event);
    set_job_state(j, JobState::cancelled);
    stop_all(j, now);
    while (!j.reserved.empty()) drop_reservation(*roster_.at(j.reserved.back()));
    maybe_finish(j, now);
    attend(j, now);
    dirty_ = true;
}

void Dispatcher::set_job_state(Job& j, JobState s) {
    spdlog::debug("job {}: {} -> {}", j.spec.id, name(j.state), name(s));
    j.set_state(s);
    if (s == JobState::cancelled || s == JobState::finished) guarantees_[j.team]->remove(j);
}

void Dispatcher::maybe_finish(Job& j, Millis now) {
    if (j.state == JobState::open && !j.service() && j.done == j.spec.tasks) {
        set_job_state(j, JobState::finishing);
    }
    if (j.lent_to != kNone) return;  // its holder does that
    bool over = j.state == JobState::finishing || (j.state == JobState::cancelled && j.live == 0);
    if (over && !j.commit_in_flight && now >= j.retry_commit_at) finish_commit(j, now);
}

// One transaction tells users that the job is done and takes its records away.
void Dispatcher::finish_commit(Job& j, Millis now) {
    if (!confirmed_) {
        j.retry_commit_at = now + kRetryCommit;
        attend(j, now);
        return;
    }
    bool done = j.state == JobState::finishing;
    state::Txn txn;
    txn.conditions = conditions();
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
        if (txn.writes.size() < settings_.state_txn_ops)
            txn.writes.push_back({key, std::nullopt});
        else
            rest.push_back(key);
    }
    j.commit_in_flight = true;
    outbox_.commit(std::move(txn),
                   guarded([this, id = j.spec.id, rest](Millis t, const state::CommitReply& reply) {
                       Job* job = find_job(id);
                       if (job == nullptr) return;
                       job->commit_in_flight = false;
                       if (reply.outcome == state::Outcome::ok) {
                           leftovers_.insert(leftovers_.end(), rest.begin(), rest.end());
                           set_job_state(*job, JobState::finished);
                           maybe_drop(id);
                           dirty_ = true;
                           return;
                       }
                       job->retry_commit_at = t + kRetryCommit;
                       attend(*job, t);
                       if (reply.outcome != state::Outcome::conflict || superseded(reply)) return;
                       // Cancelled meanwhile, applied after all, or another leader: the record
                       // tells.
                       outbox_.read(jobs::open_key(id),
                                    guarded([this, id](Millis t2, const state::GetReply& got) {
                                        Job* again = find_job(id);
                                        if (again == nullptr) return;
                                        if (got.outcome == state::Outcome::missing) {
                                            set_job_state(*again, JobState::finished);
                                            maybe_drop(id);
                                        } else if (got.outcome == state::Outcome::ok) {
                                            auto record = jobs::read_open(got.item.value);
                                            if (record)
                                                on_open_record(*record, got.item.version, 0, t2);
                                        }
                                    }));
                   }));
}

// The book forgets a finished job when no attempt of it is left on any machine.
void Dispatcher::maybe_drop(const std::string& id) {
    Job* j = find_job(id);
    if (j == nullptr || j->state != JobState::finished || !j->attempts.empty()) return;
    Index slot = j->index;
    while (!j->reserved.empty()) drop_reservation(*roster_.at(j->reserved.back()));
    for (Index i : j->failed_on) {
        if (Machine* m = roster_.at(i)) std::erase(m->failed_jobs, slot);
    }
    if (j->queued) std::erase(waiting_, slot);
    job_agenda_.forget(slot);
    slots_[slot] = nullptr;
    free_slots_.push_back(slot);
    jobs_.erase(id);
}

std::vector<state::Condition> Dispatcher::conditions() const {
    std::vector<state::Condition> out{{term_.key, term_.version}};
    if (role_ == Role::holder) out.push_back(held_);
    return out;
}

// Did the transaction fail because the term, or this holder's grant, is over?
bool Dispatcher::superseded(const state::CommitReply& reply) {
    for (const std::string& key : reply.failed) {
        if (key != term_.key && (role_ == Role::leader || key != held_.key)) continue;
        if (!deposed_) {
            deposed_ = true;
            outbox_.deposed(key + " has changed");
        }
        return true;
    }
    return false;
}

Dispatcher::Progress Dispatcher::progress(const std::string& id) const {
    auto it = jobs_.find(id);
    if (it == jobs_.end()) return {};
    Progress p{true, it->second->done, 0};
    if (it->second->lent_to != kNone)
        return {true, it->second->lent_done, it->second->lent_running};
    p.running = it->second->running;
    return p;
}

Dispatcher::Summary Dispatcher::summary() const {
    Summary s;
    for (const auto& [id, j] : jobs_) {
        if (j->state == JobState::open) {
            ++s.open_jobs;
            s.waiting_tasks += j->unstarted();
        }
        s.live_attempts += j->live;
    }
    for (const Machine* m : roster_.all()) ++s.machines[static_cast<std::size_t>(m->state)];
    return s;
}

}  // namespace nickelramp::dispatch
