#include "node/limit_keeper.h"

#include "core/event_log.h"

namespace applehall {

void LimitKeeper::TakeWord(const std::string& server,
                           const ServerLimitWord& word, TimePoint sent_at) {
  using Kind = ServerLimitWord::Kind;
  if (word.kind == Kind::kUnsaid) return;
  const auto known = named_.find(server);
  if (word.kind == Kind::kNone && known == named_.end()) return;
  if (word.kind == Kind::kUnreadable) {
    context_.metrics.Count("server_limits_unreadable_total");
    LogEvent(LogLevel::kWarning, "server_limit_unreadable")
        .With("server", server)
        .With("text", word.text);
    return;
  }
  const bool is_named = word.kind == Kind::kNamed;
  if (is_named && known != named_.end() && known->second == word.per_second) {
    return;
  }
  context_.metrics.Count("server_limit_changes_total");
  LogEvent(LogLevel::kInfo, "server_limit")
      .With("server", server)
      .With("said", is_named ? "named" : "none")
      .With("per_second", word.per_second)
      .With("before", known == named_.end() ? -1.0 : known->second)
      .With("sent_ms_ago", ToMillis(context_.now - sent_at));
  if (is_named) {
    named_[server] = word.per_second;
  } else {
    named_.erase(known);
  }
}

}  // namespace applehall
