/// @file
/// Deletes checkpoint records (`run/<job>/<chunk>`) of finished jobs that did not fit into the
/// transaction that ended the job.
#pragma once
#include <string>
#include <vector>

#include "cluster/term_context.h"

namespace nickelramp::lifecycle {

/// Deletes leftover records in batches of one transaction.
///
/// The list of keys is lost at the end of the term. The holder of the garbage collection role finds
/// and deletes the records that are left by then. Owned and called by JobLifecycle.
class LeftoverRecords {
  public:
    explicit LeftoverRecords(cluster::TermContext& term) : term_(term) {}

    void add(const std::vector<std::string>& keys);

    /// Sends one transaction of deletions if there are keys to delete, the leader's lease is
    /// confirmed and no retry delay is running. If it ends neither with success nor with a
    /// conflict, its keys are queued again and retried after a second.
    void delete_batch(Millis now);

  private:
    cluster::TermContext& term_;
    std::vector<std::string> keys_;
    Millis retry_at_ = 0;
};

}  // namespace nickelramp::lifecycle
