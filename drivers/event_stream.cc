#include "drivers/event_stream.h"

namespace applehall {
namespace {

constexpr std::string_view kEventEnd = "\n\n";

}  // namespace

std::string ExtractCompleteEvents(std::string& partial) {
  const size_t last = partial.rfind(kEventEnd);
  if (last == std::string::npos) return "";
  const size_t size = last + kEventEnd.size();
  std::string events = partial.substr(0, size);
  partial.erase(0, size);
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

}  // namespace applehall
