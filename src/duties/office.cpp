#include "duties/office.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "peers/standing.h"

namespace nickelramp::duties {

namespace {
constexpr Millis kRetry = 500;
constexpr Millis kCharge = 4'000;      // a charge lasts so long, by the helper's clock
constexpr Millis kUncharged = 30'000;  // then the helper lets its hold go
std::size_t at(Duty d) { return static_cast<std::size_t>(d); }
}  // namespace

Office::Office(std::string node, std::uint64_t incarnation, std::size_t most_writes, Hooks hooks)
    : node_(std::move(node)),
      incarnation_(incarnation),
      hooks_(std::move(hooks)),
      keeper_(
          node_, incarnation,
          {[this](state::Txn t, CommitDone done) { hooks_.commit(std::move(t), std::move(done)); },
           [this](ListDone done) { hooks_.list(kDutyPrefix, std::move(done)); },
           [this](Duty d, std::uint64_t fence) { hooks_.fenced(d, fence); }}),
      sweep_(most_writes,
             {[this](const std::string& prefix, const std::string& after, std::size_t most,
                     ListDone done) { hooks_.page(prefix, after, most, std::move(done)); },
              [this](const Permit<Cleaning>& permit, state::Txn t, CommitDone done) {
                  hooks_.clean(permit, std::move(t), std::move(done));
              },
              [this] { return hooks_.spare(); }}),
      renting_([this] { return hooks_.clock(); }, [this] { return right(Duty::renting); }),
      returning_([this] { return hooks_.clock(); }, [this] { return right(Duty::returning); }),
      cleaning_([this] { return hooks_.clock(); }, [this] { return right(Duty::cleaning); }),
      hold_validity_(kHoldLife) {}

Right Office::right(Duty d) const {
    const std::uint64_t fence = keeper_.acting(d);
    if (fence == 0) return {};
    if (keeper_.leads()) return {fence, hooks_.leading().until};
    return {fence, std::min(hold_validity_.until(), charge_until_[at(d)])};
}

wire::Json Office::overview() const {
    wire::Json out = wire::Json::object();
    for (Duty d : kAll) {
        out[name(d)] = {{"state", name(keeper_.state(d))},
                        {"holder", keeper_.post(d).holder},
                        {"fence", keeper_.fence(d)}};
    }
    out["swept"] = {{"rounds", sweep_.rounds()},
                    {"dropped", sweep_.dropped()},
                    {"requests", sweep_.requests()}};
    return out;
}

// --- the leader's side

void Office::lead(std::uint64_t number, state::Condition term, std::uint64_t hold, Millis now) {
    if (hold_state_ == HoldState::held) hooks_.end_hold(hold_);  // what hung on it falls vacant
    lose_hold("this node leads");
    term_ = number;
    led_since_ = now;
    helper_.clear();
    std::fill(std::begin(charged_at_), std::end(charged_at_), now);
    keeper_.lead(std::move(term), hold, now);
}

void Office::follow() {
    keeper_.follow();
    term_ = 0;
}

void Office::heard(const peers::Status& s, Millis now) {
    peers_[s.from] = {s.incarnation, s.clock_ms, s.hold, s.state_age_ms < peers::kServedLately,
                      now};
}

const Office::Peer* Office::fresh(const std::string& name, Millis now) const {
    auto it = peers_.find(name);
    if (it == peers_.end() || !it->second.served) return nullptr;
    return now - it->second.heard_at > peers::kPeerFresh ? nullptr : &it->second;
}

// One at a time, and no change without need; whoever has a duty already is the first choice.
void Office::choose_helper(Millis now) {
    if (fresh(helper_, now) != nullptr) return;
    helper_.clear();
    for (Duty d : kAll) {
        if (keeper_.state(d) != State::elsewhere) continue;
        if (fresh(keeper_.post(d).holder, now) != nullptr) helper_ = keeper_.post(d).holder;
    }
    for (const auto& [name, p] : peers_) {
        if (helper_.empty() && fresh(name, now) != nullptr) helper_ = name;
    }
    if (!helper_.empty()) spdlog::info("duties: {} helps", helper_);
}

// Cleaning needs nothing of the leader's memory. The cloud is asked by a helper while the leader
// itself gets no answer: the way there is another, or nothing is lost by trying. What takes blocks
// back is the leader's own book.
bool Office::wanted_elsewhere(Duty d, Millis now) const {
    if (d == Duty::cleaning) return true;
    if (d == Duty::reclaiming) return false;
    return hooks_.cloud_lost(now);
}

void Office::appoint(Millis now) {
    choose_helper(now);
    const Peer* p = fresh(helper_, now);
    for (Duty d : kAll) {
        const bool out = wanted_elsewhere(d, now) && p != nullptr;
        if (keeper_.state(d) == State::held && out && p->hold != 0) {
            charged_at_[at(d)] = now;
            keeper_.give(d, {helper_, p->incarnation, p->hold});
        } else if (keeper_.state(d) == State::elsewhere) {
            const Post& post = keeper_.post(d);
            const bool theirs = p != nullptr && post.holder == helper_ &&
                                post.incarnation == p->incarnation && post.hold == p->hold;
            // Charges end by themselves, this leader's and those of the ones before it: then nobody
            // acts under the duty, whether its holder can be asked or not.
            const Millis over = longer(kCharge) + std::max(charged_at_[at(d)], led_since_);
            if (!(out && theirs && keeper_.chargeable(d)) && now > over) keeper_.take(d);
        }
    }
}

void Office::tell_helper(Millis now) {
    const Peer* p = keeper_.leads() ? fresh(helper_, now) : nullptr;
    if (p == nullptr) return;
    peers::Charge m;
    m.from = node_;
    m.term = term_;
    m.incarnation = p->incarnation;
    m.asked_ms = p->clock_ms;
    m.lease_ms = static_cast<std::uint64_t>(kCharge);
    for (Duty d : kAll) {
        if (!keeper_.chargeable(d) || !wanted_elsewhere(d, now)) continue;
        const Post& post = keeper_.post(d);
        if (post != Post{helper_, p->incarnation, p->hold}) continue;
        charged_at_[at(d)] = now;
        m.duties.push_back({at(d), keeper_.fence(d), post.hold});
    }
    hooks_.charge(helper_, m);
}

// --- the helper's side

void Office::tell(peers::Status& s, Millis now) const {
    s.hold = hold_state_ == HoldState::held && hold_validity_.valid(now) ? hold_ : 0;
}

// The lease runs from when this node sent the status that the charge answers.
void Office::on_charge(const peers::Charge& m, Millis now) {
    const Millis asked = static_cast<Millis>(m.asked_ms);
    if (keeper_.leads() || m.incarnation != incarnation_ || m.term < charged_term_ || asked > now) {
        return;
    }
    const Millis until = asked + shorter(static_cast<Millis>(m.lease_ms));
    if (until <= now) return;  // held up on its way
    charged_term_ = m.term;
    kept_until_ = now + kUncharged;
    for (Duty d : kAll) {
        auto it = std::find_if(m.duties.begin(), m.duties.end(),
                               [&](const auto& c) { return c.number == at(d); });
        if (it == m.duties.end() || it->hold != hold_ || hold_state_ != HoldState::held) {
            keeper_.released(d);
            continue;
        }
        const bool known = keeper_.acting(d) == it->fence;
        keeper_.charged(d, it->fence, it->hold);
        charge_until_[at(d)] = known ? std::max(charge_until_[at(d)], until) : until;
    }
}

void Office::lose_hold(const char* why) {
    if (hold_state_ == HoldState::none) return;
    spdlog::info("duties: this helper's hold is over: {}", why);
    hold_validity_.reset();
    hold_ = 0;
    set_hold_state(HoldState::none);
    keeper_.hold_lost();
}

void Office::tend_hold(Millis now) {
    if (keeper_.leads()) return;
    if (hold_state_ == HoldState::held && now >= kept_until_) {
        hooks_.end_hold(hold_);
        lose_hold("nobody asks for help");
    }
    if (now < renew_at_) return;
    if (hold_state_ == HoldState::none && now < kept_until_) {
        set_hold_state(HoldState::taking);
        renew_at_ = now + kHoldRenewEvery;
        hooks_.take_hold(kHoldLife, [this, now](Millis t, const state::LeaseReply& r) {
            if (hold_state_ != HoldState::taking) {
                if (r.outcome == state::Outcome::ok) hooks_.end_hold(r.lease);
                return;
            }
            if (r.outcome != state::Outcome::ok) {
                set_hold_state(HoldState::none);
                renew_at_ = t + kRetry;
                return;
            }
            hold_ = r.lease;
            hold_validity_.reset();
            hold_validity_.renewed(now);
            set_hold_state(HoldState::held);
        });
    } else if (hold_state_ == HoldState::held) {
        renew_at_ = now + kHoldRenewEvery;
        hooks_.renew_hold(hold_, [this, now, hold = hold_](Millis, const state::LeaseReply& r) {
            if (hold != hold_ || hold_state_ != HoldState::held) return;
            if (r.outcome == state::Outcome::ok)
                hold_validity_.renewed(now);
            else if (r.outcome == state::Outcome::missing)
                lose_hold("it ended");
        });
    }
}

// --- both

void Office::tend(Millis now) {
    auto answers = std::move(later_);
    later_.clear();
    for (auto& [done, reply] : answers) done(now, reply);
    errands_.expire(now);
    keeper_.tend(now);
    if (keeper_.leads() && now < hooks_.leading().until) appoint(now);
    tend_hold(now);
    sweep_.tend(cleaning_.permit(), now);
}

template <typename Send>
void Office::ask(Duty d, peers::Errand errand, HireDone done, Millis now, Send&& send) {
    if (keeper_.state(d) == State::held) {
        if (send(done)) return;
    } else if (keeper_.state(d) == State::elsewhere) {
        const Post& post = keeper_.post(d);
        errand.from = node_;
        errand.incarnation = post.incarnation;
        errand.duty = at(d);
        errand.fence = keeper_.fence(d);
        errand.number = errands_.add(now, done);
        if (hooks_.errand(post.holder, errand)) return;
        // Answered at the next turn, like everything that is not sent.
        done = [this, n = errand.number](Millis t, const fleet::HireReply&) {
            errands_.unsent(n, t);
        };
    }
    later(std::move(done), {fleet::HireReply::Result::unsent, {}});
}

void Office::hire(const Intent& rental, HireDone done, Millis now) {
    peers::Errand e;
    e.request = rental.name;
    e.type = rental.type;
    e.zone = rental.zone;
    e.spot = rental.spot ? 1 : 0;
    e.count = rental.count;
    ask(Duty::renting, std::move(e), std::move(done), now, [&](HireDone& answer) {
        auto permit = renting_.permit();
        if (permit) hooks_.hire(*permit, rental, std::move(answer));
        return permit.has_value();
    });
}

void Office::give_back(const std::vector<std::string>& machines, HireDone done, Millis now) {
    peers::Errand e;
    e.machines = machines;
    ask(Duty::returning, std::move(e), std::move(done), now, [&](HireDone& answer) {
        auto permit = returning_.permit();
        if (permit) hooks_.give_back(*permit, machines, std::move(answer));
        return permit.has_value();
    });
}

void Office::on_errand(const peers::Errand& m, Millis) {
    auto answer = [this, from = m.from, number = m.number](Millis, const fleet::HireReply& r) {
        hooks_.outcome(from, {node_, number, static_cast<std::uint64_t>(r.result), r.machines});
    };
    const bool mine = m.incarnation == incarnation_;
    auto renting = renting_.permit();
    auto returning = returning_.permit();
    if (mine && m.duty == at(Duty::renting) && renting && renting->fence() == m.fence &&
        m.count > 0 && m.count <= UINT32_MAX) {
        hooks_.hire(*renting,
                    {m.request, m.type, m.zone, m.spot != 0, static_cast<std::uint32_t>(m.count)},
                    answer);
    } else if (mine && m.duty == at(Duty::returning) && returning &&
               returning->fence() == m.fence && !m.machines.empty()) {
        hooks_.give_back(*returning, m.machines, answer);
    } else {
        answer(0, {fleet::HireReply::Result::unsent, {}});
    }
}

}  // namespace nickelramp::duties
