/// @file
/// A drain plan: which tasks would leave the drained machines, where each would go, when each
/// machine would be empty, and which objectives would be violated. Also its JSON form on the
/// administration API.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/names.h"
#include "base/time.h"
#include "wire/cbor.h"

namespace nickelramp::drain {

/// Path of the plans on the administration API.
inline constexpr const char* kPlansPath = "/admin/plans";

/// Which machines to drain: by name, by zone, by type, by zone and type, or all of them.
struct Request {
    std::string id;  ///< chosen by the caller
    std::vector<std::string> machines;
    std::string zone, type;
    bool all = false;
    std::uint32_t at_once = 0;  ///< machines per wave; 0: all in one wave
    bool operator==(const Request&) const = default;
};
/// Parses the JSON form of a request. Returns nothing if it is invalid, and sets `error` to the
/// name of the invalid field.
std::optional<Request> parse_request(const wire::Json& body, std::string& error);

/// How a task leaves a drained machine.
enum class MoveKind {
    moves_elsewhere,        ///< a replica of a service: stops and starts elsewhere
    checkpoints_and_moves,  ///< writes a checkpoint and resumes elsewhere; all of a gang do so
    runs_to_end,            ///< stays until it ends: has no checkpoints, or ends before its wave
    already_stopping,       ///< was already being stopped
};
/// Returns the name of the kind in the JSON form.
const char* name(MoveKind kind);

/// The move of one task. Times are seconds from the plan's beginning.
struct Move {
    std::string job;
    std::uint32_t task = 0;
    MoveKind kind = MoveKind::moves_elsewhere;
    /// The target: a machine, or a type and zone if a machine must be provisioned. Empty if the
    /// task stays or no machine fits.
    std::string to;
    bool provisioned = false;
    double stops_s = 0, restarts_s = 0;
    std::optional<double> ends_s;  ///< absent for replicas of services
    /// Number of completed tasks of its class from which its run time is estimated.
    std::size_t observed_completions = 0;
};

/// How one machine is emptied. Times are seconds from the plan's beginning.
struct Step {
    std::string machine, type, zone;
    std::uint32_t wave = 0;
    double from_s = 0, empty_s = 0;
    std::vector<Move> moves;
};

/// An objective or deadline that the plan would violate, or a task that fits no machine.
struct Violation {
    std::string job;
    std::uint32_t task = 0;
    std::string machine, reason, suggestion;
    std::optional<double> due_s, ends_s;
};

/// Machines that the plan would provision.
struct PlannedMachines {
    std::string type, zone;
    std::uint32_t count = 0;
    double price = 0;  ///< per machine and hour
};

enum class PlanState {
    planning,  ///< some machines have not been examined yet
    ready,
    refused,  ///< the plan has violations
};
/// Returns the name of the state in the JSON form.
const char* name(PlanState state);

struct Plan {
    Request request;
    PlanState state = PlanState::planning;
    std::vector<Step> steps;
    std::vector<std::string> skipped_machines;  ///< entries of the form "name: reason"
    std::vector<Violation> violations;
    std::vector<PlannedMachines> provisioned_machines;
    double empty_s = 0;  ///< seconds until the last machine is empty
    /// Cost of the provisioned machines from their request until the machines of their wave are
    /// empty.
    double cost = 0;
};

/// Returns the summary of a plan, without its steps.
wire::Json plan_json(const Plan& plan);
/// Returns a page of a plan: the summary and a limited number of steps from step `from` on. "next"
/// is the first step of the next page, if there is one. Violations, provisioned and skipped
/// machines are on the first page only.
wire::Json plan_page(const Plan& plan, std::size_t from);

}  // namespace nickelramp::drain
