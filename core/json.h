#ifndef APPLEHALL_CORE_JSON_H_
#define APPLEHALL_CORE_JSON_H_

#include <absl/status/statusor.h>

#include <exception>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace applehall {

using Json = nlohmann::json;

// Levels of lists and objects in a parsed value. Copies, dumps and comparisons
// of a value recurse into its levels.
inline constexpr size_t kMaxJsonDepth = 128;

// Parses JSON with comments. Errors contain line and column. A number that no
// field can hold is an error, and so are more than kMaxJsonDepth levels.
// Requires: nothing. Thread-safe.
absl::StatusOr<Json> ParseJson(std::string_view text);

// Returns whether JSON can hold the text as it is. Thread-safe.
bool IsUtf8(std::string_view text);

// Parses CBOR whose items all have definite lengths, with the same bound.
// Requires: nothing. Thread-safe.
absl::StatusOr<Json> ParseCbor(const std::vector<uint8_t>& bytes);

// Writes JSON, on one line if `indent` is negative. Bytes that are not UTF-8
// are replaced: they come from callers and peers. Requires: nothing.
// Thread-safe.
std::string DumpJson(const Json& json, int indent = -1);

// Returns what `read` returns, or an error if it throws: data of others can
// break an assumption of a reader. Thread-safe if `read` is.
template <typename Read>
auto ReadOrError(Read read) -> absl::StatusOr<std::decay_t<decltype(*read())>> {
  try {
    return read();
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
}

// Reads a whole file. Requires: nothing. Thread-safe.
absl::StatusOr<std::string> ReadFile(const std::string& path);

// Returns whether a number is within the range of an integer type. Requires:
// `number` is a number. Thread-safe.
template <typename T>
bool IsInRange(const Json& number) {
  if (number.is_number_unsigned()) {
    return std::in_range<T>(number.get<uint64_t>());
  }
  if (number.is_number_integer()) {
    return std::in_range<T>(number.get<int64_t>());
  }
  // The smallest value is a power of two, so both bounds are exact.
  const double value = number.get<double>();
  const double end =
      2.0 *
      static_cast<double>(uint64_t{1} << (std::numeric_limits<T>::digits - 1));
  return value >= static_cast<double>(std::numeric_limits<T>::min()) &&
         value < end;
}

// Returns a field of an object, or `fallback` if it is absent, of another type
// or out of its range: peers of other versions may omit or change fields.
// Thread-safe.
template <typename T>
T FieldOr(const Json& object, const char* key, T fallback) {
  if (!object.is_object()) return fallback;
  const auto it = object.find(key);
  if (it == object.end()) return fallback;
  if constexpr (std::is_same_v<T, bool>) {
    return it->is_boolean() ? it->template get<T>() : fallback;
  } else if constexpr (std::is_integral_v<T>) {
    const bool is_usable = it->is_number() && IsInRange<T>(*it);
    return is_usable ? it->template get<T>() : fallback;
  } else if constexpr (std::is_arithmetic_v<T>) {
    return it->is_number() ? it->template get<T>() : fallback;
  } else {
    return it->is_string() ? it->template get<T>() : fallback;
  }
}

}  // namespace applehall

#endif  // APPLEHALL_CORE_JSON_H_
