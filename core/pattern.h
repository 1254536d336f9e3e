#ifndef APPLEHALL_CORE_PATTERN_H_
#define APPLEHALL_CORE_PATTERN_H_

#include <string>
#include <string_view>

namespace applehall {

// An exact name or a name prefix: "horse-*" matches every name that starts with
// "horse-", "*" matches every name, any other text matches only itself.
class Pattern {
 public:
  Pattern() = default;
  explicit Pattern(std::string text) : text_(std::move(text)) {}

  // Requires: nothing. Thread-safe.
  bool is_exact() const { return text_.empty() || text_.back() != '*'; }
  bool Matches(std::string_view name) const {
    return is_exact() ? name == text_ : name.starts_with(prefix());
  }
  // True if this pattern matches every name that `other` matches.
  bool Covers(const Pattern& other) const {
    if (is_exact()) return other.is_exact() && other.text_ == text_;
    const std::string_view others =
        other.is_exact() ? std::string_view{other.text_} : other.prefix();
    return others.starts_with(prefix());
  }
  const std::string& text() const { return text_; }
  bool operator==(const Pattern&) const = default;

 private:
  std::string_view prefix() const {
    return std::string_view{text_}.substr(0, text_.size() - 1);
  }

  std::string text_;
};

}  // namespace applehall

#endif  // APPLEHALL_CORE_PATTERN_H_
