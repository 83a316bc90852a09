#include "shards/shard_lease_table.h"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace nickelramp::shards {

namespace {
constexpr std::string_view kKeyPrefix = "block/";

// A member is stored as an array of four strings and a flag.
constexpr std::size_t kMemberStrings = 4;
constexpr std::size_t kMemberFields = 5;

std::optional<ShardMember> decode_member(const wire::Json& value) {
    if (!value.is_array() || value.size() < kMemberFields || !value[kMemberStrings].is_boolean())
        return std::nullopt;
    for (std::size_t i = 0; i < kMemberStrings; ++i) {
        if (!value[i].is_string()) return std::nullopt;
    }
    return ShardMember{value[0], value[1], value[2], value[3], value[4]};
}
}  // namespace

std::string shard_key(std::uint32_t number) {
    return std::string(kKeyPrefix) + std::to_string(number);
}

std::optional<std::uint32_t> parse_shard_key(const std::string& key) {
    if (key.rfind(kKeyPrefix, 0) != 0) return std::nullopt;
    const char* const end = key.data() + key.size();
    std::uint32_t number = 0;
    const auto [parsed_to, error] = std::from_chars(key.data() + kKeyPrefix.size(), end, number);
    if (error != std::errc() || parsed_to != end) return std::nullopt;
    return number;
}

wire::Json encode_shard(const Shard& shard) {
    wire::Json members = wire::Json::array();
    for (const ShardMember& member : shard.members) {
        members.push_back(wire::Json::array(
            {member.name, member.address, member.type, member.zone, member.spot}));
    }
    return {
        {"holder", shard.holder}, {"token", shard.fencing_token}, {"machines", std::move(members)}};
}

std::optional<Shard> decode_shard(const wire::Json& value) {
    const auto holder = wire::text_field(value, "holder");
    const auto token = wire::count_field(value, "token");
    const wire::Json* members = wire::field(value, "machines");
    if (!holder || !token || members == nullptr || !members->is_array()) return std::nullopt;
    Shard shard;
    shard.holder = *holder;
    shard.fencing_token = *token;
    for (const wire::Json& stored : *members) {
        auto member = decode_member(stored);
        if (!member) return std::nullopt;
        shard.members.push_back(std::move(*member));
    }
    return shard;
}

void ShardLeaseTable::start_term(std::uint64_t term, const std::string& holder) {
    shards_.clear();
    shard_of_machine_.clear();
    term_ = term;
    granted_count_ = 0;
    holder_ = holder;
}

std::uint32_t ShardLeaseTable::next_shard_number() const {
    return shards_.empty() ? 0 : shards_.rbegin()->first + 1;
}

void ShardLeaseTable::grant_to(Shard& shard, const std::string& holder) {
    shard.holder = holder;
    shard.fencing_token = grant_token(term_, ++granted_count_);
    shard.dirty = true;
}

void ShardLeaseTable::load_shard(std::uint32_t number, Shard shard) {
    for (const ShardMember& member : shard.members) shard_of_machine_[member.name] = number;
    grant_to(shard, holder_);
    shards_[number] = std::move(shard);
}

void ShardLeaseTable::add_machine(const ShardMember& member) {
    if (shard_of_machine_.count(member.name) != 0) return;
    auto with_room = std::find_if(shards_.begin(), shards_.end(), [this](const auto& entry) {
        const Shard& shard = entry.second;
        return shard.members.size() < kMaxShardMachines && shard.holder == holder_;
    });
    if (with_room == shards_.end()) {
        with_room = shards_.emplace(next_shard_number(), Shard{}).first;
        grant_to(with_room->second, holder_);
    }
    with_room->second.members.push_back(member);
    with_room->second.dirty = true;
    shard_of_machine_[member.name] = with_room->first;
}

void ShardLeaseTable::remove_machine(const std::string& name) {
    const auto entry = shard_of_machine_.find(name);
    if (entry == shard_of_machine_.end()) return;
    Shard& shard = shards_[entry->second];
    std::erase_if(shard.members, [&](const ShardMember& member) { return member.name == name; });
    shard.dirty = true;
    shard_of_machine_.erase(entry);
}

std::uint32_t ShardLeaseTable::lease_out(const std::vector<std::string>& names,
                                         const std::string& holder) {
    const std::uint32_t number = next_shard_number();
    Shard& leased = shards_[number];
    grant_to(leased, holder);
    for (const std::string& name : names) {
        Shard& previous = shards_[shard_of_machine_.at(name)];
        const auto member =
            std::find_if(previous.members.begin(), previous.members.end(),
                         [&](const ShardMember& candidate) { return candidate.name == name; });
        leased.members.push_back(*member);
        previous.members.erase(member);
        previous.dirty = true;
        shard_of_machine_[name] = number;
    }
    return number;
}

void ShardLeaseTable::reclaim(std::uint32_t number) {
    Shard& shard = shards_[number];
    shard.being_reclaimed = true;
    grant_to(shard, holder_);
}

std::uint64_t ShardLeaseTable::grant_to_machine() {
    if (granted_count_ + kGrantsKeptForShards >= kMaxGrants) return 0;
    return grant_token(term_, ++granted_count_);
}

std::uint64_t ShardLeaseTable::token_of(const std::string& name) const {
    const auto entry = shard_of_machine_.find(name);
    return entry == shard_of_machine_.end() ? 0 : shards_.at(entry->second).fencing_token;
}

std::vector<std::uint32_t> ShardLeaseTable::dirty_shards(std::size_t limit) const {
    std::vector<std::uint32_t> numbers;
    for (const auto& [number, shard] : shards_) {
        if (shard.dirty && numbers.size() < limit) numbers.push_back(number);
    }
    return numbers;
}

}  // namespace nickelramp::shards
