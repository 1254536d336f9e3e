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

void LogWriter::Append(const std::string& key, Json body) {
  const auto it = pending_.find(key);
  if (it != pending_.end() &&
      context_.now - it->second.sent_at < kAppendTimeout) {
    return;
  }
  const std::string id = NextId();
  body["id"] = id;
  pending_[key] = {id, context_.now};
  context_.metrics.Count("log_appends_total");
  context_.Emit(AppendRecord{kControlStream, id, DumpJson(body)});
}

void LogWriter::HandleAppendEnd(const std::string& record_id) {
  // The key may be written again from here on, even before its record has been
  // read; the fold rejects a second record by its token.
  std::erase_if(pending_, [&](const auto& entry) {
    return entry.second.record_id == record_id;
  });
}

}  // namespace applehall
