#include "machines/machine_registry.h"

#include <algorithm>

namespace nickelramp::machines {

namespace {
constexpr std::size_t kGraves = 2000;
}

const char* name(MachineState state) {
    switch (state) {
        case MachineState::booting:
            return "booting";
        case MachineState::joining:
            return "joining";
        case MachineState::ready:
            return "ready";
        case MachineState::leased_out:
            return "lent";
        case MachineState::draining:
            return "draining";
        case MachineState::releasing:
            return "returning";
        case MachineState::gone:
            return "gone";
    }
    return "?";
}

Machine* MachineRegistry::add(const std::string& name) {
    // Indices are not used again: lists of machines that failed a job outlive the machines.
    Index i = static_cast<Index>(machines_.size());
    machines_.push_back(std::make_unique<Machine>());
    Machine* machine = machines_[i].get();
    machine->index = i;
    machine->name = name;
    by_name_[name] = machine;
    all_.push_back(machine);
    return machine;
}

Machine* MachineRegistry::find(const std::string& name) const {
    auto it = by_name_.find(name);
    return it == by_name_.end() ? nullptr : it->second;
}

void MachineRegistry::remove(Machine* machine) {
    // Late reports of a machine that is gone must not bring it back.
    if (tombstone_ring_.size() < kGraves) {
        tombstone_ring_.push_back(machine->name);
    } else {
        tombstones_.erase(tombstone_ring_[next_tombstone_]);
        tombstone_ring_[next_tombstone_] = machine->name;
        next_tombstone_ = (next_tombstone_ + 1) % kGraves;
    }
    tombstones_[machine->name] = true;
    by_name_.erase(machine->name);
    std::erase(all_, machine);
    machines_[machine->index].reset();
}

}  // namespace nickelramp::machines
