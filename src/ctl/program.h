/// @file
/// The commands of nickelrampctl: parses the arguments, sends the requests and prints the answers.
#pragma once
#include <uv.h>

#include <iosfwd>
#include <string>
#include <vector>

namespace nickelramp::ctl {

inline constexpr int kExitOk = 0;
inline constexpr int kExitRejected = 1;  ///< the service rejected the request
inline constexpr int kExitUsage = 2;     ///< invalid arguments, configuration or files
inline constexpr int kExitNoAnswer = 3;  ///< no readable answer from any controller in time

/// Runs one command to completion on an event loop of its own.
/// @param arguments the command line without the program's name
/// @return the exit code
int run(const std::vector<std::string>& arguments, std::istream& in, std::ostream& out,
        std::ostream& err);

}  // namespace nickelramp::ctl
