/// @file
/// The state service's HTTP protocol: targets and bodies of requests, and parsing of replies.
///
/// Only this module uses the protocol's names ("path", "stamp", "permit", "epoch").
/// All functions are pure. A reply that violates the protocol is reported as
/// Status::protocol_error.
#pragma once
#include <cstdint>
#include <string>

#include "kvstore/types.h"
#include "net/http_client.h"

namespace nickelramp::kvstore {

/// Returns the status that follows from the reply's HTTP status alone, before the body is parsed.
[[nodiscard]] Status status_of(const net::ClientReply& reply);

[[nodiscard]] std::string get_target(const std::string& key);
/// Returns the target for one page of at most `limit` keys with the prefix, beginning after the key
/// `after` if it isn't empty.
[[nodiscard]] std::string list_target(const std::string& prefix, const std::string& after,
                                      std::size_t limit);
/// Returns the target for changes under the prefix after that revision. The service waits up to
/// `wait` for the first change.
[[nodiscard]] std::string watch_target(const std::string& prefix, std::uint64_t after, Millis wait);
[[nodiscard]] std::string lease_target(std::uint64_t lease_id);
[[nodiscard]] std::string renewal_target(std::uint64_t lease_id);

[[nodiscard]] std::string encode_transaction(const Transaction& transaction);
[[nodiscard]] std::string encode_lease_request(Millis ttl);

[[nodiscard]] GetReply parse_get_reply(const net::ClientReply& reply);
[[nodiscard]] ListReply parse_list_reply(const net::ClientReply& reply);
/// Parses the reply to a watch or to a request for changes. One that is too long to be received is
/// Status::protocol_error.
[[nodiscard]] ListReply parse_changes_reply(const net::ClientReply& reply);
/// Returns Status::unknown for a success without a revision, because the transaction may have been
/// applied.
[[nodiscard]] CommitReply parse_commit_reply(const net::ClientReply& reply);
/// Parses the reply to a grant. A success without a lease id is Status::protocol_error.
[[nodiscard]] LeaseReply parse_grant_reply(const net::ClientReply& reply);
[[nodiscard]] LeaseReply parse_renewal_reply(const net::ClientReply& reply);

}  // namespace nickelramp::kvstore
