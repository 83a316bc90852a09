/// @file
/// Makes drain plans from the cluster state, a bounded number of tasks per call. The tasks of a
/// machine are all read in the same call. Slots that the plan has assigned count as occupied. The
/// cluster state is not modified.
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
    enum class RequestResult {
        accepted,
        already_known,  ///< the same request was made before
        id_conflict,    ///< the id belongs to a different request
        too_many        ///< too many plans are in progress
    };

    Planner(const cluster::TermContext& term, cluster::ClusterState& cluster,
            const forecast::DemandForecast& forecast, const scheduling::PlacementRules& rules,
            const failure::FailureDetector& failure_detector)
        : term_(term),
          cluster_(cluster),
          forecast_(forecast),
          rules_(rules),
          failure_detector_(failure_detector) {}

    RequestResult request_plan(const Request& request);
    /// Continues the oldest unfinished plan and returns how many machines and tasks were examined.
    std::size_t advance(Millis now);
    const Plan* find(const std::string& id) const;
    std::vector<const Plan*> all() const;

  private:
    using Attempt = jobs::Attempt;
    using Job = jobs::Job;
    using Machine = machines::Machine;
    /// A machine that the plan would provision.
    struct VirtualMachine {
        cloud::MachineKind kind;
        placement::Need free;    ///< capacity not assigned yet
        double booted_at_s = 0;  ///< seconds from the plan's beginning
        std::uint32_t wave = 0;
        std::vector<Index> images;
    };
    struct Placement {
        bool found = false;
        Machine* machine = nullptr;  ///< null: on a virtual machine
        std::size_t virtual_machine = 0;
        double ready_s = 0;  ///< when the task could run there
        double boot_s = 0;   ///< time spent waiting for the machine to boot
    };
    /// The zones of a job's tasks after the moves planned so far.
    struct ZoneSpread {
        std::vector<std::uint32_t> by_zone;
        Index staying_zone = kNone;  ///< zone of the tasks that do not leave, for one_zone
    };
    /// A plan in progress.
    struct Draft {
        Plan plan;
        std::vector<std::pair<Index, std::string>> queue;  ///< machines in drain order
        std::size_t next = 0;
        std::uint32_t machines_in_wave = 0;
        std::vector<double> wave_from_s{0}, wave_empty_s{0};
        std::set<Index> leaving;
        /// Capacity that the plan has assigned, by remaining machine.
        std::unordered_map<Index, placement::Need> occupied;
        std::vector<VirtualMachine> virtual_machines;
        std::unordered_map<std::string, ZoneSpread> spread;  ///< by job
    };
    void choose_machines(Draft& draft);
    std::size_t plan_machine(Draft& draft, Machine& machine, Millis now);
    Move plan_move(Draft& draft, const Step& step, Attempt& attempt, const Machine& machine,
                   Millis now);
    ZoneSpread& spread_of(Draft& draft, const Job& job);
    bool zone_allowed(Draft& draft, const Job& job, Index zone);
    Placement find_placement(Draft& draft, const Job& job, double at_s, Millis now);
    Placement placement_on_virtual_machine(const Draft& draft, const Job& job, std::size_t vm,
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
    std::deque<std::unique_ptr<Draft>> drafts_;  ///< oldest first
};

}  // namespace nickelramp::drain
