/// @file
/// Field names of the protocol that differ from the names used in the code (docs/glossary.md). This
/// is the only place that maps them, and only this module's sources use it.
#pragma once

namespace nickelramp::wire::field_names {

// Fields of several messages.
inline constexpr const char* kMachineType = "rig";
inline constexpr const char* kZone = "yard";
inline constexpr const char* kSpot = "standby";
inline constexpr const char* kTasks = "legs";
inline constexpr const char* kCpus = "cores";
inline constexpr const char* kGpus = "cards";
inline constexpr const char* kMachineTypes = "rigs";

// Fields of job specifications.
inline constexpr const char* kJobClass = "jobclass";
inline constexpr const char* kTeam = "crew";
inline constexpr const char* kPriority = "urgency";
inline constexpr const char* kImage = "bundle";
inline constexpr const char* kImageSize = "pull_gb";
inline constexpr const char* kSpread = "scatter";
inline constexpr const char* kEstimate = "guess_s";
inline constexpr const char* kCheckpointInterval = "save_every_s";
inline constexpr const char* kCheckpointDuration = "save_cost_s";
inline constexpr const char* kDeadline = "due_s";

// Fields of heartbeats, heartbeat replies, commands and redirects.
inline constexpr const char* kMachine = "host";
inline constexpr const char* kIncarnation = "shift";
inline constexpr const char* kSequence = "tick";
inline constexpr const char* kToken = "baton";
inline constexpr const char* kPreemptionNotice = "warning_s";
inline constexpr const char* kTask = "leg";
inline constexpr const char* kAttempt = "try";
inline constexpr const char* kSaved = "kept";
inline constexpr const char* kCommands = "orders";
inline constexpr const char* kOperation = "verb";
inline constexpr const char* kGracePeriod = "wind_down_s";
inline constexpr const char* kLeader = "boss";

// Fields of cloud messages.
inline constexpr const char* kInstances = "hosts";
inline constexpr const char* kProvisionRequest = "hire";
inline constexpr const char* kCacheSize = "local_gb";
inline constexpr const char* kFetchRate = "pull_gb_per_s";
inline constexpr const char* kPrice = "hourly";
inline constexpr const char* kSpotPrice = "low_price";
inline constexpr const char* kZones = "yards";

}  // namespace nickelramp::wire::field_names
