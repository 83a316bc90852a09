/// @file
/// Last status received from each other controller, used to choose a helper.
#pragma once
#include <cstdint>
#include <map>
#include <string>

#include "base/time.h"
#include "peers/messages.h"

namespace nickelramp::roles {

/// Updated with every status message. Owned by RoleManager.
class PeerDirectory {
  public:
    struct Peer {
        std::uint64_t incarnation = 0;
        std::uint64_t clock_ms = 0;          ///< the peer's clock when it sent the status
        std::uint64_t lease_id = 0;          ///< of the peer's helper lease; 0: it has none
        bool state_service_answers = false;  ///< whether the peer gets answers from it
        Millis last_status_at = 0;           ///< by this controller's clock
    };

    void on_status(const peers::Status& status, Millis now);
    /// Returns the peer if its last status is recent and the state service answers it, otherwise
    /// null. The pointer is valid until the next call of on_status().
    [[nodiscard]] const Peer* find_eligible(const std::string& name, Millis now) const;
    /// Returns the name of the first eligible peer in order of names, or an empty string.
    [[nodiscard]] std::string first_eligible(Millis now) const;

  private:
    std::map<std::string, Peer> peers_;  // by name
};

}  // namespace nickelramp::roles
