#ifndef APPLEHALL_CORE_JSON_H_
#define APPLEHALL_CORE_JSON_H_

#include <absl/status/statusor.h>

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace applehall {

using Json = nlohmann::json;

// Parses JSON with comments. Errors contain line and column.
// Requires: nothing. Thread-safe.
absl::StatusOr<Json> ParseJson(std::string_view text);

// Reads a whole file. Requires: nothing. Thread-safe.
absl::StatusOr<std::string> ReadFile(const std::string& path);

// Returns a field of an object, or `fallback` if it is absent or of another
// type: peers of other versions may omit or change fields. Thread-safe.
template <typename T>
T FieldOr(const Json& object, const char* key, T fallback) {
  if (!object.is_object()) return fallback;
  const auto it = object.find(key);
  if (it == object.end()) return fallback;
  if constexpr (std::is_same_v<T, bool>) {
    return it->is_boolean() ? it->template get<T>() : fallback;
  } else if constexpr (std::is_arithmetic_v<T>) {
    return it->is_number() ? it->template get<T>() : fallback;
  } else {
    return it->is_string() ? it->template get<T>() : fallback;
  }
}

}  // namespace applehall

#endif  // APPLEHALL_CORE_JSON_H_
