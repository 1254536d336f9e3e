#ifndef APPLEHALL_ROUTING_ENGINE_PERFORMANCE_H_
#define APPLEHALL_ROUTING_ENGINE_PERFORMANCE_H_

namespace applehall {

// Performance of one backend server, measured over the requests of all hosts.
struct EnginePerformance {
  // Relative to the median server of its service; 1 until it is measured.
  double speed = 1.0;
  // Prompt tokens that all hosts send to it.
  double prompt_tokens_per_second = 0;
};

}  // namespace applehall

#endif  // APPLEHALL_ROUTING_ENGINE_PERFORMANCE_H_
