/// @file
/// What the other controllers last said of themselves, as far as it decides who can help.
#pragma once
#include <cstdint>
#include <map>
#include <string>

#include "base/time.h"
#include "peers/messages.h"

namespace nickelramp::roles {

/// Fed with every status message; owned by RoleManager.
class PeerDirectory {
  public:
    struct Peer {
        std::uint64_t incarnation = 0;
        std::uint64_t clock_ms = 0;          ///< the peer's clock when it sent the status
        std::uint64_t lease_id = 0;          ///< of its helper lease; 0: it has none
        bool state_service_answers = false;  ///< to the peer
        Millis last_status_at = 0;           ///< by this controller's clock
    };

    void on_status(const peers::Status& status, Millis now);
    /// The peer, if its last status is recent and the state service answers it; otherwise null.
    /// Valid until the next status.
    [[nodiscard]] const Peer* find_able(const std::string& name, Millis now) const;
    /// The first peer by name that can help, empty if there is none.
    [[nodiscard]] std::string first_able(Millis now) const;

  private:
    std::map<std::string, Peer> peers_;  // by name
};

}  // namespace nickelramp::roles
