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

#include "book/book.h"
#include "domains/silence.h"
#include "drain/plan.h"
#include "fleet/kind.h"
#include "outlook/outlook.h"
#include "schedule/rules.h"

namespace nickelramp::drain {

class Planner {
  public:
    // different: the id stands for another request; full: too many are being made
    enum class Taken { fresh, known, different, full };

    Planner(const book::Term& term, book::Book& book, const outlook::Outlook& outlook,
            const schedule::Rules& rules, const domains::Silence& silence)
        : term_(term), book_(book), outlook_(outlook), rules_(rules), silence_(silence) {}

    Taken ask(const Request& request);
    // A part of the oldest unfinished plan; how many tasks it has looked at.
    std::size_t advance(Millis now);
    const Plan* find(const std::string& id) const;
    std::vector<const Plan*> all() const;

  private:
    using Attempt = jobs::Attempt;
    using Job = jobs::Job;
    using Machine = workers::Machine;
    // Hired for the plan: what is still free on it.
    struct Bin {
        fleet::Kind kind;
        placing::Need free;
        double up_s = 0;  // boots until then
        std::uint32_t wave = 0;
        std::vector<Index> images;
    };
    struct Place {
        bool found = false;
        Machine* machine = nullptr;  // null: on a bin
        std::size_t bin = 0;
        double ready_s = 0;  // when the task would run there
        double boot_s = 0;   // of that, the wait for a boot
    };
    // Where the tasks of a job are, with what the plan has done to them.
    struct Spread {
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
        std::unordered_map<Index, placing::Need> taken;  // of other machines, by the plan
        std::vector<Bin> bins;
        std::unordered_map<std::string, Spread> spread;  // by job
    };
    void choose(Draft& d);
    std::size_t look_at(Draft& d, Machine& m, Millis now);
    Move leave(Draft& d, const Step& step, Attempt& a, const Machine& m, Millis now);
    Spread& spread_of(Draft& d, const Job& j);
    bool zone_ok(Draft& d, const Job& j, Index zone);
    Place place_for(Draft& d, const Job& j, double at_s, Millis now);
    Place on_bin(const Draft& d, const Job& j, std::size_t bin, double at_s) const;
    Place hire_for(Draft& d, const Job& j, double at_s);
    void take(Draft& d, const Job& j, const Place& p);
    static void refuse(Draft& d, Refusal r);
    void check(Draft& d, const Move& move, const Place& place, const Job& j, const Machine& m,
               double undisturbed_s, Millis now);
    void finish(Draft& d);

    const book::Term& term_;
    book::Book& book_;
    const outlook::Outlook& outlook_;
    const schedule::Rules& rules_;
    const domains::Silence& silence_;
    std::deque<std::unique_ptr<Draft>> drafts_;  // oldest first
};

}  // namespace nickelramp::drain
