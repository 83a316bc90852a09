#include "checkpoint/grants.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace nickelramp::checkpoint {

using workers::Machine;

namespace {
constexpr Millis kRetry = 250;
constexpr Millis kBlockGap = 100;
}  // namespace

Grants::Grants(book::Term& term, book::Book& book, book::Turn& turn, Listener& listener)
    : term_(term), book_(book), turn_(turn), listener_(listener) {
    ledger_.begin(term.info().number, term.settings().name);
}

void Grants::commit(Millis now) {
    if (in_flight_ || !term_.confirmed(now) || now < std::max(retry_at_, next_at_)) return;
    if (!ledger_.dirty()) return;
    state::Txn txn;
    txn.conditions = term_.conditions();
    const std::size_t most = term_.settings().state_txn_ops / 2;
    auto numbers = ledger_.to_write(most);
    // Taking back what another holds is a duty of its own: nobody's for a moment, it waits. A
    // condition on no fence would say that nobody may have it.
    const std::uint64_t fence = term_.fence(duties::Duty::reclaiming);
    if (fence == 0)
        std::erase_if(numbers, [this](std::uint32_t n) { return ledger_.block(n).taken_back; });
    if (numbers.empty()) return;
    // Machines that join one by one are recorded together; a new leader's many grants do not wait.
    if (numbers.size() < most) next_at_ = now + kBlockGap;
    std::vector<std::string> members;
    bool reclaims = false;
    for (std::uint32_t n : numbers) {
        blocks::Block& b = ledger_.block(n);
        if (b.uncertain) {
            reread(n);
            return;
        }
        txn.conditions.push_back({blocks::block_key(n), b.version});
        txn.writes.push_back({blocks::block_key(n), blocks::block_record(b)});
        b.dirty = false;
        reclaims |= b.taken_back;
        for (const blocks::Member& m : b.members) members.push_back(m.name);
    }
    if (reclaims) txn.conditions.push_back({duties::duty_key(duties::Duty::reclaiming), fence});
    in_flight_ = true;
    term_.outbox().commit(
        std::move(txn),
        term_.guarded([this, numbers, members](Millis t, const state::CommitReply& reply) {
            on_commit(numbers, members, reply, t);
        }));
}

void Grants::reread(std::uint32_t n) {
    in_flight_ = true;
    term_.outbox().read(blocks::block_key(n),
                        term_.guarded([this, n](Millis t, const state::GetReply& r) {
                            in_flight_ = false;
                            blocks::Block& again = ledger_.block(n);
                            auto stamp = state::stamp(r);
                            if (!stamp) {
                                retry_at_ = t + kRetry;
                                return;
                            }
                            again.version = *stamp;
                            again.uncertain = false;
                            commit(t);
                        }));
}

void Grants::on_commit(const std::vector<std::uint32_t>& numbers,
                       const std::vector<std::string>& members, const state::CommitReply& reply,
                       Millis now) {
    in_flight_ = false;
    if (reply.outcome == state::Outcome::ok) {
        for (std::uint32_t n : numbers) {
            ledger_.block(n).version = reply.revision;
            ledger_.block(n).taken_back = false;
        }
        for (const std::string& name : members) {
            Machine* m = book_.machine(name);
            if (m == nullptr) continue;
            m->granted = true;
            listener_.granted(*m, now);
        }
        for (std::uint32_t n : numbers) listener_.block_recorded(n, now);
        turn_.flush(now);
        commit(now);
        turn_.settle(now);
        return;
    }
    for (std::uint32_t n : numbers) {
        blocks::Block& b = ledger_.block(n);
        b.dirty = true;
        if (reply.outcome != state::Outcome::refused) b.uncertain = true;
    }
    retry_at_ = now + kRetry;
    if (reply.outcome == state::Outcome::conflict && !term_.superseded(reply)) {
        term_.refuted(reply);
    }
}

}  // namespace nickelramp::checkpoint
