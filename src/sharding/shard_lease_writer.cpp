#include "sharding/shard_lease_writer.h"

#include <algorithm>

namespace nickelramp::sharding {

using machines::Machine;

namespace {
constexpr Millis kRetryDelay = 250;
// Minimum interval between writes, so that machines that join one by one are recorded together.
constexpr Millis kMinWriteInterval = 100;
}  // namespace

ShardLeaseWriter::ShardLeaseWriter(cluster::TermContext& term, cluster::ClusterState& cluster,
                                   cluster::ControlActions& actions, Listener& listener)
    : term_(term), cluster_(cluster), actions_(actions), listener_(listener) {
    table_.start_term(term.info().number, term.settings().name);
}

void ShardLeaseWriter::write(Millis now) {
    const Millis earliest = std::max(retry_at_, next_write_at_);
    if (write_in_flight_ || !term_.lease_confirmed(now) || now < earliest) return;
    const std::size_t limit = term_.settings().state_txn_ops / 2;
    const std::uint64_t reclaim_fence = term_.role_fence(lease::Role::shard_reclaim);
    const std::vector<std::uint32_t> numbers = writable_shards(limit, reclaim_fence);
    if (numbers.empty()) return;
    // After a full transaction there is no delay. A new leader has many records to write.
    if (numbers.size() < limit) next_write_at_ = now + kMinWriteInterval;
    send(numbers, reclaim_fence);
}

std::vector<std::uint32_t> ShardLeaseWriter::writable_shards(std::size_t limit,
                                                             std::uint64_t reclaim_fence) {
    auto numbers = table_.dirty_shards(limit);
    // While no controller holds the role, reclaimed shards are not written: a condition on fence 0
    // would require that the role has no holder.
    if (reclaim_fence == 0) {
        std::erase_if(
            numbers, [this](std::uint32_t number) { return table_.shard(number).being_reclaimed; });
    }
    return numbers;
}

std::optional<std::uint32_t> ShardLeaseWriter::first_uncertain(
    const std::vector<std::uint32_t>& shard_numbers) {
    const auto found =
        std::find_if(shard_numbers.begin(), shard_numbers.end(),
                     [this](std::uint32_t number) { return table_.shard(number).write_uncertain; });
    if (found == shard_numbers.end()) return std::nullopt;
    return *found;
}

void ShardLeaseWriter::send(const std::vector<std::uint32_t>& shard_numbers,
                            std::uint64_t reclaim_fence) {
    // This check precedes the loop that marks shards as clean. Shards that were marked as clean
    // without sending the transaction would never be recorded.
    if (const auto uncertain = first_uncertain(shard_numbers)) {
        reread(*uncertain);
        return;
    }
    Commit commit;
    kvstore::Transaction transaction;
    transaction.conditions = term_.conditions();
    bool reclaims = false;
    for (const std::uint32_t number : shard_numbers) {
        shards::Shard& shard = table_.shard(number);
        const std::string key = shards::shard_key(number);
        transaction.conditions.push_back({key, shard.version});
        transaction.writes.push_back({key, shards::encode_shard(shard)});
        shard.dirty = false;
        reclaims |= shard.being_reclaimed;
        commit.shard_numbers.push_back(number);
        for (const shards::ShardMember& member : shard.members)
            commit.machines.push_back(member.name);
    }
    if (reclaims) {
        transaction.conditions.push_back(
            {lease::role_key(lease::Role::shard_reclaim), reclaim_fence});
    }
    write_in_flight_ = true;
    term_.gateway().commit(std::move(transaction),
                           term_.guarded([this, commit = std::move(commit)](
                                             Millis replied_at, const kvstore::CommitReply& reply) {
                               on_written(commit, reply, replied_at);
                           }));
}

void ShardLeaseWriter::reread(std::uint32_t shard_number) {
    write_in_flight_ = true;
    term_.gateway().read(
        shards::shard_key(shard_number),
        term_.guarded([this, shard_number](Millis replied_at, const kvstore::GetReply& reply) {
            on_reread(shard_number, reply, replied_at);
        }));
}

void ShardLeaseWriter::on_reread(std::uint32_t shard_number, const kvstore::GetReply& reply,
                                 Millis now) {
    write_in_flight_ = false;
    shards::Shard& shard = table_.shard(shard_number);
    const auto version = kvstore::version_of(reply);
    if (!version) {
        retry_at_ = now + kRetryDelay;
        return;
    }
    shard.version = *version;
    shard.write_uncertain = false;
    write(now);
}

void ShardLeaseWriter::on_written(const Commit& commit, const kvstore::CommitReply& reply,
                                  Millis now) {
    write_in_flight_ = false;
    if (reply.status == kvstore::Status::ok)
        on_commit_applied(commit, reply.revision, now);
    else
        on_commit_failed(commit, reply, now);
}

void ShardLeaseWriter::on_commit_applied(const Commit& commit, std::uint64_t revision, Millis now) {
    for (const std::uint32_t number : commit.shard_numbers) {
        shards::Shard& shard = table_.shard(number);
        shard.version = revision;
        shard.being_reclaimed = false;
    }
    for (const std::string& name : commit.machines) {
        Machine* machine = cluster_.machine(name);
        if (machine == nullptr) continue;
        machine->shard_recorded = true;
        listener_.on_machine_granted(*machine, now);
    }
    for (const std::uint32_t number : commit.shard_numbers)
        listener_.on_shard_recorded(number, now);
    actions_.send_queued_commands(now);
    write(now);
    actions_.schedule_if_needed(now);
}

void ShardLeaseWriter::on_commit_failed(const Commit& commit, const kvstore::CommitReply& reply,
                                        Millis now) {
    const bool certainly_not_applied = reply.status == kvstore::Status::refused;
    for (const std::uint32_t number : commit.shard_numbers) {
        shards::Shard& shard = table_.shard(number);
        shard.dirty = true;
        if (!certainly_not_applied) shard.write_uncertain = true;
    }
    retry_at_ = now + kRetryDelay;
    if (reply.status == kvstore::Status::conflict && !term_.check_superseded(reply))
        term_.clear_rejected_role_fences(reply);
}

}  // namespace nickelramp::sharding
