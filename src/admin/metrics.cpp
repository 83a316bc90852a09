#include "admin/metrics.h"

#include <prometheus/text_serializer.h>

namespace nickelramp::admin {

namespace {
const prometheus::Histogram::BucketBoundaries kMillisecondBuckets{1,   3,   10,   30,
                                                                  100, 300, 1000, 3000};
const prometheus::Histogram::BucketBoundaries kSecondBuckets{0.3, 1,  3,   5,   10, 20,
                                                             40,  80, 180, 300, 600};
}  // namespace

Metrics::Metrics()
    : answers_(prometheus::BuildCounter()
                   .Name("nickelramp_answers_total")
                   .Help("Answers to users, by request and status")
                   .Register(registry_)),
      answer_duration_(prometheus::BuildHistogram()
                           .Name("nickelramp_answer_ms")
                           .Help("Time to answer users, in milliseconds")
                           .Register(registry_)),
      start_delay_(prometheus::BuildHistogram()
                       .Name("nickelramp_start_seconds")
                       .Help("From a job's acceptance to a first attempt running")
                       .Register(registry_)),
      finish_delay_(prometheus::BuildHistogram()
                        .Name("nickelramp_finish_seconds")
                        .Help("From a job's acceptance to its end")
                        .Register(registry_)),
      rejected_commands_(prometheus::BuildCounter()
                             .Name("nickelramp_rejected_commands_total")
                             .Help("Direct messages that workers rejected, by reason")
                             .Register(registry_)),
      gauges_(prometheus::BuildGauge()
                  .Name("nickelramp_now")
                  .Help("What the leader has: machines by state, jobs, tasks")
                  .Register(registry_)) {}

void Metrics::record_answer(const char* request, int status, double milliseconds) {
    answers_.Add({{"request", request}, {"status", std::to_string(status)}}).Increment();
    answer_duration_.Add({{"request", request}}, kMillisecondBuckets).Observe(milliseconds);
}

void Metrics::record_start(const std::string& job_class, double seconds) {
    start_delay_.Add({{"class", job_class}}, kSecondBuckets).Observe(seconds);
}

void Metrics::record_finish(const std::string& job_class, double seconds) {
    finish_delay_.Add({{"class", job_class}}, kSecondBuckets).Observe(seconds);
}

void Metrics::record_rejected_commands(const char* reason) {
    rejected_commands_.Add({{"reason", reason}}).Increment();
}

void Metrics::set_gauge(const char* name, const std::string& label, double value) {
    gauges_.Add({{"of", name}, {"state", label}}).Set(value);
}

std::string Metrics::text() const {
    return prometheus::TextSerializer().Serialize(registry_.Collect());
}

}  // namespace nickelramp::admin
