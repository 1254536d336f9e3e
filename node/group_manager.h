#ifndef APPLEHALL_NODE_GROUP_MANAGER_H_
#define APPLEHALL_NODE_GROUP_MANAGER_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "node/log_writer.h"
#include "node/node_context.h"
#include "placement/engine_owner.h"
#include "placement/store_budget.h"

namespace applehall {

// Claims and releases the ownership of this data centre's groups of engines,
// and runs an EngineOwner for each owned group.
//
// The log decides which host owns a group; the owner's lease only decides when
// another host may claim it. An owner that is partitioned from the log keeps
// its groups, as no other host can claim them without the log.
class GroupManager {
 public:
  GroupManager(NodeContext& context, LogWriter& writer);

  // Starts and stops owners to match the log. Requires: called after each
  // change of the control fold or the host list. Not thread-safe.
  void Reconcile();
  // Claims unowned groups, runs the owned ones and releases those to be given
  // up. Not thread-safe.
  void RunTick();
  // Applies an engine's answer to an order. Not thread-safe.
  void HandleInventory(const Inventory& inventory, TimePoint requested_at);
  // Records a demand of this or another host and returns its status; nullopt if
  // this host does not own the group. Not thread-safe.
  std::optional<DemandAnswer> HandleDemand(const std::string& group,
                                           const Demand& demand);
  // Records a heartbeat of a group's owner. Not thread-safe.
  void HandleHeartbeat(const std::string& group, FencingToken token,
                       uint64_t heartbeat);
  // Lends part of the store's load budget to `host`, and accepts such a loan.
  // Not thread-safe.
  void HandleStoreBorrow(const std::string& host, const Json& body);
  void HandleStoreGrant(const Json& body);

  // The owner of a group increments `count` while it runs.
  struct Heartbeat {
    std::string group;
    FencingToken token = 0;
    uint64_t count = 0;
  };
  // Returns the newest heartbeat of each group, to be gossiped. Not
  // thread-safe.
  std::vector<Heartbeat> Heartbeats() const;
  // Returns the groups of this data centre in their order of preference for
  // `target`; an adapter has the order of its base model. Not thread-safe.
  std::vector<std::string> RankGroups(const std::string& target) const;
  // Returns the host that owns `group`; empty if none. Not thread-safe.
  std::string OwnerOf(const std::string& group) const;
  // Whether a drain still has groups to release. Not thread-safe.
  bool OwnsAnyGroup() const { return !owners_.empty(); }
  Json ToJson() const;

 private:
  struct SentDigest {
    TimePoint sent_at;
    TimePoint refreshed_at;
  };
  struct ReceivedHeartbeat {
    FencingToken token = 0;
    uint64_t count = 0;
    TimePoint advanced_at;
  };

  std::string GroupName(int index) const;
  int IndexOf(const std::string& group) const;
  bool IsOwnerGone(const std::string& group, const GroupOwnership& ownership);
  bool IsMyTurn(const std::string& group, const GroupOwnership* ownership,
                TimePoint since) const;
  void TryClaim(const std::string& group);
  bool HasUnreleasedPredecessor(const GroupOwnership& ownership) const;
  void RunOwner(const std::string& group, EngineOwner& owner);
  void PublishDigests(EngineOwner& owner);
  void PublishDigest(EngineDigest digest);
  void LogNotes(EngineOwner& owner);
  void UpdateStoreShare();
  void BorrowFromStore();
  // Appends releases for groups that this host has lost or gives up, once none
  // of its orders is pending.
  void ReleaseFinished();
  int ReplicaQuota(const std::string& group, const std::string& target,
                   int max_replicas) const;
  PlacementPolicy Policy() const;

  NodeContext& context_;
  LogWriter& writer_;
  std::map<std::string, std::unique_ptr<EngineOwner>> owners_;
  // Owners of lost groups; released once no order is pending.
  std::vector<std::unique_ptr<EngineOwner>> retiring_;
  std::map<std::string, ReceivedHeartbeat> heartbeats_;
  std::map<std::string, TimePoint> unowned_since_;
  uint64_t heartbeat_count_ = 0;
  uint64_t digest_count_ = 0;
  StoreBudget store_;
  TimePoint borrow_requested_at_;
  uint64_t grant_count_ = 0;
  TimePoint decided_at_;
  std::map<std::string, SentDigest> digests_sent_;
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_GROUP_MANAGER_H_
