// The leader leases blocks of machines to holders. A grant is a record with its own fencing token,
// committed before the holder may use a machine of the block:
//
//   block/<n>  {holder, token, machines: [[name, address, type, zone, spot], ...]}
//
// Tokens: 32 bits of term, 20 of grant, 12 that the holder may raise on its own.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "kvstore/types.h"

namespace nickelramp::shards {

inline constexpr std::size_t kMaxShardMachines = 32;
inline constexpr int kGrantShift = 12;
inline constexpr int kTermShift = 32;

inline std::uint64_t term_token(std::uint64_t term) { return term << kTermShift; }
inline std::uint64_t grant_token(std::uint64_t term, std::uint64_t grant) {
    return term_token(term) | grant << kGrantShift;
}
inline std::uint64_t term_of(std::uint64_t token) { return token >> kTermShift; }

struct ShardMember {
    std::string name, address, type, zone;
    bool spot = false;
};

struct Shard {
    std::uint64_t version = 0;  // stamp of its record
    std::string holder;
    std::uint64_t fencing_token = 0;
    std::vector<ShardMember> members;
    bool dirty = false;
    bool write_uncertain = false;
    bool being_reclaimed = false;  // from a holder; that is not on record yet
};

std::string shard_key(std::uint32_t n);
bool parse_shard_key(const std::string& key, std::uint32_t& n);
wire::Json encode_shard(const Shard& shard);
std::optional<Shard> decode_shard(const wire::Json& value);

// The blocks of one term, the leader its own holder.
class ShardLeaseTable {
  public:
    void start_term(std::uint64_t term, const std::string& holder);
    // A block found in the state service; it is granted anew under this term's token.
    void load_shard(std::uint32_t n, Shard shard);

    void add_machine(const ShardMember& member);
    void remove_machine(const std::string& name);
    // Moves machines into a block of their own for another holder; its number.
    std::uint32_t lease_out(const std::vector<std::string>& names, const std::string& holder);
    // The block is this node's again, under a new token.
    void reclaim(std::uint32_t n);

    std::uint64_t token_of(const std::string& name) const;  // 0: in no block
    // No token that was granted is higher.
    std::uint64_t highest_granted_token() const { return grant_token(term_, granted_count_); }

    bool has_dirty_shards() const;
    // The records to write, at most `limit`; their numbers in `out`.
    std::vector<std::uint32_t> dirty_shards(std::size_t limit) const;
    Shard& shard(std::uint32_t n) { return shards_[n]; }
    const std::map<std::uint32_t, Shard>& shards() const { return shards_; }

  private:
    std::map<std::uint32_t, Shard> shards_;
    std::map<std::string, std::uint32_t> shard_of_machine_;
    std::uint64_t term_ = 0;
    std::uint64_t granted_count_ = 0;
    std::string holder_;
};

}  // namespace nickelramp::shards
