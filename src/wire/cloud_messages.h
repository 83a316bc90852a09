/// @file
/// Messages of the cloud: machine types, instances, and requests to provision and release them.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wire/cbor.h"

namespace nickelramp::wire {

/// A type of machine that the cloud offers. Prices are for an hour.
struct MachineType {
    std::string name;
    double cpus = 0, gpus = 0, memory_gb = 0;
    /// Room for images, and how fast they arrive.
    double cache_gb = 0, fetch_gb_per_s = 0;
    double price = 0, spot_price = 0;
    /// Seconds that a new machine takes to boot.
    double boot_s = 0;
    std::vector<std::string> zones;
};

/// Nothing if any type lacks a field that is needed, or there are no types.
std::optional<std::vector<MachineType>> decode_machine_types(const Json& body);
/// In the cloud's own form; also that of the record in the key-value store.
Json encode_machine_types(const std::vector<MachineType>& types);

enum class InstanceStatus : std::uint8_t { booting, running, failed };

/// A machine as the cloud lists it.
struct CloudInstance {
    std::string id, address, type, zone;
    bool spot = false;
    InstanceStatus status = InstanceStatus::booting;
    /// Seconds, as the cloud counts them.
    double age_s = 0;
};

struct InstancePage {
    std::vector<CloudInstance> instances;
    /// Further pages follow.
    bool more = false;
};

/// Nothing if any instance lacks its id or status.
std::optional<InstancePage> decode_instance_page(const Json& body);

/// `request` is the name of the request, under which it is on record.
std::string encode_provision_request(const std::string& request, const std::string& type,
                                     const std::string& zone, bool spot, std::uint32_t count);
std::string encode_release_request(const std::vector<std::string>& machines);
/// The names of the new machines; nothing if the body cannot be read.
std::optional<std::vector<std::string>> decode_provision_reply(const Json& body);

}  // namespace nickelramp::wire
