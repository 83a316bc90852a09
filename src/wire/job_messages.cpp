#include "wire/job_messages.h"

#include <array>

#include "wire/enum_names.h"
#include "wire/field_names.h"

namespace nickelramp::wire {

namespace {

namespace names = field_names;

constexpr std::uint32_t kMaxTasks = 100'000;
constexpr double kMaxAmount = 1e9;
constexpr std::size_t kMaxNameBytes = 200;
constexpr std::size_t kMaxMachineTypes = 1000;

constexpr const char* kJobIdPrefix = "job-";
constexpr std::size_t kJobIdPrefixLength = 4;
constexpr std::size_t kMaxJobIdLength = 40;

// All fields that parse_job reads.
constexpr std::array<const char*, 20> kJobFields{"id",
                                                 names::kJobClass,
                                                 names::kTeam,
                                                 "shape",
                                                 names::kPriority,
                                                 names::kTasks,
                                                 names::kCpus,
                                                 names::kGpus,
                                                 "mem_gb",
                                                 names::kImage,
                                                 names::kImageSize,
                                                 names::kMachineTypes,
                                                 names::kZone,
                                                 "one_zone",
                                                 names::kSpread,
                                                 names::kSpot,
                                                 names::kEstimate,
                                                 names::kCheckpointInterval,
                                                 names::kCheckpointDuration,
                                                 names::kDeadline};

// Names in the protocol, in the order of the enumerators.
constexpr std::array<const char*, 3> kShapes{"sweep", "ensemble", "standing"};
constexpr std::array<const char*, 4> kPriorities{"best_effort", "normal", "urgent", "prod"};
constexpr std::array<const char*, 4> kStatuses{"pending", "running", "done", "withdrawn"};

// Reads the fields of a submission one by one and records the first invalid one. Reading an invalid
// field returns an empty, zero or false value.
class JobFieldReader {
  public:
    explicit JobFieldReader(const Json& body) : body_(body) {}

    bool has(const char* name) const { return field(body_, name) != nullptr; }
    std::string id() {
        std::string id = text("id");
        if (!valid_job_id(id)) mark_invalid("id");
        return id;
    }
    std::string text(const char* name) {
        auto value = text_field(body_, name);
        if (value && !value->empty() && value->size() <= kMaxNameBytes) return *value;
        mark_invalid(name);
        return "";
    }
    double amount(const char* name) {
        const auto value = amount_field(body_, name);
        if (value && *value <= kMaxAmount) return *value;
        mark_invalid(name);
        return 0;
    }
    bool flag(const char* name) {
        const auto value = flag_field(body_, name);
        if (!value) mark_invalid(name);
        return value.value_or(false);
    }
    template <typename Enum, std::size_t Count>
    Enum enumeration(const char* name, const std::array<const char*, Count>& names) {
        const auto value = enum_of<Enum>(names, text_field(body_, name).value_or(""));
        if (!value) mark_invalid(name);
        return value.value_or(Enum{});
    }
    std::uint32_t task_count() {
        const auto count = count_field(body_, names::kTasks);
        if (count && *count >= 1 && *count <= kMaxTasks) return static_cast<std::uint32_t>(*count);
        mark_invalid(names::kTasks);
        return 0;
    }
    // Returns the strings of a list field. The field must be present.
    std::vector<std::string> texts(const char* name) {
        const Json* list = field(body_, name);
        std::vector<std::string> values;
        if (!list->is_array() || list->size() > kMaxMachineTypes) {
            mark_invalid(name);
            return values;
        }
        for (const Json& value : *list) {
            if (value.is_string())
                values.push_back(value.get<std::string>());
            else
                mark_invalid(name);
        }
        return values;
    }
    const std::optional<JobSpecError>& error() const { return error_; }

  private:
    void mark_invalid(const char* name) {
        if (!error_) error_ = JobSpecError{name};
    }

    const Json& body_;
    std::optional<JobSpecError> error_;
};

}  // namespace

bool valid_job_id(const std::string& id) {
    if (id.size() <= kJobIdPrefixLength || id.size() > kMaxJobIdLength) return false;
    if (id.rfind(kJobIdPrefix, 0) != 0) return false;
    return id.find_first_not_of("0123456789", kJobIdPrefixLength) == std::string::npos;
}

// Reads the fields in the order in which the protocol lists them, so that the error names the first
// invalid one.
Result<JobSpec, JobSpecError> parse_job(const Json& body) {
    JobFieldReader reader(body);
    JobSpec spec;
    spec.id = reader.id();
    spec.job_class = reader.text(names::kJobClass);
    spec.team = reader.text(names::kTeam);
    spec.shape = reader.enumeration<Shape>("shape", kShapes);
    spec.priority = reader.enumeration<Priority>(names::kPriority, kPriorities);
    spec.tasks = reader.task_count();
    spec.cpus = reader.amount(names::kCpus);
    spec.gpus = reader.amount(names::kGpus);
    spec.memory_gb = reader.amount("mem_gb");
    spec.image = reader.text(names::kImage);
    spec.image_gb = reader.amount(names::kImageSize);
    spec.any_type = !reader.has(names::kMachineTypes);
    if (!spec.any_type) spec.types = reader.texts(names::kMachineTypes);
    if (reader.has(names::kZone)) spec.zone = reader.text(names::kZone);
    spec.one_zone = reader.flag("one_zone");
    spec.spread = reader.flag(names::kSpread);
    spec.spot = reader.flag(names::kSpot);
    spec.estimate_s = reader.amount(names::kEstimate);
    spec.checkpoint_interval_s = reader.amount(names::kCheckpointInterval);
    spec.checkpoint_duration_s = reader.amount(names::kCheckpointDuration);
    if (reader.has(names::kDeadline)) spec.deadline_s = reader.amount(names::kDeadline);
    if (reader.error()) return *reader.error();
    return spec;
}

Json known_job_fields(const Json& body) {
    Json known = Json::object();
    for (const char* name : kJobFields) {
        if (const auto found = body.find(name); found != body.end()) known[name] = *found;
    }
    return known;
}

Json encode_job_answer(const std::string& id, JobStatus status,
                       const std::optional<TaskCounts>& counts) {
    Json answer = {{"id", id}, {"status", name_of(kStatuses, status)}};
    if (counts) {
        answer["done"] = counts->done;
        answer["running"] = counts->running;
    }
    return answer;
}

const char* status_name(JobStatus status) { return name_of(kStatuses, status); }

}  // namespace nickelramp::wire
