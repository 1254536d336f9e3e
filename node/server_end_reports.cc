#include "node/server_end_reports.h"

#include <algorithm>

#include "routing/crash_ledger.h"
#include "routing/quarantine.h"

namespace applehall {
namespace {

constexpr size_t kMostRows = 256;
// Some 60 bytes each; the next ones follow the acknowledgement.
constexpr size_t kMostRowsAReport = 16;
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
  if (rows_.size() <= kMostRows) return 0;
  // Without one that the present owner has only its successor lacks it.
  const bool is_owed = rows_.front().number > acked_;
  rows_.pop_front();
  return is_owed ? 1 : 0;
}

void ServerEndReports::Forget(uint64_t fingerprint) {
  std::erase_if(rows_, [fingerprint](const ServerEndRow& row) {
    return row.fingerprint == fingerprint;
  });
}

bool ServerEndReports::HasNew() const {
  size_t owed = 0;
  for (const ServerEndRow& row : rows_) {
    if (row.number <= acked_) continue;
    if (++owed > kMostRowsAReport) return false;
    if (row.number > sent_) return true;
  }
  return false;
}

Json ServerEndReports::Take(FencingToken token, TimePoint now) {
  if (token != token_) {
    // A new owner has not heard what this host told the one before.
    token_ = token;
    acked_ = 0;
    sent_ = 0;
  }
  if (!HasNew() && now - sent_at_ < kResendInterval) return nullptr;
  Json rows = Json::array();
  for (const ServerEndRow& row : rows_) {
    if (row.number <= acked_) continue;
    if (rows.size() == kMostRowsAReport) break;
    rows.push_back(ServerEndRowToJson(row, now));
    sent_ = std::max(sent_, row.number);
  }
  if (rows.empty()) return nullptr;
  sent_at_ = now;
  return Json{{"life", self_.number}, {"rows", std::move(rows)}};
}

void ServerEndReports::TakeAck(FencingToken token, const Json& ack) {
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
