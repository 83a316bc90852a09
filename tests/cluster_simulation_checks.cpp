#include <algorithm>

#include "tests/cluster_simulation.h"

namespace nickelramp::test {

void ClusterSimulation::count_unrecorded_completions() {
    for (const TaskId& id : done_) {
        if (!final_state(id.first).empty()) continue;
        auto it = keys_.find(jobs::run_key(id.first, id.second / jobs::kChunkTasks));
        auto run = it == keys_.end() ? std::nullopt : jobs::decode_run_record(it->second.value);
        if (run && (run->done >> (id.second % jobs::kChunkTasks) & 1) == 0)
            ++coverage_.unrecorded_completions;
    }
}

std::vector<std::string> ClusterSimulation::jobs_reported_late(Millis longer) const {
    std::vector<std::string> out;
    for (const auto& [id, spec] : specs_) {
        if (!final_state(id).empty()) continue;
        bool all = true;
        for (std::uint32_t t = 0; t < spec.tasks && all; ++t) {
            auto it = done_at_.find({id, t});
            all = it != done_at_.end() && now_ - it->second > longer;
        }
        if (all) out.push_back(id);
    }
    return out;
}

Millis ClusterSimulation::completed_at(const std::string& id) const {
    Millis last = 0;
    for (std::uint32_t t = 0; t < specs_.at(id).tasks; ++t) {
        auto it = done_at_.find({id, t});
        if (it == done_at_.end()) return 0;
        last = std::max(last, it->second);
    }
    return last;
}

Millis ClusterSimulation::final_at(const std::string& id) const {
    auto it = final_at_.find(id);
    return it == final_at_.end() ? 0 : it->second;
}

// From here on its user is told: nothing of it may be anywhere, or come to be.
void ClusterSimulation::on_cancel_confirmed(const std::string& id) {
    EXPECT_EQ(cancel_requested_.count(id), 1u) << "went_back: nobody cancelled " << id;
    EXPECT_NE(final_state(id), "done") << "went_back: " << id;
    cancelled_.emplace(id, now_);
    cancellations_confirmed_beside_old_ += std::any_of(
        controllers_.begin(), controllers_.end(),
        [&](const auto& n) { return n->control_loop && n->term < term_ && may_respond(*n); });
    for (auto& [name, m] : machines_) {
        advance_tasks(*m);
        if (m->removed || m->dead) continue;
        for (auto& [task, t] : m->tasks) {
            EXPECT_TRUE(task.first != id || t.phase == "exited")
                << id << "/" << task.second << " is still on " << name;
        }
    }
}

std::string ClusterSimulation::inconsistent_job() {
    if (leader() == nullptr) return "nobody leads";
    for (const auto& [id, j] : leader()->open_jobs()) {
        if (keys_.count(jobs::open_key(id)) == 0 && j->state != jobs::JobState::finished)
            return id + " is over, and in the book as " + jobs::name(j->state);
    }
    for (const auto& [key, stored] : keys_) {
        const std::string id = jobs::job_id_of_open_key(key);
        if (!id.empty() && leader()->open_jobs().count(id) == 0) return id + " is not in the book";
    }
    return "";
}

void ClusterSimulation::check_start(const Machine& machine, const TaskId& id) {
    const wire::JobSpec& spec = specs_[id.first];
    ++started_tasks_;
    auto here = machine.tasks.find(id);
    if (here != machine.tasks.end())
        latest_attempt_[id] = std::max(latest_attempt_[id], here->second.attempt);
    if (auto c = cancelled_.find(id.first); c != cancelled_.end()) {
        EXPECT_LE(now_, c->second + seconds(settings_.cancel_s)) << "ran_cancelled: " << id.first;
    }
    std::map<std::string, std::uint32_t> in_zone;
    double team = 0;
    for (auto& [name, other] : machines_) {
        if (other->removed || other->dead) continue;
        for (auto& [tid, t] : other->tasks) {
            if (!occupies_machine(t)) continue;
            if (tid == id && name != machine.name) {
                ADD_FAILURE() << "ran_twice: " << id.first << "/" << id.second << " on " << name
                              << " and " << machine.name << " at " << now_;
            }
            if (specs_[tid.first].team == spec.team) team += specs_[tid.first].gpus;
            if (tid.first == id.first) ++in_zone[other->zone];
        }
    }
    for (const auto& rule : settings_.teams) {
        if (rule.name == spec.team) {
            EXPECT_LE(team, rule.gpus_max + 1e-6) << "quota of " << spec.team << " at " << now_;
        }
    }
    bool type_ok = spec.any_type || std::find(spec.types.begin(), spec.types.end(), machine.type) !=
                                        spec.types.end();
    EXPECT_TRUE(type_ok && (!spec.zone || *spec.zone == machine.zone) &&
                (spec.spot || !machine.spot))
        << "wrong_place: " << id.first;
    if (spec.one_zone) {
        EXPECT_LE(in_zone.size(), 1u) << "wrong_place: " << id.first << " is in two zones";
    }
    if (spec.spread) {
        EXPECT_LE(in_zone[machine.zone], (spec.tasks + 1) / 2)
            << "wrong_place: " << id.first << " is not spread";
    }
}

void ClusterSimulation::check_all() {
    for (auto& [name, m] : machines_) {
        advance_tasks(*m);
        if (m->removed || m->dead) continue;
        for (auto& [id, t] : m->tasks) {
            if (!occupies_machine(t)) continue;
            auto c = cancelled_.find(id.first);
            if (c == cancelled_.end()) continue;
            EXPECT_LE(now_, c->second + seconds(settings_.cancel_s))
                << "ran_cancelled: " << id.first << "/" << id.second << " is still on " << name;
        }
    }
}

bool ClusterSimulation::would_fit(const std::string& id, const wire::JobSpec& spec) const {
    std::set<std::uint32_t> there;
    std::map<std::string, std::uint32_t> in_zone, room;
    double limit = 0, used = 0;
    for (const auto& rule : settings_.teams) limit += rule.name == spec.team ? rule.gpus_max : 0;
    for (const auto& [name, m] : machines_) {
        for (const auto& [task, t] : m->tasks) {
            if (t.phase == "exited") continue;
            if (specs_.at(task.first).team == spec.team) used += specs_.at(task.first).gpus;
            if (task.first != id) continue;
            there.insert(task.second);
            ++in_zone[m->zone];
        }
    }
    const bool gang = spec.shape == wire::Shape::gang;
    std::uint32_t wanted = 0;
    for (std::uint32_t t = 0; t < spec.tasks; ++t)
        wanted += there.count(t) == 0 && done_.count({id, t}) == 0 ? 1 : 0;
    if (gang && wanted < spec.tasks) return false;
    const std::uint32_t least = gang ? spec.tasks : 1;
    if (wanted == 0 || (limit > 0 && used + least * spec.gpus > limit + 1e-6)) return false;
    for (const auto& [name, m] : machines_) {
        const bool sound = m->up && !m->dead && !m->removed && !m->faulty &&
                           partition_of(*m) == nullptr && now_ >= m->inbound_blocked_until &&
                           now_ >= m->commands_blocked_until && now_ >= m->heartbeats_blocked_until;
        const bool type_ok =
            spec.any_type || std::count(spec.types.begin(), spec.types.end(), m->type);
        if (!sound || !type_ok || (spec.zone && *spec.zone != m->zone) || (m->spot && !spec.spot))
            continue;
        const auto type = std::find_if(types_.begin(), types_.end(),
                                       [&](const auto& known) { return known.name == m->type; });
        double cpus = type->cpus, gpus = type->gpus, memory = type->memory_gb;
        for (const auto& [task, t] : m->tasks) {
            if (t.phase == "exited") continue;
            const wire::JobSpec& other = specs_.at(task.first);
            cpus -= other.cpus, gpus -= other.gpus, memory -= other.memory_gb;
        }
        room[m->zone] += placement::tasks_that_fit(cpus, gpus, memory,
                                                   {spec.cpus, spec.gpus, spec.memory_gb}, least);
    }
    std::uint32_t all = 0, most = 0;
    for (auto& [zone, n] : room) {
        const bool other_zone = spec.one_zone && !in_zone.empty() && in_zone.count(zone) == 0;
        const std::uint32_t half = (spec.tasks + 1) / 2;
        if (spec.spread) n = std::min(n, half - std::min(half, in_zone[zone]));
        if (other_zone) continue;
        all += n;
        most = std::max(most, n);
    }
    return (gang && spec.one_zone ? most : all) >= least;
}

void ClusterSimulation::check_waiting_jobs() {
    for (const auto& [id, spec] : specs_) {
        if (!final_state(id).empty() || cancel_requested_.count(id) != 0 || !would_fit(id, spec)) {
            waits_since_.erase(id);
            continue;
        }
        const Millis wait = now_ - waits_since_.try_emplace(id, now_).first->second;
        coverage_.longest_wait = std::max(coverage_.longest_wait, wait);
        EXPECT_LE(wait, longest_wait_)
            << id << " waits though it fits; " << describe_running() << describe_cluster_state();
    }
}

// Of the jobs that the leader has.
std::string ClusterSimulation::describe_cluster_state() {
    if (leader() == nullptr) return "nobody leads";
    std::string out;
    for (const auto& [id, j] : leader()->open_jobs()) {
        auto it = keys_.find(jobs::open_key(id));
        out += id + " is " + jobs::name(j->state) + ", stamp " + std::to_string(j->version) +
               " of " + std::to_string(it == keys_.end() ? 0 : it->second.version) +
               (it != keys_.end() && wire::flag_field(it->second.value, "unwanted").value_or(false)
                    ? ", unwanted"
                    : "") +
               (j->commit_in_flight ? ", in flight" : "") + ":";
        for (const auto& attempt : j->attempts)
            out += std::string(" ") + jobs::name(attempt->state) +
                   (attempt->stop_wanted ? "(stopping)" : "");
        out += "; ";
    }
    return out;
}

std::string ClusterSimulation::describe_running() const {
    std::string out;
    for (auto& [name, m] : machines_) {
        if (m->removed) continue;
        out += name + (m->dead ? "(dead)" : m->up ? "" : "(booting)") + ": ";
        for (auto& [id, t] : m->tasks)
            out += id.first + "/" + std::to_string(id.second) + "=" + t.phase + " ";
    }
    return out;
}

}  // namespace nickelramp::test
