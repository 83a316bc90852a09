// How fast demand of some kind arrives, with old news fading.
#pragma once
#include <cmath>

#include "base/time.h"

namespace nickelramp::fleet {

class Forecast {
  public:
    void arrived(double amount, Millis at) {
        fade(at);
        // News from before the last update has faded a little already.
        sum_ += amount * std::exp(-static_cast<double>(last_ - at) / kMemoryMs);
    }
    // Expected to arrive within so many seconds.
    double within(double seconds, Millis now) {
        fade(now);
        return sum_ / (kMemoryMs / 1000.0) * seconds;
    }

  private:
    static constexpr double kMemoryMs = 180'000;
    void fade(Millis now) {
        if (now <= last_) return;
        sum_ *= std::exp(-static_cast<double>(now - last_) / kMemoryMs);
        last_ = now;
    }
    double sum_ = 0;
    Millis last_ = 0;
};

}  // namespace nickelramp::fleet
