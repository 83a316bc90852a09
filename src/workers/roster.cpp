#include "workers/roster.h"

#include <algorithm>

namespace nickelramp::workers {

namespace {
constexpr std::size_t kGraves = 2000;
}

const char* name(MachineState s) {
    switch (s) {
        case MachineState::booting:
            return "booting";
        case MachineState::joining:
            return "joining";
        case MachineState::ready:
            return "ready";
        case MachineState::lent:
            return "lent";
        case MachineState::draining:
            return "draining";
        case MachineState::returning:
            return "returning";
        case MachineState::gone:
            return "gone";
    }
    return "?";
}

Machine* Roster::add(const std::string& name) {
    // Indices are not used again: lists of machines that failed a job outlive the machines.
    Index i = static_cast<Index>(machines_.size());
    machines_.push_back(std::make_unique<Machine>());
    Machine* m = machines_[i].get();
    m->index = i;
    m->name = name;
    by_name_[name] = m;
    all_.push_back(m);
    return m;
}

Machine* Roster::find(const std::string& name) const {
    auto it = by_name_.find(name);
    return it == by_name_.end() ? nullptr : it->second;
}

void Roster::remove(Machine* m) {
    // Late reports of a machine that is gone must not bring it back.
    if (graves_.size() < kGraves) {
        graves_.push_back(m->name);
    } else {
        buried_.erase(graves_[next_grave_]);
        graves_[next_grave_] = m->name;
        next_grave_ = (next_grave_ + 1) % kGraves;
    }
    buried_[m->name] = true;
    by_name_.erase(m->name);
    std::erase(all_, m);
    machines_[m->index].reset();
}

}  // namespace nickelramp::workers
