// What the leader believes of each machine: who it is, what it last said, what may be on it.
#pragma once
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/names.h"
#include "base/time.h"
#include "jobs/job.h"
#include "machines/worker_channel.h"
#include "wire/messages.h"

namespace nickelramp::machines {

// booting:   hired, has not reported yet
// joining:   has reported; the block record that grants it is not committed yet, or the token that
//            this term gave it is not confirmed
// ready:     may be given tasks
// lent:      in a block that another controller holds
// draining:  gets no new tasks; goes back to the cloud when empty or when its time is up
// returning: the cloud was told to take it back
// gone:      proven gone, with everything on it
enum class MachineState { booting, joining, ready, leased_out, draining, releasing, gone };
const char* name(MachineState state);

struct CachedImage {
    Index image = kNone;
    double size_gb = 0;
    Millis last_used_at = 0;
    bool present = false;  // false: still being fetched
};

using jobs::ClusterOwned;

struct Machine {
    Index index = kNone;
    std::string name, address;
    Index type = kNone, zone = kNone;
    bool spot = false;
    ClusterOwned<MachineState> state{MachineState::booting};
    Millis provisioned_at = 0;
    Millis up_at = 0;
    Millis listed_running_at = 0;
    bool boots_late = false;        // boots longer than counted on
    ClusterOwned<bool> unverified;  // known from reports of unknown age only
    bool failed = false;            // the cloud lists it so: it has stopped for good

    std::uint64_t token = 0;  // the one that this term uses for it
    WorkerChannel channel;    // what it said, and when something of ours last reached it
    Millis lease_until = 0;   // its tasks may live until then, by what was sent; not longer
    Millis preemption_expected_at = 0;  // spot notice: taken back about then; 0: none

    std::vector<jobs::Attempt*> attempts;
    ClusterOwned<std::uint32_t> live_attempts;  // attempts that may hold a place
    ClusterOwned<std::uint32_t>
        live_gang_and_service_attempts;              // of them, those of gangs and services
    ClusterOwned<std::uint32_t> live_gang_attempts;  // of those, the ones of gangs
    ClusterOwned<double> gang_and_service_cpus;      // what gangs and services take
    ClusterOwned<double> cpus_free, gpus_free, memory_free;
    std::vector<CachedImage> images;
    Millis idle_since = 0;

    ClusterOwned<Index> reserved_for{kNone};  // job that room is being made for
    Millis reserved_until = 0;
    Millis cordoned_until = 0;  // being emptied

    // Sickness: jobs that failed here since a task last completed.
    std::vector<Index> failed_jobs;
    Millis probation_until = 0;

    // Commands.
    bool command_in_flight = false;
    bool token_confirmation_pending = false;  // send the token even with no commands
    Millis retry_command_at = 0;
    std::uint32_t command_failures = 0;
    MessagePosition
        command_sent_position;  // the newest that it had said when the message under way was sent
    Millis command_sent_at = 0;
    Millis probe_requested_at = 0;  // a message of unknown age made the book ask it
    bool shard_recorded = false;    // in a committed block record
    bool recovering_jobs = false;   // what was lent with it is not in the book yet
    bool commands_queued = false;   // in the list of those that have something to be sent

    // What the outlook has counted of it.
    bool empty_on_demand = false;      // ordinary, and nothing is on it
    double free_spot_share = 0;        // free share of a spot machine
    double array_share = 0;            // share that arrays have or may have, when it is up
    bool counts_for_replicas = false;  // of a kind where room for them is kept
    double replica_slots = 0;          // free for them
    bool available_for_whole_machine_task =
        false;  // a whole-machine task could have it within seconds

    ClusterOwned<bool> counts_as_up;  // reports, or should
    ClusterOwned<Reachability> reachability{Reachability::reachable};
    ClusterOwned<bool> suspected;  // not heard since its zone went dark
    Millis first_listed_at = 0;    // first seen in the cloud's list

    bool confirmed() const { return token != 0 && channel.token() == token; }
    bool usable() const { return state == MachineState::ready; }
    // May be given tasks, and answers.
    bool accepts_tasks() const {
        return usable() && reachability == Reachability::reachable && !suspected;
    }
    bool empty() const { return live_attempts == 0; }
};

class MachineRegistry {
  public:
    Machine* add(const std::string& name);
    Machine* find(const std::string& name) const;
    // Null once the machine is gone.
    Machine* by_index(Index i) const { return machines_[i].get(); }
    void remove(Machine* machine);  // keeps a tombstone of the name
    bool contains(const std::string& name) const { return by_name_.count(name) != 0; }
    bool is_tombstoned(const std::string& name) const { return tombstones_.count(name) != 0; }

    // All machines there are, in no order.
    const std::vector<Machine*>& all() const { return all_; }

  private:
    std::vector<std::unique_ptr<Machine>> machines_;
    std::vector<Machine*> all_;
    std::unordered_map<std::string, Machine*> by_name_;
    std::unordered_map<std::string, bool> tombstones_;
    std::vector<std::string> tombstone_ring_;
    std::size_t next_tombstone_ = 0;
};

}  // namespace nickelramp::machines
