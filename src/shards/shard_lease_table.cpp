#include "shards/shard_lease_table.h"

#include <algorithm>
#include <charconv>

namespace nickelramp::shards {

std::string shard_key(std::uint32_t n) { return "block/" + std::to_string(n); }

bool parse_shard_key(const std::string& key, std::uint32_t& n) {
    if (key.rfind("block/", 0) != 0) return false;
    const char* end = key.data() + key.size();
    auto [ptr, ec] = std::from_chars(key.data() + 6, end, n);
    return ec == std::errc() && ptr == end;
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
    Shard shard;
    auto holder = wire::text_field(value, "holder");
    auto token = wire::count_field(value, "token");
    const wire::Json* members = wire::field(value, "machines");
    if (!holder || !token || members == nullptr || !members->is_array()) return std::nullopt;
    shard.holder = *holder;
    shard.fencing_token = *token;
    for (const wire::Json& m : *members) {
        if (!m.is_array() || m.size() < 5 || !m[4].is_boolean()) return std::nullopt;
        for (std::size_t i = 0; i < 4; ++i) {
            if (!m[i].is_string()) return std::nullopt;
        }
        shard.members.push_back({m[0], m[1], m[2], m[3], m[4]});
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

void ShardLeaseTable::load_shard(std::uint32_t n, Shard shard) {
    for (const ShardMember& member : shard.members) shard_of_machine_[member.name] = n;
    shard.holder = holder_;
    shard.fencing_token = grant_token(term_, ++granted_count_);
    shard.dirty = true;
    shards_[n] = std::move(shard);
}

void ShardLeaseTable::add_machine(const ShardMember& member) {
    if (shard_of_machine_.count(member.name) != 0) return;
    auto open = std::find_if(shards_.begin(), shards_.end(), [this](const auto& b) {
        return b.second.members.size() < kMaxShardMachines && b.second.holder == holder_;
    });
    if (open == shards_.end()) {
        std::uint32_t n = shards_.empty() ? 0 : shards_.rbegin()->first + 1;
        open = shards_.emplace(n, Shard{}).first;
        open->second.holder = holder_;
        open->second.fencing_token = grant_token(term_, ++granted_count_);
    }
    open->second.members.push_back(member);
    open->second.dirty = true;
    shard_of_machine_[member.name] = open->first;
}

void ShardLeaseTable::remove_machine(const std::string& name) {
    auto it = shard_of_machine_.find(name);
    if (it == shard_of_machine_.end()) return;
    Shard& shard = shards_[it->second];
    std::erase_if(shard.members, [&](const ShardMember& member) { return member.name == name; });
    shard.dirty = true;
    shard_of_machine_.erase(it);
}

std::uint32_t ShardLeaseTable::lease_out(const std::vector<std::string>& names,
                                         const std::string& holder) {
    std::uint32_t n = shards_.empty() ? 0 : shards_.rbegin()->first + 1;
    Shard& shard = shards_[n];
    shard.holder = holder;
    shard.fencing_token = grant_token(term_, ++granted_count_);
    shard.dirty = true;
    for (const std::string& name : names) {
        Shard& old = shards_[shard_of_machine_.at(name)];
        auto it = std::find_if(old.members.begin(), old.members.end(),
                               [&](const ShardMember& member) { return member.name == name; });
        shard.members.push_back(*it);
        old.members.erase(it);
        old.dirty = true;
        shard_of_machine_[name] = n;
    }
    return n;
}

void ShardLeaseTable::reclaim(std::uint32_t n) {
    Shard& shard = shards_[n];
    shard.being_reclaimed = true;
    shard.holder = holder_;
    shard.fencing_token = grant_token(term_, ++granted_count_);
    shard.dirty = true;
}

std::uint64_t ShardLeaseTable::token_of(const std::string& name) const {
    auto it = shard_of_machine_.find(name);
    return it == shard_of_machine_.end() ? 0 : shards_.at(it->second).fencing_token;
}

bool ShardLeaseTable::has_dirty_shards() const {
    return std::any_of(shards_.begin(), shards_.end(),
                       [](const auto& b) { return b.second.dirty; });
}

std::vector<std::uint32_t> ShardLeaseTable::dirty_shards(std::size_t limit) const {
    std::vector<std::uint32_t> out;
    for (const auto& [n, b] : shards_) {
        if (b.dirty && out.size() < limit) out.push_back(n);
    }
    return out;
}

}  // namespace nickelramp::shards
