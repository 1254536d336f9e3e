#ifndef APPLEHALL_CORE_SETTINGS_READER_H_
#define APPLEHALL_CORE_SETTINGS_READER_H_

#include <absl/status/status.h>

#include <set>
#include <string>

#include "core/clock.h"
#include "core/json.h"

namespace applehall {

// An IP address and port. Host names are not resolved.
struct Address {
  std::string ip;
  uint16_t port = 0;

  bool operator==(const Address&) const = default;
  std::string ToString() const { return ip + ":" + std::to_string(port); }
};

// Parses "10.0.0.1:80". Requires: nothing. Thread-safe.
absl::StatusOr<Address> ParseAddress(const std::string& text);

// Reads one JSON object key by key and keeps the first error, so that callers
// check once at the end. Errors name the file, the key and the expected value.
//   SettingsReader reader("node.json", json);
//   settings.host = reader.Text("host");
//   return reader.Finish();
class SettingsReader {
 public:
  SettingsReader(std::string file, const Json& object, std::string prefix = "");

  // Each reads a key and records an error if it is missing (and no fallback is
  // given), of the wrong type or out of range. Not thread-safe.
  std::string Text(const std::string& key);
  std::string TextOr(const std::string& key, const std::string& fallback);
  Address AddressAt(const std::string& key);
  int64_t IntegerOr(const std::string& key, int64_t fallback, int64_t min,
                    int64_t max);
  double NumberOr(const std::string& key, double fallback, double min,
                  double max);
  Duration MillisOr(const std::string& key, Duration fallback, Duration min,
                    Duration max);
  bool FlagOr(const std::string& key, bool fallback);
  // Returns the raw JSON value of `key`; null if missing. Marks the key as
  // known.
  const Json& Raw(const std::string& key);

  // Records an error found by the caller. Not thread-safe.
  void Fail(const std::string& key, const std::string& expected);

  // Returns the first error; unknown keys are errors too. Not thread-safe.
  absl::Status Finish();

 private:
  const Json* Find(const std::string& key, bool required,
                   const std::string& expected);

  std::string file_;
  const Json& object_;
  std::string prefix_;
  std::set<std::string> known_;
  absl::Status status_;
};

}  // namespace applehall

#endif  // APPLEHALL_CORE_SETTINGS_READER_H_
