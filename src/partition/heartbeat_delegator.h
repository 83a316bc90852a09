/// @file
/// The leader's side of replying to heartbeats inside a network partition: the peers to which it
/// has delegated replying (partition/partition_responder.h), and the latest time until which they
/// may have renewed leases.
#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "peers/messages.h"
#include "wire/settings.h"

namespace nickelramp::partition {

/// A delegation and the peer to send it to.
struct AddressedDelegation {
    std::string peer;
    peers::HeartbeatDelegation delegation;
};

/// Delegates replying to heartbeats to every reachable peer, and determines when a worker's lease
/// has certainly expired.
///
/// A delegation carries the leader's view: the time up to which the leader knew every cancellation.
/// Responders may renew leases for a limited time after it.
///
/// Guarantees: lease_expired() is true only if no controller that ever received a delegation of
/// this term can have renewed the lease, even if it has restarted or been partitioned since. Leases
/// that earlier terms may have renewed must be handled by the caller (last_possible_lease_end()).
///
/// Called by the control loop (delegations, machine checks) and by FailureDetector. Runs on the
/// single loop thread; times are milliseconds of the steady clock. Lives as long as the leader's
/// term; the settings must outlive it.
class HeartbeatDelegator {
  public:
    explicit HeartbeatDelegator(const wire::Settings& settings) : settings_(settings) {}

    /// Processes the status of a peer.
    /// @param term this leader's; reports on delegations of other terms are ignored.
    void on_peer_status(const peers::Status& status, std::uint64_t term, Millis now);
    /// Returns the delegations to send now, one to each peer that sent its status recently.
    /// @param highest_token the highest token granted so far.
    /// @param holder_tokens tokens of shards that are leased to other controllers.
    /// @param cancellations_known_until time up to which every cancellation is known here.
    [[nodiscard]] std::vector<AddressedDelegation> delegations(
        std::uint64_t term, std::uint64_t highest_token,
        const std::vector<std::uint64_t>& holder_tokens, Millis cancellations_known_until,
        Millis now);
    /// Returns whether a lease that this leader's own replies extended until `lease_until` has
    /// expired, whatever partition responders did.
    [[nodiscard]] bool lease_expired(Millis lease_until, Millis now) const;
    /// Returns the latest time at which such a lease expires, as far as is known.
    [[nodiscard]] Millis lease_end_at_latest(Millis lease_until) const;
    /// Returns how long, in milliseconds, this leader and its responders may reply without learning
    /// of new cancellations. The longest window is allowed only if every controller confirms a
    /// cancellation to users once it is complete.
    [[nodiscard]] Millis response_window() const;

  private:
    /// State of the current process of a peer.
    struct Entry {
        std::uint64_t incarnation = 0, clock_ms = 0;
        Millis last_status_at = 0;
        bool confirms_cancellations = false;
        Millis view = 0;              // of the last delegation sent; 0: none
        Millis no_replies_until = 0;  // it sent no unreported replies before then
        Millis last_reply_at = 0;     // last reply that it reported; 0: none
    };
    [[nodiscard]] Millis lease_end_after_reply(Millis replied_at) const;
    /// Returns when leases that a responder with a delegation of this view renewed have expired.
    [[nodiscard]] Millis lease_end_after_view(Millis view) const;
    void forget_process(Entry& entry, Millis now);

    const wire::Settings& settings_;
    std::map<std::string, Entry> peers_;  // by name
    std::vector<Millis> departed_views_;  // views sent to processes that have ended
};

}  // namespace nickelramp::partition
