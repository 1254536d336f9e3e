#include "core/metrics.h"

#include <algorithm>
#include <numeric>
#include <sstream>

namespace applehall {

namespace acc = boost::accumulators;

DurationSummary::DurationSummary()
    : p50_(acc::quantile_probability = 0.5),
      p95_(acc::quantile_probability = 0.95),
      p99_(acc::quantile_probability = 0.99) {}

void DurationSummary::Add(Duration value) {
  const double seconds = ToSeconds(value);
  totals_(seconds);
  p50_(seconds);
  p95_(seconds);
  p99_(seconds);
  const auto bucket = std::lower_bound(kDurationBuckets.begin(),
                                       kDurationBuckets.end(), seconds);
  // A value above all bounds appears only in the total count (le="+Inf").
  if (bucket != kDurationBuckets.end()) {
    ++buckets_[bucket - kDurationBuckets.begin()];
  }
}

std::array<uint64_t, kDurationBuckets.size()>
DurationSummary::CumulativeCounts() const {
  auto counts = buckets_;
  std::partial_sum(counts.begin(), counts.end(), counts.begin());
  return counts;
}

double DurationSummary::p50() const { return acc::p_square_quantile(p50_); }
double DurationSummary::p95() const { return acc::p_square_quantile(p95_); }
double DurationSummary::p99() const { return acc::p_square_quantile(p99_); }
double DurationSummary::max() const {
  return count() == 0 ? 0.0 : acc::max(totals_);
}
double DurationSummary::sum() const { return acc::sum(totals_); }
uint64_t DurationSummary::count() const { return acc::count(totals_); }

std::string Metrics::ToPrometheusText() const {
  std::ostringstream text;
  for (const auto& [name, value] : counters_) {
    text << "applehall_" << name << ' ' << value << '\n';
  }
  for (const auto& [name, value] : gauges_) {
    text << "applehall_" << name << ' ' << value << '\n';
  }
  for (const auto& [name, summary] : summaries_) {
    const std::string base = "applehall_" + name + "_seconds";
    text << "# TYPE " << base << " histogram\n";
    const auto counts = summary.CumulativeCounts();
    for (size_t i = 0; i < counts.size(); ++i) {
      text << base << "_bucket{le=\"" << kDurationBuckets[i] << "\"} "
           << counts[i] << '\n';
    }
    text << base << "_bucket{le=\"+Inf\"} " << summary.count() << '\n'
         << base << "_sum " << summary.sum() << '\n'
         << base << "_count " << summary.count() << '\n'
         << base << "_quantile{quantile=\"0.5\"} " << summary.p50() << '\n'
         << base << "_quantile{quantile=\"0.95\"} " << summary.p95() << '\n'
         << base << "_quantile{quantile=\"0.99\"} " << summary.p99() << '\n';
  }
  return text.str();
}

}  // namespace applehall
