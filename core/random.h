#ifndef APPLEHALL_CORE_RANDOM_H_
#define APPLEHALL_CORE_RANDOM_H_

#include <cstdint>

namespace applehall {

// SplitMix64 generator. Its sequence is the same on every platform, unlike the
// distributions of <random>.
class Random {
 public:
  explicit Random(uint64_t seed) : state_(seed) {}

  // Requires: nothing. Not thread-safe.
  uint64_t Next() {
    state_ += 0x9e3779b97f4a7c15ULL;
    uint64_t z = state_;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
  }

  // Uniform in [0, bound). Requires: bound > 0. Not thread-safe.
  uint64_t Below(uint64_t bound) { return Next() % bound; }

  // Uniform in [0, 1). Not thread-safe.
  double Unit() {
    return static_cast<double>(Next() >> 11) * (1.0 / 9007199254740992.0);
  }

 private:
  uint64_t state_;
};

}  // namespace applehall

#endif  // APPLEHALL_CORE_RANDOM_H_
