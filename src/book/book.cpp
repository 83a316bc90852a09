// Jobs and teams: how they enter the book, change state and leave it.
#include "book/book.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "deputy/deputy.h"

namespace nickelramp::book {

using jobs::JobState;

namespace {
constexpr Millis kGatherPause = 30'000;  // others may have what was gathered for so long
}

Book::Book(Term& term, Listener& listener, Turn& turn, Millis now)
    : term_(term),
      listener_(listener),
      turn_(turn),
      // An earlier leader may have gone on answering for a while after it lost the state service.
      inherited_lease_until_(deputy::last_lease(term.settings(), now)) {
    for (const wire::Team& t : term.settings().teams) add_team(t);
    for (const std::string& z : term.settings().zones) zone_names_.add(z);
}

void Book::add_team(const wire::Team& rule) {
    team_names_.add(rule.name);
    team_rules_.push_back(rule);
    team_use_.emplace_back();
    gathering_.emplace_back();
    guarantees_.push_back(std::make_unique<Guarantee>(rule));
}

void Book::load_types(const std::vector<wire::MachineType>& types) {
    for (const wire::MachineType& t : types) {
        Index i = type_names_.add(t.name);
        if (i >= types_.size()) types_.resize(i + 1);
        types_[i] = t;
        for (const std::string& z : t.zones) zone_names_.add(z);
    }
    touch();
}

Job* Book::job(const std::string& id) const {
    auto it = jobs_.find(id);
    return it == jobs_.end() ? nullptr : it->second.get();
}

std::vector<std::uint32_t> Book::live_by_zone(const Job& j) const {
    std::vector<std::uint32_t> out(zone_names_.size());
    for (const auto& a : j.attempts) {
        const Machine* m = machine_of(*a);
        if (a->live() && m != nullptr && m->zone != kNone) ++out[m->zone];
    }
    return out;
}

std::vector<Index> Book::due(Agenda& agenda, Millis now) {
    std::vector<Index> out;
    for (Index i = agenda.next(now); i != kNone; i = agenda.next(now)) out.push_back(i);
    return out;
}

Job& Book::add(const jobs::OpenRecord& record, std::uint64_t version, std::int64_t wall_ms,
               Millis now) {
    auto owned = std::make_unique<Job>();
    Job& j = *owned;
    j.spec = record.spec;
    j.version = version;
    j.accepted_wall_ms = record.accepted_wall_ms;
    j.accepted_at = now - std::max<std::int64_t>(0, wall_ms - record.accepted_wall_ms);
    j.team = team_names_.find(j.spec.team);
    if (j.team == kNone) {
        // Accepted under other settings: without a team rule nothing limits it.
        add_team({j.spec.team});
        j.team = team_names_.find(j.spec.team);
    }
    j.image = image_names_.add(j.spec.image);
    j.job_class = class_names_.add(j.spec.job_class);
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
    listener_.job_entered(j);
    jobs_.emplace(j.spec.id, std::move(owned));
    if (record.cancelled || record.unwanted) {
        j.links.submit(j.cancelled_event);
        set_job_state(j, JobState::cancelled);
    } else {
        guarantees_[j.team]->add(j);
    }
    touch();
    return j;
}

void Book::load_run(Job& j, std::uint32_t chunk, const jobs::RunRecord& record,
                    std::uint64_t version, std::uint64_t token, Millis now) {
    jobs::Chunk& c = j.chunks[chunk];
    c.version = version;
    c.done_recorded = record.done;
    std::uint32_t first = chunk * jobs::kChunkTasks;
    for (std::uint32_t i = 0; i < jobs::kChunkTasks && first + i < j.spec.tasks; ++i) {
        if ((record.done >> i & 1) != 0) j.mark_done(first + i);
    }
    c.dirty = false;
    // Chunks are begun in order, tasks within them too.
    for (const jobs::RunEntry& e : record.entries) {
        if (e.task >= j.spec.tasks) continue;
        j.gang_attempt = std::max(j.gang_attempt, e.attempt);
        if (j.is_done(e.task)) {
            if (!e.started) continue;
        }
        if (!e.started) {
            j.waiting.push_back({e.task, e.attempt});
            continue;
        }
        if (roster_.buried(e.machine)) {  // gone meanwhile, with all on it
            if (!j.gang()) j.waiting.push_back({e.task, e.attempt});
            continue;
        }
        // It may be there: it counts until proven gone.
        Machine* m = adopt(e.machine, now);
        if (m->state == MachineState::booting) m->lease_until = inherited_lease_until_;
        auto a = std::make_unique<Attempt>();
        a->job = j.index;
        a->task = e.task;
        a->number = e.attempt;
        a->machine = m->index;
        a->placed_at = now;
        a->state.own() = AttemptState::starting;
        a->token = token;
        a->session = UINT64_MAX;
        if (m->type != kNone) {
            // Its image is likely there still, whatever has become of the task.
            placing::touch_image(*m, types_[m->type], j.image, j.spec.image_gb, true, now);
        }
        link_start(j, *a);
        a->place = static_cast<std::uint32_t>(j.attempts.size());
        occupy(*a, j, *m);
        j.attempts.push_back(std::move(a));
    }
}

// What is still to be started?
void Book::loaded(Job& j) {
    // A gang completes as a whole, of which the last leader may have recorded a part.
    if (j.gang() && j.done > 0) {
        for (std::uint32_t t = 0; t < j.spec.tasks; ++t) j.mark_done(t);
    }
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
}

void Book::reread(Job& j) {
    j.chunks.clear();
    j.waiting.clear();
    j.done = 0;
}

void Book::set_job_state(Job& j, JobState s) {
    spdlog::debug("job {}: {} -> {}", j.spec.id, name(j.state), name(s));
    j.state.own() = s;
    if (s == JobState::cancelled || s == JobState::finished) guarantees_[j.team]->remove(j);
}

void Book::cancel(Job& j, Millis now) {
    touch();
    j.links.submit(j.cancelled_event);
    set_job_state(j, JobState::cancelled);
    stop_all(j, now);
    while (!j.reserved.empty()) drop_reservation(*roster_.at(j.reserved.back()));
}

const Job* Book::gathers(Index team) const {
    const Index i = gathering_[team].gang;
    const Job* j = i == kNone ? nullptr : slots_[i];
    // It has begun, is over, or its place in the list is another's.
    return j != nullptr && j->team == team && j->gang() && j->unstarted() > 0 ? j : nullptr;
}

void Book::gather(const Job& gang, Millis now) {
    if (!may_gather(gang.team, now)) return;
    Gathering& g = gathering_[gang.team];
    if (now - g.since > jobs::kMostHeld) g.since = now;
    const Job* first = gathers(gang.team);
    if (first == nullptr || gang.accepted_at < first->accepted_at) g.gang = gang.index;
}

void Book::gather_no_more(const Job& gang) {
    Gathering& g = gathering_[gang.team];
    if (g.gang == gang.index) g.gang = kNone;
}

bool Book::may_gather(Index team, Millis now) const {
    const Millis spell = now - gathering_[team].since;
    return spell <= jobs::kMostHeld || spell > jobs::kMostHeld + kGatherPause;
}

void Book::pause_gathering(const Job& gang, Millis now) {
    Gathering& g = gathering_[gang.team];
    if (g.gang != gang.index) return;
    g.gang = kNone;
    g.since = now - jobs::kMostHeld - 1;
}

void Book::end_gathering(Millis now) {
    for (Gathering& g : gathering_) {
        if (now - g.since > jobs::kMostHeld) g.gang = kNone;
    }
}

void Book::want_places(Job& j) {
    if (j.queued || j.unstarted() == 0) return;
    j.queued = true;
    waiting_.push_back(j.index);
    touch();
}

void Book::prune_waiting() {
    std::erase_if(waiting_, [&](Index i) {
        Job* j = slots_[i];
        if (j->unstarted() > 0) return false;
        j->queued = false;
        j->starved_since = 0;
        return true;
    });
}

void Book::lend(Job& j, Index block) {
    j.lent_to.own() = block;
    use(j, j.spec.tasks);
}

void Book::unlend(Job& j) {
    use(j, -static_cast<double>(j.spec.tasks));
    j.lent_to.own() = kNone;
    touch();
}

void Book::drop(const std::string& id) {
    Job* j = job(id);
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

}  // namespace nickelramp::book
