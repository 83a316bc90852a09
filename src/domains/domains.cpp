#include "domains/domains.h"

#include <algorithm>

namespace nickelramp::domains {

namespace {
// More at once than this, and more than this part, do not fail by themselves.
constexpr std::size_t kFew = 4;
constexpr double kFewPart = 0.04;
// A machine reports every few seconds and is given up a few later: when the first of a domain that
// was cut off could be given up, so much of it is overdue.
constexpr double kManyPart = 0.3;
constexpr Millis kCalm = 2'000;  // few are silent for so long before each is judged alone again
constexpr double kRationPart = 0.02;  // of a domain, a second
constexpr double kBurst = 2;          // seconds' worth that may be saved up
constexpr Millis kAhead = 12'000;     // before their lease ends, replicas may be moved
constexpr double kMovePrice = 0.4;    // of a ration: little is lost by then
}  // namespace

const char* name(Sky s) {
    switch (s) {
        case Sky::clear:
            return "clear";
        case Sky::clouded:
            return "clouded";
        case Sky::dark:
            return "dark";
        case Sky::clearing:
            return "clearing";
    }
    return "?";
}

bool Domain::few() const {
    return silent_ < kFew || static_cast<double>(silent_) < kFewPart * static_cast<double>(up_);
}

bool Domain::many() const {
    if (up_ < 3) return false;
    if (silent_ * 2 > up_) return true;
    return silent_ >= kFew && static_cast<double>(silent_) >= kManyPart * static_cast<double>(up_);
}

void Domain::set_sky(Sky s, Millis now) {
    if (sky_ == Sky::clear) clear_until_ = now;
    sky_ = s;
    since_ = now;
    few_since_ = 0;
}

bool Domain::look(Millis now) {
    const Sky before = sky_;
    if (many()) {
        if (sky_ != Sky::dark) set_sky(Sky::dark, now);
        return before != sky_;
    }
    switch (sky_) {
        case Sky::clear:
            if (!few()) set_sky(Sky::clouded, now);
            break;
        case Sky::clouded:
            if (!few()) {
                few_since_ = 0;
            } else if (few_since_ == 0) {
                few_since_ = now;
            } else if (now - few_since_ >= kCalm) {
                set_sky(Sky::clear, now);
            }
            break;
        case Sky::dark:
            set_sky(Sky::clearing, now);
            break;
        case Sky::clearing:
            if (now - since_ >= settle_) set_sky(few() ? Sky::clear : Sky::clouded, now);
            break;
    }
    return before != sky_;
}

void Domain::refill(Millis now) {
    const double rate = std::max(1.0, kRationPart * static_cast<double>(up_));
    if (filled_ != 0) ration_ += rate * static_cast<double>(now - filled_) / 1000.0;
    ration_ = std::min(ration_, kBurst * rate);
    filled_ = now;
}

// Those that gain most go first: for the others half of what may be saved up stays.
bool Domain::draw(bool first, double price) {
    const double rate = std::max(1.0, kRationPart * static_cast<double>(up_));
    if (ration_ < (first ? 1 : std::max(1.0, kBurst * rate / 2))) return false;
    ration_ -= price;
    return true;
}

bool Domain::give_up(const Silent& s, Millis patience, Millis now) {
    if (sky_ == Sky::clear) return true;
    refill(now);
    if (s.stuck) return draw(true);
    if (sky_ == Sky::clouded) return draw(s.firm);
    // What runs there runs on until its lease is over: then it had better be elsewhere already.
    const double price = kMovePrice;
    if (sky_ == Sky::dark && s.replicas && now > s.lease_until - kAhead) return draw(true, price);
    // A machine that answers again sooner than another boots is worth its price.
    return now > s.lease_until + patience && draw(false);
}

Domains::Domains(double report_s, double lease_s)
    : settle_(std::min(seconds(2.5 * report_s), seconds(lease_s))), together_(settle_) {}

void Domains::count(Index z, int up, int silent) {
    while (zones_.size() <= z) zones_.emplace_back(settle_);
    zones_[z].count(up, silent);
}

std::vector<Index> Domains::look(Millis now) {
    std::vector<Index> changed;
    std::size_t up = 0, silent = 0;
    for (Index z = 0; z < zones_.size(); ++z) {
        if (zones_[z].look(now)) changed.push_back(z);
        if (zones_[z].sky() != Sky::clear) continue;
        up += zones_[z].up();
        silent += zones_[z].silent();
    }
    together_.set_counts(up, silent);
    if (together_.look(now)) changed.push_back(kNone);
    return changed;
}

Sky Domains::sky(Index z) const {
    const Sky own = zone(z).sky();
    return own == Sky::clear ? together_.sky() : own;
}

bool Domains::give_up(Index z, const Silent& s, Millis patience, Millis now) {
    const bool own = z < zones_.size() && zones_[z].sky() != Sky::clear;
    return own ? zones_[z].give_up(s, patience, now) : together_.give_up(s, patience, now);
}

bool Domains::alone() const {
    std::size_t up = 0, silent = 0;
    for (const Domain& d : zones_) {
        if (d.up() >= 3 && !d.mostly_silent()) return false;
        up += d.up();
        silent += d.silent();
    }
    return up >= 3 && silent * 2 > up;
}

}  // namespace nickelramp::domains
