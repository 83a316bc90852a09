// Grants of machines: the records of the blocks, written before their machines are used.
#pragma once
#include <vector>

#include "blocks/ledger.h"
#include "book/book.h"

namespace nickelramp::checkpoint {

class Grants {
  public:
    class Listener {
      public:
        virtual ~Listener() = default;
        // The machine's grant, or the block, is on record.
        virtual void granted(workers::Machine& m, Millis now) = 0;
        virtual void block_recorded(std::uint32_t block, Millis now) = 0;
    };

    Grants(book::Term& term, book::Book& book, book::Turn& turn, Listener& listener);

    blocks::Ledger& ledger() { return ledger_; }
    const blocks::Ledger& ledger() const { return ledger_; }
    void commit(Millis now);
    bool in_flight() const { return in_flight_; }

  private:
    void reread(std::uint32_t block);
    void on_commit(const std::vector<std::uint32_t>& numbers,
                   const std::vector<std::string>& members, const state::CommitReply& reply,
                   Millis now);

    book::Term& term_;
    book::Book& book_;
    book::Turn& turn_;
    Listener& listener_;
    blocks::Ledger ledger_;
    bool in_flight_ = false;
    Millis retry_at_ = 0, next_at_ = 0;
};

}  // namespace nickelramp::checkpoint
