// Machines: what they are, what is free on them, and how they leave the book.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "book/book.h"

namespace nickelramp::book {

void Book::set_machine_state(Machine& m, MachineState s) {
    if (m.state == s) return;
    spdlog::debug("machine {}: {} -> {}", m.name, workers::name(m.state), workers::name(s));
    m.state.own() = s;
    if (s == MachineState::booting || s == MachineState::joining)
        coming_.insert(m.index);
    else
        coming_.erase(m.index);
    if (s == MachineState::returning)
        returning_.insert(m.index);
    else
        returning_.erase(m.index);
    refresh(m);
    touch();
}

Machine* Book::adopt(const std::string& name, Millis now) {
    if (Machine* known = roster_.find(name)) return known;
    Machine* m = roster_.add(name);
    m->hired_at = now;
    m->contact.begin(0, now);
    m->idle_since = now;
    coming_.insert(m->index);
    machine_agenda_.by(m->index, now);
    return m;
}

void Book::identify(Machine& m, const std::string& address, const std::string& type,
                    const std::string& zone, bool spot) {
    if (!address.empty()) m.address = address;
    if (m.type != kNone || type.empty()) return;
    m.type = type_names_.add(type);
    if (m.type >= types_.size()) {
        types_.resize(m.type + 1);
        types_[m.type].name = type;
    }
    m.zone = zone_names_.add(zone);
    m.spot = spot;
    // Attempts that a record put here may have been counted before the type was known.
    m.cpus_free.own() += types_[m.type].cpus;
    m.gpus_free.own() += types_[m.type].gpus;
    m.memory_free.own() += types_[m.type].memory_gb;
    if (machines_in_.size() <= m.zone) machines_in_.resize(m.zone + 1);
    ++machines_in_[m.zone];
    refresh(m);
}

std::string Book::kind_of(const Machine& m) const {
    if (m.type == kNone) return "of unknown type";
    return fmt::format("{} {} in {}", m.spot ? "spot" : "ordinary", types_[m.type].name,
                       zone_names_.name(m.zone));
}

// After any change of a machine's state or room: what is found and summed up without a look at
// every machine.
void Book::refresh(Machine& m) {
    if (m.open() && m.type != kNone && m.cpus_free > placing::kSlack)
        openings_.put(m.index, {m.type, m.zone, m.spot}, m.cpus_free, m.gpus_free);
    else
        openings_.remove(m.index);
    bool up = m.up_at != 0 && m.zone != kNone && m.state != MachineState::booting &&
              m.state != MachineState::lent && m.state != MachineState::gone;
    if (!up) set_hearing(m, workers::Hearing::sound);
    if (up != m.up) listener_.machines_counted(m.zone, up ? 1 : -1, 0);
    m.up.own() = up;
    if (m.type != kNone) listener_.machine_changed(m);
}

void Book::set_hearing(Machine& m, workers::Hearing h) {
    using workers::Hearing;
    if (h == m.hearing) return;
    if (h == Hearing::deaf) spdlog::info("machine {} is heard, but nothing reaches it", m.name);
    if (h == Hearing::partly) spdlog::info("machine {} hears answers, but no commands", m.name);
    if (h == Hearing::mute) spdlog::info("machine {} answers, but does not report", m.name);
    // One that answers to its reports reach runs on with all that it has.
    auto out_of_reach = [](Hearing x) { return x != Hearing::sound && x != Hearing::partly; };
    const bool was = out_of_reach(m.hearing), is = out_of_reach(h);
    m.hearing.own() = h;
    if (was != is) {
        listener_.machines_counted(m.zone, 0, is ? 1 : -1);
        if (is)
            silent_.insert(m.index);
        else
            silent_.erase(m.index);
    }
    refresh(m);
    touch();
}

void Book::up(Machine& m, Millis now) {
    if (m.up_at != 0) return;
    m.up_at = now;
    refresh(m);
}

void Book::set_strange(Machine& m, bool strange) {
    if (m.strange == strange) return;
    m.strange.own() = strange;
    strangers_ += strange ? 1 : -1;
}

void Book::charge(Machine& m, std::uint64_t token, Millis reached) {
    m.token = token;
    m.contact.begin(token, reached);
    m.wants_confirm = true;
}

void Book::raise_token(Machine& m, std::uint64_t token, Millis now) {
    m.token = token;
    m.contact.raise(token, now);
    m.wants_confirm = true;
}

void Book::set_shaded(Machine& m, bool shaded) {
    if (shaded == m.shaded) return;
    m.shaded.own() = shaded;
    refresh(m);
    touch();
}

void Book::reserve(Machine& m, Job& j, Millis until) {
    drop_reservation(m);
    m.reserved_for.own() = j.index;
    m.reserved_until = until;
    j.reserved.push_back(m.index);
}

void Book::drop_reservation(Machine& m) {
    if (m.reserved_for == kNone) return;
    std::erase(slots_[m.reserved_for]->reserved, m.index);
    m.reserved_for.own() = kNone;
    touch();
}

void Book::give_back(Machine& m, const char* why) {
    if (m.state == MachineState::returning || m.state == MachineState::gone) return;
    if (term_.holder()) {
        // Only the leader deals with the cloud.
        if (std::find(troubled_.begin(), troubled_.end(), m.name) == troubled_.end()) {
            spdlog::info("machine {} of this block {}", m.name, why);
            troubled_.push_back(m.name);
        }
        if (m.state == MachineState::ready) set_machine_state(m, MachineState::draining);
        return;
    }
    spdlog::info("returning machine {}: it {}", m.name, why);
    set_machine_state(m, MachineState::returning);
}

void Book::drain(Machine& m, const std::string& why, Millis now) {
    if (m.state != MachineState::ready && m.state != MachineState::joining) return;
    spdlog::info("machine {} {}", m.name, why);
    set_machine_state(m, MachineState::draining);
    std::vector<Attempt*> list = m.attempts;
    for (Attempt* a : list) {
        // What ends here may take others out of the list.
        if (std::find(m.attempts.begin(), m.attempts.end(), a) == m.attempts.end()) continue;
        drain_attempt(*a, now);
    }
}

void Book::machine_gone(Machine& m, Millis now) {
    spdlog::info("machine {} ({}) is gone with {} tasks, {:.0f} s after its hire", m.name,
                 kind_of(m), m.attempts.size(), static_cast<double>(now - m.hired_at) / 1000.0);
    set_machine_state(m, MachineState::gone);
    drop_reservation(m);
    set_strange(m, false);
    machine_agenda_.forget(m.index);
    while (!m.attempts.empty()) proven_gone(*m.attempts.back(), now);
    if (m.type != kNone) --machines_in_[m.zone];
    listener_.machine_gone(m);
    roster_.remove(&m);
    touch();
}

}  // namespace nickelramp::book
