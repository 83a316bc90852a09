/// @file
/// The interface to the key-value store for handling users' requests.
#pragma once
#include <cstdint>
#include <functional>
#include <string>

#include "base/time.h"
#include "kvstore/types.h"

namespace nickelramp::api {

/// Key prefix of jobs' records. jobs::job_key appends the job's id.
inline constexpr const char* kJobPrefix = "job/";

/// The operations of the key-value store that this module uses. Implemented by ConfirmedReadsDriver
/// and by the simulations in tests. Each call has exactly one reply, which is delivered
/// asynchronously on the loop's thread with its arrival time in milliseconds. A call with a
/// `timeout` (milliseconds) is answered within that time.
class JobStore {
  public:
    template <typename Reply>
    using Done = std::function<void(Millis now, const Reply&)>;

    virtual ~JobStore() = default;
    virtual void get(const std::string& key, Millis timeout, Done<kvstore::GetReply> done) = 0;
    /// Reads all changes under the prefix after the revision, and the revision that includes them.
    virtual void changes(const std::string& prefix, std::uint64_t after_revision,
                         Done<kvstore::ListReply> done) = 0;
    /// Reads a revision from which changes can be read. It is not older than the store's revision
    /// at the time of the call.
    virtual void revision(Done<kvstore::ListReply> done) = 0;
    virtual void commit(const kvstore::Transaction& transaction, Millis timeout,
                        Done<kvstore::CommitReply> done) = 0;
    /// Waits for the next changes under the prefix after the revision. The reply is empty if there
    /// are none within the timeout.
    virtual void watch(const std::string& prefix, std::uint64_t after_revision, Millis timeout,
                       Done<kvstore::ListReply> done) = 0;
};

}  // namespace nickelramp::api
