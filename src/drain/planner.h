// Makes drain plans from the book, some machines a turn. Each machine is read at once, when its
// turn comes; places that the plan has given away count as taken. It changes nothing in the book.
#pragma once
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cloud/machine_kind.h"
#include "cluster/cluster_state.h"
#include "drain/plan.h"
#include "failure/failure_detector.h"
#include "forecast/demand_forecast.h"
#include "scheduling/placement_rules.h"

namespace nickelramp::drain {

class Planner {
  public:
    // different: the id stands for another request; full: too many are being made
    enum class RequestResult { accepted, already_known, id_conflict, too_many };

    Planner(const cluster::TermContext& term, cluster::ClusterState& cluster,
            const forecast::DemandForecast& forecast, const scheduling::PlacementRules& rules,
            const failure::FailureDetector& failure_detector)
        : term_(term),
          cluster_(cluster),
          forecast_(forecast),
          rules_(rules),
          failure_detector_(failure_detector) {}

    RequestResult request_plan(const Request& request);
    // A part of the oldest unfinished plan; how many tasks it has looked at.
    std::size_t advance(Millis now);
    const Plan* find(const std::string& id) const;
    std::vector<const Plan*> all() const;

  private:
    using Attempt = jobs::Attempt;
    using Job = jobs::Job;
    using Machine = machines::Machine;
    // Hired for the plan: what is still free on it.
    struct VirtualMachine {
        cloud::MachineKind kind;
        placement::Need free;
        double boots_until_s = 0;  // boots until then
        std::uint32_t wave = 0;
        std::vector<Index> images;
    };
    struct Placement {
        bool found = false;
        Machine* machine = nullptr;  // null: on a bin
        std::size_t virtual_machine = 0;
        double ready_s = 0;  // when the task would run there
        double boot_s = 0;   // of that, the wait for a boot
    };
    // Where the tasks of a job are, with what the plan has done to them.
    struct ZoneSpread {
        std::vector<std::uint32_t> by_zone;
        Index stays_in = kNone;  // one_zone: where those are that do not leave
    };
    // What making one plan needs beyond the plan.
    struct Draft {
        Plan plan;
        std::vector<std::pair<Index, std::string>> queue;  // machines, in order
        std::size_t next = 0;
        std::uint32_t in_wave = 0;
        std::vector<double> wave_from_s{0}, wave_empty_s{0};
        std::set<Index> leaving;
        std::unordered_map<Index, placement::Need> occupied;  // of other machines, by the plan
        std::vector<VirtualMachine> virtual_machines;
        std::unordered_map<std::string, ZoneSpread> spread;  // by job
    };
    void choose_machines(Draft& draft);
    std::size_t plan_machine(Draft& draft, Machine& machine, Millis now);
    Move plan_move(Draft& draft, const Step& step, Attempt& attempt, const Machine& machine,
                   Millis now);
    ZoneSpread& spread_of(Draft& draft, const Job& job);
    bool zone_allowed(Draft& draft, const Job& job, Index zone);
    Placement find_placement(Draft& draft, const Job& job, double at_s, Millis now);
    Placement placement_on_virtual_machine(const Draft& draft, const Job& job, std::size_t bin,
                                           double at_s) const;
    Placement provision_for(Draft& draft, const Job& job, double at_s);
    void occupy(Draft& draft, const Job& job, const Placement& placement);
    static void add_violation(Draft& draft, Violation r);
    void check_objectives(Draft& draft, const Move& move, const Placement& place, const Job& job,
                          const Machine& machine, double undisturbed_s, Millis now);
    void finish(Draft& draft);

    const cluster::TermContext& term_;
    cluster::ClusterState& cluster_;
    const forecast::DemandForecast& forecast_;
    const scheduling::PlacementRules& rules_;
    const failure::FailureDetector& failure_detector_;
    std::deque<std::unique_ptr<Draft>> drafts_;  // oldest first
};

}  // namespace nickelramp::drain
