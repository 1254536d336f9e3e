#ifndef APPLEHALL_NODE_STREAM_MANAGER_H_
#define APPLEHALL_NODE_STREAM_MANAGER_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "membership/version_history.h"
#include "node/messages.h"
#include "node/node_context.h"
#include "node/registrar_list.h"
#include "node/stream_table.h"
#include "node/version_recorder.h"

namespace applehall {

// Finds out at which service and software version a stream began that a caller
// resumes, at this host or any other (docs/design/streams-and-versions.md).
//
// Hosts tell the origins of their streams to a few other hosts, the registrars
// that the placement owner names, while a service is or was lately served by
// more than one version, or while that cannot be ruled out.
//
// Not thread-safe.
class StreamManager {
 public:
  explicit StreamManager(NodeContext& context);

  // ---- Commands ----

  VersionHistory& versions() { return versions_; }
  // Records that `listing` was applied. `previous_age` is the age of the
  // listing just before.
  void RecordListing(const ServerListRead& listing, Duration previous_age);
  // Records that this host has sent events of a stream to its caller.
  void RecordBegun(uint64_t key, const StreamOrigin& origin);
  // Records that the caller has the whole stream.
  void RecordComplete(uint64_t key) { table_.RecordComplete(key); }

  enum class Source : uint8_t { kRecord, kOnlyVersion, kOtherHost, kForwarder };
  struct Finding {
    RequestHandle handle = 0;
    // Nothing if no host that answered knows it.
    std::optional<StreamOrigin> origin;
    Source source = Source::kRecord;
    Duration took{0};
    int asked = 0;           // Other hosts.
    int without_record = 0;  // Of them, those that answered without an origin.
  };
  // Returns the origin of the stream with `key`, which the request `handle` for
  // `service` resumes. If it is not known here, asks other hosts, waits for the
  // history of versions just after the start, and returns nothing;
  // TakeFindings() returns the answer.
  std::optional<Finding> Find(RequestHandle handle, uint64_t key,
                              const std::string& service);
  // Returns the answers to earlier calls of Find().
  std::vector<Finding> TakeFindings();
  // Drops the question of a request that has ended.
  void Forget(RequestHandle handle);

  // Tells and asks other hosts; ends questions without an answer.
  void RunTick();

  // ---- Messages between hosts ----

  void HandleRecords(const Json& body);
  void HandleQuery(const std::string& host, const Json& body);
  void HandleAnswer(const std::string& host, const Json& body);
  void AddReportRows(Json& body) const;
  static void HandleReport(const Json& body, FleetPeer& peer);
  // Selects the registrars. Requires: this host is the placement owner.
  void SelectRegistrars(const FleetPeers& peers);
  // Adds the known versions to a plan for `data_centre`, and the registrars if
  // they are due or it is the first plan for a host.
  void AddPlanRows(const std::string& data_centre, bool is_first_plan,
                   Json& body);
  void HandlePlan(const Json& body);
  // Drops what is remembered as sent in plans; a new owner sends all.
  void StartPlanning() { registrars_sent_.clear(); }
  // Keeps the record of versions in the store. Requires: this host is the
  // placement owner.
  void RunOwner() { recorder_.RunOwner(); }
  void HandleVersionRecord(const VersionRecordRead& event) {
    recorder_.HandleRead(event);
  }

  // ---- Queries ----

  const VersionHistory& versions() const { return versions_; }
  // Returns the age of the listing; the maximum if none was read.
  Duration ListingAge() const;
  // Whether this host has just started and does not know yet which versions
  // were listed before.
  bool IsRestoring() const;
  Json ToJson() const;

 private:
  struct Question {
    std::string service;
    std::set<RequestHandle> requests;
    TimePoint asked_at;
    std::set<std::string> asked;
    std::set<std::string> without_record;  // Hosts that found no origin.
  };
  struct Outbox {
    std::string address;
    // Keys by origin.
    std::map<std::pair<std::string, std::string>, std::vector<uint64_t>> rows;
  };
  struct SentRegistrars {
    RegistrarList list;
    TimePoint at;
  };

  bool IsSettled(const std::string& service) const {
    return versions_.IsSettled(service, ListingAge(), context_.now);
  }
  // Tells other hosts of the streams of services that are not settled.
  void TellUntold();
  void Tell(uint64_t key, const StreamOrigin& origin);
  void SendOutboxes();
  // Marks all open streams of this host as untold.
  void RetellOpen();
  void Ask(uint64_t key, Question& question);
  bool IsUnknown(const Question& question) const;
  bool IsStarting() const;
  void SetRegistrars(RegistrarList list);
  void End(uint64_t key, std::optional<StreamOrigin> origin, Source source);

  NodeContext& context_;
  VersionHistory versions_;
  VersionRecorder recorder_{context_, versions_};
  std::string listing_topic_;
  bool is_listing_partial_ = false;
  StreamTable table_;
  std::map<std::string, std::vector<uint64_t>> untold_;  // By service.
  RegistrarList registrars_;
  std::map<std::string, Outbox> outboxes_;  // By host.
  std::map<uint64_t, Question> questions_;
  std::vector<Finding> findings_;
  std::map<std::string, SentRegistrars> registrars_sent_;  // By data centre.
  TimePoint selected_at_;
  TimePoint cleaned_at_;
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_STREAM_MANAGER_H_
