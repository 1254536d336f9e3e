#include "node/placement_lease.h"

#include <gtest/gtest.h>

namespace applehall {
namespace {

using std::chrono::milliseconds;

// Guards against a host that may not claim, because it reaches no server, and
// so never reads who claimed after its owner gave up.
TEST(PlacementLeaseTest, HostThatMayNotClaimReadsWhoDid) {
  NodeSettings settings;
  settings.self = {"a", 1};
  settings.placement = PlacementStyle::kFleet;
  NodeContext context(settings);
  std::vector<Action> actions;
  context.actions = &actions;
  context.now = TimePoint{std::chrono::hours(500000)};
  PlacementLease lease(context);
  lease.ReadOrClaim(/*can_place=*/false);
  LeaseRead read;
  read.is_answered = true;
  read.record = LeaseRecord{{"b", 1}, "b", false};
  read.token = 1;
  read.end = 2;
  read.requested_at = context.now;
  lease.HandleRead(read);
  lease.HandleResignation(1);
  actions.clear();
  for (int i = 0; i < 80; ++i) {
    context.now += milliseconds(25);
    lease.ReadOrClaim(/*can_place=*/false);
  }
  const auto reads =
      std::count_if(actions.begin(), actions.end(), [](const Action& action) {
        return std::holds_alternative<ReadLease>(action);
      });
  EXPECT_GE(reads, 1);
  EXPECT_EQ(static_cast<size_t>(reads), actions.size()) << "it claimed";
}

// Holds the lease after a record of `holder` at `address`. Returns when it may
// order, from its first read on.
Duration WaitAfterHolder(const Incarnation& holder,
                         const std::string& address) {
  NodeSettings settings;
  settings.self = {"a", 2};
  settings.peer_address = "10.0.0.1:7380";
  settings.placement = PlacementStyle::kFleet;
  settings.engines_check_fences = false;
  NodeContext context(settings);
  std::vector<Action> actions;
  context.actions = &actions;
  context.now = TimePoint{std::chrono::hours(500000)};
  context.accepts_links = true;
  const TimePoint from = context.now;
  PlacementLease lease(context);
  LeaseRead read;
  read.is_answered = true;
  read.record = LeaseRecord{holder, address, false};
  read.record->have_predecessors_ended = true;
  read.token = 1;
  read.end = 1;
  for (int i = 0; i < 400 && !lease.MayOrder(); ++i) {
    context.now += milliseconds(25);
    actions.clear();
    lease.ReadOrClaim(/*can_place=*/true);
    for (const Action& action : actions) {
      if (const auto* append = std::get_if<AppendLease>(&action)) {
        read.record = append->record;
        read.token = ++read.end;
        lease.HandleAppendEnded();
      } else if (const auto* sent = std::get_if<ReadLease>(&action)) {
        read.requested_at = sent->requested_at;
        lease.HandleRead(read);
      }
    }
  }
  return context.now - from;
}

// Guards against a host that missed the record of a holder that may still
// order, and counts what follows as the next record after the last one it read.
TEST(PlacementLeaseTest, MissedRecordMayBeOfAHolderThatOrders) {
  NodeSettings settings;
  settings.self = {"a", 1};
  settings.placement = PlacementStyle::kFleet;
  settings.engines_check_fences = false;
  NodeContext context(settings);
  std::vector<Action> actions;
  context.actions = &actions;
  context.now = TimePoint{std::chrono::hours(500000)};
  PlacementLease lease(context);
  const auto read = [&](const std::string& holder, FencingToken token) {
    context.now += milliseconds(25);
    LeaseRead one;
    one.is_answered = true;
    one.record = LeaseRecord{{holder, 1}, holder, false};
    one.record->have_predecessors_ended = token == 1;
    one.token = token;
    one.end = token;
    one.requested_at = context.now;
    lease.HandleRead(one);
  };
  read("b", 1);
  // The record of token 2 is of another host.
  read("b", 3);
  lease.HandleResignation(3);
  read("a", 4);
  ASSERT_TRUE(lease.is_held());
  EXPECT_FALSE(lease.MayOrder());
}

// Guards against a machine that takes another one of its name, which may still
// order, for its own earlier process.
TEST(PlacementLeaseTest, HostOfTheSameNameElsewhereIsWaitedFor) {
  EXPECT_LT(WaitAfterHolder({"a", 1}, "10.0.0.1:7380"), milliseconds(500));
  EXPECT_GE(WaitAfterHolder({"a", 1}, "10.0.0.9:7380"),
            std::chrono::seconds(3));
}

}  // namespace
}  // namespace applehall
