/// @file
/// Messages exchanged with the cloud: machine types, instances, and requests to provision and
/// release instances.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wire/cbor.h"

namespace nickelramp::wire {

/// A machine type that the cloud offers. Prices are per hour.
struct MachineType {
    std::string name;
    double cpus = 0, gpus = 0, memory_gb = 0;
    /// Size of the image cache in GB, and the rate at which images are fetched in GB per second.
    double cache_gb = 0, fetch_gb_per_s = 0;
    double price = 0, spot_price = 0;
    /// Boot time of a new machine in seconds.
    double boot_s = 0;
    std::vector<std::string> zones;
};

/// Returns std::nullopt if there are no types or any type lacks a required field.
std::optional<std::vector<MachineType>> decode_machine_types(const Json& body);
/// Encodes machine types in the cloud's format, which the record in the key-value store uses too.
Json encode_machine_types(const std::vector<MachineType>& types);

enum class InstanceStatus : std::uint8_t { booting, running, failed };

/// A machine as the cloud lists it.
struct CloudInstance {
    std::string id, address, type, zone;
    bool spot = false;
    InstanceStatus status = InstanceStatus::booting;
    /// Age in seconds according to the cloud.
    double age_s = 0;
};

/// One page of the cloud's list of instances.
struct InstancePage {
    std::vector<CloudInstance> instances;
    /// Whether further pages follow.
    bool more = false;
};

/// Returns std::nullopt if the list is missing or any instance lacks its id or status.
std::optional<InstancePage> decode_instance_page(const Json& body);

/// Encodes a request to provision `count` machines.
/// @param request name under which the request is recorded
std::string encode_provision_request(const std::string& request, const std::string& type,
                                     const std::string& zone, bool spot, std::uint32_t count);
std::string encode_release_request(const std::vector<std::string>& machines);
/// Returns the names of the new machines, or std::nullopt if the reply is invalid.
std::optional<std::vector<std::string>> decode_provision_reply(const Json& body);

}  // namespace nickelramp::wire
