/// @file
/// Which jobs are accepted at all.
#pragma once
#include <optional>
#include <vector>

#include "wire/messages.h"
#include "wire/settings.h"

namespace nickelramp::api {

/// Why a job can never run.
enum class Unschedulable {
    unknown_team,
    no_machine_type,   ///< a task fits no machine type that the job allows
    needs_more_zones,  ///< a gang that is to be distributed over zones is confined to one
    above_team_quota
};
/// For users.
const char* message(Unschedulable reason);

/// Why the job can never run with these settings and machine types; nothing if it may be able to.
/// Called by JobRequestHandler for submissions.
std::optional<Unschedulable> unschedulable_reason(const wire::JobSpec& spec,
                                                  const wire::Settings& settings,
                                                  const std::vector<wire::MachineType>& types);

}  // namespace nickelramp::api
