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

    void answered(const char* request, int status, double ms);
    void started(const std::string& job_class, double seconds);   // from acceptance to running
    void finished(const std::string& job_class, double seconds);  // from acceptance to done
    void gauge(const char* name, const std::string& label, double value);
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
