#include "tests/election_simulation.h"

#include <algorithm>

namespace nickelramp::test {

using lease::Role;

namespace {
std::size_t at_index(Role role) { return static_cast<std::size_t>(role); }
}  // namespace

struct ElectionSimulation::Controller {
    ElectionSimulation& town;
    std::size_t index;
    std::string name;
    std::uint64_t incarnation;
    double drift;    // of its steady clock
    Millis offset;   // where that began
    bool up = true;  // this process is running
    Millis frozen_until = 0;
    struct Cut {
        Link road;
        Millis until;
        bool held;
    };
    std::vector<Cut> cuts;
    std::uint64_t term = 0;

    // The election's calls.
    struct Seat : election::ElectionStore {
        Controller& c;
        explicit Seat(Controller& owner) : c(owner) {}
        template <typename Reply>
        void ask(std::function<Reply()> executed, std::function<void(Millis, const Reply&)> done) {
            Reply refused, unknown;
            refused.status = kvstore::Status::refused;
            c.town.call<Reply>(c, Link::state, {}, std::move(executed), refused, unknown,
                               std::move(done));
        }
        void list(const std::string& prefix,
                  std::function<void(Millis, const kvstore::ListReply&)> done) override {
            c.trace("election-list", prefix);
            ask<kvstore::ListReply>([this, prefix] { return c.town.list(prefix, "", 10'000); },
                                    std::move(done));
        }
        void watch(const std::string& prefix, std::uint64_t after, Millis wait,
                   std::function<void(Millis, const kvstore::ListReply&)> done) override {
            c.trace("election-watch", prefix, after, wait);
            auto answered = std::make_shared<bool>(false);
            auto reply = [this, done, answered](const kvstore::ListReply& reply) {
                ElectionSimulation& simulation = c.town;
                if (*answered || simulation.is_partitioned(c, Link::state))
                    return;  // lost on its way
                *answered = true;
                simulation.run_in_process(c, simulation.now_ + simulation.delay(5),
                                          [this, done, reply] { done(local(), reply); });
            };
            ElectionSimulation& simulation = c.town;
            if (!simulation.is_partitioned(c, Link::state)) {
                simulation.at(simulation.now_ + simulation.delay(5), [this, prefix, after, reply] {
                    c.town.watches_.push_back({prefix, after, reply});
                    c.town.on_key_changed("", false);
                });
            }
            simulation.at(simulation.now_ + wait, [this, after, reply] {
                kvstore::ListReply r;
                r.status = kvstore::Status::ok;
                r.revision = after;
                if (c.town.now_ >= c.town.down_until_) reply(r);
            });
            simulation.run_in_process(c, simulation.now_ + wait + 5'000, [this, done, answered] {
                if (!std::exchange(*answered, true)) done(local(), kvstore::ListReply{});
            });
        }
        void get(const std::string& key,
                 std::function<void(Millis, const kvstore::GetReply&)> done) override {
            c.trace("election-get", key);
            ask<kvstore::GetReply>(
                [this, key] {
                    kvstore::GetReply reply;
                    auto it = c.town.keys_.find(key);
                    reply.status =
                        it == c.town.keys_.end() ? kvstore::Status::missing : kvstore::Status::ok;
                    if (it != c.town.keys_.end())
                        reply.entry = {key, it->second.value, it->second.version, false};
                    return reply;
                },
                std::move(done));
        }
        void commit(const kvstore::Transaction& transaction,
                    std::function<void(Millis, const kvstore::CommitReply&)> done) override {
            c.trace("election-commit", traced(transaction));
            ask<kvstore::CommitReply>([this, transaction] { return c.town.apply(transaction); },
                                      std::move(done));
        }
        void grant_lease(Millis life,
                         std::function<void(Millis, const kvstore::LeaseReply&)> done) override {
            c.trace("lease", life);
            ask<kvstore::LeaseReply>(
                [this, life] {
                    ElectionSimulation& simulation = c.town;
                    simulation.leases_[++simulation.last_lease_id_] = {life,
                                                                       simulation.now_ + life};
                    return kvstore::LeaseReply{kvstore::Status::ok, simulation.last_lease_id_};
                },
                std::move(done));
        }
        void renew_lease(std::uint64_t hold,
                         std::function<void(Millis, const kvstore::LeaseReply&)> done) override {
            c.trace("renew", hold);
            ask<kvstore::LeaseReply>(
                [this, hold] {
                    ElectionSimulation& simulation = c.town;
                    auto it = simulation.leases_.find(hold);
                    if (it == simulation.leases_.end())
                        return kvstore::LeaseReply{kvstore::Status::missing, 0};
                    it->second.second = simulation.now_ + it->second.first;
                    return kvstore::LeaseReply{kvstore::Status::ok, hold};
                },
                std::move(done));
        }
        void revoke_lease(std::uint64_t hold) override {
            c.trace("end-lease", hold);
            if (c.town.chance(c.town.late_writes)) {
                c.town.at(c.town.now_ + 2'000 + c.town.delay(10'000),
                          [simulation = &c.town, hold] { simulation->expire_lease(hold); });
                return;
            }
            ask<kvstore::LeaseReply>(
                [this, hold] {
                    c.town.expire_lease(hold);
                    return kvstore::LeaseReply{kvstore::Status::ok, 0};
                },
                [](Millis, const kvstore::LeaseReply&) {});
        }
        Millis local() const { return c.local(); }
    };
    Seat seat{*this};
    std::unique_ptr<election::Election> election;
    std::unique_ptr<roles::RoleManager> office;

    Controller(ElectionSimulation& simulation, std::size_t i, std::uint64_t inc, double d)
        : town(simulation),
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
    lease::Lease leads() const {
        if (term == 0) return {};
        return {term, election->lease_valid_until()};
    }
    template <typename... Fields>
    void trace(const char* kind, const Fields&... fields) {
        town.trace_.add(town.now_, kind, name, incarnation, fields...);
    }
};

ElectionSimulation::ElectionSimulation(std::uint64_t seed, std::size_t controllers)
    : random_(seed) {
    controllers_.resize(controllers);
    for (std::size_t i = 0; i < controllers; ++i) start(i);
}

ElectionSimulation::~ElectionSimulation() = default;

roles::RoleManager& ElectionSimulation::role_manager(std::size_t i) {
    return *controllers_[i]->office;
}

void ElectionSimulation::start(std::size_t i) {
    if (controllers_[i]) ended_controllers_.push_back(std::move(controllers_[i]));
    const double drift = static_cast<double>(static_cast<int>(random_() % 11) - 5) * 0.0001;
    controllers_[i] = std::make_unique<Controller>(*this, i, ++incarnations_, drift);
    Controller& controller = *controllers_[i];
    controller.office = std::make_unique<roles::RoleManager>(
        controller.name, controller.incarnation, 6, role_manager_hooks(controller));
    controller.election = std::make_unique<election::Election>(
        controller.seat, controller.name, random_(),
        election::Election::Hooks{
            [this, &controller](std::uint64_t term, std::uint64_t version) {
                controller.trace("elected", term, version);
                controller.term = term;
                controller.office->start_leading(term, {election::kTermKey, version},
                                                 controller.election->lease_id(),
                                                 controller.local());
            },
            [&controller](Millis until) { controller.trace("confirmed", until); },
            [&controller](const std::string&) {
                controller.trace("deposed");
                controller.term = 0;
                controller.office->stop_leading();
            },
            [&controller](const std::string& leader) {
                controller.trace("leader-changed", leader);
            },
            [this, &controller](Millis when) {
                run_in_process(
                    controller, std::max(now_ + 1, controller.outside(when)),
                    [&controller] { controller.election->run_due_work(controller.local()); }, true);
            }});
    run_in_process(controller, now_ + delay(100), [this, &controller] {
        controller.election->start();
        tick(controller);
        send_status(controller);
    });
}

void ElectionSimulation::run_in_process(Controller& controller, Millis t, std::function<void()> f,
                                        bool late) {
    at(t, [this, &controller, f = std::move(f), late] {
        if (!controller.up) return;
        if (now_ < controller.frozen_until)
            run_in_process(controller, controller.frozen_until + (late ? 20 : 0), f, late);
        else
            f();
    });
}

void ElectionSimulation::tick(Controller& controller) {
    run_in_process(
        controller, now_ + 200, [this, &controller] { tick(controller); }, true);
    controller.office->run_due_work(controller.local());
    if (controller.leads().fence == 0) return;
    // The leader's book wants something of the cloud now and then.
    if (random_() % 4 == 0) {
        const std::string request = "r-" + std::to_string(++rentals_);
        controller.office->provision(
            {request, "g4", "a", false, 1},
            [&controller, request](Millis, const auto& reply) {
                controller.trace("rental-answer", request, traced(reply));
            },
            controller.local());
        const std::string machine = "m-" + std::to_string(rentals_);
        controller.office->release(
            {machine},
            [&controller, machine](Millis, const auto& reply) {
                controller.trace("return-answer", machine, traced(reply));
            },
            controller.local());
    }
}

void ElectionSimulation::send_status(Controller& controller) {
    run_in_process(
        controller, now_ + 1'000, [this, &controller] { send_status(controller); }, true);
    peers::Status status;
    status.from = controller.name;
    status.incarnation = controller.incarnation;
    status.clock_ms = static_cast<std::uint64_t>(controller.local());
    status.term = controller.term;
    status.state_age_ms =
        is_partitioned(controller, Link::state) || now_ < down_until_ ? 60'000 : 0;
    controller.office->fill_status(status, controller.local());
    controller.trace("peer-message", traced(peers::encode(status)));
    for (auto& other : controllers_) {
        if (other.get() == &controller) continue;
        send_message(controller, other->name,
                     [status](Controller& to) { to.office->on_status(status, to.local()); });
    }
    controller.office->send_assignment(controller.local());
}

ElectionSimulation::Controller* ElectionSimulation::controller_named(const std::string& name) {
    for (auto& controller : controllers_) {
        if (controller->name == name) return controller.get();
    }
    return nullptr;
}

bool ElectionSimulation::is_partitioned(const Controller& controller, Link road) const {
    return std::any_of(controller.cuts.begin(), controller.cuts.end(),
                       [&](const Controller::Cut& x) { return x.road == road && now_ < x.until; });
}

void ElectionSimulation::send_message(Controller& from, const std::string& to,
                                      std::function<void(Controller&)> hear) {
    Controller* there = controller_named(to);
    if (there == nullptr || chance(message_loss)) return;
    Millis late = delay(20);
    for (Controller* controller : {&from, there}) {
        for (const auto& x : controller->cuts) {
            if (x.road != Link::peers || now_ >= x.until) continue;
            if (!x.held) return;
            late = std::max(late, x.until - now_ + delay(500));
        }
    }
    run_in_process(*there, now_ + late, [there, hear = std::move(hear)] { hear(*there); });
}

template <typename Reply>
void ElectionSimulation::call(Controller& controller, Link road, std::function<bool()> may,
                              std::function<Reply()> executed, Reply refused, Reply unknown,
                              std::function<void(Millis, const Reply&)> done,
                              std::function<void()> sent) {
    // Its turn comes a little later, and the right may be over by then.
    run_in_process(controller, now_ + delay(40), [=, this, &controller] {
        if (may && !may()) {
            ++acts_refused_;
            done(controller.local(), refused);
            return;
        }
        if (sent) sent();
        if (road == Link::state && now_ < down_until_) {
            run_in_process(controller, now_ + delay(10),
                           [&controller, done, refused] { done(controller.local(), refused); });
            return;
        }
        Millis late = delay(10);
        bool heard = !chance(message_loss), arrives = true;
        for (const auto& x : controller.cuts) {
            if (x.road != road || now_ >= x.until) continue;
            heard = false;
            arrives = x.held;
            late = std::max(late, x.until - now_ + delay(500));
        }
        bool late_write = false;
        if constexpr (std::is_same_v<Reply, kvstore::CommitReply>)
            late_write = road == Link::state && chance(late_writes);
        if (late_write) {
            late = std::max(late, 2'000 + delay(10'000));
            heard = false;
        }
        bool at_once_lost = false;
        if constexpr (std::is_same_v<Reply, kvstore::CommitReply> ||
                      std::is_same_v<Reply, kvstore::LeaseReply>)
            at_once_lost =
                lost_write_replies > 0 && arrives && !late_write && chance(lost_write_replies);
        if (at_once_lost) heard = false;
        if (arrives) {
            at(now_ + late, [=, this, &controller] {
                if (road == Link::state && now_ < down_until_) return;
                const std::size_t before = log_.size();
                Reply r = executed();
                for (std::size_t i = before; at_once_lost && i < log_.size(); ++i)
                    ++lost_write_replies_by_key_[log_[i].key];
                if constexpr (std::is_same_v<Reply, kvstore::LeaseReply>)
                    lost_write_replies_by_key_["hold"] += at_once_lost ? 1 : 0;
                if constexpr (std::is_same_v<Reply, kvstore::CommitReply>)
                    late_applied_ += late_write && r.status == kvstore::Status::ok ? 1 : 0;
                if (heard)
                    run_in_process(controller, now_ + delay(10),
                                   [&controller, done, r] { done(controller.local(), r); });
            });
        }
        const bool answered = heard && arrives;
        if (!answered)
            run_in_process(
                controller, now_ + 2'000,
                [&controller, done, unknown] { done(controller.local(), unknown); }, true);
    });
}

bool ElectionSimulation::may_act(const Controller& controller, Role role) const {
    const lease::Lease lease = controller.office->lease_for(role);
    return controller.up && lease.fence != 0 && controller.local() < lease.expires_at;
}

// The plain model: at this moment nobody else has the right, and no later holder has acted before.
void ElectionSimulation::on_act(Controller& controller, Role role, std::uint64_t fence) {
    controller.trace("act", static_cast<int>(role), fence);
    ++act_counts_[at_index(role)];
    if (!controller.office->assigner().is_leading()) ++acts_by_helper_;
    EXPECT_GE(fence, last_fence_[at_index(role)]) << controller.name << " acts under " << name(role)
                                                  << " after its successor has, at " << now_;
    last_fence_[at_index(role)] = fence;
    for (auto& other : controllers_) {
        if (other.get() == &controller) continue;
        EXPECT_FALSE(may_act(*other, role))
            << controller.name << " and " << other->name << " may both act under " << name(role)
            << " at " << now_;
    }
}

roles::RoleManager::Hooks ElectionSimulation::role_manager_hooks(Controller& controller) {
    using Result = cloud::ProvisionReply::Result;
    const cloud::ProvisionReply unsent{Result::not_sent, {}}, unknown{Result::unknown, {}},
        done_reply{Result::provisioned, {}};
    kvstore::CommitReply refused;
    refused.status = kvstore::Status::refused;
    auto order = [this, &controller](const std::string& to, auto hear) {
        const auto lease = controller.leads();
        if (lease.fence == 0 || controller.local() >= lease.expires_at) return false;
        for (auto& other : controllers_) {
            if (other.get() == &controller) continue;
            const auto theirs = other->leads();
            EXPECT_FALSE(other->up && theirs.fence != 0 && other->local() < theirs.expires_at)
                << controller.name << " and " << other->name << " both lead at " << now_;
        }
        send_message(controller, to, hear);
        return true;
    };
    roles::RoleManager::Hooks h;
    h.clock = [&controller] { return controller.local(); };
    h.leader_lease = [&controller] { return controller.leads(); };
    h.commit = [this, &controller, refused](const kvstore::Transaction& transaction,
                                            roles::RoleManager::CommitDone done) {
        controller.trace("commit", traced(transaction));
        auto may = [&controller, lease = controller.leads()] {
            return controller.leads().fence == lease.fence &&
                   controller.local() < controller.leads().expires_at;
        };
        call<kvstore::CommitReply>(
            controller, Link::state, may, [this, transaction] { return apply(transaction); },
            refused, {}, std::move(done));
    };
    h.commit_garbage_collection = [this, &controller, refused](
                                      const lease::LeaseProof<lease::GarbageCollection>& permit,
                                      const kvstore::Transaction& transaction,
                                      roles::RoleManager::CommitDone done) {
        controller.trace("clean", permit.fence(), traced(transaction));
        call<kvstore::CommitReply>(
            controller, Link::state, [permit] { return permit.is_valid(); },
            [this, transaction] { return apply(transaction); }, refused, {}, std::move(done),
            [this, &controller, permit] {
                on_act(controller, Role::garbage_collection, permit.fence());
            });
    };
    auto page = [this, &controller](const std::string& prefix, const std::string& after,
                                    std::size_t most, roles::RoleManager::ListDone done) {
        controller.trace("page", prefix, after, most);
        kvstore::ListReply no;
        no.status = kvstore::Status::refused;
        call<kvstore::ListReply>(
            controller, Link::state, {}, [=, this] { return list(prefix, after, most); }, no, {},
            std::move(done));
    };
    h.list_page = page;
    h.list = [page](const std::string& prefix, roles::RoleManager::ListDone done) {
        page(prefix, "", 10'000, std::move(done));
    };
    h.has_spare_budget = [] { return true; };
    h.grant_lease = [&controller](Millis life, roles::RoleManager::LeaseDone done) {
        controller.seat.grant_lease(life, std::move(done));
    };
    h.renew_lease = [&controller](std::uint64_t hold, roles::RoleManager::LeaseDone done) {
        controller.seat.renew_lease(hold, std::move(done));
    };
    h.revoke_lease = [&controller](std::uint64_t hold) { controller.seat.revoke_lease(hold); };
    h.send_assignment = [order, &controller](const std::string& to,
                                             const peers::RoleAssignment& assignment) {
        controller.trace("peer-message", to, traced(peers::encode(assignment)));
        order(to, [assignment](Controller& there) {
            there.office->on_assignment(assignment, there.local());
        });
    };
    h.send_request = [order, &controller](const std::string& to,
                                          const peers::DelegatedRequest& request) {
        controller.trace("peer-message", to, traced(peers::encode(request)));
        return order(to, [request](Controller& there) {
            there.office->on_delegated_request(request, there.local());
        });
    };
    h.send_result = [this, &controller](const std::string& to,
                                        const peers::DelegatedResult& result) {
        controller.trace("peer-message", to, traced(peers::encode(result)));
        send_message(controller, to, [result](Controller& there) {
            there.office->on_delegated_result(result, there.local());
        });
    };
    h.provision = [=, this, &controller](const lease::LeaseProof<lease::ScaleOut>& permit,
                                         const autoscaling::ProvisioningIntent& rental,
                                         roles::RoleManager::ProvisionDone done) {
        controller.trace("rent", permit.fence(), rental.name, rental.type, rental.zone, rental.spot,
                         rental.count);
        call<cloud::ProvisionReply>(
            controller, Link::cloud, [permit] { return permit.is_valid(); },
            [done_reply] { return done_reply; }, unsent, unknown, std::move(done),
            [this, &controller, permit] { on_act(controller, Role::scale_out, permit.fence()); });
    };
    h.release = [=, this, &controller](const lease::LeaseProof<lease::ScaleIn>& permit,
                                       const std::vector<std::string>& machines,
                                       roles::RoleManager::ProvisionDone done) {
        controller.trace("return", permit.fence(), machines);
        call<cloud::ProvisionReply>(
            controller, Link::cloud, [permit] { return permit.is_valid(); },
            [done_reply] { return done_reply; }, unsent, unknown, std::move(done),
            [this, &controller, permit] { on_act(controller, Role::scale_in, permit.fence()); });
    };
    h.cloud_unreachable = [this, &controller](Millis) {
        return is_partitioned(controller, Link::cloud);
    };
    h.fence_changed = [&controller](Role role, std::uint64_t fence) {
        controller.trace("fenced", static_cast<int>(role), fence);
    };
    return h;
}

// --- the state service

void ElectionSimulation::set_key(const std::string& key, const wire::Json& value) {
    keys_[key] = {value, ++revision_, 0};
    on_key_changed(key, false);
}

std::size_t ElectionSimulation::lost_write_replies_of(const std::string& prefix) const {
    std::size_t n = 0;
    for (const auto& [key, times] : lost_write_replies_by_key_)
        n += key.rfind(prefix, 0) == 0 ? times : 0;
    return n;
}

std::size_t ElectionSimulation::count_keys(const std::string& prefix) const {
    std::size_t n = 0;
    for (const auto& [key, stored] : keys_) n += key.rfind(prefix, 0) == 0 ? 1 : 0;
    return n;
}

kvstore::CommitReply ElectionSimulation::apply(const kvstore::Transaction& transaction) {
    kvstore::CommitReply reply;
    for (const auto& cond : transaction.conditions) {
        auto it = keys_.find(cond.key);
        if ((it == keys_.end() ? 0 : it->second.version) != cond.version)
            reply.failed_conditions.push_back(cond.key);
    }
    reply.revision = revision_;
    reply.status = kvstore::Status::conflict;
    if (!reply.failed_conditions.empty()) return reply;
    for (const auto& w : transaction.writes) {
        if (w.value && w.lease_id != 0 && leases_.count(w.lease_id) == 0) {
            reply.status = kvstore::Status::lease_or_revision_expired;
            return reply;
        }
    }
    reply.status = kvstore::Status::ok;
    reply.revision = ++revision_;
    for (const auto& w : transaction.writes) {
        if (w.value)
            keys_[w.key] = {*w.value, revision_, w.lease_id};
        else
            keys_.erase(w.key);
        on_key_changed(w.key, !w.value);
    }
    return reply;
}

kvstore::ListReply ElectionSimulation::list(const std::string& prefix, const std::string& after,
                                            std::size_t most) {
    kvstore::ListReply reply;
    reply.status = kvstore::Status::ok;
    reply.revision = revision_;
    for (auto it = keys_.upper_bound(std::max(prefix, after)); it != keys_.end(); ++it) {
        if (it->first.rfind(prefix, 0) != 0) break;
        if (reply.entries.size() == most) {
            reply.more = true;
            break;
        }
        reply.entries.push_back({it->first, it->second.value, it->second.version, false});
    }
    // A key that is the prefix itself.
    if (after.empty() && keys_.count(prefix) != 0 && reply.entries.size() < most)
        reply.entries.push_back({prefix, keys_[prefix].value, keys_[prefix].version, false});
    return reply;
}

void ElectionSimulation::on_key_changed(const std::string& key, bool deleted) {
    if (!key.empty()) log_.push_back({revision_, key, deleted});
    if (now_ < down_until_) return;
    std::vector<std::pair<Watch, kvstore::ListReply>> told;
    std::erase_if(watches_, [&](const Watch& w) {
        kvstore::ListReply reply;
        reply.status = kvstore::Status::ok;
        reply.revision = revision_;
        for (const Change& ch : log_) {
            if (ch.revision <= w.after || ch.key.rfind(w.prefix, 0) != 0) continue;
            kvstore::Entry entry;
            entry.key = ch.key;
            entry.version = ch.revision;
            auto it = keys_.find(ch.key);
            entry.deleted = ch.deleted || it == keys_.end();
            if (!entry.deleted) entry.value = it->second.value;
            reply.entries.push_back(entry);
        }
        if (reply.entries.empty()) return false;
        told.emplace_back(w, reply);
        return true;
    });
    for (auto& [w, r] : told) w.reply(r);
}

void ElectionSimulation::expire_lease(std::uint64_t hold) {
    if (leases_.erase(hold) == 0) return;
    std::vector<std::string> gone;
    for (const auto& [key, stored] : keys_) {
        if (stored.lease_id == hold) gone.push_back(key);
    }
    for (const std::string& key : gone) {
        keys_.erase(key);
        ++revision_;
        on_key_changed(key, true);
    }
}

void ElectionSimulation::expire_leases() {
    if (now_ < down_until_) return;
    std::vector<std::uint64_t> over;
    for (const auto& [id, h] : leases_) {
        if (now_ >= h.second) over.push_back(id);
    }
    for (std::uint64_t id : over) expire_lease(id);
}

// --- troubles

void ElectionSimulation::crash(std::size_t i, Millis back_after) {
    controllers_[i]->up = false;
    at(now_ + back_after, [this, i, was = controllers_[i]->incarnation] {
        if (controllers_[i]->incarnation == was) start(i);
    });
}

void ElectionSimulation::freeze(std::size_t i, Millis length) {
    controllers_[i]->frozen_until = std::max(controllers_[i]->frozen_until, now_ + length);
}

void ElectionSimulation::partition(std::size_t i, Link road, Millis length, bool held) {
    controllers_[i]->cuts.push_back({road, now_ + length, held});
}

void ElectionSimulation::take_state_service_down(Millis length) {
    down_until_ = std::max(down_until_, now_ + length);
    at(down_until_, [this] {
        if (now_ < down_until_) return;
        for (auto& [id, h] : leases_) h.second = now_ + h.first;  // every hold has its full time
        on_key_changed("", false);
    });
}

std::size_t ElectionSimulation::leader() const {
    for (const auto& controller : controllers_) {
        const auto lease = controller->leads();
        if (controller->up && lease.fence != 0 && controller->local() < lease.expires_at)
            return controller->index;
    }
    return size();
}

std::size_t ElectionSimulation::role_holder(Role role) const {
    for (const auto& controller : controllers_) {
        if (may_act(*controller, role)) return controller->index;
    }
    return size();
}

Millis ElectionSimulation::longest_vacancy(Role role) {
    const std::size_t i = at_index(role);
    if (vacant_since_[i] != 0)
        longest_vacancy_[i] = std::max(longest_vacancy_[i], now_ - vacant_since_[i]);
    return std::exchange(longest_vacancy_[i], 0);
}

void ElectionSimulation::run_until(Millis t) {
    while (now_ < t && !testing::Test::HasFailure()) {
        Millis next = std::min(t, now_ + 50);
        if (!queue_.empty()) next = std::min(next, std::max(now_, queue_.begin()->first));
        now_ = next;
        while (!queue_.empty() && queue_.begin()->first <= now_) {
            auto f = std::move(queue_.begin()->second);
            queue_.erase(queue_.begin());
            f();
        }
        expire_leases();
        for (Role role : lease::kAllRoles) {
            const std::size_t i = at_index(role);
            std::size_t holders = 0;
            bool able = false;  // a holder that stands still is none who does it
            for (const auto& controller : controllers_) {
                if (!may_act(*controller, role)) continue;
                ++holders;
                able |= now_ >= controller->frozen_until;
            }
            EXPECT_LE(holders, 1u) << name(role) << " at " << now_;
            if (able) {
                if (vacant_since_[i] != 0)
                    longest_vacancy_[i] = std::max(longest_vacancy_[i], now_ - vacant_since_[i]);
                vacant_since_[i] = 0;
            } else if (vacant_since_[i] == 0) {
                vacant_since_[i] = now_;
            }
        }
    }
}

}  // namespace nickelramp::test
