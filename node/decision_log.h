#ifndef APPLEHALL_NODE_DECISION_LOG_H_
#define APPLEHALL_NODE_DECISION_LOG_H_

#include <deque>
#include <string>

#include "core/json.h"
#include "core/verdict.h"

namespace applehall {

// Outcome of one request with the rule that decided it and its steps.
struct Decision {
  std::string request_id;
  std::string caller;
  std::string target;
  std::string rule;  // "VERSION/NAME"
  std::string action;
  std::string backend;
  std::string reason;
  std::string model_state;  // "warm" or "cold" on arrival.
  Verdict verdict = Verdict::kNotRun;
  int attempts = 0;
  TimePoint arrived_at;
  Duration waited{0};  // Until the first attempt.
  Duration took{0};
};

// Ring buffer of the last decisions of one process.
class DecisionLog {
 public:
  explicit DecisionLog(size_t capacity) : capacity_(capacity) {}

  // Requires: nothing. Not thread-safe.
  void Add(Decision decision);
  // Returns all kept decisions, or those of one request, newest first.
  Json ToJson(const std::string& request_id) const;
  const std::deque<Decision>& decisions() const { return decisions_; }

 private:
  size_t capacity_;
  std::deque<Decision> decisions_;
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_DECISION_LOG_H_
