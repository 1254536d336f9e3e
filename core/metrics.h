#ifndef APPLEHALL_CORE_METRICS_H_
#define APPLEHALL_CORE_METRICS_H_

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <map>
#include <string>

#include "core/clock.h"

namespace applehall {

// Upper bounds of the histogram buckets, in seconds. They range from the time
// that a host itself adds to a request, through the target latencies of callers
// (0.1 to 4 s), to the longest load and the longest deadline.
inline constexpr std::array<double, 14> kDurationBuckets = {
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.6, 1, 1.5, 2.5, 4, 8, 15, 30};

// A running summary of durations: histogram, count, sum, max and three
// quantiles. Histograms of several hosts can be summed, quantiles cannot.
class DurationSummary {
 public:
  DurationSummary();

  // Requires: nothing. Not thread-safe.
  void Add(Duration value);
  // In seconds. Requires: nothing. Not thread-safe.
  double p50() const;
  double p95() const;
  double p99() const;
  double max() const;
  double sum() const;
  uint64_t count() const;
  // Number of durations up to the bound of each bucket, as Prometheus counts.
  std::array<uint64_t, kDurationBuckets.size()> CumulativeCounts() const;

 private:
  using Quantile = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::p_square_quantile>>;
  using Totals = boost::accumulators::accumulator_set<
      double, boost::accumulators::stats<boost::accumulators::tag::count,
                                         boost::accumulators::tag::sum,
                                         boost::accumulators::tag::max>>;
  Totals totals_;
  Quantile p50_;
  Quantile p95_;
  Quantile p99_;
  std::array<uint64_t, kDurationBuckets.size()> buckets_{};
};

// Named counters and summaries of one process, owned by one thread.
class Metrics {
 public:
  // Names follow Prometheus; labels are part of the name: `x{reason="y"}`.
  // Requires: the set of names is bounded. Not thread-safe.
  void Count(const std::string& name, uint64_t by = 1) {
    counters_[name] += by;
  }
  // Sets a value that may also fall.
  void Set(const std::string& name, double value) { gauges_[name] = value; }
  void Observe(const std::string& name, Duration value) {
    summaries_[name].Add(value);
  }

  // Prometheus text format. Not thread-safe.
  std::string ToPrometheusText() const;

 private:
  std::map<std::string, uint64_t> counters_;
  std::map<std::string, double> gauges_;
  std::map<std::string, DurationSummary> summaries_;
};

}  // namespace applehall

#endif  // APPLEHALL_CORE_METRICS_H_
