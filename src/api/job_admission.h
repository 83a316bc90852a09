/// @file
/// Checks whether a submitted job can ever be scheduled.
#pragma once
#include <optional>
#include <vector>

#include "wire/messages.h"
#include "wire/settings.h"

namespace nickelramp::api {

/// Why a job can never run.
enum class Unschedulable {
    unknown_team,
    no_machine_type,   ///< a task does not fit any machine type that the job allows
    needs_more_zones,  ///< a gang that must be spread over zones is confined to one
    above_team_quota
};
/// Returns the error message for users.
const char* message(Unschedulable reason);

/// Returns why the job can never run with these settings and machine types, or nothing if it may be
/// able to run. Called by JobRequestHandler for submissions.
std::optional<Unschedulable> unschedulable_reason(const wire::JobSpec& spec,
                                                  const wire::Settings& settings,
                                                  const std::vector<wire::MachineType>& types);

}  // namespace nickelramp::api
