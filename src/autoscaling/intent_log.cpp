#include "autoscaling/intent_log.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <charconv>

namespace nickelramp::autoscaling {

namespace {
constexpr Millis kGap = 1'000;      // between writes of one record
constexpr Millis kTidyGap = 2'000;  // what is settled waits for company so long
constexpr Millis kRetry = 250;
constexpr std::size_t kEntryBytes = 24;  // of an entry beyond its texts
// Of value_kb; the rest is for what surrounds the entries.
constexpr std::size_t kPart = 3, kOf = 4;

std::size_t bytes_of(const ProvisioningIntent& intent) {
    return intent.name.size() + intent.type.size() + intent.zone.size() + kEntryBytes;
}
}  // namespace

std::string intent_key(lease::Role role, std::uint64_t term) {
    return std::string(kIntentKeyPrefix) + lease::name(role) + "/" + std::to_string(term);
}

std::optional<std::pair<lease::Role, std::uint64_t>> parse_intent_key(const std::string& key) {
    for (lease::Role role : {lease::Role::scale_out, lease::Role::scale_in}) {
        const std::string prefix = std::string(kIntentKeyPrefix) + lease::name(role) + "/";
        if (key.rfind(prefix, 0) != 0) continue;
        std::uint64_t term = 0;
        const char* end = key.data() + key.size();
        auto [ptr, ec] = std::from_chars(key.data() + prefix.size(), end, term);
        if (ec == std::errc() && ptr == end) return std::pair{role, term};
    }
    return std::nullopt;
}

wire::Json encode_intents(lease::Role role, const std::vector<ProvisioningIntent>& intents) {
    wire::Json list = wire::Json::array();
    for (const ProvisioningIntent& intent : intents) {
        if (role == lease::Role::scale_in)
            list.push_back(wire::Json::array({intent.name}));
        else
            list.push_back(wire::Json::array(
                {intent.name, intent.type, intent.zone, intent.spot, intent.count}));
    }
    return {{"intents", std::move(list)}};
}

std::optional<std::vector<ProvisioningIntent>> decode_intents(lease::Role role,
                                                              const wire::Json& value) {
    const wire::Json* list = wire::field(value, "intents");
    if (list == nullptr || !list->is_array()) return std::nullopt;
    std::vector<ProvisioningIntent> out;
    for (const wire::Json& e : *list) {
        if (!e.is_array() || e.empty() || !e[0].is_string()) return std::nullopt;
        ProvisioningIntent intent;
        intent.name = e[0];
        if (intent.name.empty()) return std::nullopt;
        if (role != lease::Role::scale_in) {
            if (e.size() < 5 || !e[1].is_string() || !e[2].is_string() || !e[3].is_boolean() ||
                !e[4].is_number_unsigned() || e[4] == 0u || e[4] > 100'000u) {
                return std::nullopt;
            }
            intent.type = e[1];
            intent.zone = e[2];
            intent.spot = e[3];
            intent.count = e[4];
        }
        out.push_back(std::move(intent));
    }
    return out;
}

std::vector<ProvisioningIntent> IntentLog::load(lease::Role role, const std::string& key,
                                                const wire::Json& value, std::uint64_t version) {
    auto intents = decode_intents(role, value);
    if (!intents) {
        // What it named is found by the cloud's list; the record is an operator's to look at.
        spdlog::error("record {} cannot be read", key);
        return {};
    }
    Record& r = record(role);
    r.inherited_records.push_back({key, version});
    for (const ProvisioningIntent& intent : *intents) {
        r.bytes += bytes_of(intent);
        r.entries[intent.name] = {intent, true, ++r.insertion_count};
    }
    raise_state(r, State::has_removals);
    return *intents;
}

bool IntentLog::add(lease::Role role, ProvisioningIntent intent) {
    Record& r = record(role);
    if (r.entries.count(intent.name) != 0) return true;
    const std::size_t most =
        static_cast<std::size_t>(term_.settings().state_value_kb * 1024) * kPart / kOf;
    if (r.bytes + bytes_of(intent) > most) return false;
    r.bytes += bytes_of(intent);
    std::string name = intent.name;
    r.entries[name] = {std::move(intent), false, ++r.insertion_count};
    raise_state(r, State::has_additions);
    return true;
}

bool IntentLog::is_recorded(lease::Role role, const std::string& name) const {
    auto it = record(role).entries.find(name);
    return it != record(role).entries.end() && it->second.recorded;
}

void IntentLog::remove(lease::Role role, const std::string& name) {
    Record& r = record(role);
    auto it = r.entries.find(name);
    if (it == r.entries.end()) return;
    r.bytes -= bytes_of(it->second.intent);
    r.entries.erase(it);
    raise_state(r, State::has_removals);
}

void IntentLog::write(Millis now) {
    if (term_.is_shard_holder() || !term_.lease_confirmed(now)) return;
    for (lease::Role role : {lease::Role::scale_out, lease::Role::scale_in}) write(role, now);
}

void IntentLog::write(lease::Role role, Millis now) {
    Record& r = record(role);
    if (r.state == State::clean || r.write_in_flight || now < r.next_write_at ||
        term_.role_fence(role) == 0)
        return;
    if (r.cleanup_at == 0) r.cleanup_at = now + kTidyGap;
    if (r.state == State::has_removals && now < r.cleanup_at) return;
    if (r.uncertain) {
        reread(role);
        return;
    }
    const std::string key = intent_key(role, term_.info().number);
    kvstore::Transaction transaction;
    // Boots take longer than anything that this could hold up.
    transaction.request_class = kvstore::RequestClass::election;
    transaction.conditions = term_.conditions(role);
    transaction.conditions.push_back({key, r.version});
    std::vector<ProvisioningIntent> all;
    std::vector<std::string> names;
    for (const auto& [n, e] : r.entries) {
        all.push_back(e.intent);
        if (!e.recorded) names.push_back(n);
    }
    // Never deleted while the term lasts, and written after every unknown outcome: a late
    // transaction on condition that there is no record would bring back what is settled.
    transaction.writes.push_back({key, encode_intents(role, all)});
    std::size_t dropped = 0;
    for (const kvstore::Condition& c : r.inherited_records) {
        if (transaction.writes.size() >= term_.settings().state_txn_ops) break;
        transaction.conditions.push_back(c);
        transaction.writes.push_back({c.key, std::nullopt});
        ++dropped;
    }
    r.write_in_flight = true;
    r.next_write_at = now + kGap;
    r.cleanup_at = 0;
    set_state(r, State::clean);  // what changes from here on is for the next
    term_.gateway().commit(
        std::move(transaction),
        term_.guarded([this, role, names, dropped](Millis t, const kvstore::CommitReply& reply) {
            on_written(role, names, dropped, reply, t);
        }));
}

void IntentLog::reread(lease::Role role) {
    record(role).write_in_flight = true;
    term_.gateway().read(intent_key(role, term_.info().number),
                         term_.guarded([this, role](Millis t, const kvstore::GetReply& reply) {
                             Record& r = record(role);
                             r.write_in_flight = false;
                             auto stamp = kvstore::version_of(reply);
                             if (!stamp) {
                                 r.next_write_at = t + kRetry;
                                 return;
                             }
                             r.version = *stamp;
                             r.uncertain = false;
                             write(role, t);
                         }));
}

void IntentLog::on_written(lease::Role role, const std::vector<std::string>& names,
                           std::size_t dropped, const kvstore::CommitReply& reply, Millis now) {
    Record& r = record(role);
    r.write_in_flight = false;
    if (reply.status == kvstore::Status::ok) {
        r.version = reply.revision;
        r.inherited_records.erase(
            r.inherited_records.begin(),
            r.inherited_records.begin() + static_cast<std::ptrdiff_t>(dropped));
        if (!r.inherited_records.empty()) raise_state(r, State::has_removals);
        std::vector<std::string> written;
        for (const std::string& n : names) {
            auto it = r.entries.find(n);
            if (it == r.entries.end()) continue;  // settled meanwhile
            it->second.recorded = true;
            written.push_back(n);
        }
        std::sort(written.begin(), written.end(), [&](const auto& a, const auto& b) {
            return r.entries[a].order < r.entries[b].order;
        });
        if (!written.empty()) listener_.on_intents_recorded(role, written, now);
        return;
    }
    raise_state(r, names.empty() ? State::has_removals : State::has_additions);
    r.next_write_at = now + kRetry;
    if (reply.status != kvstore::Status::refused) r.uncertain = true;
    if (reply.status != kvstore::Status::conflict || term_.check_superseded(reply)) return;
    term_.note_rejected_role_fences(reply);
    // A record of an earlier term that has gone since, or that a late answer had dropped already.
    std::erase_if(r.inherited_records, [&](const kvstore::Condition& c) {
        return std::find(reply.failed_conditions.begin(), reply.failed_conditions.end(), c.key) !=
               reply.failed_conditions.end();
    });
}

}  // namespace nickelramp::autoscaling
