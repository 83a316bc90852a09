/// @file
/// Checkpoint records (`run/<job>/<chunk>`) of finished jobs that the transaction which ended the
/// job had no room to delete.
#pragma once
#include <string>
#include <vector>

#include "cluster/term_context.h"

namespace nickelramp::lifecycle {

/// Deletes leftover records, a transaction's worth at a time.
///
/// Guarantees nothing beyond this term: what is still listed when it ends is found and deleted by
/// the holder of the garbage collection role. Owned and called by JobLifecycle.
class LeftoverRecords {
  public:
    explicit LeftoverRecords(cluster::TermContext& term) : term_(term) {}

    void add(const std::vector<std::string>& keys);

    /// Sends one deleting transaction if there is anything to delete, the leader's lease is
    /// confirmed and no retry delay is running. Keys of a transaction that neither succeeded nor
    /// met a conflict are listed again and retried after a second.
    void delete_some(Millis now);

  private:
    cluster::TermContext& term_;
    std::vector<std::string> keys_;
    Millis retry_at_ = 0;
};

}  // namespace nickelramp::lifecycle
