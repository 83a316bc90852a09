/// @file
/// The resources that a task needs, and the test whether they fit into free capacity.
#pragma once

namespace nickelramp::jobs {

/// Resources of one task.
struct Need {
    double cpus = 0, gpus = 0;  // may be fractional
    double memory_gb = 0;
};

/// Tolerance for rounding errors in sums of fractional amounts. Smaller differences are ignored.
inline constexpr double kFitTolerance = 1e-6;

/// Returns whether the need fits into the given free resources.
[[nodiscard]] inline bool fits_within(double cpus, double gpus, double memory_gb,
                                      const Need& need) {
    return need.cpus <= cpus + kFitTolerance && need.gpus <= gpus + kFitTolerance &&
           need.memory_gb <= memory_gb + kFitTolerance;
}

}  // namespace nickelramp::jobs
