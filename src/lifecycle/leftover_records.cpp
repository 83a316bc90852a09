#include "lifecycle/leftover_records.h"

namespace nickelramp::lifecycle {

namespace {
constexpr Millis kRetryDelay = 1'000;
}  // namespace

void LeftoverRecords::add(const std::vector<std::string>& keys) {
    keys_.insert(keys_.end(), keys.begin(), keys.end());
}

void LeftoverRecords::delete_batch(Millis now) {
    if (keys_.empty() || !term_.lease_confirmed(now) || now < retry_at_) return;
    const std::size_t max_writes = term_.settings().state_txn_ops / 2;
    kvstore::Transaction transaction;
    transaction.conditions = term_.conditions();
    while (!keys_.empty() && transaction.writes.size() < max_writes) {
        transaction.writes.push_back({keys_.back(), std::nullopt});
        keys_.pop_back();
    }
    term_.gateway().commit(
        transaction, term_.guarded([this, writes = transaction.writes](
                                       Millis replied_at, const kvstore::CommitReply& reply) {
            // After a conflict another controller leads, and its garbage collector deletes them.
            if (reply.status == kvstore::Status::ok || reply.status == kvstore::Status::conflict)
                return;
            for (const kvstore::Write& write : writes) keys_.push_back(write.key);
            retry_at_ = replied_at + kRetryDelay;
        }));
}

}  // namespace nickelramp::lifecycle
