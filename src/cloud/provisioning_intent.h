/// @file
/// A request to the cloud that a controller is about to send.
#pragma once
#include <cstdint>
#include <string>

namespace nickelramp::cloud {

/// A request for machines, or a machine that is to be released. It is recorded in the
/// autoscaling::IntentLog before it is sent and is retried under its name until it is answered.
struct ProvisioningIntent {
    std::string name;  ///< of the request or of the machine to release
    /// The following members are set for a request for machines only.
    std::string type, zone;
    bool spot = false;
    std::uint32_t count = 0;
};

}  // namespace nickelramp::cloud
