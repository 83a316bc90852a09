/// @file
/// A drain plan: which tasks leave the machines that are to be emptied, where each would go, when
/// each machine would be empty, and which objectives that would break. With its JSON form on the
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

/// Which machines to drain: by name, or all of a zone, of a type, of both, or all there are.
struct Request {
    std::string id;  ///< the caller chooses it
    std::vector<std::string> machines;
    std::string zone, type;
    bool all = false;
    std::uint32_t at_once = 0;  ///< machines in a wave; 0: all in one
    bool operator==(const Request&) const = default;
};
/// Reads a request's JSON form. Nothing if it is invalid: then `error` names the field at fault.
std::optional<Request> parse_request(const wire::Json& body, std::string& error);

/// What becomes of a task that leaves.
enum class MoveKind {
    moves_elsewhere,        ///< a replica: stops and starts elsewhere
    checkpoints_and_moves,  ///< stops, saves and goes on elsewhere; of a gang, all members do
    runs_to_end,            ///< stays to its end, since what it has done could not be saved
    already_stopping,       ///< was told to stop before
};
/// The name of the kind in the JSON form.
const char* name(MoveKind kind);

/// How one task leaves. Times are seconds from the plan's beginning.
struct Move {
    std::string job;
    std::uint32_t task = 0;
    MoveKind kind = MoveKind::moves_elsewhere;
    /// A machine; a type and zone if one must be provisioned; empty: it stays, or nothing fits.
    std::string to;
    bool provisioned = false;
    double stops_s = 0, restarts_s = 0;
    std::optional<double> ends_s;  ///< of a task that has an end
    /// From how many completed tasks of its class its run time is estimated.
    std::size_t observed_completions = 0;
};

/// How one machine is emptied. Times are seconds from the plan's beginning.
struct Step {
    std::string machine, type, zone;
    std::uint32_t wave = 0;
    double from_s = 0, empty_s = 0;
    std::vector<Move> moves;
};

/// An objective that the plan would break, or a task that would find no place.
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
    double price = 0;  ///< an hour, each
};

enum class PlanState {
    planning,  ///< some machines are still to be looked at
    ready,
    refused,  ///< it has violations
};
/// The name of the state in the JSON form.
const char* name(PlanState state);

struct Plan {
    Request request;
    PlanState state = PlanState::planning;
    std::vector<Step> steps;
    std::vector<std::string> skipped_machines;  ///< name and reason
    std::vector<Violation> violations;
    std::vector<PlannedMachines> provisioned_machines;
    double empty_s = 0;  ///< when the last machine is empty
    /// Of the machines that are provisioned, while those that they replace are still there.
    double cost = 0;
};

/// The plan without its steps.
wire::Json plan_json(const Plan& plan);
/// With its steps from that one on, so many that the reply stays small; "next" says where the next
/// page begins. All that is not steps is on the first page.
wire::Json plan_page(const Plan& plan, std::size_t from);

}  // namespace nickelramp::drain
