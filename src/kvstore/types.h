/// @file
/// Plain types of the key-value store: entries, transactions, replies and their status.
///
/// Nothing here depends on libuv, so that code which only decides can use transactions and replies
/// without the client that sends them (kvstore/client.h).
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "wire/cbor.h"

namespace nickelramp::kvstore {

using wire::Json;

/// How a request to the store ended. `refused` and `unknown` differ in what the caller may assume:
/// a refused request was certainly not executed, an unknown one may still be.
enum class Status {
    ok,
    conflict,                   ///< 409: a condition of the transaction failed
    missing,                    ///< 404: no such key, or no such lease
    lease_or_revision_expired,  ///< 410 for watches, 400 "no such lease" for writes
    refused,                    ///< certainly not executed: 503, 429, or never sent
    unknown,                    ///< may have been, or may yet be, executed
    protocol_error,             ///< a reply that breaks the protocol
};

/// The status in a word, for logs.
[[nodiscard]] const char* name(Status status);

/// A key with its value as it was read, or its deletion.
struct Entry {
    std::string key;
    Json value;
    std::uint64_t version = 0;  ///< revision at which the key was last written
    bool deleted = false;       ///< only among changes: the key was deleted
};

/// Reply to a read of one key. `entry` is valid only with Status::ok.
struct GetReply {
    Status status = Status::unknown;
    Entry entry;
};

/// The version of the key that was read: 0 if it does not exist, nothing if the reply does not say.
[[nodiscard]] std::optional<std::uint64_t> version_of(const GetReply& reply);

/// Reply to a list or a watch. The other fields are valid only with Status::ok.
struct ListReply {
    Status status = Status::unknown;
    std::vector<Entry> entries;  ///< in the order of their keys; of a watch, of their revisions
    std::uint64_t revision = 0;  ///< of the store when it replied
    bool more = false;           ///< of a single page: further keys follow
};

/// Reply to a transaction.
struct CommitReply {
    Status status = Status::unknown;
    std::uint64_t revision = 0;  ///< with Status::ok, the version of what was written
    std::vector<std::string> failed_conditions;  ///< with Status::conflict, the keys at fault
};

/// Reply to a grant or a renewal of a lease. A renewal's reply need not repeat the id.
struct LeaseReply {
    Status status = Status::unknown;
    std::uint64_t lease_id = 0;
};

/// Which requests go first while the budget is short, in this order. `election` is for the few
/// requests that everything else waits for: what a term begins with, and what is written at most
/// once a second. It comes before `user` because a steady stream of user requests must not keep
/// controllers from being elected.
enum class RequestClass { election, user, control, background_urgent, background };
inline constexpr std::size_t kRequestClassCount = 5;

/// The key must have exactly this version when the transaction is applied.
struct Condition {
    std::string key;
    std::uint64_t version = 0;  ///< 0: the key must not exist
};

/// Writes or deletes one key.
struct Write {
    std::string key;
    std::optional<Json> value;   ///< none: the key is deleted
    std::uint64_t lease_id = 0;  ///< the key vanishes with this lease; 0: it is permanent
};

/// All writes are applied if every condition holds, otherwise none.
struct Transaction {
    std::vector<Condition> conditions;
    std::vector<Write> writes;
    RequestClass request_class = RequestClass::background;
};

/// The part of the store's budget that this client may use, per second.
struct RateLimits {
    double requests_per_s = 0;
    double writes_per_s = 0;
};

/// How the store treats this client. A 503 is a refusal; any other reply, even one that says there
/// are too many requests, is an answer. Times are of the loop's steady clock.
struct ServiceHealth {
    Millis refused_since = -1;     ///< when refusals began that no answer followed; -1: none
    Millis unanswered_since = -1;  ///< first request since the last answer; -1: none is open
};

}  // namespace nickelramp::kvstore
