#ifndef APPLEHALL_CORE_METRICS_H_
#define APPLEHALL_CORE_METRICS_H_

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

// A running summary of durations: count, sum, max and three quantiles.
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
};

// Named counters and summaries of one process, owned by one thread.
class Metrics {
 public:
  // Names follow Prometheus; labels are part of the name: `x{reason="y"}`.
  // The caller keeps the set of names bounded. Not thread-safe.
  void Count(const std::string& name, uint64_t by = 1) {
    counters_[name] += by;
  }
  void Observe(const std::string& name, Duration value) {
    summaries_[name].Add(value);
  }

  // Prometheus text format. Not thread-safe.
  std::string ToPrometheusText() const;

 private:
  std::map<std::string, uint64_t> counters_;
  std::map<std::string, DurationSummary> summaries_;
};

}  // namespace applehall

#endif  // APPLEHALL_CORE_METRICS_H_
