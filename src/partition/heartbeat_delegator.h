/// @file
/// The leader's side of replying to heartbeats inside a network partition: to whom it has delegated
/// that (partition/partition_responder.h), and until when leases may have been renewed.
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

/// Delegates the replying to heartbeats to every peer that is heard, and knows by when a worker's
/// lease has certainly expired.
///
/// Guarantees: lease_expired() is true only if no controller that ever got a delegation of this
/// term can have renewed the lease, even if it restarted or is cut off since. Leases that earlier
/// terms may have renewed are the caller's concern (last_possible_lease_end()).
///
/// Called by the control loop (delegations, checks of machines) and by FailureDetector. Runs on the
/// one loop thread; times are milliseconds of the steady clock. Lives as long as the leader's term;
/// the settings must outlive it.
class HeartbeatDelegator {
  public:
    explicit HeartbeatDelegator(const wire::Settings& settings) : settings_(settings) {}

    /// A peer has sent its status.
    /// @param term this leader's; what the peer says of delegations of other terms is ignored.
    void on_peer_status(const peers::Status& status, std::uint64_t term, Millis now);
    /// The delegations to send now, one to each peer heard recently.
    /// @param highest_token no token beyond it has been granted.
    /// @param holder_tokens tokens of shards that are leased to others.
    /// @param view_fresh every cancellation up to then is known here.
    [[nodiscard]] std::vector<AddressedDelegation> delegations(
        std::uint64_t term, std::uint64_t highest_token,
        const std::vector<std::uint64_t>& holder_tokens, Millis view_fresh, Millis now);
    /// Whether a lease has expired that this leader's own replies let last until `lease_until`,
    /// whatever partition responders did.
    [[nodiscard]] bool lease_expired(Millis lease_until, Millis now) const;
    /// By when it has expired at the latest, as far as is known.
    [[nodiscard]] Millis lease_end_at_latest(Millis lease_until) const;
    /// How long, in milliseconds, this leader and its responders may reply without knowing of new
    /// cancellations: the longest window if every controller confirms a cancellation only when it
    /// is complete.
    [[nodiscard]] Millis response_window() const;

  private:
    /// A process of a peer.
    struct Entry {
        std::uint64_t incarnation = 0, clock_ms = 0;
        Millis last_status_at = 0;
        bool confirms_cancellations = false;
        Millis view = 0;              // of the last delegation sent; 0: none was
        Millis no_replies_until = 0;  // until then it has replied to nothing but what it reports
        Millis last_reply_at = 0;     // the last that it reported; 0: none
    };
    [[nodiscard]] Millis lease_end_after_reply(Millis replied_at) const;
    /// By when leases have expired that a responder with a delegation of this view has renewed.
    [[nodiscard]] Millis lease_end_after_view(Millis view) const;
    void forget_process(Entry& entry, Millis now);

    const wire::Settings& settings_;
    std::map<std::string, Entry> peers_;  // by name
    std::vector<Millis> departed_views_;  // views of processes that have ended since
};

}  // namespace nickelramp::partition
