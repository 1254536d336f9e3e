#include "core/uuid.h"

#include <cstdio>

namespace applehall {
namespace {

constexpr size_t kUuidLength = 36;

bool IsHyphenPosition(size_t i) {
  return i == 8 || i == 13 || i == 18 || i == 23;
}

int HexValue(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

}  // namespace

std::string MakeUuid7(TimePoint now, Random& random) {
  const auto millis = static_cast<uint64_t>(ToUnixMillis(now));
  const uint64_t a = random.Next();
  const uint64_t b = random.Next();
  char text[kUuidLength + 1];
  std::snprintf(text, sizeof(text), "%08llx-%04llx-7%03llx-%04llx-%012llx",
                static_cast<unsigned long long>((millis >> 16) & 0xffffffff),
                static_cast<unsigned long long>(millis & 0xffff),
                static_cast<unsigned long long>(a & 0xfff),
                static_cast<unsigned long long>(0x8000 | ((a >> 12) & 0x3fff)),
                static_cast<unsigned long long>(b & 0xffffffffffffULL));
  return text;
}

std::optional<TimePoint> Uuid7Time(std::string_view text) {
  if (text.size() != kUuidLength || text[14] != '7') return std::nullopt;
  uint64_t millis = 0;
  int digits = 0;
  for (size_t i = 0; i < text.size(); ++i) {
    if (IsHyphenPosition(i)) {
      if (text[i] != '-') return std::nullopt;
      continue;
    }
    const int value = HexValue(text[i]);
    if (value < 0) return std::nullopt;
    if (digits < 12) millis = millis << 4 | static_cast<uint64_t>(value);
    ++digits;
  }
  return FromUnixMillis(static_cast<int64_t>(millis));
}

}  // namespace applehall
