#ifndef APPLEHALL_CORE_SATURATING_CAST_H_
#define APPLEHALL_CORE_SATURATING_CAST_H_

#include <concepts>
#include <limits>

namespace applehall {

// Returns the number without its fraction; the nearest value of the type if it
// is out of range, zero if it is not a number. The plain conversion is
// undefined then. Requires: nothing. Thread-safe.
template <std::integral T>
constexpr T SaturatingCast(double number) {
  using Limits = std::numeric_limits<T>;
  // The smallest value and the first one beyond the largest are powers of two
  // or zero, so that both are exact.
  constexpr double kMin = static_cast<double>(Limits::min());
  constexpr double kEnd = 2.0 * static_cast<double>(Limits::max() / 2 + 1);
  if (number >= kEnd) return Limits::max();
  if (number <= kMin) return Limits::min();
  return number == number ? static_cast<T>(number) : T{};
}

}  // namespace applehall

#endif  // APPLEHALL_CORE_SATURATING_CAST_H_
