#include "wire/cloud_messages.h"

#include <array>

#include "wire/enum_names.h"
#include "wire/field_names.h"

namespace nickelramp::wire {

namespace {

namespace names = field_names;

constexpr std::array<const char*, 3> kInstanceStatuses{"booting", "running", "failed"};
constexpr double kDefaultFetchRate = 1;  // GB per second

// Returns the field if it is a list, otherwise nullptr.
const Json* list_field(const Json& body, const char* name) {
    const Json* list = field(body, name);
    return list != nullptr && list->is_array() ? list : nullptr;
}

std::optional<MachineType> decode_machine_type(const Json& body) {
    const auto name = text_field(body, "name");
    const auto cpus = amount_field(body, names::kCpus);
    const auto memory = amount_field(body, "mem_gb");
    const auto boot = amount_field(body, "boot_s");
    const Json* zones = list_field(body, names::kZones);
    if (!name || !cpus || !memory || !boot || zones == nullptr) return std::nullopt;
    MachineType type;
    type.name = *name;
    type.cpus = *cpus;
    type.gpus = amount_field(body, names::kGpus).value_or(0);
    type.memory_gb = *memory;
    type.cache_gb = amount_field(body, names::kCacheSize).value_or(0);
    type.fetch_gb_per_s = amount_field(body, names::kFetchRate).value_or(kDefaultFetchRate);
    type.price = amount_field(body, names::kPrice).value_or(0);
    type.spot_price = amount_field(body, names::kSpotPrice).value_or(type.price);
    type.boot_s = *boot;
    for (const Json& zone : *zones) {
        if (zone.is_string()) type.zones.push_back(zone.get<std::string>());
    }
    return type;
}

std::optional<CloudInstance> decode_instance(const Json& body) {
    const auto id = text_field(body, "id");
    const auto status =
        enum_of<InstanceStatus>(kInstanceStatuses, text_field(body, "status").value_or(""));
    if (!id || !status) return std::nullopt;
    CloudInstance instance;
    instance.id = *id;
    instance.address = text_field(body, "address").value_or("");
    instance.type = text_field(body, names::kMachineType).value_or("");
    instance.zone = text_field(body, names::kZone).value_or("");
    instance.spot = flag_field(body, names::kSpot).value_or(false);
    instance.status = *status;
    instance.age_s = amount_field(body, "age_s").value_or(0);
    return instance;
}

}  // namespace

std::optional<std::vector<MachineType>> decode_machine_types(const Json& body) {
    const Json* list = list_field(body, names::kMachineTypes);
    if (list == nullptr || list->empty()) return std::nullopt;
    std::vector<MachineType> types;
    for (const Json& item : *list) {
        auto type = decode_machine_type(item);
        if (!type) return std::nullopt;
        types.push_back(std::move(*type));
    }
    return types;
}

Json encode_machine_types(const std::vector<MachineType>& types) {
    Json list = Json::array();
    for (const MachineType& type : types) {
        list.push_back({{"name", type.name},
                        {names::kCpus, type.cpus},
                        {names::kGpus, type.gpus},
                        {"mem_gb", type.memory_gb},
                        {names::kCacheSize, type.cache_gb},
                        {names::kFetchRate, type.fetch_gb_per_s},
                        {names::kPrice, type.price},
                        {names::kSpotPrice, type.spot_price},
                        {"boot_s", type.boot_s},
                        {names::kZones, type.zones}});
    }
    return {{names::kMachineTypes, list}};
}

std::optional<InstancePage> decode_instance_page(const Json& body) {
    const Json* list = list_field(body, names::kInstances);
    if (list == nullptr) return std::nullopt;
    InstancePage page;
    page.more = flag_field(body, "truncated").value_or(false);
    for (const Json& item : *list) {
        auto instance = decode_instance(item);
        if (!instance) return std::nullopt;
        page.instances.push_back(std::move(*instance));
    }
    return page;
}

std::string encode_provision_request(const std::string& request, const std::string& type,
                                     const std::string& zone, bool spot, std::uint32_t count) {
    return encode({{names::kProvisionRequest, request},
                   {names::kMachineType, type},
                   {names::kZone, zone},
                   {names::kSpot, spot},
                   {"count", count}});
}

std::string encode_release_request(const std::vector<std::string>& machines) {
    return encode({{names::kInstances, machines}});
}

std::optional<std::vector<std::string>> decode_provision_reply(const Json& body) {
    const Json* list = list_field(body, names::kInstances);
    if (list == nullptr) return std::nullopt;
    std::vector<std::string> machines;
    for (const Json& machine : *list) {
        if (!machine.is_string()) return std::nullopt;
        machines.push_back(machine.get<std::string>());
    }
    return machines;
}

}  // namespace nickelramp::wire
