// Which controller to ask next, and when, until one gives an answer or it is too late. Pure: handed
// replies and the time.
#pragma once
#include <cstddef>

#include "base/time.h"
#include "net/http_client.h"

namespace nickelramp::ctl {

class Tries {
  public:
    // answer:  that was it
    // again:   ask controller() at `at`
    // give_up: nobody has answered in time; what was asked for may have happened
    enum class Next { answer, again, give_up };

    Tries(std::size_t controllers, std::size_t first, Millis give_up_at)
        : controllers_(controllers), asked_(first % controllers), give_up_at_(give_up_at) {}

    std::size_t controller() const { return asked_; }
    std::size_t made() const { return made_; }
    Next after(const net::Reply& reply, Millis now);
    Millis at() const { return at_; }
    // Did any try reach a controller, so that what was asked for may have been done?
    bool reached() const { return reached_; }

  private:
    std::size_t controllers_;
    std::size_t asked_;
    Millis give_up_at_;
    std::size_t made_ = 0, refused_ = 0;
    bool reached_ = false;
    Millis at_ = 0;
};

}  // namespace nickelramp::ctl
