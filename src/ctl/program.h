// The commands of nickelrampctl: what is asked for each, and what is printed.
#pragma once
#include <uv.h>

#include <iosfwd>
#include <string>
#include <vector>

namespace nickelramp::ctl {

// Exit codes.
inline constexpr int kExitOk = 0;
inline constexpr int kExitRejected = 1;  // the service has answered, and says no
inline constexpr int kExitUsage = 2;     // arguments, settings or files that make no sense
inline constexpr int kExitNoAnswer = 3;  // no controller has answered in time

// Runs one command to its end on a loop of its own.
int run(const std::vector<std::string>& arguments, std::istream& in, std::ostream& out,
        std::ostream& err);

}  // namespace nickelramp::ctl
