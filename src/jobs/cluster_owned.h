/// @file
/// Fields of jobs, attempts and machines that only the cluster state changes.
#pragma once
#include "base/owned_value.h"

namespace nickelramp::cluster {
class ClusterState;
}

namespace nickelramp::jobs {

/// Readable by all, changed by cluster::ClusterState alone, which keeps sums and indices over it.
template <typename T>
using ClusterOwned = OwnedValue<T, cluster::ClusterState>;

}  // namespace nickelramp::jobs
