/// @file
/// Shards: sets of machines that the leader leases to one controller each, and their records in the
/// state service. A record is committed, with a fencing token of its own, before the shard's holder
/// may use a machine of it:
///
///   block/<number>  {holder, token, machines: [[name, address, type, zone, spot], ...]}
///
/// The key and the field names are the stored format, older than the name "shard".
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

/// Machines that the leader collects in one shard of its own. A leased shard may have fewer.
inline constexpr std::size_t kMaxShardMachines = 32;
inline constexpr int kGrantShift = 12;  ///< bits below the grant number
inline constexpr int kTermShift = 32;   ///< bits below the term

/// The lowest token of a term, below those of all its grants.
[[nodiscard]] inline std::uint64_t term_token(std::uint64_t term) { return term << kTermShift; }
/// The token of the term's grant with this number, counted from 1.
[[nodiscard]] inline std::uint64_t grant_token(std::uint64_t term, std::uint64_t grant) {
    return term_token(term) | grant << kGrantShift;
}
/// The term under which a token was given out.
[[nodiscard]] inline std::uint64_t term_of(std::uint64_t token) { return token >> kTermShift; }

/// A machine of a shard, with what a new leader must know of it before it reports.
struct ShardMember {
    std::string name, address, type, zone;
    bool spot = false;
};

/// A shard as this term knows it. Holder, token and members are stored; the rest is the state of
/// writing the record.
struct Shard {
    std::uint64_t version = 0;  ///< revision of its record's last write; 0: no record
    std::string holder;
    std::uint64_t fencing_token = 0;
    std::vector<ShardMember> members;
    bool dirty = false;            ///< its record is to be written
    bool write_uncertain = false;  ///< a write's outcome is unknown: read before writing again
    bool being_reclaimed = false;  ///< taken back from a holder, and not yet on record
};

/// The key of the shard's record.
[[nodiscard]] std::string shard_key(std::uint32_t number);
/// The shard's number; nothing if the key has another form.
[[nodiscard]] std::optional<std::uint32_t> parse_shard_key(const std::string& key);
[[nodiscard]] wire::Json encode_shard(const Shard& shard);
/// The stored part of a shard; nothing if the value is malformed.
[[nodiscard]] std::optional<Shard> decode_shard(const wire::Json& value);

/// The shards of one term, the leader's own among them; every machine is in one shard at most.
///
/// Guarantees: each grant gets a token higher than all earlier ones of the table, and every change
/// sets the shard dirty. It writes nothing itself: ShardLeaseWriter owns the table and writes the
/// records; ShardAllocator leases shards out and reclaims them; the control loop adds and removes
/// machines. Runs on the one loop thread and does no I/O.
class ShardLeaseTable {
  public:
    /// Empties the table for a new term.
    /// @param holder this controller, the holder of what is not leased out.
    void start_term(std::uint64_t term, const std::string& holder);
    /// Takes over a shard found in the state service, whoever held it, under a new token.
    void load_shard(std::uint32_t number, Shard shard);

    /// Puts the machine into a shard of this controller with room; no change if it is in one.
    void add_machine(const ShardMember& member);
    void remove_machine(const std::string& name);
    /// Moves machines, all of which must be in the table, into a shard of their own for another
    /// holder.
    /// @return the new shard's number.
    std::uint32_t lease_out(const std::vector<std::string>& names, const std::string& holder);
    /// Makes the shard this controller's again, under a new token.
    void reclaim(std::uint32_t number);

    /// The token of the machine's shard; 0 if it is in none.
    [[nodiscard]] std::uint64_t token_of(const std::string& name) const;
    /// The highest token granted so far in this term.
    [[nodiscard]] std::uint64_t highest_granted_token() const {
        return grant_token(term_, granted_count_);
    }

    /// Numbers of the shards to write, in ascending order, at most `limit`.
    [[nodiscard]] std::vector<std::uint32_t> dirty_shards(std::size_t limit) const;
    /// The shard with this number; an empty one is added if there is none.
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
