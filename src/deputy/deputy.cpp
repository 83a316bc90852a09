#include "deputy/deputy.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "blocks/ledger.h"
#include "peers/standing.h"

namespace nickelramp::deputy {

namespace {
// The leader says something every second, the state service answers a watch every five.
constexpr Millis kLeaderSilent = 3'000;
constexpr Millis kStateSilent = 6'500;
// Longer cuts are rare, and so much longer must be waited before a lease is known to be over.
constexpr double kAnswerLeases = 2;
constexpr std::size_t kMostContacts = 20'000;
}  // namespace

Millis answer_bound(const wire::Settings& s) {
    // The worker's clock may be the slow one: its lease then lasts a little longer than ours says.
    return std::max<Millis>(0, shorter(seconds(s.cancel_s)) - longer(seconds(s.lease_s)) - 1500);
}

Millis longest_answer(const wire::Settings& s) {
    return std::max(answer_bound(s), seconds(kAnswerLeases * s.lease_s));
}

Millis last_lease(const wire::Settings& s, Millis now) {
    return now + longer(longest_answer(s) + seconds(s.lease_s)) + 1000;
}

const char* name(State s) {
    switch (s) {
        case State::none:
            return "none";
        case State::standing:
            return "standing";
        case State::answering:
            return "answering";
    }
    return "?";
}

void Deputy::set_state(State s) {
    if (s == state_) return;
    if (s == State::answering) {
        spdlog::info("neither leader nor state service is heard: answering machines of term {}",
                     leave_.term);
    } else if (state_ == State::answering) {
        spdlog::info("answering machines no more");
        contacts_.clear();
    }
    state_ = s;
}

// The leave's age counts from the sending of the status that it answers, so it ends no later than
// the leader thinks.
void Deputy::on_leave(const peers::Leave& leave, std::uint64_t incarnation, Millis now) {
    const auto asked = static_cast<Millis>(leave.asked_ms);
    if (leave.incarnation != incarnation || asked > now || leave.term < leave_.term) return;
    const Millis view = asked - static_cast<Millis>(leave.view_age_ms);
    if (leave.term == leave_.term && leave.clock_ms < leave_.clock_ms) return;
    view_ = leave.term == leave_.term ? std::max(view_, view) : view;
    leave_ = leave;
}

void Deputy::look(Millis leader_at, Millis state_at, Millis now) {
    if (leave_.term == 0 || now - view_ > shorter(static_cast<Millis>(leave_.answer_ms))) {
        return set_state(State::none);
    }
    const bool alone = now - leader_at > kLeaderSilent && now - state_at > kStateSilent;
    set_state(alone ? State::answering : State::standing);
}

std::optional<std::uint64_t> Deputy::answer(const wire::Report& r, bool follows, Millis now) {
    if (state_ != State::answering) return std::nullopt;
    // Under its own token, which no worker drops. Not where somebody else has been in charge, or
    // may have been since the leave was given.
    const std::uint64_t grant = r.token >> blocks::kGrantShift;
    if (blocks::term_of(r.token) != leave_.term) return std::nullopt;
    if (grant > leave_.highest >> blocks::kGrantShift) return std::nullopt;
    for (std::uint64_t lent : leave_.lent) {
        if (grant == lent >> blocks::kGrantShift) return std::nullopt;
    }
    // The leader counts on a lease after the last of these answers: none goes to a copy, or to a
    // worker that does not hear them.
    auto it = contacts_.find(r.machine);
    if (it == contacts_.end()) {
        if (contacts_.size() >= kMostContacts) return std::nullopt;
        it = contacts_.emplace(r.machine, workers::Contact{}).first;
        it->second.begin(1, now);
    }
    workers::Contact& contact = it->second;
    const Millis lease = seconds(settings_.lease_s);
    if (contact.reported(r, follows, now) == workers::Proof::copy) return std::nullopt;
    if (!contact.worth_an_answer(lease, now)) return std::nullopt;
    contact.answer(lease, now);
    answered_at_ = now;
    return r.token;
}

void Deputy::tell(peers::Status& s, Millis now) const {
    s.confirms = 1;
    s.leave_term = leave_.term;
    s.leave_clock_ms = leave_.clock_ms;
    s.answered_age_ms = answered_at_ == 0 ? 0 : static_cast<std::uint64_t>(now - answered_at_) + 1;
}

Millis Deputies::lease_after(Millis answered) const {
    return answered + longer(seconds(settings_.lease_s)) + 1000;
}

void Deputies::heard(const peers::Status& s, std::uint64_t term, Millis now) {
    Entry& e = entries_[s.from];
    if (e.incarnation != s.incarnation) {
        // The process before this one may have answered, and cannot tell any more.
        if (e.view != 0) departed_.push_back(e.view);
        std::erase_if(departed_, [&](Millis view) {
            return now > lease_after(view + longer(longest_answer(settings_)));
        });
        e = {};
        e.incarnation = s.incarnation;
    }
    e.clock_ms = s.clock_ms;
    e.heard_at = now;
    e.confirms = s.confirms != 0;
    if (s.leave_term == term) {
        // This was said after that leave had come, and it came after it was sent.
        e.quiet_until = std::max(e.quiet_until, static_cast<Millis>(s.leave_clock_ms));
    }
    if (s.answered_age_ms != 0) {
        e.answered_at =
            std::max(e.answered_at, now - shorter(static_cast<Millis>(s.answered_age_ms)));
    }
}

std::vector<std::pair<std::string, peers::Leave>> Deputies::leaves(
    std::uint64_t term, std::uint64_t highest, const std::vector<std::uint64_t>& lent,
    Millis view_fresh, Millis now) {
    std::vector<std::pair<std::string, peers::Leave>> out;
    for (auto& [peer, e] : entries_) {
        if (now - e.heard_at > peers::kPeerFresh) continue;
        peers::Leave l;
        l.from = settings_.name;
        l.term = term;
        l.incarnation = e.incarnation;
        l.asked_ms = e.clock_ms;
        l.clock_ms = static_cast<std::uint64_t>(now);
        l.view_age_ms = static_cast<std::uint64_t>(std::max<Millis>(0, now - view_fresh));
        l.answer_ms = static_cast<std::uint64_t>(answer_for());
        l.highest = highest;
        l.lent = lent;
        e.view = std::max(e.view, view_fresh);
        out.emplace_back(peer, std::move(l));
    }
    return out;
}

Millis Deputies::answer_for() const {
    const bool all =
        std::all_of(settings_.peers.begin(), settings_.peers.end(), [this](const wire::Peer& p) {
            auto e = entries_.find(p.name);
            return p.name == settings_.name || (e != entries_.end() && e->second.confirms);
        });
    return all ? longest_answer(settings_) : answer_bound(settings_);
}

Millis Deputies::until(Millis lease_until) const {
    Millis known = lease_until;
    for (const auto& [peer, e] : entries_) {
        if (e.answered_at != 0) known = std::max(known, lease_after(e.answered_at));
    }
    Millis most = known;
    const Millis bound = longer(longest_answer(settings_));
    for (const auto& [peer, e] : entries_) {
        // A deputy that was quiet until the lease was over cannot have made it longer.
        if (e.view != 0 && e.quiet_until < known)
            most = std::max(most, lease_after(e.view + bound));
    }
    for (Millis view : departed_) most = std::max(most, lease_after(view + bound));
    return most;
}

bool Deputies::over(Millis lease_until, Millis now) const { return now > until(lease_until); }

}  // namespace nickelramp::deputy
