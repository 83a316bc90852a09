/// @file
/// The type of those fields of jobs, attempts and machines that only the cluster state changes.
#pragma once
#include "base/owned_value.h"

namespace nickelramp::cluster {
class ClusterState;
}

namespace nickelramp::jobs {

/// A value that only cluster::ClusterState can change, which keeps totals and indices derived from
/// it.
template <typename T>
using ClusterOwned = OwnedValue<T, cluster::ClusterState>;

}  // namespace nickelramp::jobs
