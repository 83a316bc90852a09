#include "tests/simulated_job_store.h"

#include <algorithm>
#include <utility>

#include "jobs/job_keys.h"

namespace nickelramp::test {

void SimulatedStore::set_job_record(const std::string& id, const char* final) {
    apply({{},
           {{jobs::job_key(id),
             wire::Json{{"final", final == nullptr ? wire::Json() : wire::Json(final)},
                        {"tasks", 3}}}}});
}

void SimulatedStore::run_until(Millis time) {
    while (!queue.empty() && queue.begin()->first <= time) {
        const auto event = std::move(queue.begin()->second);
        now = queue.begin()->first;
        queue.erase(queue.begin());
        event();
    }
    now = time;
}

bool SimulatedStore::has_too_long_value(const kvstore::Transaction& transaction) const {
    return std::any_of(transaction.writes.begin(), transaction.writes.end(),
                       [this](const kvstore::Write& write) {
                           return write.value && write.value->dump().size() > max_value_bytes;
                       });
}

kvstore::CommitReply SimulatedStore::apply(const kvstore::Transaction& transaction) {
    kvstore::CommitReply reply;
    if (has_too_long_value(transaction)) {
        reply.status = kvstore::Status::protocol_error;
        return reply;
    }
    reply.status = kvstore::Status::conflict;
    for (const auto& condition : transaction.conditions) {
        const auto found = keys.find(condition.key);
        const std::uint64_t version = found == keys.end() ? 0 : found->second.second;
        if (version != condition.version) return reply;
    }
    ++revision;
    for (const auto& write : transaction.writes) {
        if (write.value)
            keys[write.key] = {*write.value, revision};
        else
            keys.erase(write.key);
        log.push_back({revision, write.key, write.value.value_or(wire::Json()), !write.value});
    }
    reply.status = kvstore::Status::ok;
    reply.revision = revision;
    return reply;
}

kvstore::ListReply SimulatedStore::changes(const std::string& prefix, std::uint64_t after) {
    kvstore::ListReply reply;
    reply.status = kvstore::Status::ok;
    if (log.size() > retained_changes && log[log.size() - retained_changes].revision > after + 1)
        reply.status = kvstore::Status::lease_or_revision_expired;
    reply.revision = revision;
    auto change =
        std::upper_bound(log.begin(), log.end(), after,
                         [](auto revision, const Change& c) { return revision < c.revision; });
    for (; change != log.end(); ++change) {
        if (change->key.rfind(prefix, 0) == 0)
            reply.entries.push_back(
                {change->key, change->value, change->revision, change->deleted});
    }
    return reply;
}

void SimulatedStore::commit(bool rejected, const kvstore::Transaction& transaction, Millis timeout,
                            std::function<void(Millis, const kvstore::CommitReply&)> done) {
    const bool is_late = chance(late_write_rate);
    const bool is_unanswered = is_late || chance(lost_reply_rate);
    if (rejected || down || !is_unanswered) {
        call<kvstore::CommitReply>(
            rejected, timeout, [this, transaction] { return apply(transaction); }, done);
        return;
    }
    at(now + (is_late ? 2'000 + random_delay(10'000) : random_delay(20)),
       [this, transaction, is_late] {
           if (apply(transaction).status != kvstore::Status::ok) return;
           ++(is_late ? writes_applied_late : replies_lost);
       });
    at(now + timeout, [this, done] { done(now, {}); });
}

void SimulatedStore::watch(const std::string& prefix, std::uint64_t after, Millis deadline,
                           std::function<void(Millis, const kvstore::ListReply&)> done) {
    at(now + 5, [=, this] {
        kvstore::ListReply reply;
        if (!down) reply = changes(prefix, after);
        if (reply.entries.empty() && now < deadline) return watch(prefix, after, deadline, done);
        done(now, reply);
    });
}

}  // namespace nickelramp::test
