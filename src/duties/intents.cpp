#include "duties/intents.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <charconv>

namespace nickelramp::duties {

namespace {
constexpr Millis kGap = 1'000;      // between writes of one record
constexpr Millis kTidyGap = 2'000;  // what is settled waits for company so long
constexpr Millis kRetry = 250;
constexpr std::size_t kEntryBytes = 24;  // of an entry beyond its texts
// Of value_kb; the rest is for what surrounds the entries.
constexpr std::size_t kPart = 3, kOf = 4;

std::size_t bytes_of(const Intent& i) {
    return i.name.size() + i.type.size() + i.zone.size() + kEntryBytes;
}
}  // namespace

std::string intent_key(Duty d, std::uint64_t term) {
    return std::string(kIntentPrefix) + name(d) + "/" + std::to_string(term);
}

std::optional<std::pair<Duty, std::uint64_t>> parse_intent_key(const std::string& key) {
    for (Duty d : {Duty::renting, Duty::returning}) {
        const std::string prefix = std::string(kIntentPrefix) + name(d) + "/";
        if (key.rfind(prefix, 0) != 0) continue;
        std::uint64_t term = 0;
        const char* end = key.data() + key.size();
        auto [ptr, ec] = std::from_chars(key.data() + prefix.size(), end, term);
        if (ec == std::errc() && ptr == end) return std::pair{d, term};
    }
    return std::nullopt;
}

wire::Json intents_record(Duty d, const std::vector<Intent>& intents) {
    wire::Json list = wire::Json::array();
    for (const Intent& i : intents) {
        if (d == Duty::returning)
            list.push_back(wire::Json::array({i.name}));
        else
            list.push_back(wire::Json::array({i.name, i.type, i.zone, i.spot, i.count}));
    }
    return {{"intents", std::move(list)}};
}

std::optional<std::vector<Intent>> read_intents(Duty d, const wire::Json& value) {
    const wire::Json* list = wire::field(value, "intents");
    if (list == nullptr || !list->is_array()) return std::nullopt;
    std::vector<Intent> out;
    for (const wire::Json& e : *list) {
        if (!e.is_array() || e.empty() || !e[0].is_string()) return std::nullopt;
        Intent i;
        i.name = e[0];
        if (i.name.empty()) return std::nullopt;
        if (d != Duty::returning) {
            if (e.size() < 5 || !e[1].is_string() || !e[2].is_string() || !e[3].is_boolean() ||
                !e[4].is_number_unsigned() || e[4] == 0u || e[4] > 100'000u) {
                return std::nullopt;
            }
            i.type = e[1];
            i.zone = e[2];
            i.spot = e[3];
            i.count = e[4];
        }
        out.push_back(std::move(i));
    }
    return out;
}

std::vector<Intent> Intents::load(Duty d, const std::string& key, const wire::Json& value,
                                  std::uint64_t version) {
    auto intents = read_intents(d, value);
    if (!intents) {
        // What it named is found by the cloud's list; the record is an operator's to look at.
        spdlog::error("record {} cannot be read", key);
        return {};
    }
    Record& r = record(d);
    r.inherited.push_back({key, version});
    for (const Intent& i : *intents) {
        r.bytes += bytes_of(i);
        r.entries[i.name] = {i, true, ++r.added};
    }
    worse(r, State::tidying);
    return *intents;
}

bool Intents::add(Duty d, Intent intent) {
    Record& r = record(d);
    if (r.entries.count(intent.name) != 0) return true;
    const std::size_t most =
        static_cast<std::size_t>(term_.settings().state_value_kb * 1024) * kPart / kOf;
    if (r.bytes + bytes_of(intent) > most) return false;
    r.bytes += bytes_of(intent);
    std::string name = intent.name;
    r.entries[name] = {std::move(intent), false, ++r.added};
    worse(r, State::adding);
    return true;
}

bool Intents::on_record(Duty d, const std::string& name) const {
    auto it = record(d).entries.find(name);
    return it != record(d).entries.end() && it->second.written;
}

void Intents::settled(Duty d, const std::string& name) {
    Record& r = record(d);
    auto it = r.entries.find(name);
    if (it == r.entries.end()) return;
    r.bytes -= bytes_of(it->second.intent);
    r.entries.erase(it);
    worse(r, State::tidying);
}

void Intents::commit(Millis now) {
    if (term_.holder() || !term_.confirmed(now)) return;
    for (Duty d : {Duty::renting, Duty::returning}) commit(d, now);
}

void Intents::commit(Duty d, Millis now) {
    Record& r = record(d);
    if (r.state == State::clean || r.in_flight || now < r.next_at || term_.fence(d) == 0) return;
    if (r.tidy_at == 0) r.tidy_at = now + kTidyGap;
    if (r.state == State::tidying && now < r.tidy_at) return;
    if (r.uncertain) {
        reread(d);
        return;
    }
    const std::string key = intent_key(d, term_.info().number);
    state::Txn txn;
    // Boots take longer than anything that this could hold up.
    txn.urgency = state::Urgency::first;
    txn.conditions = term_.conditions(d);
    txn.conditions.push_back({key, r.version});
    std::vector<Intent> all;
    std::vector<std::string> names;
    for (const auto& [n, e] : r.entries) {
        all.push_back(e.intent);
        if (!e.written) names.push_back(n);
    }
    // Never deleted while the term lasts, and written after every unknown outcome: a late
    // transaction on condition that there is no record would bring back what is settled.
    txn.writes.push_back({key, intents_record(d, all)});
    std::size_t dropped = 0;
    for (const state::Condition& c : r.inherited) {
        if (txn.writes.size() >= term_.settings().state_txn_ops) break;
        txn.conditions.push_back(c);
        txn.writes.push_back({c.key, std::nullopt});
        ++dropped;
    }
    r.in_flight = true;
    r.next_at = now + kGap;
    r.tidy_at = 0;
    set_state(r, State::clean);  // what changes from here on is for the next
    term_.outbox().commit(
        std::move(txn),
        term_.guarded([this, d, names, dropped](Millis t, const state::CommitReply& reply) {
            on_commit(d, names, dropped, reply, t);
        }));
}

void Intents::reread(Duty d) {
    record(d).in_flight = true;
    term_.outbox().read(intent_key(d, term_.info().number),
                        term_.guarded([this, d](Millis t, const state::GetReply& reply) {
                            Record& r = record(d);
                            r.in_flight = false;
                            auto stamp = state::stamp(reply);
                            if (!stamp) {
                                r.next_at = t + kRetry;
                                return;
                            }
                            r.version = *stamp;
                            r.uncertain = false;
                            commit(d, t);
                        }));
}

void Intents::on_commit(Duty d, const std::vector<std::string>& names, std::size_t dropped,
                        const state::CommitReply& reply, Millis now) {
    Record& r = record(d);
    r.in_flight = false;
    if (reply.outcome == state::Outcome::ok) {
        r.version = reply.revision;
        r.inherited.erase(r.inherited.begin(),
                          r.inherited.begin() + static_cast<std::ptrdiff_t>(dropped));
        if (!r.inherited.empty()) worse(r, State::tidying);
        std::vector<std::string> written;
        for (const std::string& n : names) {
            auto it = r.entries.find(n);
            if (it == r.entries.end()) continue;  // settled meanwhile
            it->second.written = true;
            written.push_back(n);
        }
        std::sort(written.begin(), written.end(), [&](const auto& a, const auto& b) {
            return r.entries[a].order < r.entries[b].order;
        });
        if (!written.empty()) listener_.on_record(d, written, now);
        return;
    }
    worse(r, names.empty() ? State::tidying : State::adding);
    r.next_at = now + kRetry;
    if (reply.outcome != state::Outcome::refused) r.uncertain = true;
    if (reply.outcome != state::Outcome::conflict || term_.superseded(reply)) return;
    term_.refuted(reply);
    // A record of an earlier term that has gone since, or that a late answer had dropped already.
    std::erase_if(r.inherited, [&](const state::Condition& c) {
        return std::find(reply.failed.begin(), reply.failed.end(), c.key) != reply.failed.end();
    });
}

}  // namespace nickelramp::duties
