#include "tests/town.h"

#include <algorithm>

namespace nickelramp::test {

using duties::Duty;

namespace {
std::size_t at_index(Duty d) { return static_cast<std::size_t>(d); }
}  // namespace

struct Town::Controller {
    Town& town;
    std::size_t index;
    std::string name;
    std::uint64_t incarnation;
    double drift;    // of its steady clock
    Millis offset;   // where that began
    bool up = true;  // this process is running
    Millis frozen_until = 0;
    struct Cut {
        Road road;
        Millis until;
        bool held;
    };
    std::vector<Cut> cuts;
    std::uint64_t term = 0;

    // The election's calls.
    struct Seat : leadership::Store {
        Controller& c;
        explicit Seat(Controller& owner) : c(owner) {}
        template <typename Reply>
        void ask(std::function<Reply()> executed, std::function<void(Millis, const Reply&)> done) {
            Reply refused, unknown;
            refused.outcome = state::Outcome::refused;
            c.town.call<Reply>(c, Road::state, {}, std::move(executed), refused, unknown,
                               std::move(done));
        }
        void list(const std::string& prefix,
                  std::function<void(Millis, const state::ListReply&)> done) override {
            c.trace("election-list", prefix);
            ask<state::ListReply>([this, prefix] { return c.town.list(prefix, "", 10'000); },
                                  std::move(done));
        }
        void watch(const std::string& prefix, std::uint64_t after, Millis wait,
                   std::function<void(Millis, const state::ListReply&)> done) override {
            c.trace("election-watch", prefix, after, wait);
            auto answered = std::make_shared<bool>(false);
            auto reply = [this, done, answered](const state::ListReply& r) {
                Town& t = c.town;
                if (*answered || t.is_cut(c, Road::state)) return;  // lost on its way
                *answered = true;
                t.inside(c, t.now_ + t.delay(5), [this, done, r] { done(local(), r); });
            };
            Town& t = c.town;
            if (!t.is_cut(c, Road::state)) {
                t.at(t.now_ + t.delay(5), [this, prefix, after, reply] {
                    c.town.watches_.push_back({prefix, after, reply});
                    c.town.changed("", false);
                });
            }
            t.at(t.now_ + wait, [this, after, reply] {
                state::ListReply r;
                r.outcome = state::Outcome::ok;
                r.revision = after;
                if (c.town.now_ >= c.town.down_until_) reply(r);
            });
            t.inside(c, t.now_ + wait + 5'000, [this, done, answered] {
                if (!std::exchange(*answered, true)) done(local(), state::ListReply{});
            });
        }
        void get(const std::string& key,
                 std::function<void(Millis, const state::GetReply&)> done) override {
            c.trace("election-get", key);
            ask<state::GetReply>(
                [this, key] {
                    state::GetReply r;
                    auto it = c.town.keys_.find(key);
                    r.outcome =
                        it == c.town.keys_.end() ? state::Outcome::missing : state::Outcome::ok;
                    if (it != c.town.keys_.end())
                        r.item = {key, it->second.value, it->second.version, false};
                    return r;
                },
                std::move(done));
        }
        void commit(const state::Txn& txn,
                    std::function<void(Millis, const state::CommitReply&)> done) override {
            c.trace("election-commit", traced(txn));
            ask<state::CommitReply>([this, txn] { return c.town.apply(txn); }, std::move(done));
        }
        void lease(Millis life,
                   std::function<void(Millis, const state::LeaseReply&)> done) override {
            c.trace("lease", life);
            ask<state::LeaseReply>(
                [this, life] {
                    Town& t = c.town;
                    t.holds_[++t.last_hold_] = {life, t.now_ + life};
                    return state::LeaseReply{state::Outcome::ok, t.last_hold_};
                },
                std::move(done));
        }
        void renew(std::uint64_t hold,
                   std::function<void(Millis, const state::LeaseReply&)> done) override {
            c.trace("renew", hold);
            ask<state::LeaseReply>(
                [this, hold] {
                    Town& t = c.town;
                    auto it = t.holds_.find(hold);
                    if (it == t.holds_.end()) return state::LeaseReply{state::Outcome::missing, 0};
                    it->second.second = t.now_ + it->second.first;
                    return state::LeaseReply{state::Outcome::ok, hold};
                },
                std::move(done));
        }
        void end_lease(std::uint64_t hold) override {
            c.trace("end-lease", hold);
            if (c.town.chance(c.town.late_writes)) {
                c.town.at(c.town.now_ + 2'000 + c.town.delay(10'000),
                          [t = &c.town, hold] { t->end_hold(hold); });
                return;
            }
            ask<state::LeaseReply>(
                [this, hold] {
                    c.town.end_hold(hold);
                    return state::LeaseReply{state::Outcome::ok, 0};
                },
                [](Millis, const state::LeaseReply&) {});
        }
        Millis local() const { return c.local(); }
    };
    Seat seat{*this};
    std::unique_ptr<leadership::Election> election;
    std::unique_ptr<duties::Office> office;

    Controller(Town& t, std::size_t i, std::uint64_t inc, double d)
        : town(t),
          index(i),
          name("node-" + std::to_string(i)),
          incarnation(inc),
          drift(d),
          offset(static_cast<Millis>(inc) * 1'000) {}
    Millis local() const {
        return offset + static_cast<Millis>(static_cast<double>(town.now_) * (1 + drift));
    }
    Millis outside(Millis local_time) const {
        return static_cast<Millis>(static_cast<double>(local_time - offset) / (1 + drift)) + 1;
    }
    duties::Right leads() const {
        if (term == 0) return {};
        return {term, election->certain_until()};
    }
    template <typename... Fields>
    void trace(const char* kind, const Fields&... fields) {
        town.trace_.add(town.now_, kind, name, incarnation, fields...);
    }
};

Town::Town(std::uint64_t seed, std::size_t controllers) : random_(seed) {
    all_.resize(controllers);
    for (std::size_t i = 0; i < controllers; ++i) start(i);
}

Town::~Town() = default;

duties::Office& Town::office(std::size_t i) { return *all_[i]->office; }

void Town::start(std::size_t i) {
    if (all_[i]) ended_.push_back(std::move(all_[i]));
    const double drift = static_cast<double>(static_cast<int>(random_() % 11) - 5) * 0.0001;
    all_[i] = std::make_unique<Controller>(*this, i, ++incarnations_, drift);
    Controller& c = *all_[i];
    c.office = std::make_unique<duties::Office>(c.name, c.incarnation, 6, hooks(c));
    c.election = std::make_unique<leadership::Election>(
        c.seat, c.name, random_(),
        leadership::Election::Hooks{
            [this, &c](std::uint64_t term, std::uint64_t version) {
                c.trace("elected", term, version);
                c.term = term;
                c.office->lead(term, {leadership::kTermKey, version}, c.election->hold(),
                               c.local());
            },
            [&c](Millis until) { c.trace("confirmed", until); },
            [&c](const std::string&) {
                c.trace("deposed");
                c.term = 0;
                c.office->follow();
            },
            [&c](const std::string& leader) { c.trace("leader-changed", leader); },
            [this, &c](Millis when) {
                inside(
                    c, std::max(now_ + 1, c.outside(when)), [&c] { c.election->tend(c.local()); },
                    true);
            }});
    inside(c, now_ + delay(100), [this, &c] {
        c.election->start();
        tick(c);
        tell(c);
    });
}

void Town::inside(Controller& c, Millis t, std::function<void()> f, bool late) {
    at(t, [this, &c, f = std::move(f), late] {
        if (!c.up) return;
        if (now_ < c.frozen_until)
            inside(c, c.frozen_until + (late ? 20 : 0), f, late);
        else
            f();
    });
}

void Town::tick(Controller& c) {
    inside(
        c, now_ + 200, [this, &c] { tick(c); }, true);
    c.office->tend(c.local());
    if (c.leads().fence == 0) return;
    // The leader's book wants something of the cloud now and then.
    if (random_() % 4 == 0) {
        const std::string request = "r-" + std::to_string(++rentals_);
        c.office->hire(
            {request, "g4", "a", false, 1},
            [&c, request](Millis, const auto& reply) {
                c.trace("rental-answer", request, traced(reply));
            },
            c.local());
        const std::string machine = "m-" + std::to_string(rentals_);
        c.office->give_back(
            {machine},
            [&c, machine](Millis, const auto& reply) {
                c.trace("return-answer", machine, traced(reply));
            },
            c.local());
    }
}

void Town::tell(Controller& c) {
    inside(
        c, now_ + 1'000, [this, &c] { tell(c); }, true);
    peers::Status s;
    s.from = c.name;
    s.incarnation = c.incarnation;
    s.clock_ms = static_cast<std::uint64_t>(c.local());
    s.term = c.term;
    s.state_age_ms = is_cut(c, Road::state) || now_ < down_until_ ? 60'000 : 0;
    c.office->tell(s, c.local());
    c.trace("peer-message", traced(peers::encode(s)));
    for (auto& other : all_) {
        if (other.get() == &c) continue;
        say(c, other->name, [s](Controller& to) { to.office->heard(s, to.local()); });
    }
    c.office->tell_helper(c.local());
}

Town::Controller* Town::named(const std::string& name) {
    for (auto& c : all_) {
        if (c->name == name) return c.get();
    }
    return nullptr;
}

bool Town::is_cut(const Controller& c, Road road) const {
    return std::any_of(c.cuts.begin(), c.cuts.end(),
                       [&](const Controller::Cut& x) { return x.road == road && now_ < x.until; });
}

void Town::say(Controller& from, const std::string& to, std::function<void(Controller&)> hear) {
    Controller* there = named(to);
    if (there == nullptr || chance(lost)) return;
    Millis late = delay(20);
    for (Controller* c : {&from, there}) {
        for (const auto& x : c->cuts) {
            if (x.road != Road::peers || now_ >= x.until) continue;
            if (!x.held) return;
            late = std::max(late, x.until - now_ + delay(500));
        }
    }
    inside(*there, now_ + late, [there, hear = std::move(hear)] { hear(*there); });
}

template <typename Reply>
void Town::call(Controller& c, Road road, std::function<bool()> may,
                std::function<Reply()> executed, Reply refused, Reply unknown,
                std::function<void(Millis, const Reply&)> done, std::function<void()> sent) {
    // Its turn comes a little later, and the right may be over by then.
    inside(c, now_ + delay(40), [=, this, &c] {
        if (may && !may()) {
            ++refused_;
            done(c.local(), refused);
            return;
        }
        if (sent) sent();
        if (road == Road::state && now_ < down_until_) {
            inside(c, now_ + delay(10), [&c, done, refused] { done(c.local(), refused); });
            return;
        }
        Millis late = delay(10);
        bool heard = !chance(lost), arrives = true;
        for (const auto& x : c.cuts) {
            if (x.road != road || now_ >= x.until) continue;
            heard = false;
            arrives = x.held;
            late = std::max(late, x.until - now_ + delay(500));
        }
        bool late_write = false;
        if constexpr (std::is_same_v<Reply, state::CommitReply>)
            late_write = road == Road::state && chance(late_writes);
        if (late_write) {
            late = std::max(late, 2'000 + delay(10'000));
            heard = false;
        }
        bool at_once_lost = false;
        if constexpr (std::is_same_v<Reply, state::CommitReply> ||
                      std::is_same_v<Reply, state::LeaseReply>)
            at_once_lost = at_once > 0 && arrives && !late_write && chance(at_once);
        if (at_once_lost) heard = false;
        if (arrives) {
            at(now_ + late, [=, this, &c] {
                if (road == Road::state && now_ < down_until_) return;
                const std::size_t before = log_.size();
                Reply r = executed();
                for (std::size_t i = before; at_once_lost && i < log_.size(); ++i)
                    ++at_once_[log_[i].key];
                if constexpr (std::is_same_v<Reply, state::LeaseReply>)
                    at_once_["hold"] += at_once_lost ? 1 : 0;
                if constexpr (std::is_same_v<Reply, state::CommitReply>)
                    late_applied_ += late_write && r.outcome == state::Outcome::ok ? 1 : 0;
                if (heard) inside(c, now_ + delay(10), [&c, done, r] { done(c.local(), r); });
            });
        }
        const bool answered = heard && arrives;
        if (!answered)
            inside(
                c, now_ + 2'000, [&c, done, unknown] { done(c.local(), unknown); }, true);
    });
}

bool Town::may_act(const Controller& c, Duty d) const {
    const duties::Right r = c.office->right(d);
    return c.up && r.fence != 0 && c.local() < r.until;
}

// The plain model: at this moment nobody else has the right, and no later holder has acted before.
void Town::acted(Controller& c, Duty d, std::uint64_t fence) {
    c.trace("act", static_cast<int>(d), fence);
    ++acts_[at_index(d)];
    if (!c.office->keeper().leads()) ++by_helpers_;
    EXPECT_GE(fence, last_fence_[at_index(d)])
        << c.name << " acts under " << name(d) << " after its successor has, at " << now_;
    last_fence_[at_index(d)] = fence;
    for (auto& other : all_) {
        if (other.get() == &c) continue;
        EXPECT_FALSE(may_act(*other, d)) << c.name << " and " << other->name
                                         << " may both act under " << name(d) << " at " << now_;
    }
}

duties::Office::Hooks Town::hooks(Controller& c) {
    using Result = fleet::HireReply::Result;
    const fleet::HireReply unsent{Result::unsent, {}}, unknown{Result::unknown, {}},
        done_reply{Result::hired, {}};
    state::CommitReply refused;
    refused.outcome = state::Outcome::refused;
    auto order = [this, &c](const std::string& to, auto hear) {
        const auto r = c.leads();
        if (r.fence == 0 || c.local() >= r.until) return false;
        for (auto& other : all_) {
            if (other.get() == &c) continue;
            const auto theirs = other->leads();
            EXPECT_FALSE(other->up && theirs.fence != 0 && other->local() < theirs.until)
                << c.name << " and " << other->name << " both lead at " << now_;
        }
        say(c, to, hear);
        return true;
    };
    duties::Office::Hooks h;
    h.clock = [&c] { return c.local(); };
    h.leading = [&c] { return c.leads(); };
    h.commit = [this, &c, refused](const state::Txn& txn, duties::Office::CommitDone done) {
        c.trace("commit", traced(txn));
        auto may = [&c, r = c.leads()] {
            return c.leads().fence == r.fence && c.local() < c.leads().until;
        };
        call<state::CommitReply>(
            c, Road::state, may, [this, txn] { return apply(txn); }, refused, {}, std::move(done));
    };
    h.clean = [this, &c, refused](const duties::Permit<duties::Cleaning>& permit,
                                  const state::Txn& txn, duties::Office::CommitDone done) {
        c.trace("clean", permit.fence(), traced(txn));
        call<state::CommitReply>(
            c, Road::state, [permit] { return permit.lasts(); }, [this, txn] { return apply(txn); },
            refused, {}, std::move(done),
            [this, &c, permit] { acted(c, Duty::cleaning, permit.fence()); });
    };
    auto page = [this, &c](const std::string& prefix, const std::string& after, std::size_t most,
                           duties::Office::ListDone done) {
        c.trace("page", prefix, after, most);
        state::ListReply no;
        no.outcome = state::Outcome::refused;
        call<state::ListReply>(
            c, Road::state, {}, [=, this] { return list(prefix, after, most); }, no, {},
            std::move(done));
    };
    h.page = page;
    h.list = [page](const std::string& prefix, duties::Office::ListDone done) {
        page(prefix, "", 10'000, std::move(done));
    };
    h.spare = [] { return true; };
    h.take_hold = [&c](Millis life, duties::Office::LeaseDone done) {
        c.seat.lease(life, std::move(done));
    };
    h.renew_hold = [&c](std::uint64_t hold, duties::Office::LeaseDone done) {
        c.seat.renew(hold, std::move(done));
    };
    h.end_hold = [&c](std::uint64_t hold) { c.seat.end_lease(hold); };
    h.charge = [order, &c](const std::string& to, const peers::Charge& m) {
        c.trace("peer-message", to, traced(peers::encode(m)));
        order(to, [m](Controller& there) { there.office->on_charge(m, there.local()); });
    };
    h.errand = [order, &c](const std::string& to, const peers::Errand& m) {
        c.trace("peer-message", to, traced(peers::encode(m)));
        return order(to, [m](Controller& there) { there.office->on_errand(m, there.local()); });
    };
    h.outcome = [this, &c](const std::string& to, const peers::Outcome& m) {
        c.trace("peer-message", to, traced(peers::encode(m)));
        say(c, to, [m](Controller& there) { there.office->on_outcome(m, there.local()); });
    };
    h.hire = [=, this, &c](const duties::Permit<duties::Renting>& permit,
                           const duties::Intent& rental, duties::Office::HireDone done) {
        c.trace("rent", permit.fence(), rental.name, rental.type, rental.zone, rental.spot,
                rental.count);
        call<fleet::HireReply>(
            c, Road::cloud, [permit] { return permit.lasts(); },
            [done_reply] { return done_reply; }, unsent, unknown, std::move(done),
            [this, &c, permit] { acted(c, Duty::renting, permit.fence()); });
    };
    h.give_back = [=, this, &c](const duties::Permit<duties::Returning>& permit,
                                const std::vector<std::string>& machines,
                                duties::Office::HireDone done) {
        c.trace("return", permit.fence(), machines);
        call<fleet::HireReply>(
            c, Road::cloud, [permit] { return permit.lasts(); },
            [done_reply] { return done_reply; }, unsent, unknown, std::move(done),
            [this, &c, permit] { acted(c, Duty::returning, permit.fence()); });
    };
    h.cloud_lost = [this, &c](Millis) { return is_cut(c, Road::cloud); };
    h.fenced = [&c](Duty d, std::uint64_t fence) { c.trace("fenced", static_cast<int>(d), fence); };
    return h;
}

// --- the state service

void Town::put(const std::string& key, const wire::Json& value) {
    keys_[key] = {value, ++revision_, 0};
    changed(key, false);
}

std::size_t Town::at_once_of(const std::string& prefix) const {
    std::size_t n = 0;
    for (const auto& [key, times] : at_once_) n += key.rfind(prefix, 0) == 0 ? times : 0;
    return n;
}

std::size_t Town::count(const std::string& prefix) const {
    std::size_t n = 0;
    for (const auto& [key, stored] : keys_) n += key.rfind(prefix, 0) == 0 ? 1 : 0;
    return n;
}

state::CommitReply Town::apply(const state::Txn& txn) {
    state::CommitReply reply;
    for (const auto& cond : txn.conditions) {
        auto it = keys_.find(cond.key);
        if ((it == keys_.end() ? 0 : it->second.version) != cond.version)
            reply.failed.push_back(cond.key);
    }
    reply.revision = revision_;
    reply.outcome = state::Outcome::conflict;
    if (!reply.failed.empty()) return reply;
    for (const auto& w : txn.writes) {
        if (w.value && w.lease != 0 && holds_.count(w.lease) == 0) {
            reply.outcome = state::Outcome::expired;
            return reply;
        }
    }
    reply.outcome = state::Outcome::ok;
    reply.revision = ++revision_;
    for (const auto& w : txn.writes) {
        if (w.value)
            keys_[w.key] = {*w.value, revision_, w.lease};
        else
            keys_.erase(w.key);
        changed(w.key, !w.value);
    }
    return reply;
}

state::ListReply Town::list(const std::string& prefix, const std::string& after, std::size_t most) {
    state::ListReply r;
    r.outcome = state::Outcome::ok;
    r.revision = revision_;
    for (auto it = keys_.upper_bound(std::max(prefix, after)); it != keys_.end(); ++it) {
        if (it->first.rfind(prefix, 0) != 0) break;
        if (r.items.size() == most) {
            r.more = true;
            break;
        }
        r.items.push_back({it->first, it->second.value, it->second.version, false});
    }
    // A key that is the prefix itself.
    if (after.empty() && keys_.count(prefix) != 0 && r.items.size() < most)
        r.items.push_back({prefix, keys_[prefix].value, keys_[prefix].version, false});
    return r;
}

void Town::changed(const std::string& key, bool deleted) {
    if (!key.empty()) log_.push_back({revision_, key, deleted});
    if (now_ < down_until_) return;
    std::vector<std::pair<Watch, state::ListReply>> told;
    std::erase_if(watches_, [&](const Watch& w) {
        state::ListReply r;
        r.outcome = state::Outcome::ok;
        r.revision = revision_;
        for (const Change& ch : log_) {
            if (ch.revision <= w.after || ch.key.rfind(w.prefix, 0) != 0) continue;
            state::Item i;
            i.key = ch.key;
            i.version = ch.revision;
            auto it = keys_.find(ch.key);
            i.deleted = ch.deleted || it == keys_.end();
            if (!i.deleted) i.value = it->second.value;
            r.items.push_back(i);
        }
        if (r.items.empty()) return false;
        told.emplace_back(w, r);
        return true;
    });
    for (auto& [w, r] : told) w.reply(r);
}

void Town::end_hold(std::uint64_t hold) {
    if (holds_.erase(hold) == 0) return;
    std::vector<std::string> gone;
    for (const auto& [key, stored] : keys_) {
        if (stored.hold == hold) gone.push_back(key);
    }
    for (const std::string& key : gone) {
        keys_.erase(key);
        ++revision_;
        changed(key, true);
    }
}

void Town::look_at_holds() {
    if (now_ < down_until_) return;
    std::vector<std::uint64_t> over;
    for (const auto& [id, h] : holds_) {
        if (now_ >= h.second) over.push_back(id);
    }
    for (std::uint64_t id : over) end_hold(id);
}

// --- troubles

void Town::crash(std::size_t i, Millis back_after) {
    all_[i]->up = false;
    at(now_ + back_after, [this, i, was = all_[i]->incarnation] {
        if (all_[i]->incarnation == was) start(i);
    });
}

void Town::freeze(std::size_t i, Millis length) {
    all_[i]->frozen_until = std::max(all_[i]->frozen_until, now_ + length);
}

void Town::cut(std::size_t i, Road road, Millis length, bool held) {
    all_[i]->cuts.push_back({road, now_ + length, held});
}

void Town::state_down(Millis length) {
    down_until_ = std::max(down_until_, now_ + length);
    at(down_until_, [this] {
        if (now_ < down_until_) return;
        for (auto& [id, h] : holds_) h.second = now_ + h.first;  // every hold has its full time
        changed("", false);
    });
}

std::size_t Town::leader() const {
    for (const auto& c : all_) {
        const auto r = c->leads();
        if (c->up && r.fence != 0 && c->local() < r.until) return c->index;
    }
    return size();
}

std::size_t Town::holder(Duty d) const {
    for (const auto& c : all_) {
        if (may_act(*c, d)) return c->index;
    }
    return size();
}

Millis Town::longest_gap(Duty d) {
    const std::size_t i = at_index(d);
    if (free_since_[i] != 0) gap_[i] = std::max(gap_[i], now_ - free_since_[i]);
    return std::exchange(gap_[i], 0);
}

void Town::run_until(Millis t) {
    while (now_ < t && !testing::Test::HasFailure()) {
        Millis next = std::min(t, now_ + 50);
        if (!queue_.empty()) next = std::min(next, std::max(now_, queue_.begin()->first));
        now_ = next;
        while (!queue_.empty() && queue_.begin()->first <= now_) {
            auto f = std::move(queue_.begin()->second);
            queue_.erase(queue_.begin());
            f();
        }
        look_at_holds();
        for (Duty d : duties::kAll) {
            const std::size_t i = at_index(d);
            std::size_t holders = 0;
            bool able = false;  // a holder that stands still is none who does it
            for (const auto& c : all_) {
                if (!may_act(*c, d)) continue;
                ++holders;
                able |= now_ >= c->frozen_until;
            }
            EXPECT_LE(holders, 1u) << name(d) << " at " << now_;
            if (able) {
                if (free_since_[i] != 0) gap_[i] = std::max(gap_[i], now_ - free_since_[i]);
                free_since_[i] = 0;
            } else if (free_since_[i] == 0) {
                free_since_[i] = now_;
            }
        }
    }
}

}  // namespace nickelramp::test
