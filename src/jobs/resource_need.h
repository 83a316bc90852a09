/// @file
/// What a task needs of a machine, and whether that fits.
#pragma once

namespace nickelramp::jobs {

/// Resources of one task.
struct Need {
    double cpus = 0, gpus = 0;  // may be fractions
    double memory_gb = 0;
};

/// Sums of decimal amounts are off in their last bits: less than this is no difference.
inline constexpr double kFitTolerance = 1e-6;

/// Does the need fit into what is free?
[[nodiscard]] inline bool fits_within(double cpus, double gpus, double memory_gb,
                                      const Need& need) {
    return need.cpus <= cpus + kFitTolerance && need.gpus <= gpus + kFitTolerance &&
           need.memory_gb <= memory_gb + kFitTolerance;
}

}  // namespace nickelramp::jobs
