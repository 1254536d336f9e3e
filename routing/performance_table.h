#ifndef APPLEHALL_ROUTING_PERFORMANCE_TABLE_H_
#define APPLEHALL_ROUTING_PERFORMANCE_TABLE_H_

#include <map>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/json.h"
#include "routing/engine_performance.h"

namespace applehall {

// What one host has sent to and measured at one server since its last report.
struct PerformanceSample {
  int requests = 0;
  double prompt_tokens = 0;
  int intervals = 0;  // Number of measured answers.
  // Geometric mean of their intervals between events, or of their service times
  // for calls to a plain service.
  Duration interval{0};
};
using PerformanceSamples = std::map<std::string, PerformanceSample>;

// Encodes and decodes the rows of reports: [server, requests, prompt_tokens,
// samples, interval_us]. Malformed rows are skipped. Requires: nothing.
// Thread-safe.
Json SamplesToJson(const PerformanceSamples& samples);
PerformanceSamples SamplesFromJson(const Json& rows);

// The performance of all servers, summed over the reports of all hosts.
//
// Rates decay with a time constant of 2 s: longer than the intervals of reports
// and plans together, short enough to follow demand that moves to other models.
// A server's speed is the median interval of its service divided by its own.
class PerformanceTable {
 public:
  // Adds what a host reported of `server`, one of `service`. Not thread-safe,
  // as all below.
  void Add(const std::string& server, const std::string& service,
           const PerformanceSample& sample, TimePoint now);
  // Removes a server that is gone or has restarted.
  void Remove(const std::string& server);
  // Computes the speeds of all servers; to be called before the queries.
  void UpdateSpeeds();
  // Returns whether an answer of `server` was measured.
  bool IsMeasured(const std::string& server) const;
  EnginePerformance Find(const std::string& server, TimePoint now) const;
  // Speeds of the servers that were measured.
  std::map<std::string, double> Speeds() const;
  std::vector<std::string> Servers() const;

 private:
  struct Entry {
    std::string service;
    double tokens_per_second = 0;  // As of `updated_at`.
    TimePoint updated_at;
    double log_interval = 0;  // Mean logarithm of the interval in seconds.
    double samples = 0;
    double speed = 1;
  };

  std::map<std::string, Entry> entries_;
};

}  // namespace applehall

#endif  // APPLEHALL_ROUTING_PERFORMANCE_TABLE_H_
