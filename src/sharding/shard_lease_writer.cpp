#include "sharding/shard_lease_writer.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace nickelramp::sharding {

using machines::Machine;

namespace {
constexpr Millis kRetry = 250;
constexpr Millis kBlockGap = 100;
}  // namespace

ShardLeaseWriter::ShardLeaseWriter(cluster::TermContext& term, cluster::ClusterState& cluster,
                                   cluster::ControlActions& actions, Listener& observer)
    : term_(term), cluster_(cluster), actions_(actions), listener_(observer) {
    table_.start_term(term.info().number, term.settings().name);
}

void ShardLeaseWriter::write(Millis now) {
    if (write_in_flight_ || !term_.lease_confirmed(now) ||
        now < std::max(retry_at_, next_write_at_))
        return;
    if (!table_.has_dirty_shards()) return;
    kvstore::Transaction transaction;
    transaction.conditions = term_.conditions();
    const std::size_t most = term_.settings().state_txn_ops / 2;
    auto numbers = table_.dirty_shards(most);
    // Taking back what another holds is a duty of its own: nobody's for a moment, it waits. A
    // condition on no fence would say that nobody may have it.
    const std::uint64_t fence = term_.role_fence(lease::Role::shard_reclaim);
    if (fence == 0)
        std::erase_if(numbers, [this](std::uint32_t n) { return table_.shard(n).being_reclaimed; });
    if (numbers.empty()) return;
    // Machines that join one by one are recorded together; a new leader's many grants do not wait.
    if (numbers.size() < most) next_write_at_ = now + kBlockGap;
    std::vector<std::string> members;
    bool reclaims = false;
    for (std::uint32_t n : numbers) {
        shards::Shard& shard = table_.shard(n);
        if (shard.write_uncertain) {
            reread(n);
            return;
        }
        transaction.conditions.push_back({shards::shard_key(n), shard.version});
        transaction.writes.push_back({shards::shard_key(n), shards::encode_shard(shard)});
        shard.dirty = false;
        reclaims |= shard.being_reclaimed;
        for (const shards::ShardMember& member : shard.members) members.push_back(member.name);
    }
    if (reclaims)
        transaction.conditions.push_back({lease::role_key(lease::Role::shard_reclaim), fence});
    write_in_flight_ = true;
    term_.gateway().commit(
        std::move(transaction),
        term_.guarded([this, numbers, members](Millis t, const kvstore::CommitReply& reply) {
            on_written(numbers, members, reply, t);
        }));
}

void ShardLeaseWriter::reread(std::uint32_t n) {
    write_in_flight_ = true;
    term_.gateway().read(shards::shard_key(n),
                         term_.guarded([this, n](Millis t, const kvstore::GetReply& reply) {
                             write_in_flight_ = false;
                             shards::Shard& again = table_.shard(n);
                             auto stamp = kvstore::version_of(reply);
                             if (!stamp) {
                                 retry_at_ = t + kRetry;
                                 return;
                             }
                             again.version = *stamp;
                             again.write_uncertain = false;
                             write(t);
                         }));
}

void ShardLeaseWriter::on_written(const std::vector<std::uint32_t>& numbers,
                                  const std::vector<std::string>& members,
                                  const kvstore::CommitReply& reply, Millis now) {
    write_in_flight_ = false;
    if (reply.status == kvstore::Status::ok) {
        for (std::uint32_t n : numbers) {
            table_.shard(n).version = reply.revision;
            table_.shard(n).being_reclaimed = false;
        }
        for (const std::string& name : members) {
            Machine* machine = cluster_.machine(name);
            if (machine == nullptr) continue;
            machine->shard_recorded = true;
            listener_.on_machine_granted(*machine, now);
        }
        for (std::uint32_t n : numbers) listener_.on_shard_recorded(n, now);
        actions_.send_queued_commands(now);
        write(now);
        actions_.schedule_if_needed(now);
        return;
    }
    for (std::uint32_t n : numbers) {
        shards::Shard& shard = table_.shard(n);
        shard.dirty = true;
        if (reply.status != kvstore::Status::refused) shard.write_uncertain = true;
    }
    retry_at_ = now + kRetry;
    if (reply.status == kvstore::Status::conflict && !term_.check_superseded(reply)) {
        term_.note_rejected_role_fences(reply);
    }
}

}  // namespace nickelramp::sharding
