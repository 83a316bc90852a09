// Typed forms of the messages of users, workers and cloud. The wire's own names stay in here.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wire/cbor.h"

namespace nickelramp::wire {

enum class Shape : std::uint8_t { array, gang, service };
enum class Priority : std::uint8_t { low, normal, high, production };

struct JobSpec {
    std::string id;
    std::string job_class;
    std::string team;
    Shape shape = Shape::array;
    Priority priority = Priority::normal;
    std::uint32_t tasks = 1;
    double cpus = 0, gpus = 0, memory_gb = 0;
    bool any_type = true;
    std::vector<std::string> types;
    std::optional<std::string> zone;
    bool one_zone = false, spread = false, spot = false;
    std::string image;
    double image_gb = 0;
    double estimate_s = 0;
    double checkpoint_s = 0, save_s = 0;
    std::optional<double> deadline_s;
};

bool valid_job_id(const std::string& id);
// The field at fault is named in `error`.
std::optional<JobSpec> parse_job(const Json& body, std::string& error);

enum class JobStatus : std::uint8_t { pending, running, done, cancelled };
Json encode_job_answer(const std::string& id, JobStatus status);
Json encode_job_answer(const std::string& id, JobStatus status, std::uint64_t done,
                       std::uint64_t running);
const char* final_name(JobStatus status);

enum class TaskPhase : std::uint8_t { fetching, waiting, running, saving, exited };
enum class ExitCause : std::uint8_t {
    none,
    done,
    stopped,
    peers,
    alone,
    error,
    no_room,
    busy,
    unknown
};
const char* name(ExitCause c);

struct TaskReport {
    std::string job;
    std::uint32_t task = 0;
    std::uint32_t attempt = 0;
    TaskPhase phase = TaskPhase::fetching;
    ExitCause cause = ExitCause::none;
    bool saved = false;
};

struct Heartbeat {
    std::string machine, address, type, zone;
    bool spot = false;
    std::uint64_t incarnation = 0, sequence = 0, token = 0;
    std::optional<double> preemption_notice_s;
    std::vector<TaskReport> tasks;
};

std::optional<Heartbeat> decode_heartbeat(const Json& body);

struct Command {
    enum class Op : std::uint8_t { start, stop, forget };
    Op op = Op::start;
    std::string job;
    std::uint32_t task = 0;
    std::uint32_t attempt = 0;
    double grace_s = 0;
};

std::string encode_heartbeat_reply(std::uint64_t token, const std::vector<Command>& commands);
std::string encode_direct_commands(std::uint64_t token, std::uint64_t session,
                                   const std::vector<Command>& commands);
std::string encode_redirect(const std::string& node);  // empty: no node named

struct MachineType {
    std::string name;
    double cpus = 0, gpus = 0, memory_gb = 0;
    double cache_gb = 0, fetch_gb_per_s = 0;
    double price = 0, spot_price = 0;
    double boot_s = 0;
    std::vector<std::string> zones;
};
std::optional<std::vector<MachineType>> decode_machine_types(const Json& body);
Json encode_machine_types(const std::vector<MachineType>& types);

enum class InstanceStatus : std::uint8_t { booting, running, failed };
struct CloudInstance {
    std::string id, address, type, zone;
    bool spot = false;
    InstanceStatus status = InstanceStatus::booting;
    double age_s = 0;
};
struct InstancePage {
    std::vector<CloudInstance> instances;
    bool more = false;
};
std::optional<InstancePage> decode_instance_page(const Json& body);
std::string encode_provision_request(const std::string& request, const std::string& type,
                                     const std::string& zone, bool spot, std::uint32_t count);
std::string encode_release_request(const std::vector<std::string>& hosts);
std::optional<std::vector<std::string>> decode_provision_reply(const Json& body);

}  // namespace nickelramp::wire
