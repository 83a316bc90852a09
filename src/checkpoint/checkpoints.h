// Checkpoints of jobs: what the state service must know before a start goes out. One conditional
// transaction a pipeline; what a failed one leaves open is read before it is written again.
#pragma once
#include <string>
#include <vector>

#include "book/book.h"

namespace nickelramp::checkpoint {

class Checkpoints {
  public:
    Checkpoints(book::Term& term, book::Book& book, book::Turn& turn)
        : term_(term), book_(book), turn_(turn) {}

    // When the job's next checkpoint is to be written; kNever if there is nothing to write.
    Millis due(const jobs::Job& j) const;
    void commit(jobs::Job& j, Millis now);

  private:
    void on_commit(const std::string& id, std::uint64_t serial,
                   const std::vector<std::uint32_t>& chunks, const state::CommitReply& reply,
                   Millis now);
    void reread_chunk(jobs::Job& j, std::uint32_t chunk);

    book::Term& term_;
    book::Book& book_;
    book::Turn& turn_;
};

}  // namespace nickelramp::checkpoint
