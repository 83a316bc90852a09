// Blocks lent to other controllers, the leader's side.
//
// A lent machine is empty when it goes, and its block's record, with the holder's own token, is
// committed before the first grant is sent. The holder counts its lease from the moment that it
// sent the status which the grant answers, so it stops before the leader thinks so. A block is
// taken back by rewriting its record under a new token, which fences the holder's transactions;
// then the records of its jobs are read, and the machines are asked what is on them, as after a
// change of leader.
#pragma once
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "book/book.h"
#include "checkpoint/grants.h"
#include "deputy/deputy.h"
#include "intake/intake.h"
#include "outlook/outlook.h"
#include "peers/messages.h"
#include "schedule/rules.h"

namespace nickelramp::sharing {

// wanted: its record is being written; granted: leases are sent; ending: no more are sent, and
// once the last has run out the block is taken back; reclaimed: its record is being rewritten;
// reading: its jobs' records are read, until then its machines get nothing
enum class LeaseState { wanted, granted, ending, reclaimed, reading };
const char* name(LeaseState s);

class Lender {
  public:
    struct Room {
        Index machine = kNone;
        double cpus = 0, gpus = 0, memory_gb = 0;
    };
    struct Lease {
        std::string holder;
        std::uint64_t incarnation = 0;
        LeaseState state = LeaseState::wanted;
        Millis over_at = 0;  // by then the holder has stopped, by its own clock
        Millis idle_since = 0;
        Millis said_at = 0;  // the holder last said that it has the block
        std::vector<Room> room;
        std::vector<std::string> jobs;
    };

    Lender(book::Term& term, book::Book& book, book::Turn& turn, checkpoint::Grants& grants,
           intake::Intake& intake, outlook::Outlook& outlook, const schedule::Rules& rules)
        : term_(term),
          book_(book),
          turn_(turn),
          grants_(grants),
          intake_(intake),
          outlook_(outlook),
          rules_(rules) {}

    // A peer that can hold machines; `clock_ms` is its own and comes back in the grant, whose lease
    // runs from then.
    void peer_heard(const peers::Status& s, Millis now);
    // Lends each healthy peer a block of empty machines of one zone, unless jobs lack places.
    void share_machines(Millis now);
    // Gives a job whole to a holder that has room for all of it.
    bool lend_job(jobs::Job& j, Millis now);
    // Ends leases that are idle, wanted elsewhere or no longer renewed, and takes their blocks
    // back.
    void check_leases(Millis now);
    void set_starving(bool starving, Millis now) {
        if (starving && !starving_) starving_since_ = now;
        starving_ = starving;
    }

    // The grants to send now; each renews a lease.
    std::vector<std::pair<std::string, peers::Grant>> grants(Millis view_fresh, Millis now);
    void on_news(const peers::News& news, Millis now);
    // An open record has gone: whoever held the job has finished it.
    void on_open_dropped(const std::string& id);
    void block_recorded(std::uint32_t block, Millis now);

    // Who answers for a lent machine; empty when nobody does for a moment.
    std::string holder_of(Index machine) const;
    std::vector<std::uint64_t> tokens() const;  // of the blocks that are lent
    const std::map<std::uint32_t, Lease>& leases() const { return leases_; }

  private:
    struct Peer {
        std::uint64_t incarnation = 0, clock_ms = 0;
        bool healthy = false;
        Millis heard_at = 0;
    };
    void set_lease_state(std::uint32_t block, Lease& l, LeaseState s);
    void take_job_back(jobs::Job& j);
    void finish_reading(std::uint32_t block);
    void job_left(jobs::Job& j);

    book::Term& term_;
    book::Book& book_;
    book::Turn& turn_;
    checkpoint::Grants& grants_;
    intake::Intake& intake_;
    outlook::Outlook& outlook_;
    const schedule::Rules& rules_;
    std::map<std::string, Peer> peers_;
    std::map<std::uint32_t, Lease> leases_;  // by block
    bool starving_ = false;                  // jobs found no place when last looked
    Millis starving_since_ = 0;
    Millis next_share_ = 0;
};

}  // namespace nickelramp::sharing
