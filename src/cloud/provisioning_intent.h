/// @file
/// What a controller is about to ask of the cloud.
#pragma once
#include <cstdint>
#include <string>

namespace nickelramp::cloud {

/// One request for machines, or one machine that is to be released. It is put on record
/// (autoscaling::IntentLog) before it is sent, and repeated under its name until it is answered.
struct ProvisioningIntent {
    std::string name;  ///< of the request, or of the machine that is to be released
    /// The following describe a request for machines only.
    std::string type, zone;
    bool spot = false;
    std::uint32_t count = 0;
};

}  // namespace nickelramp::cloud
