/// @file
/// Shards are sets of machines, each held by one controller: the leader, or a peer to which the
/// leader leases the shard. Each shard has a record in the state service with its own fencing
/// token, which is committed before the holder may use a machine of the shard:
///
///   block/<number>  {holder, token, machines: [[name, address, type, zone, spot], ...]}
///
/// The key prefix and the field names are the stored format, which is older than the term "shard".
///
/// Fencing tokens are 64 bits: 32 bits of term, 20 bits of grant number within the term, and 12
/// bits that the holder may raise on its own.
#pragma once
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "kvstore/types.h"

namespace nickelramp::shards {

/// Maximum number of machines in one of the leader's own shards. A leased shard may have fewer.
inline constexpr std::size_t kMaxShardMachines = 32;
inline constexpr int kGrantShift = 12;  ///< number of bits below the grant number
inline constexpr int kTermShift = 32;   ///< number of bits below the term
/// Grants of one term. The last ones are kept for shards.
inline constexpr std::uint64_t kMaxGrants = (std::uint64_t{1} << (kTermShift - kGrantShift)) - 1;
inline constexpr std::uint64_t kGrantsKeptForShards = 1'000;

/// Returns the lowest token of a term, which is below the tokens of all its grants.
[[nodiscard]] inline std::uint64_t term_token(std::uint64_t term) { return term << kTermShift; }
/// Returns the token of the term's grant with this number, counted from 1.
[[nodiscard]] inline std::uint64_t grant_token(std::uint64_t term, std::uint64_t grant) {
    return term_token(term) | grant << kGrantShift;
}
/// Returns whether the token is the last that its holder may issue under its grant.
[[nodiscard]] inline bool is_last_of_grant(std::uint64_t token) {
    constexpr std::uint64_t kMaxRaises = (std::uint64_t{1} << kGrantShift) - 1;
    return (token & kMaxRaises) == kMaxRaises;
}
/// Returns the term under which a token was granted.
[[nodiscard]] inline std::uint64_t term_of(std::uint64_t token) { return token >> kTermShift; }

/// A machine of a shard, with what a new leader must know before the machine sends a heartbeat.
struct ShardMember {
    std::string name, address, type, zone;
    bool spot = false;
};

/// A shard as known in this term. The holder, the token and the machines are stored. The other
/// fields are the state of writing the record.
struct Shard {
    std::uint64_t version = 0;  ///< revision of its record's last write; 0: no record
    std::string holder;
    std::uint64_t fencing_token = 0;
    std::vector<ShardMember> members;
    bool dirty = false;            ///< its record must be written
    bool write_uncertain = false;  ///< a write's outcome is unknown; read before writing again
    bool being_reclaimed = false;  ///< reclaimed from a holder, and not yet recorded
};

/// Returns the key of the shard's record.
[[nodiscard]] std::string shard_key(std::uint32_t number);
/// Returns the shard's number; nullopt if the key has another form.
[[nodiscard]] std::optional<std::uint32_t> parse_shard_key(const std::string& key);
[[nodiscard]] wire::Json encode_shard(const Shard& shard);
/// Returns the stored part of a shard; nullopt if the value is malformed.
[[nodiscard]] std::optional<Shard> decode_shard(const wire::Json& value);

/// The shards of one term, including the leader's own. Every machine is in at most one shard.
///
/// Guarantees: each grant gets a token higher than all earlier ones of the table, and every change
/// marks the shard as dirty.
///
/// ShardLeaseWriter owns the table and writes the records, ShardAllocator leases shards out and
/// reclaims them, and the control loop adds and removes machines. Runs on the loop thread and does
/// no I/O.
class ShardLeaseTable {
  public:
    /// Empties the table for a new term.
    /// @param holder this controller, which holds the shards that are not leased out.
    void start_term(std::uint64_t term, const std::string& holder);
    /// Makes this controller the holder of a shard found in the state service, under a new token.
    void load_shard(std::uint32_t number, Shard shard);

    /// Adds the machine to a shard of this controller that has room, or to a new one. Does nothing
    /// if the machine is already in a shard.
    void add_machine(const ShardMember& member);
    void remove_machine(const std::string& name);
    /// Moves machines, all of which must be in the table, into a new shard of another holder.
    /// @return the new shard's number.
    std::uint32_t lease_out(const std::vector<std::string>& names, const std::string& holder);
    /// Makes this controller the holder of the shard again, under a new token.
    void reclaim(std::uint32_t number);

    /// Issues a grant for one machine of this controller whose shard's grant has no tokens left. It
    /// is not recorded: it lies above all grants of the term so far and below all later ones.
    /// @return the grant's token, or 0 if the term has no grants left for machines.
    [[nodiscard]] std::uint64_t grant_to_machine();

    /// Returns the token of the machine's shard; 0 if it is in none.
    [[nodiscard]] std::uint64_t token_of(const std::string& name) const;
    /// Returns the highest token granted so far in this term.
    [[nodiscard]] std::uint64_t highest_granted_token() const {
        return grant_token(term_, granted_count_);
    }

    /// Returns the numbers of at most `limit` dirty shards, in ascending order.
    [[nodiscard]] std::vector<std::uint32_t> dirty_shards(std::size_t limit) const;
    /// Returns the shard with this number. Adds an empty one if there is none.
    Shard& shard(std::uint32_t number) { return shards_[number]; }
    [[nodiscard]] const std::map<std::uint32_t, Shard>& shards() const { return shards_; }

  private:
    [[nodiscard]] std::uint32_t next_shard_number() const;
    void grant_to(Shard& shard, const std::string& holder);

    std::map<std::uint32_t, Shard> shards_;
    std::map<std::string, std::uint32_t> shard_of_machine_;
    std::uint64_t term_ = 0;
    std::uint64_t granted_count_ = 0;
    std::string holder_;
};

}  // namespace nickelramp::shards
