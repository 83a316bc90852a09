/// @file
/// The state service's HTTP protocol: targets and bodies of requests, and what its replies mean.
///
/// This is the only place that knows the protocol's names ("path", "stamp", "permit", "epoch").
/// Pure functions: nothing is sent here, and a reply that breaks the protocol is reported as
/// Status::protocol_error.
#pragma once
#include <cstdint>
#include <string>

#include "kvstore/types.h"
#include "net/http_client.h"

namespace nickelramp::kvstore {

/// What a reply's HTTP status means, before its body is read.
[[nodiscard]] Status status_of(const net::ClientReply& reply);

[[nodiscard]] std::string get_target(const std::string& key);
/// One page of at most `limit` keys with the prefix, beginning after `after` if it isn't empty.
[[nodiscard]] std::string list_target(const std::string& prefix, const std::string& after,
                                      std::size_t limit);
/// Changes under the prefix after that revision; the service waits up to `wait` for the first.
[[nodiscard]] std::string watch_target(const std::string& prefix, std::uint64_t after, Millis wait);
[[nodiscard]] std::string lease_target(std::uint64_t lease_id);
[[nodiscard]] std::string renewal_target(std::uint64_t lease_id);

[[nodiscard]] std::string encode_transaction(const Transaction& transaction);
[[nodiscard]] std::string encode_lease_request(Millis ttl);

[[nodiscard]] GetReply parse_get_reply(const net::ClientReply& reply);
[[nodiscard]] ListReply parse_list_reply(const net::ClientReply& reply);
/// Of a watch, or of a request for changes.
[[nodiscard]] ListReply parse_changes_reply(const net::ClientReply& reply);
/// A success that names no revision is Status::unknown: the transaction may have been applied.
[[nodiscard]] CommitReply parse_commit_reply(const net::ClientReply& reply);
/// Of a grant, which must name the lease: without one it is Status::protocol_error.
[[nodiscard]] LeaseReply parse_grant_reply(const net::ClientReply& reply);
[[nodiscard]] LeaseReply parse_renewal_reply(const net::ClientReply& reply);

}  // namespace nickelramp::kvstore
