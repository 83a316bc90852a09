/// \file
/// What a term knows of each machine: what it is, what its worker last said, and what may be on it.
///
/// Everything runs on the controller's one loop thread. Times are milliseconds of the steady clock;
/// 0 stands for "not yet" unless said otherwise.
#pragma once
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "base/names.h"
#include "base/time.h"
#include "jobs/job.h"
#include "machines/worker_channel.h"
#include "wire/messages.h"

namespace nickelramp::machines {

/// Only cluster::ClusterState changes it (ClusterState::set_machine_state).
enum class MachineState {
    booting,  ///< provisioned; no heartbeat yet
    joining,  ///< up, but the shard record that grants it is not committed yet, or the token that
              ///< this term issued to it is not confirmed
    ready,    ///< may be given tasks
    leased_out,  ///< in a shard that another controller holds
    draining,    ///< gets no new tasks; released when empty or when its time is up
    releasing,   ///< the cloud was or will be told to take it back
    gone,        ///< proven gone, with everything on it
};
inline constexpr std::size_t kMachineStateCount = 7;
/// The state's name on administration pages and in metrics, whose names are fixed.
[[nodiscard]] const char* name(MachineState state);

/// A container image in a machine's cache.
struct CachedImage {
    Index image = kNone;
    double size_gb = 0;
    Millis last_used_at = 0;
    bool present = false;  ///< false: still being fetched
};

using jobs::ClusterOwned;

/// One machine. ClusterOwned fields are changed by cluster::ClusterState alone, which keeps its
/// counts and indices in step; the part that changes another field is named by the group.
struct Machine {
    // Identity.
    Index index = kNone;
    std::string name, address;
    Index type = kNone, zone = kNone;  ///< kNone: not known yet
    bool spot = false;

    // Life cycle.
    ClusterOwned<MachineState> state{MachineState::booting};
    Millis provisioned_at = 0;
    Millis up_at = 0;  ///< its first heartbeat or command reply
    Millis listed_running_at = 0;
    bool boots_late = false;        ///< boots longer than is counted on
    ClusterOwned<bool> unverified;  ///< known from messages of unknown age only
    bool failed = false;            ///< the cloud lists it as failed: it has stopped for good

    // Communication.
    std::uint64_t token = 0;  ///< the fencing token that this term uses for it; 0: none
    WorkerChannel channel;    ///< what its worker said, and when a message last reached it
    Millis lease_until = 0;   ///< no lease that was given lets its tasks live longer
    Millis preemption_expected_at = 0;  ///< after a spot notice: about when the cloud takes it back

    // Attempts and free capacity.
    std::vector<jobs::Attempt*> attempts;       ///< live, or not yet forgotten by the worker
    ClusterOwned<std::uint32_t> live_attempts;  ///< that may hold a slot
    ClusterOwned<std::uint32_t> live_gang_and_service_attempts;  ///< of the live ones
    ClusterOwned<std::uint32_t> live_gang_attempts;              ///< of the live ones
    ClusterOwned<double> gang_and_service_cpus;                  ///< used by gangs and services
    ClusterOwned<double> cpus_free, gpus_free, memory_free;
    std::vector<CachedImage> images;
    Millis idle_since = 0;

    // Reservations.
    ClusterOwned<Index> reserved_for{kNone};  ///< job whose tasks others are preempted for
    Millis reserved_until = 0;
    Millis cordoned_until = 0;  ///< no new tasks, as it is being emptied

    // Quarantine.
    std::vector<Index> failed_jobs;  ///< that failed here since a task last completed
    Millis probation_until = 0;

    // Direct messages (control::CommandSender).
    bool command_in_flight = false;
    bool token_confirmation_pending = false;  ///< send a message even without commands
    Millis retry_command_at = 0;
    std::uint32_t command_failures = 0;     ///< since a message was last answered
    MessagePosition command_sent_position;  ///< newest known when the one in flight was sent
    Millis command_sent_at = 0;
    Millis probe_requested_at = 0;  ///< a message that proved too little made the controller ask
    bool shard_recorded = false;    ///< in a committed shard record
    bool recovering_jobs = false;   ///< jobs delegated with it are not in the cluster state yet
    bool commands_queued = false;   ///< in CommandSender's queue

    // What forecast::DemandForecast has counted of it.
    bool empty_on_demand = false;      ///< not a spot machine, and empty
    double free_spot_share = 0;        ///< free part of a spot machine, 0 to 1
    double array_share = 0;            ///< part that arrays use or may use while it is up
    bool counts_for_replicas = false;  ///< of a kind where replica headroom is kept
    double replica_slots = 0;          ///< free for replicas
    bool available_for_whole_machine_task = false;  ///< within seconds

    // Health (failure::FailureDetector).
    ClusterOwned<bool> counts_as_up;  ///< sends heartbeats, or should
    ClusterOwned<Reachability> reachability{Reachability::reachable};
    ClusterOwned<bool> suspected;  ///< not heard since its zone was lost
    Millis first_listed_at = 0;    ///< first seen in the cloud's list

    /// It has shown the token in use: it obeys this term and no earlier one.
    [[nodiscard]] bool confirmed() const { return token != 0 && channel.token() == token; }
    [[nodiscard]] bool usable() const { return state == MachineState::ready; }
    /// May be given tasks now.
    [[nodiscard]] bool accepts_tasks() const {
        return usable() && reachability == Reachability::reachable && !suspected;
    }
    [[nodiscard]] bool empty() const { return live_attempts == 0; }
};

/// The machines of a term by name and by index, and the names of those that are gone.
///
/// Owns the machines: a pointer is valid until remove(). Owned and changed by
/// cluster::ClusterState; all parts read it.
class MachineRegistry {
  public:
    /// Adds a machine; the name must not be in use. Indices are never used again.
    Machine* add(const std::string& name);
    /// Null: there is no such machine (any more).
    [[nodiscard]] Machine* find(const std::string& name) const;
    /// `index` must have been given out by add(). Null once the machine is gone.
    [[nodiscard]] Machine* by_index(Index index) const { return machines_[index].get(); }
    /// Destroys the machine and keeps a tombstone of its name: late heartbeats must not bring it
    /// back. The last 2,000 tombstones are kept.
    void remove(Machine* machine);
    [[nodiscard]] bool contains(const std::string& name) const { return by_name_.count(name) != 0; }
    [[nodiscard]] bool is_tombstoned(const std::string& name) const {
        return tombstones_.count(name) != 0;
    }
    /// All machines, in the order in which they were added.
    [[nodiscard]] const std::vector<Machine*>& all() const { return all_; }

  private:
    void add_tombstone(const std::string& name);

    std::vector<std::unique_ptr<Machine>> machines_;  ///< by index
    std::vector<Machine*> all_;
    std::unordered_map<std::string, Machine*> by_name_;
    std::unordered_set<std::string> tombstones_;
    std::vector<std::string> tombstone_ring_;  ///< the same, the oldest is overwritten first
    std::size_t next_tombstone_ = 0;           ///< in the ring, once it is full
};

}  // namespace nickelramp::machines
