#include "drivers/event_stream.h"

#include <algorithm>

namespace applehall {
namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kEventId = "id:";

// Ids go into the header of the request that resumes a stream.
bool IsPrintable(std::string_view text) {
  return std::none_of(text.begin(), text.end(),
                      [](unsigned char c) { return c < ' ' || c == 0x7f; });
}

}  // namespace

std::string EventSplitter::Add(std::string_view bytes) {
  // Only the last byte of what was searched before can be part of an end.
  const size_t searched =
      partial_.size() - std::min<size_t>(1, partial_.size());
  partial_ += bytes;
  const size_t last =
      std::string_view(partial_).substr(searched).rfind(kEventEnd);
  if (last == std::string_view::npos) return "";
  const size_t size = searched + last + kEventEnd.size();
  std::string events = partial_.substr(0, size);
  partial_.erase(0, size);
  return events;
}

int CountEvents(std::string_view events) {
  int count = 0;
  for (size_t at = events.find(kEventEnd); at != std::string_view::npos;
       at = events.find(kEventEnd, at + kEventEnd.size())) {
    ++count;
  }
  return count;
}

std::string LastEventId(std::string_view events) {
  size_t line = 0;
  std::string id;
  while (line < events.size()) {
    const size_t end = std::min(events.find('\n', line), events.size());
    const std::string_view text = events.substr(line, end - line);
    if (text.starts_with(kEventId)) {
      const size_t from = text.find_first_not_of(' ', kEventId.size());
      const bool is_id =
          from != std::string_view::npos && IsPrintable(text.substr(from));
      if (is_id) id = std::string(text.substr(from));
    }
    line = end + 1;
  }
  return id;
}

}  // namespace applehall
