// Machines: hiring ahead of need, silent and late ones, giving back.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "dispatch/dispatcher.h"

namespace nickelramp::dispatch {

namespace {
constexpr std::uint32_t kMostHire = 50;   // the cloud's own limit a request
constexpr std::size_t kMostReturn = 100;  // likewise
constexpr double kIdleSurplus = 10;       // seconds
constexpr Millis kSettled = 31'000;       // replicas that have run so long may be moved
constexpr Millis kClosed = 30'000;        // a machine that is being emptied takes nothing new
constexpr Millis kConsolidateEvery = 1'000;
constexpr double kWorthAMove = 1.5;       // so much cheaper is worth the interruption of a replica
constexpr std::size_t kMostFresh = 400;   // machines to ask for in one go
constexpr std::size_t kMostEmptied = 40;  // machines looked at for emptying in one go
constexpr Millis kWatchBusy = 1'000;      // a machine that does well is looked at so often
constexpr Millis kWatchOther = 200;
constexpr Millis kReportSlack = 500;
constexpr Millis kProbing = 3'000;  // two probes take longer than this to fail
constexpr Millis kNeverReported = 45'000;
constexpr double kLate = 1.7;      // boots beyond this many boot times no longer count
constexpr double kHopeless = 4.0;  // and beyond this they are given back
// Classes that leave ordinary machines of the type as a whole.
auto whole_of(Index type) {
    return [type](const auto& l) { return l.whole && !l.spot && l.type == type; };
}
}  // namespace

// How many machines' worth should be free now, so that what comes need not wait for a boot: what
// arrives within one beyond what is left by then, and a margin, since both come in lumps.
template <typename Leaves>
double Dispatcher::wanted_ahead(fleet::Forecast& arrivals, Index type, Leaves leaves, double margin,
                                Millis now) {
    const double boot_s = types_[type].boot_s;
    double left = 0;
    for (const Learned& l : learned_) {
        if (!leaves(l) || l.weight <= 0) continue;
        left += l.share * std::min(1.0, boot_s / std::max(1.0, l.ran_s / l.weight));
    }
    return std::max(0.0, arrivals.within(boot_s, now) - left) +
           margin * std::sqrt(2.0) * arrivals.deviation(boot_s, now);
}

// Packs what found no place onto the machines that are coming, and hires for the rest.
void Dispatcher::plan_supply(const std::vector<Job*>& unplaced, Millis now) {
    if (types_.empty()) return;
    struct Bin {
        Index type, zone;
        bool spot;
        double cpus, gpus, memory_gb;
    };
    std::vector<Bin> bins;
    auto add_bin = [&](Index type, Index zone, bool spot) {
        const wire::MachineType& t = types_[type];
        bins.push_back({type, zone, spot, t.cpus, t.gpus, t.memory_gb});
    };
    for (Index i : coming_) {
        const Machine& m = *roster_.at(i);
        if (m.type == kNone) continue;
        if (domains_.shut(m.zone)) continue;  // nothing can be started there for now
        bool late = now - m.hired_at > seconds(types_[m.type].boot_s * kLate);
        if (m.state == MachineState::joining || !late) add_bin(m.type, m.zone, m.spot);
    }
    for (const auto& [name, h] : market_.under_way()) {
        for (std::uint32_t i = 0; i < h.count; ++i) add_bin(h.kind.type, h.kind.zone, h.kind.spot);
    }
    // What the most urgent work needs is asked for first: the cloud takes few calls.
    std::vector<std::pair<fleet::Kind, std::uint32_t>> wanted;
    auto want = [&](const fleet::Kind& kind) {
        auto it = std::find_if(wanted.begin(), wanted.end(),
                               [&](const auto& w) { return w.first == kind; });
        if (it == wanted.end()) it = wanted.insert(it, {kind, 0});
        ++it->second;
    };
    std::vector<std::uint32_t> there = machines_in_;
    there.resize(zone_names_.size());
    // The cheapest kind that the cloud has not just refused.
    auto cheapest = [&](const Job& j, const Need& need, Index zone, bool at_any_price,
                        auto zone_ok) {
        double least = 0;
        std::optional<fleet::Kind> kind;
        for (Index t = 0; t < types_.size() && t < j.allowed_type.size(); ++t) {
            const wire::MachineType& type = types_[t];
            double fits = placing::how_many(type.cpus, type.gpus, type.memory_gb, need, 64);
            if (j.allowed_type[t] == 0 || fits == 0) continue;
            for (const std::string& zone_name : type.zones) {
                Index z = zone_names_.find(zone_name);
                if ((zone != kNone && z != zone) || !zone_ok(z) || domains_.shut(z)) continue;
                for (bool spot : {true, false}) {
                    if (spot && (!j.spec.spot || options_.use_spot == 0)) continue;
                    if (!at_any_price && dear(j, t, spot)) continue;
                    if (left_to_others(j, t)) continue;
                    if (market_.refused({t, z, spot}, now)) continue;
                    double price = (spot ? type.spot_price : type.price) / fits;
                    price *= 1.0 + 0.001 * there[z];  // keep zones even
                    if (!kind || price < least) {
                        kind = {t, z, spot};
                        least = price;
                    }
                }
            }
        }
        return kind;
    };
    // Where the cloud has not just refused, the zone with fewest machines.
    auto emptiest = [&](Index type, bool spot) {
        std::optional<Index> best;
        for (const std::string& name : types_[type].zones) {
            Index z = zone_names_.find(name);
            if (market_.refused({type, z, spot}, now)) continue;
            if (domains_.shut(z)) continue;
            if (!best || there[z] < there[*best]) best = z;
        }
        return best;
    };
    std::size_t fresh = 0;
    std::vector<std::uint32_t> soon_free = places_soon_free();
    auto supply = [&](Job* j) {
        Need need = placing::need_of(*j);
        std::uint32_t tasks = std::min(j->unstarted(), room_in_limit(*j));
        if (j->gang() && tasks < j->spec.tasks) return;
        if (j->spec.shape == wire::Shape::array) {
            for (Index t = 0; t < soon_free.size() && t < j->allowed_type.size(); ++t) {
                if (j->allowed_type[t] == 0 || left_to_others(*j, t)) continue;
                const std::uint32_t k = std::min(tasks, soon_free[t]);
                soon_free[t] -= k;
                tasks -= k;
            }
        }
        Index zone = j->zone;
        std::vector<std::uint32_t> in_zone(zone_names_.size());
        const std::uint32_t half = (j->spec.tasks + 1) / 2;
        auto zone_ok = [&](Index z) { return !j->spec.spread || in_zone[z] < half; };
        if (j->spec.one_zone || j->spec.spread) {
            in_zone = live_by_zone(*j);
            for (Index z = 0; j->spec.one_zone && z < in_zone.size(); ++z) {
                if (in_zone[z] > 0) zone = z;
            }
        }
        // Gangs of one zone are packed into the zone that already has most room coming.
        if (j->gang() && j->spec.one_zone && zone == kNone && j->spec.tasks > 1) {
            std::vector<std::uint32_t> room(zone_names_.size());
            for (const Bin& b : bins) {
                if (b.spot && !j->spec.spot) continue;
                room[b.zone] += placing::how_many(b.cpus, b.gpus, b.memory_gb, need, tasks);
            }
            for (Machine* m : fitting(*j, need, now)) {
                room[m->zone] +=
                    placing::how_many(m->cpus_free, m->gpus_free, m->memory_free, need, tasks);
            }
            auto most = std::max_element(room.begin(), room.end());
            if (*most > 0) zone = static_cast<Index>(most - room.begin());
        }
        auto pack = [&](Bin& b) {
            if (j->allowed_type.size() <= b.type || j->allowed_type[b.type] == 0) return;
            if ((zone != kNone && b.zone != zone) || !zone_ok(b.zone)) return;
            if (b.spot && !j->spec.spot) return;
            if (left_to_others(*j, b.type)) return;
            std::uint32_t k = placing::how_many(b.cpus, b.gpus, b.memory_gb, need, tasks);
            if (j->spec.spread) k = std::min(k, half - in_zone[b.zone]);
            if (k == 0) return;
            b.cpus -= k * need.cpus;
            b.gpus -= k * need.gpus;
            b.memory_gb -= k * need.memory_gb;
            in_zone[b.zone] += k;
            if (j->spec.one_zone) zone = b.zone;
            tasks -= k;
        };
        for (Bin& b : bins) {
            if (tasks == 0) break;
            pack(b);
        }
        while (tasks > 0 && fresh < kMostFresh) {
            auto kind = cheapest(*j, need, zone, false, zone_ok);
            if (!kind) break;
            auto [t, z, spot] = *kind;
            add_bin(t, z, spot);
            want(*kind);
            ++there[z];
            ++fresh;
            pack(bins.back());
        }
        std::erase_if(bins, [&](const Bin& b) {
            return b.cpus <= placing::kSlack ||
                   (types_[b.type].gpus > 0 && b.gpus <= placing::kSlack);
        });
    };
    for (Job* j : unplaced) {
        if (!j->spec.spot) supply(j);
    }
    // Machines for gangs that are likely to come before another could boot. They are set aside
    // before jobs that may use spot machines are packed: arrays would take them, and as many more
    // would be hired ahead the next time, and the next.
    for (Index type = 0; type < demand_.size(); ++type) {
        const wire::MachineType& t = types_[type];
        auto likely = static_cast<std::size_t>(
            wanted_ahead(demand_[type].pressing, type, whole_of(type), options_.hire_margin, now));
        likely -= std::min(likely, demand_[type].spare);
        std::erase_if(bins, [&](const Bin& b) {
            bool untouched = b.type == type && !b.spot && b.gpus >= t.gpus && b.cpus >= t.cpus;
            if (!untouched || likely == 0) return false;
            --likely;
            return true;
        });
        for (; likely > 0; --likely) {
            auto best = emptiest(type, false);
            if (!best) break;
            want({type, *best, false});
            ++there[*best];
        }
    }
    if (standing_.type != kNone) {
        double ahead = standing_wanted(now) - standing_.places;
        const wire::MachineType& best = types_[standing_.type];
        auto places_of = [&](double cpus, double gpus, double memory_gb) {
            return placing::how_many(cpus, gpus, memory_gb, standing_.need, 1024);
        };
        for (Bin& b : bins) {
            if (ahead <= 0) break;
            if (b.spot || b.type >= standing_.dearness.size() ||
                standing_.dearness[b.type].first > placing::kDear) {
                continue;
            }
            const std::uint32_t k = places_of(b.cpus, b.gpus, b.memory_gb);
            ahead -= k;
            b.cpus -= k * standing_.need.cpus;
            b.gpus -= k * standing_.need.gpus;
            b.memory_gb -= k * standing_.need.memory_gb;
        }
        for (; ahead > 0; ahead -= places_of(best.cpus, best.gpus, best.memory_gb)) {
            auto zone = emptiest(standing_.type, false);
            if (!zone || fresh >= kMostFresh) break;
            ++fresh;
            want({standing_.type, *zone, false});
            ++there[*zone];
        }
    }
    for (Job* j : unplaced) {
        if (j->spec.spot) supply(j);
    }
    // Dear machines for arrays, as many as the forecast of the queue lacks.
    if (dear_for_ != kNone && slots_[dear_for_] != nullptr) {
        Job& j = *slots_[dear_for_];
        double lacking = dear_to_hire_;
        for (const auto& [name, h] : market_.under_way()) {
            if (dear(j, h.kind.type, h.kind.spot)) lacking -= h.count * types_[h.kind.type].cpus;
        }
        while (lacking > 0 && fresh < kMostFresh) {
            auto kind = cheapest(j, placing::need_of(j), j.zone, true, [](Index) { return true; });
            if (!kind) break;
            auto [t, z, spot] = *kind;
            want(*kind);
            ++there[z];
            ++fresh;
            lacking -= std::max(1.0, types_[t].cpus);
        }
    }
    // Spot machines are cheap: room for what is likely to come is hired before it comes.
    for (Index t = 0; t < demand_.size() && options_.use_spot != 0; ++t) {
        auto leaves = [&](const Learned& l) { return l.spot && l.type == t; };
        double ahead = wanted_ahead(demand_[t].spot, t, leaves, options_.spot_margin, now) -
                       demand_[t].spot_room;
        for (const Bin& b : bins) {
            if (b.spot && b.type == t) ahead -= b.cpus / std::max(1.0, types_[t].cpus);
        }
        for (; ahead >= 1; ahead -= 1) {
            auto best = emptiest(t, true);
            if (!best || fresh >= kMostFresh) break;
            ++fresh;
            want({t, *best, true});
            ++there[*best];
        }
    }
    // What does not go out now is counted anew the next time, with what has come meanwhile.
    const std::size_t most =
        std::max<std::size_t>(2, static_cast<std::size_t>(settings_.cloud_rps));
    for (const auto& [kind, n] : wanted) {
        if (market_.under_way().size() >= most) break;
        hire(kind, std::min(n, kMostHire));
    }
}

// A machine hired now is of use after its boot. Places that running array tasks leave before then
// serve the queue as early, and cost nothing. By type: an urgent array once waited for places on
// machines that it is not put on.
std::vector<std::uint32_t> Dispatcher::places_soon_free() const {
    double boot_s = 0;
    for (const wire::MachineType& t : types_) {
        if (boot_s == 0 || t.boot_s < boot_s) boot_s = t.boot_s;
    }
    std::vector<double> places(types_.size());
    for (const Learned& l : learned_) {
        if (l.whole || l.weight <= 0 || l.type >= places.size()) continue;
        double run_s = std::max(1.0, l.ran_s / l.weight);
        places[l.type] += l.running * std::min(1.0, boot_s / run_s);
    }
    return {places.begin(), places.end()};
}

double Dispatcher::expected_run_s(const Job& j) const {
    const Learned& l = learned_[j.job_class];
    double ratio = l.guessed_s > 0 ? l.ran_s / l.guessed_s : 1.0;
    return j.spec.estimate_s * ratio;
}

// Owners' guesses are off, on some days all the same way: remembers how much, class by class.
void Dispatcher::learn_run(const Job& j, const Attempt& a, Millis now) {
    if (a.running_since == 0 || a.number != 1 || j.spec.estimate_s <= 0) return;
    Learned& l = learned_[j.job_class];
    l.weight = l.weight * 0.97 + 1;
    l.ran_s = l.ran_s * 0.97 + static_cast<double>(now - a.running_since) / 1000.0;
    l.guessed_s = l.guessed_s * 0.97 + j.spec.estimate_s;
}

void Dispatcher::hire(const fleet::Kind& kind, std::uint32_t count) {
    const std::string request = market_.ask(term_.number, kind, count);
    if (request.empty()) return;
    const std::string& type = types_[kind.type].name;
    const std::string& zone = zone_names_.name(kind.zone);
    spdlog::info("hiring {} {} {} in {}", count, kind.spot ? "spot" : "ordinary", type, zone);
    outbox_.hire(request, type, zone, kind.spot, count,
                 guarded([this, request, kind](Millis t, const fleet::HireReply& reply) {
                     on_hired(request, kind, reply, t);
                 }));
}

void Dispatcher::on_hired(const std::string& request, const fleet::Kind& kind,
                          const fleet::HireReply& reply, Millis now) {
    market_.answered(request, reply, now);
    const std::string& type = types_[kind.type].name;
    if (reply.result == fleet::HireReply::Result::malformed) {
        spdlog::error("the cloud calls the hire of {} malformed", type);
    }
    for (const std::string& name : reply.machines) {
        if (roster_.buried(name)) continue;
        Machine* m = adopt(name, now);
        identify(*m, "", type, zone_names_.name(kind.zone), kind.spot);
    }
    dirty_ = true;
    if (now >= next_pass_) schedule(now);
}

void Dispatcher::on_hosts(const std::vector<wire::Host>& hosts, Millis asked, Millis now) {
    for (const wire::Host& h : hosts) {
        if (roster_.buried(h.id)) continue;  // the list lags behind its return
        Machine* m = roster_.find(h.id);
        if (m == nullptr) {
            m = adopt(h.id, now);
            m->hired_at = now - seconds(h.age_s);
            spdlog::info("machine {} of the list was not in the book", h.id);
        }
        identify(*m, h.address, h.type, h.zone, h.spot);
        if (m->listed_at == 0) m->listed_at = now;
        if (h.status == wire::HostStatus::failed)
            return_machine(*m, "failed");
        else if (h.status == wire::HostStatus::running && m->state == MachineState::booting &&
                 m->listed_running_at == 0) {
            m->listed_running_at = now;
        }
    }
    if (role_ == Role::leader) miss_from_list(hosts, asked, now);
}

// Does a task of it take most of a machine, and wait for nobody?
bool Dispatcher::whole(const Job& j) const {
    if (j.spec.shape == wire::Shape::array) return false;
    for (Index t = 0; t < types_.size() && t < j.allowed_type.size(); ++t) {
        const wire::MachineType& type = types_[t];
        if (j.allowed_type[t] == 0) continue;
        if (j.spec.cpus * 2 <= type.cpus && j.spec.gpus * 2 <= type.gpus) return false;
    }
    return true;
}

std::size_t Dispatcher::spare_wanted(Index type, Millis now) {
    return static_cast<std::size_t>(std::ceil(
        wanted_ahead(demand_of(type).whole, type, whole_of(type), options_.keep_margin, now)));
}

double Dispatcher::standing_wanted(Millis now) {
    if (standing_.type == kNone || standing_.type >= types_.size()) return 0;
    return options_.replica_margin *
           standing_.arrivals.deviation(types_[standing_.type].boot_s, now);
}

Dispatcher::Demand& Dispatcher::demand_of(Index type) {
    if (demand_.size() <= type) demand_.resize(type + 1);
    return demand_[type];
}

// A spot machine is cheap to keep. An ordinary one stays while it may be needed before another
// boots.
Millis Dispatcher::idle_keep(const Machine& m, Millis now) {
    double boot = m.type == kNone ? 60 : types_[m.type].boot_s;
    if (m.spot) return seconds(2 * boot);
    const bool for_replicas = m.places > 0 && standing_.places - m.places < standing_wanted(now);
    if (for_replicas) return seconds(20 * boot);
    if (m.type == kNone || demand_of(m.type).spare > spare_wanted(m.type, now)) {
        return seconds(kIdleSurplus);
    }
    return seconds(20 * boot);
}

// Is the other machine a better place to stay for a replica? Cheaper by a good part, or fuller.
Dispatcher::Better Dispatcher::better_for(const Job& j, const Machine& from, const Machine& to) {
    const double here = j.dearness_of(from.type, from.spot);
    const double there = j.dearness_of(to.type, to.spot);
    if (there * kWorthAMove <= here) return Better::cheaper;
    if (to.empty() || here * kWorthAMove <= there) return Better::no;
    // Only to fuller ones, or two machines would be emptied onto each other.
    const bool fuller = j.spec.gpus > 0 ? to.gpus_free <= from.gpus_free + placing::kSlack
                                        : to.cpus_free <= from.cpus_free + placing::kSlack;
    return fuller ? Better::fuller : Better::no;
}

// Can all replicas on this machine go on elsewhere at once? Then they do: with the image there, a
// move takes no longer than a few messages. From a dear machine to a cheap one each goes by itself,
// and may fetch its image for as long as its users wait for a start.
bool Dispatcher::move_replicas(Machine& from, std::map<Machine*, Need>& planned, Millis now) {
    std::vector<std::pair<Attempt*, Machine*>> moves;
    std::map<Machine*, Need> taken = planned;
    bool all = true;
    for (Attempt* a : from.attempts) {
        if (!a->live()) continue;
        Job& j = job_of(*a);
        if (!j.service() || a->state != AttemptState::running || a->must_go || j.spec.one_zone ||
            now - a->running_since < kSettled) {
            all = false;
            continue;
        }
        Machine* best = nullptr;
        std::tuple<bool, double, double> best_rank;
        for (Machine* m : fitting(j, placing::need_of(j), now)) {
            if (m == &from || m->reserved_for != kNone) continue;
            if (now < m->closed_until) continue;  // it is being emptied itself
            if (j.spec.spread && j.spec.tasks > 1 && m->zone != from.zone) continue;
            const Better better = better_for(j, from, *m);
            if (better == Better::no) continue;
            Need& t = taken[m];
            if (!placing::covers(m->cpus_free - t.cpus, m->gpus_free - t.gpus,
                                 m->memory_free - t.memory_gb, placing::need_of(j))) {
                continue;
            }
            const double fetch = placing::fetch_wait_s(j, *m, types_[m->type]);
            const bool cheaper = better == Better::cheaper;
            if (fetch > (cheaper ? start_within_s(j) : 0)) continue;
            const double room = j.spec.gpus > 0 ? m->gpus_free : m->cpus_free;
            const std::tuple rank{!cheaper, fetch, room};
            if (best == nullptr || rank < best_rank) {
                best = m;
                best_rank = rank;
            }
        }
        if (best == nullptr) {
            all = false;
            continue;
        }
        taken[best].cpus += j.spec.cpus;
        taken[best].gpus += j.spec.gpus;
        taken[best].memory_gb += j.spec.memory_gb;
        moves.push_back({a, best});
    }
    if (!all) {
        std::erase_if(moves, [&](const auto& move) {
            return better_for(job_of(*move.first), from, *move.second) != Better::cheaper;
        });
    }
    if (moves.empty()) return false;
    spdlog::info("moving {} replicas away from {} ({})", moves.size(), from.name, kind_of(from));
    from.closed_until = now + kClosed;
    planned = std::move(taken);
    for (auto& [a, m] : moves) want_gone(*a, 0, now);
    return true;
}

// How long the users of its class may wait for a start at the most, by the operators' objectives.
double Dispatcher::start_within_s(const Job& j) const {
    double most = 0;
    for (const wire::Objective& o : settings_.objectives) {
        if (o.kind == wire::Objective::Kind::wait && o.job_class == j.spec.job_class) {
            most = std::max(most, o.within_s);
        }
    }
    return most;
}

// Replicas that are spread thinly keep whole machines from gangs and from the cloud, and those on
// dear machines pay for what they do not use.
void Dispatcher::consolidate(Millis now) {
    if (now < next_consolidation_ || !confirmed_) return;
    next_consolidation_ = now + kConsolidateEvery;
    for (Index i : waiting_) {
        if (slots_[i]->service() && slots_[i]->unstarted() > 0) return;
    }
    std::vector<Machine*> list;
    openings_.each(
        {}, [](const auto& kind) { return !kind.spot; },
        [&](Index i) {
            Machine* m = roster_.at(i);
            if (m->firm > 0 && m->reserved_for == kNone && now >= m->closed_until) {
                list.push_back(m);
            }
            return true;
        });
    auto price = [&](const Machine* m) { return types_[m->type].price; };
    std::sort(list.begin(), list.end(), [&](const Machine* a, const Machine* b) {
        return std::tuple(price(a), a->gpus_free, a->cpus_free) >
               std::tuple(price(b), b->gpus_free, b->cpus_free);
    });
    if (list.size() > kMostEmptied) list.resize(kMostEmptied);
    std::vector<char> done(zone_names_.size());
    // Two machines must not be emptied onto the same places: replicas of the second had none left
    // and waited for a boot.
    std::map<Machine*, Need> planned;
    for (Machine* m : list) {
        // One at a time in each zone.
        if (done[m->zone] == 0 && move_replicas(*m, planned, now)) done[m->zone] = 1;
    }
}

void Dispatcher::watch_machines(Millis now) {
    std::vector<Index> due;
    for (Index i = machine_agenda_.next(now); i != kNone; i = machine_agenda_.next(now)) {
        due.push_back(i);
    }
    for (Index i : due) {
        if (Machine* m = roster_.at(i)) watch_machine(*m, now);
    }
    send_returns(now);
}

// What time does to a machine: it is late, silent, idle, or its lease is over.
void Dispatcher::watch_machine(Machine& m, Millis now) {
    // A report is at most a quarter late. Two probes that fail after that tell enough: the cloud's
    // answer to the return is what proves the machine gone.
    const Millis probe_after = seconds(1.25 * settings_.report_s) + kReportSlack;
    const Millis give_up = probe_after + kProbing;
    const bool blind = domains_.sky(m.zone) != domains::Sky::clear;
    const Millis silent = now - m.heard_at;
    bool well = m.usable() && !m.empty() && silent < probe_after - kWatchBusy;
    machine_agenda_.by(m.index, now + (well ? kWatchBusy : kWatchOther));
    if (m.state == MachineState::lent) return;
    if (m.reserved_for != kNone && now >= m.reserved_until) drop_reservation(m);
    if (!m.direct_in_flight && now >= m.retry_direct_at) poke(m);
    if (m.state == MachineState::booting) {
        double boot_s = m.type == kNone ? 60 : types_[m.type].boot_s;
        if (now - m.hired_at > seconds(boot_s * kHopeless + settings_.list_lag_s)) {
            return_machine(m, "never came up");
        } else if (m.listed_running_at != 0 && now - m.listed_running_at > kNeverReported &&
                   !blind) {
            return_machine(m, "runs but never reported");
        }
        if (now - m.hired_at > seconds(boot_s * kLate) && !m.late) {
            m.late = true;
            dirty_ = true;  // no longer counted on
        }
        if (!m.attempts.empty() && now > m.lease_until) {
            // Known from a record only, and its lease is long over.
            return_machine(m, "known from records only");
        }
        return;
    }
    // Counted before any is given up: that many fall silent together must be seen before the first
    // is returned.
    if (m.up && silent > probe_after) set_silent(m, true);
    if (silent > probe_after && !m.direct_in_flight && now >= m.retry_direct_at &&
        m.state != MachineState::gone) {
        m.wants_confirm = true;
        m.retry_direct_at = now;
        poke(m);
    }
    if (silent > give_up && m.direct_failures > 1) give_up_silent(m, now);
    if (silent > seconds(settings_.lease_s) && deputies_.over(m.lease_until, now)) {
        // Whatever it had, it has killed by itself.
        while (!m.attempts.empty()) proven_gone(*m.attempts.back(), now);
    }
    if (role_ == Role::holder) return;
    if (!m.empty()) {
        m.idle_since = 0;
        return;
    }
    if (m.idle_since == 0) m.idle_since = now;
    bool over = m.state == MachineState::draining && m.warned_until == 0;
    if (m.open() && m.reserved_for == kNone && now - m.idle_since > idle_keep(m, now)) {
        return_machine(m, "is idle");
    } else if (over) {
        return_machine(m, "is drained");
    } else if (m.state == MachineState::draining && m.attempts.empty()) {
        return_machine(m, "is taken back");
    }
}

void Dispatcher::return_machine(Machine& m, const char* why) {
    if (m.state == MachineState::returning || m.state == MachineState::gone) return;
    if (role_ == Role::holder) {
        // Only the leader deals with the cloud.
        if (std::find(troubled_.begin(), troubled_.end(), m.name) == troubled_.end()) {
            spdlog::info("machine {} of this block {}", m.name, why);
            troubled_.push_back(m.name);
        }
        if (m.state == MachineState::ready) set_machine_state(m, MachineState::draining);
        return;
    }
    spdlog::info("returning machine {}: it {}", m.name, why);
    set_machine_state(m, MachineState::returning);
}

void Dispatcher::send_returns(Millis now) {
    if (return_in_flight_ || now < retry_return_at_ || !confirmed_ || role_ == Role::holder) return;
    std::vector<std::string> names;
    for (Index i : returning_) {
        if (names.size() < kMostReturn) names.push_back(roster_.at(i)->name);
    }
    if (names.empty()) return;
    return_in_flight_ = true;
    outbox_.give_back(names, guarded([this, names](Millis t, bool ok) {
                          return_in_flight_ = false;
                          if (!ok) {
                              retry_return_at_ = t + 1000;
                              return;
                          }
                          // The answer proves them gone, and everything on them.
                          for (const std::string& name : names) {
                              if (Machine* m = roster_.find(name)) machine_gone(*m, t);
                          }
                          flush_poked(t);
                          if (dirty_ && t >= next_pass_) schedule(t);
                      }));
}

void Dispatcher::tick(Millis now) {
    if (!started_ || deposed_) return;
    look_at_domains(now);
    watch_machines(now);
    if (role_ == Role::leader) {
        consolidate(now);
        share_machines(now);
        check_leases(now);
        commit_blocks(now);
    }
    drop_leftovers(now);
    tend_jobs(now);
    flush_poked(now);
    if (dirty_ || now >= next_pass_ + 1000) schedule(now);
}

}  // namespace nickelramp::dispatch
