/// @file
/// Decides which controller a request is sent to next, and when, until one answers or the time
/// limit is reached. Does no I/O and reads no clock: the caller passes in replies and the time.
#pragma once
#include <cstddef>

#include "base/time.h"
#include "net/http_client.h"

namespace nickelramp::ctl {

class RetryPolicy {
  public:
    enum class Next {
        answer,  ///< the reply is final
        retry,   ///< ask controller() at retry_at()
        give_up  ///< no answer in time; the request may still have been carried out
    };

    /// @param first index of the controller to ask first, modulo `controllers`
    /// @param give_up_at no retry starts at or after this time
    RetryPolicy(std::size_t controllers, std::size_t first, Millis give_up_at)
        : controllers_(controllers), controller_(first % controllers), give_up_at_(give_up_at) {}

    std::size_t controller() const { return controller_; }
    std::size_t attempts() const { return attempts_; }
    /// Records the outcome of an attempt and returns what to do next.
    Next next_after(const net::ClientReply& reply, Millis now);
    Millis retry_at() const { return retry_at_; }
    /// Returns whether any attempt may have reached a controller, so that the request may have been
    /// carried out.
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
