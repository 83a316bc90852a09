// Counters and histograms of this controller, for Prometheus.
#pragma once
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

namespace nickelramp::admin {

class Metrics {
  public:
    Metrics();

    void record_answer(const char* request, int status, double ms);
    void record_start(const std::string& job_class, double seconds);   // from acceptance to running
    void record_finish(const std::string& job_class, double seconds);  // from acceptance to done
    void set_gauge(const char* name, const std::string& label, double value);
    std::string text() const;

  private:
    prometheus::Registry registry_;
    prometheus::Family<prometheus::Counter>& answers_;
    prometheus::Family<prometheus::Histogram>& answer_ms_;
    prometheus::Family<prometheus::Histogram>& start_s_;
    prometheus::Family<prometheus::Histogram>& finish_s_;
    prometheus::Family<prometheus::Gauge>& gauges_;
};

}  // namespace nickelramp::admin
