#ifndef APPLEHALL_PLACEMENT_ENGINE_SPEEDS_H_
#define APPLEHALL_PLACEMENT_ENGINE_SPEEDS_H_

#include <map>
#include <string>
#include <utility>

namespace applehall {

// Measured speeds of engines relative to the median of their service, and the
// capacities that follow from them, in replicas on an engine of speed 1.
class EngineSpeeds {
 public:
  // If not `is_enabled`, no speed is ever known.
  explicit EngineSpeeds(bool is_enabled) : is_enabled_(is_enabled) {}

  // Replaces all speeds. Not thread-safe.
  void Set(std::map<std::string, double> speeds) {
    if (is_enabled_) speeds_ = std::move(speeds);
  }
  // True if the speed of any engine is known. Not thread-safe.
  bool AreKnown() const { return !speeds_.empty(); }
  // Returns the capacity of a replica on `engine`: 1 if its speed is not known
  // or about that of the median, else the square of its speed between
  // kMinCapacity and kMaxCapacity. What bounds it are the pauses of its
  // streams, which grow with the time that a prompt takes to be read and with
  // the share of time in which prompts are read. Not thread-safe.
  double Capacity(const std::string& engine) const;

  // Ratio up to which two speeds count as equal. Measured values scatter by
  // about 10 %, so two engines of the same speed differ by this at most.
  static constexpr double kEqualRatio = 1.2;
  // The slowest engine still serves the rate from which on a model counts as
  // busy: one replica alone never makes a rarely used model overloaded.
  static constexpr double kMinCapacity = 0.2;
  // More on one engine would leave too much to load again when it fails.
  static constexpr double kMaxCapacity = 2.0;

 private:
  bool is_enabled_;
  std::map<std::string, double> speeds_;
};

}  // namespace applehall

#endif  // APPLEHALL_PLACEMENT_ENGINE_SPEEDS_H_
