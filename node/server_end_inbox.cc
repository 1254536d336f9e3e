#include "node/server_end_inbox.h"

#include <algorithm>

#include "routing/quarantine.h"

namespace applehall {
namespace {

constexpr size_t kMaxRowsPerReport = 64;

}  // namespace

std::optional<std::vector<ServerEndRow>> ServerEndInbox::HandleReport(
    const std::string& host, const Json& report, TimePoint now) {
  const auto incarnation = FieldOr<uint64_t>(report, "life", 0);
  const Json rows = report.is_object() ? report.value("rows", Json()) : Json();
  if (incarnation == 0 || !rows.is_array() || rows.size() > kMaxRowsPerReport) {
    return std::nullopt;
  }
  std::vector<ServerEndRow> parsed;
  for (const Json& json : rows) {
    std::optional<ServerEndRow> row = ServerEndRowFromJson(json, now);
    if (!row) return std::nullopt;
    parsed.push_back(*std::move(row));
  }
  const bool has_prompts = report.contains("prompts");
  if (has_prompts && !AddPrompts(report["prompts"], parsed)) {
    return std::nullopt;
  }
  std::erase_if(received_, [now](const auto& item) {
    return now - item.second.at > kQuarantineTtl;
  });
  Received& received = received_[host];
  // A delayed report of an earlier incarnation.
  if (incarnation < received.incarnation) return std::vector<ServerEndRow>{};
  if (incarnation > received.incarnation) {
    received.incarnation = incarnation;
    received.number = 0;
  }
  received.at = now;
  received.is_ack_owed = true;
  std::erase_if(parsed, [&received](const ServerEndRow& row) {
    return row.number <= received.number;
  });
  for (const ServerEndRow& row : parsed) {
    received.number = std::max(received.number, row.number);
  }
  return parsed;
}

Json ServerEndInbox::TakeOwedAck(const std::string& host) {
  const auto it = received_.find(host);
  if (it == received_.end() || !it->second.is_ack_owed) return nullptr;
  it->second.is_ack_owed = false;
  return Json{{"life", it->second.incarnation}, {"number", it->second.number}};
}

}  // namespace applehall
