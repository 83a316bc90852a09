#include "api/job_admission.h"

#include <algorithm>
#include <set>
#include <string>

#include "jobs/resource_need.h"

namespace nickelramp::api {

namespace {

bool contains(const std::vector<std::string>& values, const std::string& value) {
    return std::find(values.begin(), values.end(), value) != values.end();
}

// Returns whether a task of the job can run on a machine of the type.
bool allows_type(const wire::JobSpec& spec, const wire::MachineType& type) {
    if (!spec.any_type && !contains(spec.types, type.name)) return false;
    if (spec.zone && !contains(type.zones, *spec.zone)) return false;
    return jobs::fits_within(type.cpus, type.gpus, type.memory_gb,
                             {spec.cpus, spec.gpus, spec.memory_gb});
}

// A quota of 0 means no limit.
bool is_above_quota(double needed, double quota) {
    return quota > 0 && needed > quota + jobs::kFitTolerance;
}

}  // namespace

const char* message(Unschedulable reason) {
    switch (reason) {
        case Unschedulable::unknown_team:
            return "unknown team";
        case Unschedulable::no_machine_type:
            return "a task fits no allowed machine type";
        case Unschedulable::needs_more_zones:
            return "scattered over zones, of which it is allowed one";
        case Unschedulable::above_team_quota:
            return "needs more than the team's limit";
    }
    return "";
}

std::optional<Unschedulable> unschedulable_reason(const wire::JobSpec& spec,
                                                  const wire::Settings& settings,
                                                  const std::vector<wire::MachineType>& types) {
    const auto team = std::find_if(settings.teams.begin(), settings.teams.end(),
                                   [&](const wire::Team& team) { return team.name == spec.team; });
    if (team == settings.teams.end()) return Unschedulable::unknown_team;
    bool fits = false;
    std::set<std::string> zones;
    for (const wire::MachineType& type : types) {
        if (!allows_type(spec, type)) continue;
        fits = true;
        zones.insert(type.zones.begin(), type.zones.end());
    }
    if (!fits) return Unschedulable::no_machine_type;
    // Part of an array or a service can run in one zone while the rest runs later or never. All
    // tasks of a gang must run together.
    const bool in_one_zone = spec.one_zone || spec.zone || zones.size() < 2;
    if (spec.shape == wire::Shape::gang && spec.spread && spec.tasks > 1 && in_one_zone)
        return Unschedulable::needs_more_zones;
    // An array can run its tasks one after the other.
    const double concurrent_tasks = spec.shape == wire::Shape::array ? 1.0 : spec.tasks;
    if (is_above_quota(spec.cpus * concurrent_tasks, team->cpus_max) ||
        is_above_quota(spec.gpus * concurrent_tasks, team->gpus_max))
        return Unschedulable::above_team_quota;
    return std::nullopt;
}

}  // namespace nickelramp::api
