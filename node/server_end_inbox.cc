#include "node/server_end_inbox.h"

#include <algorithm>

#include "routing/quarantine.h"

namespace applehall {
namespace {

constexpr size_t kMostRowsAReport = 64;

}  // namespace

std::optional<std::vector<ServerEndRow>> ServerEndInbox::Take(
    const std::string& host, const Json& report, TimePoint now) {
  const auto life = FieldOr<uint64_t>(report, "life", 0);
  const Json rows = report.is_object() ? report.value("rows", Json()) : Json();
  if (life == 0 || !rows.is_array() || rows.size() > kMostRowsAReport) {
    return std::nullopt;
  }
  std::vector<ServerEndRow> taken;
  for (const Json& json : rows) {
    std::optional<ServerEndRow> row = ServerEndRowFromJson(json, now);
    if (!row) return std::nullopt;
    taken.push_back(*std::move(row));
  }
  std::erase_if(heard_, [now](const auto& item) {
    return now - item.second.at > kQuarantineTtl;
  });
  Heard& heard = heard_[host];
  // A report of an earlier life that came late.
  if (life < heard.life) return std::vector<ServerEndRow>{};
  if (life > heard.life) {
    heard.life = life;
    heard.number = 0;
  }
  heard.at = now;
  heard.is_ack_owed = true;
  std::erase_if(taken, [&heard](const ServerEndRow& row) {
    return row.number <= heard.number;
  });
  for (const ServerEndRow& row : taken) {
    heard.number = std::max(heard.number, row.number);
  }
  return taken;
}

Json ServerEndInbox::TakeAck(const std::string& host) {
  const auto it = heard_.find(host);
  if (it == heard_.end() || !it->second.is_ack_owed) return nullptr;
  it->second.is_ack_owed = false;
  return Json{{"life", it->second.life}, {"number", it->second.number}};
}

}  // namespace applehall
