#ifndef APPLEHALL_NODE_MESSAGES_H_
#define APPLEHALL_NODE_MESSAGES_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "admission/admission_queue.h"
#include "admission/server_limit.h"
#include "core/api_key.h"
#include "core/log_record.h"
#include "core/peer_message.h"
#include "core/verdict.h"
#include "membership/engine_list.h"
#include "membership/host_list.h"
#include "node/lease_record.h"
#include "placement/engine_types.h"
#include "rules/rule.h"
#include "rules/rule_checker.h"
#include "rules/team_registry.h"

namespace applehall {

// ---- Events: what happens to a node. ----

// A caller's request was read whole.
struct RequestArrived {
  RequestHandle handle = 0;
  std::string request_id;
  RequestFacts facts;
  std::optional<Duration> deadline;  // The caller's; may only shorten.
  std::string idempotency_key;
  uint64_t prefix_hash = 0;   // Of the prompt's start; zero for none.
  uint64_t fingerprint = 0;   // Of its content; zero if that is not known.
  bool is_forwarded = false;  // By another data centre's entry host.
  // Of the API key that came with it, if one did.
  std::optional<ApiKeyDigest> api_key;
  // Tokens that it says it takes, if it does.
  std::optional<double> declared_tokens;
};

// The caller closed its connection.
struct CallerDisconnected {
  RequestHandle handle = 0;
};

// The first byte of an answer went to the caller.
struct AttemptStarted {
  RequestHandle handle = 0;
  ReportedLimit limit = {};  // In the head of the answer.
};

enum class AttemptResult : uint8_t {
  kCompleted,    // The whole answer is with the caller.
  kNotSent,      // Nothing reached the backend server.
  kModelAbsent,  // It says that it does not hold the model; not run.
  kFull,         // It says that it is full; not run.
  kRefused,      // It says that it did not run it, for another reason.
  kBroken,       // It failed after the request was sent.
};

constexpr const char* AttemptResultName(AttemptResult result) {
  switch (result) {
    case AttemptResult::kCompleted:
      return "completed";
    case AttemptResult::kNotSent:
      return "not_sent";
    case AttemptResult::kModelAbsent:
      return "model_absent";
    case AttemptResult::kFull:
      return "full";
    case AttemptResult::kRefused:
      return "refused";
    case AttemptResult::kBroken:
      return "broken";
  }
  return "broken";
}

// One attempt at a backend server ended.
struct AttemptEnded {
  RequestHandle handle = 0;
  int attempt = 0;  // Answers to earlier attempts are ignored.
  AttemptResult result = AttemptResult::kBroken;
  // Part of a stream is with the caller already.
  bool has_delivered = false;
  // The engine can go on with the stream where it broke.
  bool can_resume = false;
  std::string detail;
  // Of a stream: the longest time between two pieces of it.
  Duration longest_pause{0};
  // The server closed or reset the connection before its answer was whole, as
  // one that ends does.
  bool is_cut = false;
  // From the first piece of this attempt's answer to its end.
  Duration answered_for{0};
  // In the head of the answer, if one came.
  ReportedLimit limit = {};
};

enum class ServerState : uint8_t { kUnknown, kListening, kGone };

// The answer to ProbeServer.
struct ServerProbed {
  std::string server;
  ServerState state = ServerState::kUnknown;
};

// An engine answered an order with its inventory.
struct InventoryReceived {
  Inventory inventory;
  TimePoint asked_at;
};

struct LogBatchRead {
  LogBatch batch;
};

// A read or append failed because the log service does not answer.
struct LogUnavailable {};

struct AppendEnded {
  std::string record_id;
  bool is_appended = false;  // False: nobody knows, or certainly not.
};

struct HostListRead {
  HostList list;
};

// The host list has not changed up to `as_of`.
struct HostListConfirmed {
  TimePoint as_of;
};

struct CatalogueRead {
  Catalogue catalogue;
  // By service, where engines of different services differ.
  std::map<std::string, EngineClass> engine_classes = {};
};

// The newest rule set, where the platform itself keeps it.
struct RuleSetRead {
  LogOffset version = 0;
  Json document;
  // The teams of the same version; null where there are none.
  std::shared_ptr<const TeamRegistry> teams = nullptr;
};

// News of the listed backend servers.
struct ServerListRead {
  bool is_whole = false;  // `listed` are all there are.
  std::vector<ListedServer> listed;
  std::vector<std::string> gone;
  // Their entries cannot be read or make no sense: nothing is sent there.
  std::vector<std::string> unusable = {};
};

// The platform's store answered.
struct StoreReached {};

// A question to the store about one topic was answered, or another host's news
// of it were taken over.
struct StoreUpdatesRead {
  std::string topic = {};
  LogOffset from = 0;
  LogOffset next = 0;        // The first offset that is not in `records`.
  std::string records = {};  // As they stand in the store; may be empty.
  // The record before `next`, if this is known from the answer.
  std::string last_record = {};
  // All records up to `next` were there at this time, and no others: proven by
  // this host's own question. The epoch: by none.
  TimePoint as_of = {};
};

// The answer to ReadLease.
struct LeaseRead {
  bool is_answered = false;
  std::optional<LeaseRecord> record;  // Nothing: never claimed.
  FencingToken token = 0;             // Of the record.
  LogOffset end = 0;   // Where the next record of the lease must stand.
  TimePoint asked_at;  // Of the question; the record stood then or later.
};

// The answer to AppendLease, or that there was none: the record may stand.
struct LeaseAppendEnded {
  bool is_appended = false;
};

// An engine's answer to an order that brings no inventory.
struct OrderAnswered {
  std::string engine;
  std::string order_id;
  OrderResult result = OrderResult::kUnanswered;
};

// Requests of this content are sent to no server until then; the epoch: any
// more.
struct QuarantineRecord {
  uint64_t fingerprint = 0;
  TimePoint until;
};

// The answer to ReadQuarantine.
struct QuarantineRead {
  bool is_answered = false;
  std::vector<QuarantineRecord> records;
};

// The answer to AppendQuarantine, or that there was none.
struct QuarantineAppendEnded {
  QuarantineRecord record;
  bool is_appended = false;
};

struct PeerMessageReceived {
  std::string host;
  PeerMessage message;
};

struct DrainRequested {};

// Time passed; sent at least every kTickInterval.
struct Tick {};

using Event =
    std::variant<RequestArrived, CallerDisconnected, AttemptStarted,
                 AttemptEnded, InventoryReceived, LogBatchRead, LogUnavailable,
                 AppendEnded, HostListRead, HostListConfirmed, CatalogueRead,
                 PeerMessageReceived, DrainRequested, Tick, RuleSetRead,
                 ServerListRead, StoreReached, LeaseRead, LeaseAppendEnded,
                 OrderAnswered, StoreUpdatesRead, ServerProbed, QuarantineRead,
                 QuarantineAppendEnded>;

// ---- Actions: what a node wants done. ----

enum class BackendKind : uint8_t { kEngine, kService, kEntryHost };

struct DispatchRequest {
  RequestHandle handle = 0;
  int attempt = 0;
  BackendKind kind = BackendKind::kEngine;
  std::string backend;
  std::string address;
  std::string model;  // What the engine is asked for; empty for services.
  std::string rule;   // "VERSION/NAME", for the answer's header.
  bool is_background = false;
  bool has_retries = false;  // Another attempt may follow a failure.
  int priority = -1;         // At the engine, 0 first; negative: none.
  bool is_repeatable = true;
  bool resume = false;      // Go on with the stream of the last attempt.
  bool is_claimed = false;  // The receiver must not claim the key again.
  TimePoint deadline;
  // The caller's team, empty for none; nothing where no teams are configured
  // and what callers say of themselves is passed on.
  std::optional<std::string> team;
};

// How the attempt that `sent` began has ended.
inline AttemptEnded MakeAttemptEnd(const DispatchRequest& sent,
                                   AttemptResult result, std::string detail) {
  AttemptEnded ended;
  ended.handle = sent.handle;
  ended.attempt = sent.attempt;
  ended.result = result;
  ended.detail = std::move(detail);
  return ended;
}

// Its connection failed after the request was sent.
inline AttemptEnded MakeBrokenAttemptEnd(const DispatchRequest& sent,
                                         std::string detail, bool is_cut) {
  AttemptEnded ended =
      MakeAttemptEnd(sent, AttemptResult::kBroken, std::move(detail));
  ended.is_cut = is_cut;
  return ended;
}

struct CancelAttempt {
  RequestHandle handle = 0;
  int attempt = 0;
};

// The one final answer of a request that no backend server answered.
struct RefuseRequest {
  RequestHandle handle = 0;
  std::string rule;
  Refusal refusal;
};

struct SendOrder {
  std::string engine;
  std::string address;
  EngineOrder order;
  std::string service = {};  // The engine's, where that is known.
};

struct AppendRecord {
  std::string stream;
  std::string record_id;
  std::string payload;
};

struct SendPeer {
  std::string host;
  std::string address;
  PeerMessage message;
};

// The same message to many hosts; it is encoded once.
struct SendPeers {
  std::vector<PeerAddress> peers;
  PeerMessage message;
};

// Reads the newest record of the placement lease.
struct ReadLease {
  TimePoint asked_at;  // Comes back with the answer.
};

// Appends a record of the lease, if it would stand at `end`.
struct AppendLease {
  LeaseRecord record;
  LogOffset end = 0;
};

// Reads the contents that are under quarantine from the store.
struct ReadQuarantine {};

// Records a content in the store, or that it is free again.
struct AppendQuarantine {
  QuarantineRecord record;
};

// Whether this host asks the store for news itself.
struct SetStorePolling {
  bool is_reading = true;
  // As of when all topics are known here, by whomever.
  TimePoint as_of;
};

// News of the store that another host has read.
struct ApplyStoreUpdates {
  std::string topic;
  LogOffset from = 0;
  LogOffset next = 0;
  std::string records;
};

// Finds out whether a backend server still listens at its address.
struct ProbeServer {
  std::string server;
  std::string address;
};

// Every request is answered and every ownership released: the process may go.
struct Drained {};

using Action =
    std::variant<DispatchRequest, CancelAttempt, RefuseRequest, SendOrder,
                 AppendRecord, SendPeer, SendPeers, Drained, ReadLease,
                 AppendLease, SetStorePolling, ApplyStoreUpdates, ProbeServer,
                 ReadQuarantine, AppendQuarantine>;

}  // namespace applehall

#endif  // APPLEHALL_NODE_MESSAGES_H_
