// Failure domains: silence that many machines share is rarely theirs. Pure: takes counts and time,
// says what may be given up. A domain is a zone, or all machines of a book together (of a holder's
// book: its block).
#pragma once
#include <cstddef>
#include <vector>

#include "base/names.h"
#include "base/time.h"

namespace nickelramp::domains {

// clear:    few are silent; each is judged by itself
// clouded:  more than fail by themselves; giving them up is rationed
// dark:     so many that the way to them is likelier to have failed than they are; nothing is given
//           up while its lease may last, and new work and hires go elsewhere
// clearing: reports come back after that; those still silent have time to follow
enum class Sky { clear, clouded, dark, clearing };
const char* name(Sky s);

// What is known of one silent machine when it could be given up.
struct Silent {
    bool stuck = false;      // its tasks make no progress: others of their gangs have ended
    bool firm = false;       // gangs or replicas are on it, not arrays alone
    bool replicas = false;   // some are on it, and all may be started in another domain
    Millis lease_until = 0;  // about then what is on it ends by itself
};

class Domain {
  public:
    explicit Domain(Millis settle) : settle_(settle) {}

    void count(int up, int silent) {
        up_ += static_cast<std::size_t>(up);
        silent_ += static_cast<std::size_t>(silent);
    }
    void set_counts(std::size_t up, std::size_t silent) {
        up_ = up;
        silent_ = silent;
    }
    // Moves on with what is counted; true when the state changed.
    bool look(Millis now);
    Sky sky() const { return sky_; }
    Millis clear_until() const { return clear_until_; }
    std::size_t up() const { return up_; }
    std::size_t silent() const { return silent_; }
    bool mostly_silent() const { return up_ >= 3 && silent_ * 2 > up_; }

    // May this machine be given up now? Takes from the ration if so.
    bool give_up(const Silent& s, Millis patience, Millis now);

  private:
    bool few() const;
    bool many() const;
    void set_sky(Sky s, Millis now);
    void refill(Millis now);
    bool draw(bool first, double price = 1);

    Millis settle_;  // those that answer again do so within this
    Sky sky_ = Sky::clear;
    Millis since_ = 0;
    Millis clear_until_ = 0;  // when it was last clear
    Millis few_since_ = 0;    // in clouded; 0: not few
    std::size_t up_ = 0, silent_ = 0;
    double ration_ = 0;
    Millis filled_ = 0;
};

// All domains of one book: the zones, and those of them together that are clear by themselves,
// since a few of each zone may be many of all.
class Domains {
  public:
    Domains(double report_s, double lease_s);

    void count(Index zone, int up, int silent);
    // The zones whose state changed; kNone stands for the clear ones together.
    std::vector<Index> look(Millis now);
    Sky sky(Index zone) const;
    // Neither new work nor new machines are of use there.
    bool shut(Index z) const { return z < zones_.size() && zones_[z].sky() == Sky::dark; }
    bool give_up(Index zone, const Silent& s, Millis patience, Millis now);
    // Nobody answers anywhere: rather this node's trouble than theirs.
    bool alone() const;
    const Domain& zone(Index z) const { return z < zones_.size() ? zones_[z] : together_; }

  private:
    Millis settle_;
    Domain together_;
    std::vector<Domain> zones_;
};

}  // namespace nickelramp::domains
