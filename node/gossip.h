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

// What one data centre tells the others about itself.
struct DataCentreSummary {
  std::string data_centre;
  int64_t version = 0;  // Milliseconds of its making, by its maker's clock.
  std::vector<std::string> ready;
};

// Spreads engine digests, owners' signs of life, the control state and
// summaries of data centres over the sparse links.
//
// To each peer goes only what is newer than what it was sent or has sent
// itself. A lost message is made good by the periodic refresh of digests and
// by comparing control offsets.
class Gossip {
 public:
  Gossip(NodeContext& context, GroupManager& groups);

  // Sends what is due. Not thread-safe.
  void RunTick();
  // Takes a gossip message; true if the control state may have changed. Not
  // thread-safe.
  void HandleGossip(const std::string& from, const Json& body);
  // Takes control records or a snapshot; true if they helped. Not
  // thread-safe.
  bool TakeControl(const Json& body);

  // Whether this host reads the control stream itself. Two hosts of a data
  // centre do; the others are told by peers, and read for themselves when
  // nothing was confirmed for a while. Not thread-safe.
  bool IsControlReader() const;
  // Another data centre where `target` is ready, or empty. Not thread-safe.
  std::string FindReadyDataCentre(
      const std::string& target, const std::vector<std::string>& allowed) const;
  Json ToJson() const;

 private:
  struct PeerState {
    absl::flat_hash_map<std::string, std::pair<FencingToken, uint64_t>> sent;
    std::map<std::string, int64_t> summaries_sent;
    LogOffset offset_heard = 0;
    TimePoint sent_at;
    TimePoint control_sent_at;
  };

  void SendTo(const std::string& peer, PeerState& state);
  Json NewDigests(PeerState& state);
  Json NewSummaries(PeerState& state);
  void SendControl(const std::string& peer, PeerState& state);
  void MakeOwnSummary();
  bool HasUrgentNews() const;

  NodeContext& context_;
  GroupManager& groups_;
  std::vector<std::string> peers_;
  uint64_t peers_version_ = 0;
  std::map<std::string, PeerState> states_;
  std::map<std::string, DataCentreSummary> summaries_;
  TimePoint summary_made_at_;
  LogOffset offset_sent_ = 0;
  uint64_t ready_version_sent_ = 0;
  // Whether this host is among the readers, by the last host list.
  mutable bool is_chosen_reader_ = false;
  mutable uint64_t chosen_version_ = 0;
};

// Control records for a peer, and back.
Json LogBatchToJson(const LogBatch& batch);
LogBatch LogBatchFromJson(const Json& json);

}  // namespace applehall

#endif  // APPLEHALL_NODE_GOSSIP_H_
