// What a task takes of a machine, and whether it is there.
#pragma once

namespace nickelramp::jobs {

struct Need {
    double cpus = 0, gpus = 0, memory_gb = 0;
};

// Sums of decimal amounts are off in the last bits.
inline constexpr double kFitTolerance = 1e-6;

inline bool fits_within(double cpus, double gpus, double memory_gb, const Need& need) {
    return need.cpus <= cpus + kFitTolerance && need.gpus <= gpus + kFitTolerance &&
           need.memory_gb <= memory_gb + kFitTolerance;
}

}  // namespace nickelramp::jobs
