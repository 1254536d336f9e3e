#include "core/settings_reader.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <arpa/inet.h>

namespace applehall {
namespace {

const Json kNull;

bool IsIpAddress(const std::string& text) {
  in6_addr buffer;
  return inet_pton(AF_INET, text.c_str(), &buffer) == 1 ||
         inet_pton(AF_INET6, text.c_str(), &buffer) == 1;
}

}  // namespace

absl::StatusOr<Address> ParseAddress(const std::string& text) {
  const auto colon = text.rfind(':');
  int port = 0;
  if (colon == std::string::npos || !IsIpAddress(text.substr(0, colon)) ||
      !absl::SimpleAtoi(text.substr(colon + 1), &port) || port < 0 ||
      port > 65535) {
    return absl::InvalidArgumentError(
        absl::StrCat("expected IP:PORT, found \"", text, "\""));
  }
  return Address{text.substr(0, colon), static_cast<uint16_t>(port)};
}

SettingsReader::SettingsReader(std::string file, const Json& object,
                               std::string prefix)
    : file_(std::move(file)), object_(object), prefix_(std::move(prefix)) {
  if (!object_.is_object()) Fail("", "an object");
}

void SettingsReader::Fail(const std::string& key, const std::string& expected) {
  if (!status_.ok()) return;
  status_ = absl::InvalidArgumentError(
      absl::StrCat(file_, ": key \"", prefix_, key, "\": expected ", expected));
}

const Json* SettingsReader::Find(const std::string& key, bool required,
                                 const std::string& expected) {
  known_.insert(key);
  if (!object_.is_object()) return nullptr;
  const auto it = object_.find(key);
  if (it != object_.end()) return &*it;
  if (required) Fail(key, absl::StrCat(expected, ", but it is missing"));
  return nullptr;
}

std::string SettingsReader::Text(const std::string& key) {
  const Json* value = Find(key, true, "a string");
  if (value == nullptr) return "";
  if (value->is_string() && !value->get_ref<const std::string&>().empty()) {
    return value->get<std::string>();
  }
  Fail(key, "a non-empty string");
  return "";
}

std::string SettingsReader::TextOr(const std::string& key,
                                   const std::string& fallback) {
  const Json* value = Find(key, false, "");
  if (value == nullptr) return fallback;
  if (value->is_string()) return value->get<std::string>();
  Fail(key, "a string");
  return fallback;
}

Address SettingsReader::AddressAt(const std::string& key) {
  const Json* value = Find(key, true, "an address IP:PORT");
  if (value == nullptr) return {};
  if (!value->is_string()) {
    Fail(key, "an address IP:PORT");
    return {};
  }
  const absl::StatusOr<Address> address =
      ParseAddress(value->get<std::string>());
  if (!address.ok()) {
    Fail(key, absl::StrCat("an address IP:PORT by IP number, found \"",
                           value->get<std::string>(), "\""));
    return {};
  }
  return *address;
}

int64_t SettingsReader::IntegerOr(const std::string& key, int64_t fallback,
                                  int64_t min, int64_t max) {
  const Json* value = Find(key, false, "");
  if (value == nullptr) return fallback;
  if (value->is_number_integer()) {
    const int64_t number = value->get<int64_t>();
    if (number >= min && number <= max) return number;
  }
  Fail(key, absl::StrCat("a whole number from ", min, " to ", max));
  return fallback;
}

double SettingsReader::NumberOr(const std::string& key, double fallback,
                                double min, double max) {
  const Json* value = Find(key, false, "");
  if (value == nullptr) return fallback;
  if (value->is_number()) {
    const double number = value->get<double>();
    if (number >= min && number <= max) return number;
  }
  Fail(key, absl::StrCat("a number from ", min, " to ", max));
  return fallback;
}

Duration SettingsReader::MillisOr(const std::string& key, Duration fallback,
                                  Duration min, Duration max) {
  // The fallback is returned unrounded: it may be finer than a millisecond.
  if (Find(key, false, "") == nullptr) return fallback;
  return std::chrono::milliseconds(
      IntegerOr(key, ToMillis(fallback), ToMillis(min), ToMillis(max)));
}

bool SettingsReader::FlagOr(const std::string& key, bool fallback) {
  const Json* value = Find(key, false, "");
  if (value == nullptr) return fallback;
  if (value->is_boolean()) return value->get<bool>();
  Fail(key, "true or false");
  return fallback;
}

const Json& SettingsReader::Raw(const std::string& key) {
  const Json* value = Find(key, false, "");
  return value == nullptr ? kNull : *value;
}

absl::Status SettingsReader::Finish() {
  if (!status_.ok() || !object_.is_object()) return status_;
  for (const auto& [key, value] : object_.items()) {
    if (!known_.contains(key)) Fail(key, "a known key (this one is unknown)");
  }
  return status_;
}

}  // namespace applehall
