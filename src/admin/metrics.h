/// @file
/// Prometheus counters, histograms and gauges of this controller.
#pragma once
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

namespace nickelramp::admin {

/// The metrics of a controller process. Time series for new label values are created on first use.
/// Metric names and labels are a public interface of the service and must not change. To be used on
/// the loop's thread only.
class Metrics {
  public:
    Metrics();

    /// Records the response to a user's request: its HTTP status and the time it took.
    void record_answer(const char* request, int status, double milliseconds);
    /// Records the time from a job's acceptance until its first attempt runs.
    void record_start(const std::string& job_class, double seconds);
    /// Records the time from a job's acceptance to its end.
    void record_finish(const std::string& job_class, double seconds);
    /// Records that a worker rejected a direct message.
    void record_rejected_commands(const char* reason);
    /// Sets `nickelramp_now{of=name, state=label}`.
    void set_gauge(const char* name, const std::string& label, double value);
    /// Returns all metrics in the Prometheus text format.
    [[nodiscard]] std::string text() const;

  private:
    prometheus::Registry registry_;
    prometheus::Family<prometheus::Counter>& answers_;
    prometheus::Family<prometheus::Histogram>& answer_duration_;
    prometheus::Family<prometheus::Histogram>& start_delay_;
    prometheus::Family<prometheus::Histogram>& finish_delay_;
    prometheus::Family<prometheus::Counter>& rejected_commands_;
    prometheus::Family<prometheus::Gauge>& gauges_;
};

}  // namespace nickelramp::admin
