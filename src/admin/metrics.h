/// \file
/// Counters, histograms and gauges of this controller, for Prometheus.
#pragma once
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

namespace nickelramp::admin {

/// One per controller process, on the loop's thread. Labels that have not been seen yet are added.
/// Names and labels are a public interface of the service and must not change.
class Metrics {
  public:
    Metrics();

    /// A user's request was answered with this HTTP status, after so many milliseconds.
    void record_answer(const char* request, int status, double milliseconds);
    /// A job's first attempt runs, so many seconds after the job was accepted.
    void record_start(const std::string& job_class, double seconds);
    /// A job has ended, so many seconds after it was accepted.
    void record_finish(const std::string& job_class, double seconds);
    /// Sets `nickelramp_now{of=name, state=label}`.
    void set_gauge(const char* name, const std::string& label, double value);
    /// All metrics in the Prometheus text format.
    [[nodiscard]] std::string text() const;

  private:
    prometheus::Registry registry_;
    prometheus::Family<prometheus::Counter>& answers_;
    prometheus::Family<prometheus::Histogram>& answer_duration_;
    prometheus::Family<prometheus::Histogram>& start_delay_;
    prometheus::Family<prometheus::Histogram>& finish_delay_;
    prometheus::Family<prometheus::Gauge>& gauges_;
};

}  // namespace nickelramp::admin
