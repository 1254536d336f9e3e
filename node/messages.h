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
#include "admission/server_load.h"
#include "core/api_key.h"
#include "core/log_record.h"
#include "core/peer_message.h"
#include "core/verdict.h"
#include "membership/engine_list.h"
#include "membership/host_list.h"
#include "membership/version_history.h"
#include "node/lease_record.h"
#include "placement/engine_types.h"
#include "rules/rule.h"
#include "rules/rule_checker.h"
#include "rules/team_registry.h"

namespace applehall {

// ---- Events: inputs of a node. ----

// A caller's request was read completely.
struct RequestArrived {
  RequestHandle handle = 0;
  std::string request_id;
  RequestFacts facts;
  // The caller's own limit; can only shorten the deadline of the rule.
  std::optional<Duration> deadline;
  std::string idempotency_key;
  uint64_t prefix_hash = 0;  // Of the start of the prompt; 0: no prompt.
  uint64_t fingerprint = 0;  // Of the request content; 0: unknown.
  // Ids of the parts of its prompt that other requests may share, in order.
  std::vector<std::string> prompt_parts = {};
  uint64_t prompt_hash = 0;   // Of the whole prompt; 0: no prompt.
  bool is_forwarded = false;  // By another entry host.
  // Digest of the API key that the request carries, if any.
  std::optional<ApiKeyDigest> api_key;
  // Number of tokens that the request declares, if it does.
  std::optional<double> declared_tokens;
  double prompt_tokens = 0;  // Of them, those of the prompt; 0: not declared.
  // Continues a stream that broke, after the last event that arrived.
  bool is_resumption = false;
  // Id of the caller's request that brought the first event of that stream.
  std::string resumes = {};
  // Where that stream began, from the host that forwarded the request.
  std::optional<StreamOrigin> origin = std::nullopt;
};

// The caller closed its connection.
struct CallerDisconnected {
  RequestHandle handle = 0;
  // Number of the attempt that was not sent for that reason; 0: none.
  int withheld_attempt = 0;
};

// The first byte of an answer was sent to the caller.
struct AttemptStarted {
  RequestHandle handle = 0;
  ReportedLimit limit = {};  // From the headers of the answer.
  // From the headers as well, if the server states it.
  std::optional<ReportedLoad> load = std::nullopt;
  // Where the stream began, from the host that the request was forwarded to.
  std::optional<StreamOrigin> origin = std::nullopt;
};

enum class AttemptResult : uint8_t {
  kCompleted,    // The caller has received the complete answer.
  kNotSent,      // Nothing reached the backend server.
  kModelAbsent,  // Not run: the server reports that the model is not loaded.
  kFull,         // Not run: the server reports that it is at capacity.
  kRefused,      // Not run: the server reports another reason.
  kBroken,       // The attempt failed after the request was sent.
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
  int attempt = 0;  // Results of earlier attempts are ignored.
  AttemptResult result = AttemptResult::kBroken;
  // The caller has already received part of the stream.
  bool has_delivered = false;
  // The engine can resume the stream at the point where it broke.
  bool can_resume = false;
  std::string detail;
  // Longest time between two consecutive chunks of a stream.
  Duration longest_pause{0};
  // The server closed or reset the connection before the answer was complete,
  // as a process that exits or crashes does.
  bool is_cut = false;
  // Time from the first chunk of this attempt's answer to its end.
  Duration answered_for{0};
  // Time from the dispatch until the request was written to the server's
  // connection; nothing if it was not written.
  std::optional<Duration> send_delay = std::nullopt;
  // kCompleted: the end of the connection ended the answer, as it does if the
  // server crashes.
  bool ended_with_connection = false;
  // From the headers of the answer, if one was received.
  ReportedLimit limit = {};
  // From the headers as well, if the server states it.
  std::optional<ReportedLoad> load = std::nullopt;
  // Lower quartile of the intervals between the events of a stream that one
  // server sent whole; nothing if there were too few.
  std::optional<Duration> event_interval = std::nullopt;
  // Of the host that the request was forwarded to; nothing if it passed on the
  // answer of a backend server or did not answer.
  std::optional<Refusal> refusal = std::nullopt;
};

// A new connection to a backend server was made, or failed or timed out.
struct ServerConnection {
  std::string server;
  bool is_connected = false;
  Duration took{0};
};

enum class ServerState : uint8_t { kUnknown, kListening, kGone };

// Result of ProbeServer.
struct ServerProbed {
  std::string server;
  ServerState state = ServerState::kUnknown;
  bool is_link_check = false;  // As in ProbeServer.
};

// An engine returned its inventory in response to an order.
struct InventoryReceived {
  Inventory inventory;
  TimePoint requested_at;  // When the order was sent.
};

// A read of a log stream returned a batch of records.
struct LogBatchRead {
  LogBatch batch;
};

// A read or append failed because the log service does not respond.
struct LogUnavailable {
  // When the call was made if it was not answered; the epoch if the store
  // refused it.
  TimePoint unanswered_since = {};
};

struct AppendEnded {
  std::string record_id;
  bool is_appended = false;  // False: not appended, or the outcome is unknown.
};

// The platform returned a new host list.
struct HostListRead {
  HostList list;
};

// The host list has not changed up to `as_of`.
struct HostListConfirmed {
  TimePoint as_of;
};

struct CatalogueRead {
  Catalogue catalogue;
  // By service, for deployments where engines differ between services.
  std::map<std::string, EngineClass> engine_classes = {};
};

// The newest rule set, for deployments where the platform stores it.
struct RuleSetRead {
  LogOffset version = 0;
  Json document;
  // The teams of the same version; null if it has no list of teams.
  std::shared_ptr<const TeamRegistry> teams = nullptr;
};

// The platform's listing of backend servers changed or was read completely.
struct ServerListRead {
  bool is_whole = false;  // `listed` is the complete listing.
  // `listed` is a part of the listing; the rest cannot be read. Neither this
  // nor `is_whole`: all changes since the last read.
  bool is_partial = false;
  std::vector<ListedServer> listed;
  std::vector<std::string> gone;  // No longer listed.
  // Servers whose entries are malformed or invalid; they receive no requests.
  std::vector<std::string> unusable = {};
  // Of servers that were listed and removed between the last read and this one.
  std::vector<StreamOrigin> passed = {};
  // Topic of the store; its freshness is that of the listing.
  std::string topic = {};
  LogOffset next = 0;  // The first offset that is not included.
};

// A call to the platform's store succeeded.
struct StoreReached {};

// A read of one topic of the store returned, or updates of it that another host
// relayed were applied.
struct StoreUpdatesRead {
  std::string topic = {};
  LogOffset from = 0;
  LogOffset next = 0;        // The first offset that is not in `records`.
  std::string records = {};  // Encoded as in the store; may be empty.
  // The record before `next`, if the answer contains it.
  std::string last_record = {};
  // The topic consisted of exactly the records before `next` at this time, as
  // shown by this host's own read. The epoch: no own read shows it.
  TimePoint as_of = {};
};

// Result of ReadLease.
struct LeaseRead {
  bool is_answered = false;
  std::optional<LeaseRecord> record;  // Empty: the lease was never claimed.
  FencingToken token = 0;             // Of the record.
  LogOffset end = 0;  // Offset at which the next lease record must be appended.
  // When the read was sent; the record was the newest then or later.
  TimePoint requested_at;
};

// Result of AppendLease. `is_appended` is also false if there was no answer;
// the record may have been appended all the same.
struct LeaseAppendEnded {
  bool is_appended = false;
};

// An engine's response to an order, without an inventory.
struct OrderAnswered {
  std::string engine;
  std::string order_id;
  OrderResult result = OrderResult::kUnanswered;
};

// Requests with this content, or with all of these prompt parts, are not sent
// to any server until `until`; the epoch lifts the quarantine.
struct QuarantineRecord {
  uint64_t fingerprint = 0;
  TimePoint until;
  std::vector<uint64_t> parts = {};  // Of prompts; empty for a content.
};

// The versions of all services that were listed within kMaxStreamAge before the
// listing's offset `listing_next`.
struct VersionRecord {
  LogOffset listing_next = 0;
  std::vector<StreamOrigin> versions;
};

// Result of ReadVersionRecord.
struct VersionRecordRead {
  bool is_answered = false;
  // The versions of the record and all that were listed from its offset to
  // `until`. Nothing if there is no record that can be read, or if the store
  // has deleted changes since.
  std::optional<std::vector<StreamOrigin>> versions = std::nullopt;
  LogOffset until = 0;
};

// Result of ReadQuarantine.
struct QuarantineRead {
  bool is_answered = false;
  std::vector<QuarantineRecord> records;
};

// Result of AppendQuarantine; `is_appended` is also false if there was no
// answer.
struct QuarantineAppendEnded {
  QuarantineRecord record;
  bool is_appended = false;
};

struct PeerMessageReceived {
  std::string host;
  PeerMessage message;
};

struct DrainRequested {};

// Whether other hosts can connect to the address for forwarded requests.
struct ForwardListenerChanged {
  bool is_bound = true;
};

// Drives timers; sent at least every kTickInterval.
struct Tick {};

// Whether other hosts can connect to the address for links.
struct LinkListenerChanged {
  bool is_bound = true;
};

using Event = std::variant<
    RequestArrived, CallerDisconnected, AttemptStarted, AttemptEnded,
    InventoryReceived, LogBatchRead, LogUnavailable, AppendEnded, HostListRead,
    HostListConfirmed, CatalogueRead, PeerMessageReceived, DrainRequested, Tick,
    RuleSetRead, ServerListRead, StoreReached, LeaseRead, LeaseAppendEnded,
    OrderAnswered, StoreUpdatesRead, ServerProbed, QuarantineRead,
    QuarantineAppendEnded, ServerConnection, ForwardListenerChanged,
    LinkListenerChanged, VersionRecordRead>;

// ---- Actions: outputs of a node, carried out by its driver. ----

enum class BackendKind : uint8_t { kEngine, kService, kEntryHost };

struct DispatchRequest {
  RequestHandle handle = 0;
  int attempt = 0;
  BackendKind kind = BackendKind::kEngine;
  std::string backend;
  std::string address;
  std::string model;  // The model to run; empty for services.
  std::string rule;   // "VERSION/NAME", for a header of the answer.
  bool is_background = false;
  bool has_retries = false;  // A failed attempt may be retried.
  int priority = -1;         // At the engine, 0 is highest; negative: none.
  bool is_repeatable = true;
  bool resume = false;      // Resume the stream of the previous attempt.
  bool is_claimed = false;  // The receiver must not claim the key again.
  TimePoint deadline;
  // The caller's team, empty for none. Unset if requests need no key; what the
  // caller states about itself is then passed on.
  std::optional<std::string> team;
  // Of the backend server; for another host, where the stream that it continues
  // began, if it began.
  std::optional<StreamOrigin> origin;
};

// Returns the end of the attempt that `sent` started.
inline AttemptEnded MakeAttemptEnd(const DispatchRequest& sent,
                                   AttemptResult result, std::string detail) {
  AttemptEnded ended;
  ended.handle = sent.handle;
  ended.attempt = sent.attempt;
  ended.result = result;
  ended.detail = std::move(detail);
  return ended;
}

// Returns the end of an attempt whose connection failed after the request was
// sent.
inline AttemptEnded MakeBrokenAttemptEnd(const DispatchRequest& sent,
                                         std::string detail, bool is_cut) {
  AttemptEnded ended =
      MakeAttemptEnd(sent, AttemptResult::kBroken, std::move(detail));
  ended.is_cut = is_cut;
  return ended;
}

// Returns the end of an attempt that a fault of this process ended.
inline AttemptEnded MakeFailedAttemptEnd(const DispatchRequest& sent,
                                         bool is_sent) {
  return MakeAttemptEnd(
      sent, is_sent ? AttemptResult::kBroken : AttemptResult::kNotSent,
      "internal error");
}

struct CancelAttempt {
  RequestHandle handle = 0;
  int attempt = 0;
  // Lets an attempt go on that has been written to a connection.
  bool only_unsent = false;
};

// Cancels the attempts at a server that leaves as far as they have not been
// written to a connection yet; they end as not sent.
struct RecallUnsent {
  std::string backend;
};

// Final answer to a request that no backend server answered; sent once.
struct RefuseRequest {
  RequestHandle handle = 0;
  std::string rule;
  Refusal refusal;
};

struct SendOrder {
  std::string engine;
  std::string address;
  EngineOrder order;
  std::string service = {};  // Of the engine, if known.
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

// Sends one message to many hosts; it is encoded once.
struct SendPeers {
  std::vector<PeerAddress> peers;
  PeerMessage message;
};

// Reads the newest record of the placement lease.
struct ReadLease {
  TimePoint requested_at;  // Copied into the result.
};

// Appends a record of the lease on condition that its offset is `end`.
struct AppendLease {
  LeaseRecord record;
  LogOffset end = 0;
};

// Records in the store that the orders of all holders before the lease record
// `token` have arrived or expired. It is no lease record: the token stays.
struct AppendPredecessorsEnded {
  std::string host;  // The holder.
  FencingToken token = 0;
};

// Reads the record of versions, and the changes of the listing since.
struct ReadVersionRecord {};

// Replaces the record of versions in the store.
struct AppendVersionRecord {
  VersionRecord record;
};

// Reads the quarantined contents from the store.
struct ReadQuarantine {};

// Records in the store that a content is quarantined or released.
struct AppendQuarantine {
  QuarantineRecord record;
};

// Starts or stops this host's own reads of the store.
struct SetStorePolling {
  bool is_reading = true;
  // Time up to which this host has all records of all topics, from its own
  // reads or relayed.
  TimePoint as_of;
};

// Applies updates of the store that another host has read and relayed.
struct ApplyStoreUpdates {
  std::string topic;
  LogOffset from = 0;
  LogOffset next = 0;
  std::string records;
};

// Checks whether a backend server still listens at its address.
struct ProbeServer {
  std::string server;
  std::string address;
  bool is_link_check = false;  // Tests this host's links, not the server.
};

// All requests are answered and all ownership is released; the process may
// exit.
struct Drained {};

using Action = std::variant<
    DispatchRequest, CancelAttempt, RecallUnsent, RefuseRequest, SendOrder,
    AppendRecord, SendPeer, SendPeers, Drained, ReadLease, AppendLease,
    AppendPredecessorsEnded, SetStorePolling, ApplyStoreUpdates, ProbeServer,
    ReadQuarantine, AppendQuarantine, ReadVersionRecord, AppendVersionRecord>;

}  // namespace applehall

#endif  // APPLEHALL_NODE_MESSAGES_H_
