#include "machines/machine_registry.h"

namespace nickelramp::machines {

namespace {
constexpr std::size_t kMaxTombstones = 2000;
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
    // Indices are not reused, because per-job lists of failed machines outlive the machines.
    const auto index = static_cast<Index>(machines_.size());
    machines_.push_back(std::make_unique<Machine>());
    Machine* machine = machines_[index].get();
    machine->index = index;
    machine->name = name;
    by_name_[name] = machine;
    all_.push_back(machine);
    return machine;
}

Machine* MachineRegistry::find(const std::string& name) const {
    const auto found = by_name_.find(name);
    return found == by_name_.end() ? nullptr : found->second;
}

void MachineRegistry::remove(Machine* machine) {
    add_tombstone(machine->name);
    by_name_.erase(machine->name);
    std::erase(all_, machine);
    machines_[machine->index].reset();
}

void MachineRegistry::add_tombstone(const std::string& name) {
    if (tombstone_ring_.size() < kMaxTombstones) {
        tombstone_ring_.push_back(name);
    } else {
        tombstones_.erase(tombstone_ring_[next_tombstone_]);
        tombstone_ring_[next_tombstone_] = name;
        next_tombstone_ = (next_tombstone_ + 1) % kMaxTombstones;
    }
    tombstones_.insert(name);
}

}  // namespace nickelramp::machines
