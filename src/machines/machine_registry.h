/// @file
/// The machines of a leader's or shard holder's term: the identity and life cycle of each machine,
/// the last messages of its worker, and the attempts that may run on it.
///
/// All code runs on the controller's single loop thread. Times are milliseconds of the steady
/// clock; 0 means "not yet" unless stated otherwise.
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

/// Life-cycle state of a machine. Changed only by cluster::ClusterState::set_machine_state().
enum class MachineState {
    booting,  ///< provisioned; no heartbeat yet
    joining,  ///< up, but the shard record that grants it is not committed yet, or the worker has
              ///< not confirmed the token issued by this term
    ready,    ///< eligible for tasks
    leased_out,  ///< in a shard that another controller holds
    draining,    ///< gets no new tasks; released when empty or when its time limit is reached
    releasing,   ///< a release request was or will be sent to the cloud
    gone,        ///< confirmed gone, with all its tasks
};
inline constexpr std::size_t kMachineStateCount = 7;
/// Returns the state's fixed name on administration pages and in metrics.
[[nodiscard]] const char* name(MachineState state);

/// A container image in a machine's cache.
struct CachedImage {
    Index image = kNone;
    double size_gb = 0;
    Millis last_used_at = 0;
    bool present = false;  ///< false while it is being fetched
};

using jobs::ClusterOwned;

/// One machine. Only cluster::ClusterState changes the ClusterOwned fields, so that its counts and
/// indices stay consistent. Where a group of other fields has one owner, its comment names it.
struct Machine {
    // Identity.
    Index index = kNone;
    std::string name, address;
    Index type = kNone, zone = kNone;  ///< kNone while unknown
    bool spot = false;

    // Life cycle.
    ClusterOwned<MachineState> state{MachineState::booting};
    Millis provisioned_at = 0;
    Millis up_at = 0;  ///< time of its first heartbeat or command reply
    Millis listed_running_at = 0;
    bool boots_late = false;        ///< takes longer to boot than expected
    ClusterOwned<bool> unverified;  ///< known only from messages of unknown age
    bool failed = false;            ///< the cloud lists it as failed; it will not run again

    // Communication.
    std::uint64_t token = 0;  ///< the fencing token this term uses for it; 0: none
    /// The lowest token whose echo shows that it may be sent start commands.
    std::uint64_t token_to_confirm = 0;
    std::uint64_t last_start_token = 0;  ///< the token of the last start command; 0: none was sent
    WorkerChannel channel;   ///< evidence from its messages, and when it was last reached
    Millis lease_until = 0;  ///< latest end of any lease granted to it, hence of its tasks
    Millis preemption_expected_at = 0;  ///< after a spot notice: estimated preemption time

    // Attempts and free capacity.
    std::vector<jobs::Attempt*> attempts;       ///< live, or still reported by the worker
    ClusterOwned<std::uint32_t> live_attempts;  ///< attempts that may occupy a slot
    ClusterOwned<std::uint32_t> live_gang_and_service_attempts;  ///< subset of live_attempts
    ClusterOwned<std::uint32_t> live_gang_attempts;              ///< subset of live_attempts
    ClusterOwned<double> gang_and_service_cpus;  ///< CPUs used by gangs and services
    ClusterOwned<double> cpus_free, gpus_free, memory_free;
    std::vector<CachedImage> images;
    Millis idle_since = 0;

    // Reservations.
    ClusterOwned<Index> reserved_for{kNone};  ///< job for which tasks here are preempted
    Millis reserved_until = 0;
    Millis cordoned_until = 0;  ///< gets no new tasks until then, while its tasks move elsewhere

    // Quarantine.
    std::vector<Index> failed_jobs;  ///< jobs that failed here since a task last completed
    Millis probation_until = 0;

    // Commands (control::CommandSender).
    bool command_in_flight = false;
    bool token_confirmation_pending = false;  ///< send a message even if no command is queued
    Millis retry_command_at = 0;
    std::uint32_t command_failures = 0;     ///< failed sends since the last reply
    MessagePosition command_sent_position;  ///< newest when the command in flight was sent
    Millis command_sent_at = 0;
    Millis probe_requested_at = 0;  ///< when a message of unknown age caused a probe
    bool shard_recorded = false;    ///< it is in a committed shard record
    bool recovering_jobs = false;   ///< jobs of its reclaimed shard are not loaded yet
    bool commands_queued = false;   ///< it is in CommandSender's queue

    // Contribution to the totals of forecast::DemandForecast.
    bool empty_on_demand = false;      ///< an empty on-demand machine
    double free_spot_share = 0;        ///< free fraction of a spot machine, 0 to 1
    double array_share = 0;            ///< fraction that arrays use or may use while it is up
    bool counts_for_replicas = false;  ///< of a type for which replica headroom is kept
    double replica_slots = 0;          ///< free slots for replicas
    bool available_for_whole_machine_task = false;  ///< now or within seconds

    // Health (failure::FailureDetector).
    ClusterOwned<bool> counts_as_up;  ///< sends heartbeats or is expected to
    ClusterOwned<Reachability> reachability{Reachability::reachable};
    ClusterOwned<bool> suspected;  ///< no heartbeat received since its zone was lost
    Millis first_listed_at = 0;    ///< when the cloud's list first showed it

    /// Returns whether the worker has echoed a token that shows that it obeys this term and no
    /// earlier one, and that everything which had to be fenced is fenced.
    [[nodiscard]] bool confirmed() const {
        return token != 0 && channel.token() >= token_to_confirm && channel.token() <= token;
    }
    [[nodiscard]] bool usable() const { return state == MachineState::ready; }
    /// Returns whether tasks may be placed on it now.
    [[nodiscard]] bool accepts_tasks() const {
        return usable() && reachability == Reachability::reachable && !suspected;
    }
    [[nodiscard]] bool empty() const { return live_attempts == 0; }
};

/// The machines of a term by name and by index, and the names of machines that are gone.
///
/// Owns the machines; a pointer is valid until remove(). Owned and changed by
/// cluster::ClusterState, read by all modules.
class MachineRegistry {
  public:
    /// Adds a machine; the name must not be in use. Indices are never reused.
    Machine* add(const std::string& name);
    /// Returns null if there is no such machine or it was removed.
    [[nodiscard]] Machine* find(const std::string& name) const;
    /// Returns null once the machine is gone. `index` must have been assigned by add().
    [[nodiscard]] Machine* by_index(Index index) const { return machines_[index].get(); }
    /// Destroys the machine and keeps a tombstone of its name, so that late heartbeats do not add
    /// it again. The last 2,000 tombstones are kept.
    void remove(Machine* machine);
    [[nodiscard]] bool contains(const std::string& name) const { return by_name_.count(name) != 0; }
    [[nodiscard]] bool is_tombstoned(const std::string& name) const {
        return tombstones_.count(name) != 0;
    }
    /// Returns all machines in the order in which they were added.
    [[nodiscard]] const std::vector<Machine*>& all() const { return all_; }

  private:
    void add_tombstone(const std::string& name);

    std::vector<std::unique_ptr<Machine>> machines_;  ///< by index
    std::vector<Machine*> all_;
    std::unordered_map<std::string, Machine*> by_name_;
    std::unordered_set<std::string> tombstones_;
    std::vector<std::string> tombstone_ring_;  ///< the same names; the oldest is overwritten first
    std::size_t next_tombstone_ = 0;           ///< next ring position to overwrite, once it is full
};

}  // namespace nickelramp::machines
