#include "jobs/answers.h"

#include <algorithm>
#include <utility>

#include "jobs/job.h"

namespace nickelramp::jobs {

namespace {
constexpr const char* kPrefix = "job/";
constexpr std::size_t kPrefixLength = 4;
constexpr Millis kKeepUp = 5'000;  // read at least so often, or too much has changed
constexpr Millis kLookUp = 1'000;
}  // namespace

std::optional<Told> read_told(const wire::Json& record, std::uint64_t version) {
    if (!record.is_object()) return std::nullopt;
    Told t;
    t.version = version;
    t.tasks = wire::count(record, "tasks").value_or(0);
    const auto final = wire::text(record, "final");
    for (auto s : {wire::JobStatus::done, wire::JobStatus::cancelled}) {
        if (final == wire::final_name(s)) t.final = s;
    }
    return t;
}

const char* name(AnswersState s) {
    switch (s) {
        case AnswersState::idle:
            return "idle";
        case AnswersState::pausing:
            return "pausing";
        case AnswersState::reading:
            return "reading";
        case AnswersState::starting:
            return "starting";
    }
    return "?";
}

Answers::Answers(Records& records, Millis gap, std::function<void(Millis)> wake, std::size_t half)
    : records_(records), gap_(gap), wake_(std::move(wake)), half_(half) {}

void Answers::set_state(AnswersState s) { state_ = s; }

const Told* Answers::find(const std::string& id) const {
    for (const auto* half : {&young_, &old_}) {
        auto it = half->find(id);
        if (it != half->end()) return &it->second;
    }
    return nullptr;
}

void Answers::keep(const std::string& id, const Told& told) {
    // A lookup may have been faster than the read of the change before it.
    if (const Told* known = find(id); known != nullptr && known->version > told.version) return;
    if (young_.size() >= half_) {
        ++generation_;  // what a lookup under way has missed may be among what goes
        old_ = std::move(young_);
        young_.clear();
    }
    young_[id] = told;
}

void Answers::ask(const std::string& id, Millis patience, Done done, Millis now) {
    waiting_.push_back({id, now + patience, std::move(done)});
    if (state_ == AnswersState::idle) go_on(now);
}

// Reads for those that wait, when the gap since the last read is over.
void Answers::go_on(Millis now) {
    if (waiting_.empty() && (revision_ == 0 || now < read_at_ + kKeepUp)) {
        set_state(AnswersState::idle);
        return;
    }
    if (now < read_at_ + gap_) {
        set_state(AnswersState::pausing);
        wake_(read_at_ + gap_);
        return;
    }
    read_at_ = now;
    std::move(waiting_.begin(), waiting_.end(), std::back_inserter(served_));
    waiting_.clear();
    if (revision_ == 0)
        begin();
    else
        read();
}

void Answers::read() {
    set_state(AnswersState::reading);
    records_.changes(kPrefix, revision_,
                     [this](Millis t, const state::ListReply& r) { on_changes(r, t); });
}

// Nothing that is kept is true of a known revision. What is asked meanwhile is looked up one by
// one.
void Answers::begin() {
    set_state(AnswersState::starting);
    ++generation_;
    young_.clear();
    old_.clear();
    look_up_all(std::exchange(served_, {}));
    records_.revision([this](Millis t, const state::ListReply& r) {
        if (r.outcome == state::Outcome::ok) revision_ = r.revision;
        go_on(t);
    });
}

void Answers::on_changes(const state::ListReply& r, Millis now) {
    auto served = std::exchange(served_, {});
    if (r.outcome != state::Outcome::ok) {
        if (r.outcome == state::Outcome::expired) revision_ = 0;
        // They came before this read and may be served by the next.
        for (Question& q : served) {
            if (now < q.until)
                waiting_.push_back(std::move(q));
            else
                q.done(Found::unknown, {});
        }
        go_on(now);
        return;
    }
    for (const state::Item& i : r.items) {
        if (i.deleted || i.key.size() <= kPrefixLength) continue;
        if (auto told = read_told(i.value, i.version)) keep(i.key.substr(kPrefixLength), *told);
    }
    revision_ = std::max(revision_, r.revision);
    std::vector<Question> unknown;
    for (Question& q : served) {
        if (const Told* told = find(q.id))
            q.done(Found::told, Told(*told));
        else
            unknown.push_back(std::move(q));
    }
    look_up_all(std::move(unknown));
    go_on(now);
}

void Answers::look_up_all(std::vector<Question> questions) {
    std::unordered_map<std::string, std::vector<Question>> by_id;
    for (Question& q : questions) by_id[q.id].push_back(std::move(q));
    for (auto& [id, same] : by_id) look_up(id, std::move(same));
}

// A job whose record has not changed since this node follows them.
void Answers::look_up(const std::string& id, std::vector<Question> questions) {
    auto [it, fresh] = looked_up_.try_emplace(id);
    // One that is under way may have been executed before these came; it is asked again after it.
    std::vector<Question>& list = fresh ? it->second.asked : it->second.later;
    std::move(questions.begin(), questions.end(), std::back_inserter(list));
    if (!fresh) return;
    records_.get(
        job_key(id), kLookUp,
        [this, id, based = revision_ != 0, g = generation_](Millis, const state::GetReply& r) {
            on_looked_up(id, based && g == generation_, r);
        });
}

// Whatever has changed the record since it was asked for is known by now, if changes were followed
// by then and nothing kept was let go since: `may_keep`.
void Answers::on_looked_up(const std::string& id, bool may_keep, const state::GetReply& r) {
    auto node = looked_up_.extract(id);
    const auto told =
        r.outcome == state::Outcome::ok ? read_told(r.item.value, r.item.version) : std::nullopt;
    if (told && may_keep && find(id) == nullptr) keep(id, *told);
    if (!node.mapped().later.empty()) look_up(id, std::move(node.mapped().later));
    for (Question& q : node.mapped().asked) {
        if (told)
            q.done(Found::told, *told);
        else
            q.done(r.outcome == state::Outcome::missing ? Found::missing : Found::unknown, {});
    }
}

void Answers::tend(Millis now) {
    std::vector<Done> late;
    auto expire = [&](std::vector<Question>& list) {
        std::erase_if(list, [&](Question& q) {
            if (now < q.until) return false;
            late.push_back(std::move(q.done));
            return true;
        });
    };
    expire(waiting_);
    expire(served_);
    for (auto& [id, l] : looked_up_) {
        expire(l.asked);
        expire(l.later);
    }
    for (Done& done : late) done(Found::unknown, {});
    if (state_ == AnswersState::idle || state_ == AnswersState::pausing) go_on(now);
}

}  // namespace nickelramp::jobs
