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

// Claims, holds and releases the ownership of this data centre's groups of
// engines, and drives an EngineOwner for each one held.
//
// The log decides who owns a group; a lease only decides when another host
// may try. An owner that is cut off from the log goes on: nobody can take its
// engines over without the log.
class GroupManager {
 public:
  GroupManager(NodeContext& context, LogWriter& writer);

  // Compares what is held with what the log says. Call after the control
  // fold or the host list changed. Not thread-safe.
  void Reconcile();
  // Claims what nobody holds, releases what must go, decides for what is
  // held. Not thread-safe.
  void RunTick();
  // An engine answered. Not thread-safe.
  void TakeInventory(const Inventory& inventory, TimePoint asked_at);
  // A demand of this or another host. The answer says how it stands; nothing
  // if this host does not own the group. Not thread-safe.
  std::optional<DemandAnswer> TakeDemand(const std::string& group,
                                         const Demand& demand);
  // A peer's sign of life for a group it owns. Not thread-safe.
  void TakeBeat(const std::string& group, FencingToken token, uint64_t beat);
  void HandleStoreBorrow(const std::string& host, const Json& body);
  void HandleStoreGrant(const Json& body);

  // Signs of life to spread: group, token, count. Not thread-safe.
  struct Beat {
    std::string group;
    FencingToken token = 0;
    uint64_t count = 0;
  };
  std::vector<Beat> Beats() const;
  // Groups of this data centre in the order in which they serve `target`.
  // Adapters stand with their base model. Not thread-safe.
  std::vector<std::string> RankGroups(const std::string& target) const;
  // The host that owns `group` now; empty if none. Not thread-safe.
  std::string OwnerOf(const std::string& group) const;
  // Whether something is still held that a drain must release.
  bool OwnsAnyGroup() const { return !owners_.empty(); }
  Json ToJson() const;

 private:
  struct SentDigest {
    TimePoint sent_at;
    TimePoint refreshed_at;
  };
  struct HeardBeat {
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
  void DriveOwner(const std::string& group, EngineOwner& owner);
  void PublishDigests(EngineOwner& owner);
  void PublishDigest(EngineDigest digest);
  void LogNotes(EngineOwner& owner);
  void UpdateStoreShare();
  void BorrowFromStore();
  // Gives back tokens of groups that this host has lost or leaves.
  void ReleaseFinished();
  int Quota(const std::string& group, const std::string& target,
            int most) const;
  PlacementPolicy Policy() const;

  NodeContext& context_;
  LogWriter& writer_;
  std::map<std::string, std::unique_ptr<EngineOwner>> owners_;
  // Owned before; released once no order is under way.
  std::vector<std::unique_ptr<EngineOwner>> retiring_;
  std::map<std::string, HeardBeat> beats_;
  std::map<std::string, TimePoint> unowned_since_;
  uint64_t beat_count_ = 0;
  uint64_t digest_count_ = 0;
  StoreBudget store_;
  TimePoint asked_store_at_;
  uint64_t grant_count_ = 0;
  TimePoint decided_at_;
  std::map<std::string, SentDigest> digests_sent_;
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_GROUP_MANAGER_H_
