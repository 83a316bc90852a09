// Which controller to ask next, and when, until one gives an answer or it is too late. Pure: handed
// replies and the time.
#pragma once
#include <cstddef>

#include "base/time.h"
#include "net/http_client.h"

namespace nickelramp::ctl {

class RetryPolicy {
  public:
    // answer:  that was it
    // again:   ask controller() at `at`
    // give_up: nobody has answered in time; what was asked for may have happened
    enum class Next { answer, retry, give_up };

    RetryPolicy(std::size_t controllers, std::size_t first, Millis give_up_at)
        : controllers_(controllers), controller_(first % controllers), give_up_at_(give_up_at) {}

    std::size_t controller() const { return controller_; }
    std::size_t attempts() const { return attempts_; }
    Next next_after(const net::ClientReply& reply, Millis now);
    Millis retry_at() const { return retry_at_; }
    // Did any try reach a controller, so that what was asked for may have been done?
    bool reached_controller() const { return reached_controller_; }

  private:
    std::size_t controllers_;
    std::size_t controller_;
    Millis give_up_at_;
    std::size_t attempts_ = 0, refusals_ = 0;
    bool reached_controller_ = false;
    Millis retry_at_ = 0;
};

}  // namespace nickelramp::ctl
