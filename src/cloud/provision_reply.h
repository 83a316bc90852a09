/// @file
/// The result of a request to provision machines.
#pragma once
#include <string>
#include <vector>

namespace nickelramp::cloud {

struct ProvisionReply {
    enum class Result {
        provisioned,  ///< `machines` names them; they may be fewer than asked for
        no_capacity,  ///< the cloud has none of this kind
        rejected,     ///< the cloud says that it did not do it, for another reason
        not_sent,     ///< nothing went out
        unknown,      ///< it may have been done, or may yet be
        malformed,    ///< the cloud does not understand the request
    };
    Result result = Result::unknown;
    std::vector<std::string> machines;  ///< names
};

}  // namespace nickelramp::cloud
