#include "kvstore/protocol.h"

#include <utility>

namespace nickelramp::kvstore {

namespace {
constexpr const char* kNoSuchLease = "no such lease";

// The key is in the field "path" of items that are read, and in "set" or "drop" of changes. The
// entry's key is empty if the item has none of these fields.
Entry parse_entry(const Json& item) {
    Entry entry;
    if (auto read = wire::text_field(item, "path"))
        entry.key = *read;
    else if (auto written = wire::text_field(item, "set"))
        entry.key = *written;
    else if (auto deleted = wire::text_field(item, "drop")) {
        entry.key = *deleted;
        entry.deleted = true;
    }
    entry.version = wire::count_field(item, "stamp").value_or(0);
    if (const Json* value = wire::field(item, "v")) entry.value = *value;
    return entry;
}

// Returns false if there is no such list, or if an item in it has no key.
[[nodiscard]] bool parse_entries(const Json& body, const char* list_name,
                                 std::vector<Entry>& entries) {
    const Json* list = wire::field(body, list_name);
    if (list == nullptr || !list->is_array()) return false;
    for (const Json& item : *list) {
        Entry entry = parse_entry(item);
        if (entry.key.empty()) return false;
        entries.push_back(std::move(entry));
    }
    return true;
}

std::vector<std::string> parse_failed_conditions(const Json& body) {
    std::vector<std::string> keys;
    const Json* failed = wire::field(body, "failed");
    if (failed == nullptr || !failed->is_array()) return keys;
    for (const Json& key : *failed) {
        if (key.is_string()) keys.push_back(key.get<std::string>());
    }
    return keys;
}

// Unlike that of a transaction, the outcome of a read whose reply is too long is certain.
Status list_status_of(const net::ClientReply& reply) {
    const bool too_long = reply.outcome == net::ClientReply::Outcome::too_long;
    return too_long ? Status::protocol_error : status_of(reply);
}

Json encode_write(const Write& write) {
    if (!write.value) return {{"drop", write.key}};
    Json put = {{"set", write.key}, {"v", *write.value}};
    if (write.lease_id != 0) put["permit"] = write.lease_id;
    return put;
}
}  // namespace

Status status_of(const net::ClientReply& reply) {
    if (reply.outcome == net::ClientReply::Outcome::refused) return Status::refused;
    if (reply.outcome != net::ClientReply::Outcome::answered) return Status::unknown;
    switch (reply.status) {
        case 200:
            return Status::ok;
        case 404:
            return Status::missing;
        case 409:
            return Status::conflict;
        case 410:
            return Status::lease_or_revision_expired;
        case 429:
        case 503:
            return Status::refused;
        default:
            return Status::protocol_error;
    }
}

std::string get_target(const std::string& key) { return "/kv/" + key; }

std::string list_target(const std::string& prefix, const std::string& after, std::size_t limit) {
    std::string target = "/kv?under=" + prefix + "&limit=" + std::to_string(limit);
    if (!after.empty()) target += "&from=" + after;
    return target;
}

std::string watch_target(const std::string& prefix, std::uint64_t after, Millis wait) {
    return "/watch?under=" + prefix + "&from=" + std::to_string(after) +
           "&hold_ms=" + std::to_string(wait);
}

std::string lease_target(std::uint64_t lease_id) { return "/holds/" + std::to_string(lease_id); }

std::string renewal_target(std::uint64_t lease_id) { return lease_target(lease_id) + "/touch"; }

std::string encode_transaction(const Transaction& transaction) {
    Json conditions = Json::array();
    for (const Condition& condition : transaction.conditions)
        conditions.push_back({{"path", condition.key}, {"stamp", condition.version}});
    Json writes = Json::array();
    for (const Write& write : transaction.writes) writes.push_back(encode_write(write));
    return wire::encode({{"when", std::move(conditions)}, {"writes", std::move(writes)}});
}

std::string encode_lease_request(Millis ttl) { return wire::encode({{"life_ms", ttl}}); }

GetReply parse_get_reply(const net::ClientReply& reply) {
    GetReply parsed;
    parsed.status = status_of(reply);
    if (parsed.status != Status::ok) return parsed;
    if (auto body = wire::decode_reply_map(reply.body)) parsed.entry = parse_entry(*body);
    if (parsed.entry.key.empty()) parsed.status = Status::protocol_error;
    return parsed;
}

ListReply parse_list_reply(const net::ClientReply& reply) {
    ListReply parsed;
    parsed.status = list_status_of(reply);
    if (parsed.status != Status::ok) return parsed;
    const auto body = wire::decode_reply_map(reply.body);
    if (!body) {
        parsed.status = Status::protocol_error;
        return parsed;
    }
    if (!parse_entries(*body, "items", parsed.entries)) parsed.status = Status::protocol_error;
    parsed.revision = wire::count_field(*body, "epoch").value_or(0);
    parsed.more = wire::flag_field(*body, "truncated").value_or(false);
    return parsed;
}

ListReply parse_changes_reply(const net::ClientReply& reply) {
    ListReply parsed;
    parsed.status = list_status_of(reply);
    if (parsed.status != Status::ok) return parsed;
    const auto body = wire::decode_reply_map(reply.body);
    const auto revision = body ? wire::count_field(*body, "epoch") : std::nullopt;
    if (!revision || !parse_entries(*body, "news", parsed.entries))
        parsed.status = Status::protocol_error;
    else
        parsed.revision = *revision;
    return parsed;
}

CommitReply parse_commit_reply(const net::ClientReply& reply) {
    CommitReply parsed;
    parsed.status = status_of(reply);
    const auto body = reply.body.empty() ? std::nullopt : wire::decode_reply_map(reply.body);
    if (body) {
        parsed.revision = wire::count_field(*body, "epoch").value_or(0);
        parsed.failed_conditions = parse_failed_conditions(*body);
        if (reply.status == 400 && wire::text_field(*body, "error") == kNoSuchLease)
            parsed.status = Status::lease_or_revision_expired;
    }
    if (parsed.status == Status::ok && parsed.revision == 0) parsed.status = Status::unknown;
    return parsed;
}

LeaseReply parse_renewal_reply(const net::ClientReply& reply) {
    LeaseReply parsed;
    parsed.status = status_of(reply);
    if (parsed.status != Status::ok) return parsed;
    const auto body = wire::decode_reply_map(reply.body);
    const auto lease_id = body ? wire::count_field(*body, "permit") : std::nullopt;
    parsed.lease_id = lease_id.value_or(0);
    return parsed;
}

LeaseReply parse_grant_reply(const net::ClientReply& reply) {
    LeaseReply parsed = parse_renewal_reply(reply);
    if (parsed.status == Status::ok && parsed.lease_id == 0) parsed.status = Status::protocol_error;
    return parsed;
}

}  // namespace nickelramp::kvstore
