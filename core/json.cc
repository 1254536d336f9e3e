#include "core/json.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cstddef>
#include <fstream>
#include <iterator>
#include <sstream>
#include <utility>
#include <vector>

namespace applehall {
namespace {

// Builds a value from the events of a parser, and stops it at a level beyond
// kMaxJsonDepth. Requires: `root` outlives the builder. Not thread-safe.
class BoundedJsonBuilder {
 public:
  using number_integer_t = Json::number_integer_t;
  using number_unsigned_t = Json::number_unsigned_t;
  using number_float_t = Json::number_float_t;
  using string_t = Json::string_t;
  using binary_t = Json::binary_t;

  explicit BoundedJsonBuilder(Json& root) : root_(root) {}

  bool is_too_deep() const { return is_too_deep_; }
  // Empty if the parser has found none.
  const std::string& error() const { return error_; }

  bool null() { return Add(nullptr); }
  bool boolean(bool value) { return Add(value); }
  bool number_integer(number_integer_t value) { return Add(value); }
  bool number_unsigned(number_unsigned_t value) { return Add(value); }
  bool number_float(number_float_t value, const string_t&) {
    return Add(value);
  }
  bool string(string_t& value) { return Add(std::move(value)); }
  bool binary(binary_t& value) { return Add(std::move(value)); }
  bool start_object(size_t) { return Open(Json::value_t::object); }
  bool key(string_t& name) {
    member_ = &open_.back()->get_ref<Json::object_t&>()[std::move(name)];
    return true;
  }
  bool end_object() { return Close(); }
  bool start_array(size_t) { return Open(Json::value_t::array); }
  bool end_array() { return Close(); }
  bool parse_error(size_t, const std::string&, const Json::exception& error) {
    error_ = error.what();
    return false;
  }

 private:
  // Returns where the value stands.
  template <typename T>
  Json* Place(T&& value) {
    if (open_.empty()) {
      root_ = Json(std::forward<T>(value));
      return &root_;
    }
    if (open_.back()->is_array()) {
      return &open_.back()->get_ref<Json::array_t&>().emplace_back(
          std::forward<T>(value));
    }
    *member_ = Json(std::forward<T>(value));
    return member_;
  }

  template <typename T>
  bool Add(T&& value) {
    Place(std::forward<T>(value));
    return true;
  }

  bool Open(Json::value_t type) {
    if (open_.size() >= kMaxJsonDepth) {
      is_too_deep_ = true;
      return false;
    }
    open_.push_back(Place(type));
    return true;
  }

  bool Close() {
    open_.pop_back();
    return true;
  }

  Json& root_;
  std::vector<Json*> open_;  // From the outermost list or object inwards.
  Json* member_ = nullptr;   // Of the innermost object.
  bool is_too_deep_ = false;
  std::string error_;
};

// Records how far a parser has read.
class CountingIterator {
 public:
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char*;
  using reference = const char&;

  CountingIterator(const char* at, const char** furthest)
      : at_(at), furthest_(furthest) {}

  reference operator*() const { return *at_; }
  CountingIterator& operator++() {
    *furthest_ = ++at_;
    return *this;
  }
  bool operator==(const CountingIterator& other) const {
    return at_ == other.at_;
  }

 private:
  const char* at_;
  const char** furthest_;
};

// Returns the place of the first level that is too deep, as the parser names
// places. Requires: `text` is too deep.
std::string DescribePlace(std::string_view text) {
  const char* end = text.data();
  Json ignored;
  BoundedJsonBuilder builder(ignored);
  Json::sax_parse(CountingIterator(text.data(), &end),
                  CountingIterator(text.data() + text.size(), &end), &builder,
                  Json::input_format_t::json, /*strict=*/true,
                  /*ignore_comments=*/true);
  const std::string_view before =
      text.substr(0, static_cast<size_t>(end - text.data()));
  const size_t line_start = before.rfind('\n') + 1;
  return absl::StrCat("line ",
                      1 + std::count(before.begin(), before.end(), '\n'),
                      ", column ", before.size() - line_start);
}

absl::Status TooDeep(const std::string& place) {
  return absl::InvalidArgumentError(absl::StrCat("parse error at ", place,
                                                 ": nested deeper than ",
                                                 kMaxJsonDepth, " levels"));
}

// Returns false if CBOR has an item of indefinite length or an invalid head.
// The parser recurses into nested strings of indefinite length without an
// event.
bool HasDefiniteLengths(const std::vector<uint8_t>& bytes) {
  constexpr uint8_t kBytes = 2;
  constexpr uint8_t kText = 3;
  constexpr uint8_t kFirstSized = 24;  // 1, 2, 4 or 8 bytes follow.
  constexpr uint8_t kFirstReserved = 28;
  size_t at = 0;
  while (at < bytes.size()) {
    const uint8_t type = bytes[at] >> 5;
    const uint8_t info = bytes[at] & 0x1f;
    ++at;
    if (info >= kFirstReserved) return false;
    const size_t size =
        info < kFirstSized ? 0 : size_t{1} << (info - kFirstSized);
    if (size > bytes.size() - at) return false;
    uint64_t argument = info;
    if (size > 0) argument = 0;
    for (size_t i = 0; i < size; ++i) argument = argument << 8 | bytes[at + i];
    at += size;
    if (type != kBytes && type != kText) continue;
    if (argument > bytes.size() - at) return false;
    at += argument;
  }
  return true;
}

}  // namespace

absl::StatusOr<Json> ParseJson(std::string_view text) {
  Json value;
  BoundedJsonBuilder builder(value);
  try {
    if (Json::sax_parse(text.begin(), text.end(), &builder,
                        Json::input_format_t::json, /*strict=*/true,
                        /*ignore_comments=*/true)) {
      return value;
    }
    // Malformed text, or a number that is out of range.
    return builder.is_too_deep() ? TooDeep(DescribePlace(text))
                                 : absl::InvalidArgumentError(builder.error());
  } catch (const Json::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
}

bool IsUtf8(std::string_view text) {
  try {
    (void)Json(text).dump();
    return true;
  } catch (const Json::exception&) {
    return false;
  }
}

absl::StatusOr<Json> ParseCbor(const std::vector<uint8_t>& bytes) {
  if (!HasDefiniteLengths(bytes)) {
    return absl::InvalidArgumentError(
        "CBOR with a head that is invalid or without a length");
  }
  Json value;
  BoundedJsonBuilder builder(value);
  try {
    if (Json::sax_parse(bytes.begin(), bytes.end(), &builder,
                        Json::input_format_t::cbor)) {
      return value;
    }
    return builder.is_too_deep() ? TooDeep("CBOR")
                                 : absl::InvalidArgumentError(builder.error());
  } catch (const Json::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
}

std::string DumpJson(const Json& json, int indent) {
  return json.dump(indent, ' ', /*ensure_ascii=*/false,
                   Json::error_handler_t::replace);
}

absl::StatusOr<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return absl::NotFoundError(absl::StrCat("cannot open ", path));
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace applehall
