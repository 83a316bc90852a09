// What the leader believes of each machine: who it is, what it last said, what may be on it.
#pragma once
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/names.h"
#include "base/time.h"
#include "jobs/job.h"
#include "wire/messages.h"
#include "workers/contact.h"

namespace nickelramp::workers {

// booting:   hired, has not reported yet
// joining:   has reported; the block record that grants it is not committed yet, or the token that
//            this term gave it is not confirmed
// ready:     may be given tasks
// lent:      in a block that another controller holds
// draining:  gets no new tasks; goes back to the cloud when empty or when its time is up
// returning: the cloud was told to take it back
// gone:      proven gone, with everything on it
enum class MachineState { booting, joining, ready, lent, draining, returning, gone };
const char* name(MachineState s);

struct CachedImage {
    Index image = kNone;
    double gb = 0;
    Millis used = 0;
    bool present = false;  // false: still being fetched
};

using jobs::Kept;

struct Machine {
    Index index = kNone;
    std::string name, address;
    Index type = kNone, zone = kNone;
    bool spot = false;
    Kept<MachineState> state{MachineState::booting};
    Millis hired_at = 0;
    Millis up_at = 0;
    Millis listed_running_at = 0;
    bool late = false;    // boots longer than counted on
    Kept<bool> strange;   // known from reports of unknown age only
    bool failed = false;  // the cloud lists it so: it has stopped for good

    std::uint64_t token = 0;  // the one that this term uses for it
    Contact contact;          // what it said, and when something of ours last reached it
    Millis lease_until = 0;   // its tasks may live until then, by what was sent; not longer
    Millis warned_until = 0;  // spot notice: taken back about then; 0: none

    std::vector<jobs::Attempt*> attempts;
    Kept<std::uint32_t> live;   // attempts that may hold a place
    Kept<std::uint32_t> firm;   // of them, those of gangs and services
    Kept<std::uint32_t> gangs;  // of those, the ones of gangs
    Kept<double> firm_cpus;     // what gangs and services take
    Kept<double> cpus_free, gpus_free, memory_free;
    std::vector<CachedImage> images;
    Millis idle_since = 0;

    Kept<Index> reserved_for{kNone};  // job that room is being made for
    Millis reserved_until = 0;
    Millis closed_until = 0;  // being emptied

    // Sickness: jobs that failed here since a task last completed.
    std::vector<Index> failed_jobs;
    Millis probation_until = 0;

    // Commands.
    bool direct_in_flight = false;
    bool wants_confirm = false;  // send the token even with no commands
    Millis retry_direct_at = 0;
    std::uint32_t direct_failures = 0;
    Mark asked_at;  // the newest that it had said when the message under way was sent
    Millis asked_since = 0;
    Millis hinted_at = 0;  // a message of unknown age made the book ask it
    bool granted = false;  // in a committed block record
    bool unread = false;   // what was lent with it is not in the book yet
    bool poked = false;    // in the list of those that have something to be sent

    // What the outlook has counted of it.
    bool blank = false;                // ordinary, and nothing is on it
    double room = 0;                   // free share of a spot machine
    double flexible = 0;               // share that arrays have or may have, when it is up
    bool counts_for_replicas = false;  // of a kind where room for them is kept
    double places = 0;                 // free for them
    bool spare = false;                // a whole-machine task could have it within seconds

    Kept<bool> up;  // reports, or should
    Kept<Hearing> hearing{Hearing::sound};
    Kept<bool> shaded;     // not heard since its zone went dark
    Millis listed_at = 0;  // first seen in the cloud's list

    bool confirmed() const { return token != 0 && contact.token() == token; }
    bool usable() const { return state == MachineState::ready; }
    // May be given tasks, and answers.
    bool open() const { return usable() && hearing == Hearing::sound && !shaded; }
    bool empty() const { return live == 0; }
};

class Roster {
  public:
    Machine* add(const std::string& name);
    Machine* find(const std::string& name) const;
    // Null once the machine is gone.
    Machine* at(Index i) const { return machines_[i].get(); }
    void remove(Machine* m);  // keeps a tombstone of the name
    bool has(const std::string& name) const { return by_name_.count(name) != 0; }
    bool buried(const std::string& name) const { return buried_.count(name) != 0; }

    // All machines there are, in no order.
    const std::vector<Machine*>& all() const { return all_; }

  private:
    std::vector<std::unique_ptr<Machine>> machines_;
    std::vector<Machine*> all_;
    std::unordered_map<std::string, Machine*> by_name_;
    std::unordered_map<std::string, bool> buried_;
    std::vector<std::string> graves_;
    std::size_t next_grave_ = 0;
};

}  // namespace nickelramp::workers
