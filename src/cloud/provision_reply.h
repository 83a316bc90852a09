/// @file
/// The result of a request to provision machines.
#pragma once
#include <string>
#include <vector>

namespace nickelramp::cloud {

struct ProvisionReply {
    enum class Result {
        provisioned,  ///< `machines` has their names, possibly fewer than requested
        no_capacity,  ///< the cloud has no machine of this kind
        rejected,     ///< the cloud did not execute the request, for another reason
        not_sent,     ///< the request was not sent
        unknown,      ///< the request may have been executed or may still be executed
        malformed,    ///< the cloud considers the request malformed
    };
    Result result = Result::unknown;
    std::vector<std::string> machines;  ///< names
};

}  // namespace nickelramp::cloud
