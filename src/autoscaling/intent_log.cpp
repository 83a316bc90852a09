#include "autoscaling/intent_log.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <charconv>

namespace nickelramp::autoscaling {

namespace {
constexpr Millis kWriteInterval = 1'000;  // between writes of one record
constexpr Millis kRemovalDelay = 2'000;   // so that removals are written in batches
constexpr Millis kRetryDelay = 250;
constexpr std::size_t kEntryBytes = 24;  // of an entry without its strings
// The part of state_value_kb that the entries may take. The rest is for the enclosing structure.
constexpr std::size_t kEntriesNumerator = 3, kEntriesDenominator = 4;
constexpr std::size_t kRequestFields = 5;
constexpr std::uint32_t kMaxCount = 100'000;

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
        auto [parsed_to, error] = std::from_chars(key.data() + prefix.size(), end, term);
        if (error == std::errc() && parsed_to == end) return std::pair{role, term};
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

static std::optional<ProvisioningIntent> decode_intent(lease::Role role, const wire::Json& entry) {
    if (!entry.is_array() || entry.empty() || !entry[0].is_string()) return std::nullopt;
    ProvisioningIntent intent;
    intent.name = entry[0];
    if (intent.name.empty()) return std::nullopt;
    if (role == lease::Role::scale_in) return intent;
    if (entry.size() < kRequestFields || !entry[1].is_string() || !entry[2].is_string() ||
        !entry[3].is_boolean() || !entry[4].is_number_unsigned() || entry[4] == 0U ||
        entry[4] > kMaxCount)
        return std::nullopt;
    intent.type = entry[1];
    intent.zone = entry[2];
    intent.spot = entry[3];
    intent.count = entry[4];
    return intent;
}

std::optional<std::vector<ProvisioningIntent>> decode_intents(lease::Role role,
                                                              const wire::Json& value) {
    const wire::Json* list = wire::field(value, "intents");
    if (list == nullptr || !list->is_array()) return std::nullopt;
    std::vector<ProvisioningIntent> intents;
    for (const wire::Json& entry : *list) {
        std::optional<ProvisioningIntent> intent = decode_intent(role, entry);
        if (!intent) return std::nullopt;
        intents.push_back(std::move(*intent));
    }
    return intents;
}

std::vector<ProvisioningIntent> IntentLog::load(lease::Role role, const std::string& key,
                                                const wire::Json& value, std::uint64_t version) {
    auto intents = decode_intents(role, value);
    if (!intents) {
        // The machines it names are found in the cloud's list. The record is kept for inspection by
        // an operator.
        spdlog::error("intent record cannot be read: key={}", key);
        return {};
    }
    Record& target = record(role);
    target.inherited_records.push_back({key, version});
    for (const ProvisioningIntent& intent : *intents) {
        target.bytes += bytes_of(intent);
        target.entries[intent.name] = {intent, true, ++target.insertion_count};
    }
    raise_state(target, State::has_removals);
    return *intents;
}

bool IntentLog::add(lease::Role role, ProvisioningIntent intent) {
    Record& target = record(role);
    if (target.entries.contains(intent.name)) return true;
    const std::size_t max_bytes = static_cast<std::size_t>(term_.settings().max_value_bytes()) *
                                  kEntriesNumerator / kEntriesDenominator;
    if (target.bytes + bytes_of(intent) > max_bytes) return false;
    target.bytes += bytes_of(intent);
    const std::string name = intent.name;
    target.entries[name] = {std::move(intent), false, ++target.insertion_count};
    raise_state(target, State::has_additions);
    return true;
}

bool IntentLog::is_recorded(lease::Role role, const std::string& name) const {
    auto it = record(role).entries.find(name);
    return it != record(role).entries.end() && it->second.recorded;
}

void IntentLog::remove(lease::Role role, const std::string& name) {
    Record& target = record(role);
    auto it = target.entries.find(name);
    if (it == target.entries.end()) return;
    target.bytes -= bytes_of(it->second.intent);
    target.entries.erase(it);
    raise_state(target, State::has_removals);
}

void IntentLog::write(Millis now) {
    if (term_.is_shard_holder() || !term_.lease_confirmed(now)) return;
    for (const lease::Role role : {lease::Role::scale_out, lease::Role::scale_in}) write(role, now);
}

void IntentLog::write(lease::Role role, Millis now) {
    if (term_.role_fence(role) == 0 || !is_due(record(role), now)) return;
    if (record(role).uncertain)
        reread(role);
    else
        commit(role, now);
}

bool IntentLog::is_due(Record& record, Millis now) {
    if (record.state == State::clean || record.write_in_flight || now < record.next_write_at)
        return false;
    if (record.cleanup_at == 0) record.cleanup_at = now + kRemovalDelay;
    return record.state == State::has_additions || now >= record.cleanup_at;
}

void IntentLog::commit(lease::Role role, Millis now) {
    Record& source = record(role);
    const std::string key = intent_key(role, term_.info().number);
    kvstore::Transaction transaction;
    // Sent with high priority, since provisioning waits for it and a boot takes longer than any
    // request that this could delay.
    transaction.request_class = kvstore::RequestClass::election;
    transaction.conditions = term_.conditions(role);
    transaction.conditions.push_back({key, source.version});
    std::vector<ProvisioningIntent> intents;
    std::vector<std::string> new_names;
    for (const auto& [name, entry] : source.entries) {
        intents.push_back(entry.intent);
        if (!entry.recorded) new_names.push_back(name);
    }
    // The record is never deleted during the term and is written again after every unknown outcome.
    // Otherwise a delayed transaction, on condition that no record exists, could restore intents
    // that have been answered.
    transaction.writes.push_back({key, encode_intents(role, intents)});
    std::size_t deleted = 0;
    for (const kvstore::Condition& inherited : source.inherited_records) {
        if (transaction.writes.size() >= term_.settings().state_txn_ops) break;
        transaction.conditions.push_back(inherited);
        transaction.writes.push_back({inherited.key, std::nullopt});
        ++deleted;
    }
    source.write_in_flight = true;
    source.next_write_at = now + kWriteInterval;
    source.cleanup_at = 0;
    source.state = State::clean;  // later changes go into the next write
    term_.gateway().commit(std::move(transaction),
                           term_.guarded([this, role, new_names, deleted](
                                             Millis at, const kvstore::CommitReply& reply) {
                               on_written(role, new_names, deleted, reply, at);
                           }));
}

void IntentLog::reread(lease::Role role) {
    record(role).write_in_flight = true;
    term_.gateway().read(intent_key(role, term_.info().number),
                         term_.guarded([this, role](Millis at, const kvstore::GetReply& reply) {
                             Record& target = record(role);
                             target.write_in_flight = false;
                             const auto version = kvstore::version_of(reply);
                             if (!version) {
                                 target.next_write_at = at + kRetryDelay;
                                 return;
                             }
                             target.version = *version;
                             target.uncertain = false;
                             write(role, at);
                         }));
}

void IntentLog::on_written(lease::Role role, const std::vector<std::string>& names,
                           std::size_t deleted, const kvstore::CommitReply& reply, Millis now) {
    Record& target = record(role);
    target.write_in_flight = false;
    if (reply.status == kvstore::Status::ok) {
        target.version = reply.revision;
        const auto first = target.inherited_records.begin();
        target.inherited_records.erase(first, first + static_cast<std::ptrdiff_t>(deleted));
        if (!target.inherited_records.empty()) raise_state(target, State::has_removals);
        mark_recorded(role, names, now);
        return;
    }
    raise_state(target, names.empty() ? State::has_removals : State::has_additions);
    target.next_write_at = now + kRetryDelay;
    on_write_failed(role, reply);
}

void IntentLog::mark_recorded(lease::Role role, const std::vector<std::string>& names, Millis now) {
    Record& target = record(role);
    std::vector<std::string> recorded;
    for (const std::string& name : names) {
        auto it = target.entries.find(name);
        if (it == target.entries.end()) continue;  // answered in the meantime
        it->second.recorded = true;
        recorded.push_back(name);
    }
    std::sort(recorded.begin(), recorded.end(), [&](const std::string& a, const std::string& b) {
        return target.entries[a].order < target.entries[b].order;
    });
    if (!recorded.empty()) listener_.on_intents_recorded(role, recorded, now);
}

void IntentLog::on_write_failed(lease::Role role, const kvstore::CommitReply& reply) {
    Record& target = record(role);
    if (reply.status != kvstore::Status::refused) target.uncertain = true;
    if (reply.status != kvstore::Status::conflict || term_.check_superseded(reply)) return;
    term_.clear_rejected_role_fences(reply);
    // Drops records of earlier terms that have changed or been deleted, for example by a delayed
    // write.
    std::erase_if(target.inherited_records, [&](const kvstore::Condition& inherited) {
        return std::find(reply.failed_conditions.begin(), reply.failed_conditions.end(),
                         inherited.key) != reply.failed_conditions.end();
    });
}

}  // namespace nickelramp::autoscaling
