#include "node/server_end_reports.h"

#include <algorithm>

#include "routing/crash_ledger.h"
#include "routing/quarantine.h"

namespace applehall {
namespace {

constexpr size_t kMaxRows = 256;
// A row takes some 60 bytes, and 18 more for each part of a prompt. Further
// rows follow after the acknowledgement.
constexpr size_t kMaxRowsPerReport = 16;
constexpr Duration kResendInterval = std::chrono::milliseconds(500);

bool IsExpired(const ServerEndRow& row, TimePoint now) {
  switch (row.kind) {
    case ServerEndRow::Kind::kEnd:
    case ServerEndRow::Kind::kLateEnd:
      return now - row.at > kSuspicionTtl;
    case ServerEndRow::Kind::kCleared:
      return now - row.at > kQuarantineTtl;
    case ServerEndRow::Kind::kProven:
      return row.at <= now;
  }
  return true;
}

}  // namespace

size_t ServerEndReports::Add(ServerEndRow row) {
  row.number = ++last_number_;
  rows_.push_back(std::move(row));
  if (rows_.size() <= kMaxRows) return 0;
  // A row that the present owner acknowledged is lost only for its successor.
  const bool is_owed = rows_.front().number > acked_;
  rows_.pop_front();
  return is_owed ? 1 : 0;
}

void ServerEndReports::Remove(uint64_t key) {
  std::erase_if(
      rows_, [key](const ServerEndRow& row) { return row.fingerprint == key; });
  for (ServerEndRow& row : rows_) {
    for (PartKeys& part : row.parts) {
      if (part.target == key) part = {};
      if (part.service == key) part.service = 0;
    }
    std::erase_if(row.parts,
                  [](const PartKeys& part) { return part.widest() == 0; });
  }
}

bool ServerEndReports::HasNew() const {
  size_t owed = 0;
  for (const ServerEndRow& row : rows_) {
    if (row.number <= acked_) continue;
    if (++owed > kMaxRowsPerReport) return false;
    if (row.number > sent_) return true;
  }
  return false;
}

Json ServerEndReports::BuildReport(FencingToken token, TimePoint now) {
  if (token != token_) {
    // A new owner has none of the rows that its predecessor acknowledged.
    token_ = token;
    acked_ = 0;
    sent_ = 0;
  }
  if (!HasNew() && now - sent_at_ < kResendInterval) return nullptr;
  Json rows = Json::array();
  std::vector<const ServerEndRow*> sent;
  for (const ServerEndRow& row : rows_) {
    if (row.number <= acked_) continue;
    if (rows.size() == kMaxRowsPerReport) break;
    rows.push_back(ServerEndRowToJson(row, now));
    sent.push_back(&row);
    sent_ = std::max(sent_, row.number);
  }
  if (rows.empty()) return nullptr;
  sent_at_ = now;
  Json report{{"life", self_.number}, {"rows", std::move(rows)}};
  Json prompts = PromptsToJson(sent);
  if (!prompts.empty()) report["prompts"] = std::move(prompts);
  return report;
}

void ServerEndReports::HandleAck(FencingToken token, const Json& ack) {
  if (token != token_ || FieldOr<uint64_t>(ack, "life", 0) != self_.number) {
    return;
  }
  acked_ = std::max(acked_, FieldOr<uint64_t>(ack, "number", 0));
}

size_t ServerEndReports::DropExpired(TimePoint now) {
  size_t dropped = 0;
  std::erase_if(rows_, [&](const ServerEndRow& row) {
    const bool is_expired = IsExpired(row, now);
    if (is_expired && row.number > acked_) ++dropped;
    return is_expired;
  });
  return dropped;
}

size_t ServerEndReports::owed() const {
  return static_cast<size_t>(
      std::count_if(rows_.begin(), rows_.end(),
                    [this](const auto& row) { return row.number > acked_; }));
}

}  // namespace applehall
