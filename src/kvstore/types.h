/// @file
/// Plain types of the key-value store: entries, transactions, replies and their status.
///
/// This header does not depend on libuv, so that code without I/O can use transactions and replies
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

/// Outcome of a request to the store. A `refused` request was certainly not executed. An `unknown`
/// one may have been executed or may still be.
enum class Status {
    ok,
    conflict,                   ///< 409: a condition of the transaction failed
    missing,                    ///< 404: no such key, or no such lease
    lease_or_revision_expired,  ///< 410 for watches, 400 "no such lease" for writes
    refused,                    ///< certainly not executed: 503, 429, or never sent
    unknown,                    ///< may have been executed, or may be executed later
    protocol_error,             ///< the reply violates the protocol
};

/// Returns the status as a word, for logs.
[[nodiscard]] const char* name(Status status);

/// A key with the value that was read, or the deletion of a key.
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

/// Returns the version of the key that was read, 0 if it does not exist, or nothing if the read
/// failed.
[[nodiscard]] std::optional<std::uint64_t> version_of(const GetReply& reply);

/// Reply to a list or a watch. The other fields are valid only with Status::ok.
struct ListReply {
    Status status = Status::unknown;
    std::vector<Entry> entries;  ///< in the order of keys; for a watch, of revisions
    std::uint64_t revision = 0;  ///< revision of the store when it replied
    bool more = false;           ///< for a single page: further keys follow
};

/// Reply to a transaction.
struct CommitReply {
    Status status = Status::unknown;
    std::uint64_t revision = 0;  ///< with Status::ok, the version of the written keys
    std::vector<std::string> failed_conditions;  ///< with Status::conflict, their keys
};

/// Reply to the grant or renewal of a lease. The reply to a renewal may omit the id.
struct LeaseReply {
    Status status = Status::unknown;
    std::uint64_t lease_id = 0;
};

/// Classes of requests, in the order in which they are sent while the budget is limited. `election`
/// is for the few requests that all other work depends on: those at the start of a term, and writes
/// that occur at most once a second. It precedes `user` because a steady stream of user requests
/// must not prevent elections.
enum class RequestClass { election, user, control, background_urgent, background };
inline constexpr std::size_t kRequestClassCount = 5;

/// Requires that the key has exactly this version when the transaction is applied.
struct Condition {
    std::string key;
    std::uint64_t version = 0;  ///< 0: the key must not exist
};

/// Writes or deletes one key.
struct Write {
    std::string key;
    std::optional<Json> value;   ///< none: the key is deleted
    std::uint64_t lease_id = 0;  ///< the key is deleted with this lease; 0: it is permanent
};

/// A transaction. All writes are applied if every condition holds, otherwise none.
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

/// Health of the store as seen by this client. A 503 is a refusal. Any other reply, including 429,
/// is an answer. Times are those of the event loop's steady clock.
struct ServiceHealth {
    Millis refused_since = -1;     ///< first refusal since the last answer; -1: none
    Millis unanswered_since = -1;  ///< start of the wait for an answer; -1: none is missing
};

}  // namespace nickelramp::kvstore
