// Callers that leave at any moment: the node's part, with a paused clock and
// random orders of the close and other events.

#include "core/random.h"
#include "tests/node/cut_off_fixture.h"

namespace applehall {
namespace {

constexpr int kRuns = 12;
constexpr uint64_t kFirstSeed = 20261204;
// Time in which the work for a caller that has left must end.
constexpr Duration kMaxWorkAfterClose = milliseconds(500);

class CallerCloseOrderTest : public CutOffFixture {
 protected:
  struct Left {
    std::string host;
    RequestHandle handle = 0;
    TimePoint at;
  };

  void RunWithLeavingCallers(uint64_t seed) {
    Random random(seed);
    for (const char* name : {"a", "b", "c"}) Add(name);
    Run(seconds(3));
    for (auto& [name, host] : hosts_) host.done.clear();
    for (int step = 0; step < 600; ++step) {
      if (step % 100 == 40) CutOff("a", RandomForm(random));
      if (step % 100 == 90) Heal("a");
      if (random.Unit() < 0.02) silent_until_ = now_ + milliseconds(700);
      for (auto& [name, host] : hosts_) {
        if (random.Unit() < 0.5) SendCall(name);
        Check(name);
      }
      // The close comes before or after the other events of the same turn.
      const bool is_first = random.Unit() < 0.5;
      if (is_first) CloseSome(random);
      Run(milliseconds(25));
      for (auto& [name, host] : hosts_) Check(name);
      if (!is_first) CloseSome(random);
      RunDue();
      for (auto& [name, host] : hosts_) ServeAndForwardCancels(name);
      CheckWork();
    }
  }

  static CutForm RandomForm(Random& random) {
    static constexpr CutForm kForms[] = {CutForm::kHang, CutForm::kReset,
                                         CutForm::kKeptLive};
    return kForms[random.Below(std::size(kForms))];
  }

  void CloseSome(Random& random) {
    for (auto& [handle, call] : calls_) {
      if (left_.contains(handle) || call.is_served || call.refused_after) {
        continue;
      }
      if (random.Unit() > 0.06) continue;
      Close(call.host, handle);
      left_ids_[ids_.at({call.host, handle})] = now_;
    }
  }

  void Close(const std::string& host, RequestHandle handle) {
    Check(host);
    left_[handle] = {host, handle, now_};
    Handle(host, CallerDisconnected{handle});
    Check(host);
  }

  // Nothing is sent on for a caller whose close the host knows.
  void Check(const std::string& name) {
    const std::vector<Action>& done = hosts_.at(name).done;
    size_t& checked = checked_[name];
    checked = std::min(checked, done.size());
    for (; checked < done.size(); ++checked) {
      const auto* sent = std::get_if<DispatchRequest>(&done[checked]);
      if (sent == nullptr) continue;
      const auto left = left_.find(sent->handle);
      if (left == left_.end()) continue;
      // Sent in the same turn before the close.
      ADD_FAILURE() << "sent after the close: " << sent->handle << " at "
                    << name << " to " << sent->backend;
    }
  }

  void ServeAndForwardCancels(const std::string& name) {
    Check(name);
    std::vector<CancelAttempt> cancels = ActionsOf<CancelAttempt>(name);
    checked_[name] = 0;
    ServeHost(name);
    for (const CancelAttempt& cancel : cancels) {
      // The helper sees the connection of a forwarded request close.
      for (const auto& [helper, origin] : origins_) {
        const auto& [from, sent] = origin;
        if (from == name && sent.handle == cancel.handle &&
            sent.attempt == cancel.attempt && !left_.contains(helper.second)) {
          // A helper that has not read the request reads its close as well.
          const size_t unread = std::erase_if(due_, [&](const Due& one) {
            const auto* arrived = std::get_if<RequestArrived>(&one.event);
            return arrived != nullptr && arrived->handle == helper.second;
          });
          if (unread == 0) Close(helper.first, helper.second);
          break;
        }
      }
    }
  }

  // The work of servers for callers that left ends, but for calls that a
  // service has received and that may not be sent again.
  void CheckWork() {
    for (const Due& one : due_) {
      if (!one.is_from_server) continue;
      const auto* ended = std::get_if<AttemptEnded>(&one.event);
      const std::string& id = ids_.at({one.host, ended->handle});
      const auto left = left_ids_.find(id);
      if (left == left_ids_.end() || facts_.at(id).path == "/once/") continue;
      EXPECT_LE(now_ - left->second, kMaxWorkAfterClose)
          << id << " " << facts_.at(id).path << " at " << one.host;
    }
  }

  std::map<RequestHandle, Left> left_;
  std::map<std::string, TimePoint> left_ids_;  // By request id.
  std::map<std::string, size_t> checked_;      // Actions, by host.
};

// Guards against work that is begun or goes on after its caller has left, in
// whatever state the close finds the request.
TEST_F(CallerCloseOrderTest, NothingIsSentAndWorkEnds) {
  for (int run = 0; run < kRuns; ++run) {
    const uint64_t seed = kFirstSeed + run;
    SCOPED_TRACE(absl::StrCat("seed ", seed));
    hosts_.clear();
    due_.clear();
    pending_.clear();
    calls_.clear();
    left_.clear();
    left_ids_.clear();
    checked_.clear();
    kept_.clear();
    cuts_.clear();
    origins_.clear();
    RunWithLeavingCallers(seed);
    if (HasFailure()) return;
  }
  EXPECT_GT(forwards_, 0);
  EXPECT_GT(cancels_, 0);
}

}  // namespace
}  // namespace applehall
