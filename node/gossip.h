#ifndef APPLEHALL_NODE_GOSSIP_H_
#define APPLEHALL_NODE_GOSSIP_H_

#include <absl/container/flat_hash_map.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "node/group_manager.h"
#include "node/node_context.h"

namespace applehall {

// The targets that are ready in one data centre, as announced to the others.
struct DataCentreSummary {
  std::string data_centre;
  int64_t version = 0;  // Creation time in Unix ms, by its creator's clock.
  std::vector<std::string> ready;
};

// Gossips engine digests, heartbeats of group owners, the control state and
// summaries of data centres over the sparse peer links.
//
// A peer receives only entries that are newer than those already exchanged with
// it. Lost messages are repaired by the periodic refresh of digests and by
// comparing control offsets.
class Gossip {
 public:
  Gossip(NodeContext& context, GroupManager& groups);

  // Sends the messages that are due. Not thread-safe.
  void RunTick();
  // Applies a gossip message. Not thread-safe.
  void HandleGossip(const std::string& from, const Json& body);
  // Applies control records or a snapshot; true if the control state advanced.
  // Not thread-safe.
  bool HandleControl(const Json& body);

  // Whether this host reads the control stream itself. Two hosts of a data
  // centre do; the others receive it from peers, and read it themselves if no
  // peer has confirmed the state for a while. Not thread-safe.
  bool IsControlReader() const;
  // Returns another data centre where `target` is ready, one of `allowed`
  // unless that is empty; empty if there is none. Not thread-safe.
  std::string FindReadyDataCentre(
      const std::string& target, const std::vector<std::string>& allowed) const;
  Json ToJson() const;

 private:
  struct PeerState {
    absl::flat_hash_map<std::string, std::pair<FencingToken, uint64_t>> sent;
    std::map<std::string, int64_t> summaries_sent;
    LogOffset known_offset = 0;
    TimePoint sent_at;
    TimePoint control_sent_at;
  };

  void SendTo(const std::string& peer, PeerState& state);
  Json CollectDigests(PeerState& state);
  Json CollectSummaries(PeerState& state);
  void SendControl(const std::string& peer, PeerState& state);
  void UpdateOwnSummary();
  bool HasUrgentUpdates() const;

  NodeContext& context_;
  GroupManager& groups_;
  std::vector<std::string> peers_;
  uint64_t peers_version_ = 0;
  std::map<std::string, PeerState> states_;
  std::map<std::string, DataCentreSummary> summaries_;
  TimePoint summary_made_at_;
  LogOffset offset_sent_ = 0;
  uint64_t ready_version_sent_ = 0;
  // Whether the host list of `chosen_version_` makes this host a reader.
  mutable bool is_chosen_reader_ = false;
  mutable uint64_t chosen_version_ = 0;
};

// Encode and decode control records for a peer. Thread-safe.
Json LogBatchToJson(const LogBatch& batch);
LogBatch LogBatchFromJson(const Json& json);

}  // namespace applehall

#endif  // APPLEHALL_NODE_GOSSIP_H_
