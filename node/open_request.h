#ifndef APPLEHALL_NODE_OPEN_REQUEST_H_
#define APPLEHALL_NODE_OPEN_REQUEST_H_

#include <absl/strings/str_cat.h>

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/request_fingerprint.h"
#include "node/messages.h"
#include "node/stream_table.h"
#include "routing/completion_estimate.h"
#include "routing/prompt_part_ledger.h"
#include "rules/rule_registry.h"

namespace applehall {

// Retry-After of requests refused for lack of the log, of rules or of updates
// of servers.
inline constexpr Duration kRetrySoon = std::chrono::seconds(1);

enum class RequestPhase : uint8_t {
  kClaiming,  // Its key is being claimed on the log.
  kLocating,  // Other hosts are asked where the stream it resumes began.
  kWaiting,   // For an engine or service; not sent.
  kBackoff,   // Between two attempts.
  kPermit,    // For a permit of a limited server; not sent.
  kSent,      // An attempt is under way.
};

// A request without an outcome yet, as its host records it.
//
// It may have run if `may_have_run` is set or an attempt is under way. In every
// other state it has not run, and a refusal may promise that.
struct OpenRequest {
  RequestArrived arrival;
  std::shared_ptr<const CompiledRules> rules;  // The set that decided it.
  int rule_index = 0;
  std::string target;
  std::string service;  // Service of its backend servers; empty: not named.
  bool is_service_call = false;  // To a plain service, not to a model.
  size_t model_index = 0;        // Into the rule's list of preferences.
  RequestPhase phase = RequestPhase::kWaiting;
  TimePoint arrived_at;
  TimePoint deadline;
  TimePoint first_sent_at;
  TimePoint sent_at;
  // Predicted when its server was chosen; nothing if it was chosen otherwise.
  std::optional<CompletionEstimate> expected;
  TimePoint started_at;       // First chunk of the answer, if `has_started`.
  Duration longest_pause{0};  // Between two chunks of the answer.
  TimePoint resume_at;        // In kBackoff.
  int attempt = 0;
  int retries = 0;
  bool was_cold = false;
  double draw = 0;  // Uniform from 0 to 1; see EngineView::Preference.
  bool is_granted = false;
  bool has_started = false;   // The caller has part of the answer.
  bool has_arrived = false;   // Reached an engine, which may have refused it.
  bool may_have_run = false;  // By an earlier attempt.
  bool may_resume = false;
  // Software versions of the servers that sent parts of the stream, in order.
  std::vector<std::string> versions;
  // Where its stream began; it is sent to servers of this origin only.
  std::optional<StreamOrigin> origin;
  std::string failed_backend;  // Backend of the last failed attempt.
  // The server closed the connection of the last attempt before an answer.
  bool was_cut_unanswered = false;
  int suspect_delays = 0;               // See RequestFlow::DelayIfSuspect().
  bool was_forwarded = false;           // Already sent to another host.
  std::set<std::string> helpers_tried;  // Hosts it was forwarded to.
  std::string permit_server;            // In kPermit.
  bool is_recorded = false;             // Counted as an arrival of its target.
  // Was refused here before and returns at the time given to it.
  bool is_scheduled_return = false;
  // Waits beside requests that would be refused while a server has room, so it
  // may use that room; see WaitPolicy::FindOverflow().
  bool may_use_room = false;
  // Listing of servers that the last attempt's server was chosen by: its end
  // and the age of its freshness at that time.
  LogOffset listing = 0;
  Duration listing_age{0};
  // As in AttemptEnded, of the last attempt.
  std::optional<Duration> send_delay;
  std::string backend;
  BackendKind backend_kind = BackendKind::kEngine;
  std::string detail;
  // As in DispatchRequest.
  std::optional<std::string> team;
  int team_priority = -1;  // Negative: use the rule's priority.
  double quota_cost = 0;   // Counted against its team's quota.

  const Rule& rule() const { return rules->set.rules[rule_index]; }
  // Whether it is, or may become, a stream that is resumed at another server.
  bool is_resumable() const { return rule().then.resumable; }
  // Key of its stream, also of earlier requests for it.
  uint64_t stream_key() const {
    const std::string& id =
        arrival.resumes.empty() ? arrival.request_id : arrival.resumes;
    return StreamKey(id, arrival.facts.caller);
  }
  // Name of the queue that it waits in. Requests that need one software version
  // wait apart, so that they do not hold up those that do not.
  std::string queue_name() const {
    return origin ? absl::StrCat(target, "@", origin->version) : target;
  }
  // Keys of the parts of its prompt. Requires: the target is chosen.
  std::vector<PartKeys> part_keys() const {
    std::vector<PartKeys> keys;
    for (const std::string& part : arrival.prompt_parts) {
      keys.push_back(
          {PromptPartKey(part, service), PromptPartKey(part, target)});
    }
    return keys;
  }
  // "VERSION/NAME". Requires: the rule is decided. Thread-safe.
  std::string RuleLabel() const {
    return absl::StrCat(rules->version, "/", rule().name);
  }
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_OPEN_REQUEST_H_
