// A drain plan: which tasks leave the machines that are to be emptied, where each would go, when
// each machine would be empty, and what speaks against it.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/names.h"
#include "base/time.h"
#include "wire/cbor.h"

namespace nickelramp::drain {

inline constexpr const char* kPlansPath = "/admin/plans";

// Machines by name, or all of a zone, of a type, of both, or all there are.
struct Request {
    std::string id;  // the caller chooses it
    std::vector<std::string> machines;
    std::string zone, type;
    bool all = false;
    std::uint32_t at_once = 0;  // 0: all in one wave
    bool operator==(const Request&) const = default;
};
// The field at fault is named in `error`.
std::optional<Request> parse_request(const wire::Json& body, std::string& error);

// moves:    a replica stops and starts elsewhere
// saves:    stops, saves and goes on elsewhere; of a gang, all members do
// runs_out: stays to its end, since what it has done could not be saved
// ending:   was told to stop already
enum class MoveKind { moves_elsewhere, checkpoints_and_moves, runs_to_end, already_stopping };
const char* name(MoveKind h);

// Seconds from the plan's beginning.
struct Move {
    std::string job;
    std::uint32_t task = 0;
    MoveKind kind = MoveKind::moves_elsewhere;
    std::string to;  // a machine; a type and zone if one must be hired; empty: it stays, or nowhere
    bool provisioned = false;
    double stops_s = 0, restarts_s = 0;
    std::optional<double> ends_s;  // replicas do not
    std::size_t observed_completions =
        0;  // completed tasks of its class that the run time is taken from
};

struct Step {
    std::string machine, type, zone;
    std::uint32_t wave = 0;
    double from_s = 0, empty_s = 0;
    std::vector<Move> moves;
};

struct Violation {
    std::string job;
    std::uint32_t task = 0;
    std::string machine, reason, suggestion;
    std::optional<double> due_s, ends_s;
};

struct PlannedMachines {
    std::string type, zone;
    std::uint32_t count = 0;
    double price = 0;  // an hour, each
};

// planning: some machines are still to be looked at; ready; refused: something speaks against it
enum class PlanState { planning, ready, refused };
const char* name(PlanState s);

struct Plan {
    Request request;
    PlanState state = PlanState::planning;
    std::vector<Step> steps;
    std::vector<std::string> skipped_machines;  // and why
    std::vector<Violation> violations;
    std::vector<PlannedMachines> provisioned_machines;
    double empty_s = 0;
    double cost = 0;  // of what is hired while what it takes the place of is still there
};

wire::Json plan_json(const Plan& plan);
// With its steps from that one on, so many that the answer stays small; "next" says where the next
// page begins. All that is not steps is on the first.
wire::Json plan_page(const Plan& plan, std::size_t from);

}  // namespace nickelramp::drain
