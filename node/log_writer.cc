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

void LogWriter::HandleAppendEnd(const std::string& record_id) {
  // A matter may be written again from here on, even before its record is read
  // back; the fold judges a second one by its token and ignores it.
  std::erase_if(under_way_, [&](const auto& entry) {
    return entry.second.record_id == record_id;
  });
}

}  // namespace applehall
