#include "node/log_writer.h"

#include <absl/strings/str_cat.h>

namespace applehall {
namespace {

constexpr Duration kAppendTimeout = std::chrono::seconds(3);

}  // namespace

std::string LogWriter::NextId() {
  const Incarnation& self = context_.settings.self;
  return absl::StrCat(self.host, ".", self.number, ".", ++count_);
}

void LogWriter::Append(const std::string& matter, Json body) {
  const auto it = under_way_.find(matter);
  if (it != under_way_.end() &&
      context_.now - it->second.sent_at < kAppendTimeout) {
    return;
  }
  const std::string id = NextId();
  body["id"] = id;
  under_way_[matter] = {id, context_.now};
  context_.metrics.Count("log_appends_total");
  context_.Emit(AppendRecord{kControlStream, id, body.dump()});
}

void LogWriter::Ended(const std::string& record_id) {
  // The record itself is read back shortly; until then a repeat is held off
  // for a moment longer by the reader's own progress, not by this table.
  std::erase_if(under_way_, [&](const auto& entry) {
    return entry.second.record_id == record_id;
  });
}

}  // namespace applehall
