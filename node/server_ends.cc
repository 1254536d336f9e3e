#include "node/server_ends.h"

namespace applehall {
namespace {

// A probe that has no answer after this long was lost on its way to the thread
// that runs it: its own timeout is a quarter of it.
constexpr Duration kProbeLife = std::chrono::seconds(2);
// Requests of one host under way at one server; engines run some 64.
constexpr size_t kMostCuts = 256;

}  // namespace

bool ServerEnds::NoteCut(const std::string& server, const CutRequest& cut,
                         TimePoint now) {
  Probe& probe = open_[server];
  const bool is_due = probe.cuts.empty() || now - probe.asked_at > kProbeLife;
  if (is_due) probe = {now, {}};
  if (probe.cuts.size() < kMostCuts) probe.cuts.push_back(cut);
  return is_due;
}

std::vector<CutRequest> ServerEnds::TakeProbe(const ServerProbed& probed) {
  const auto it = open_.find(probed.server);
  if (it == open_.end()) return {};
  std::vector<CutRequest> cuts = std::move(it->second.cuts);
  open_.erase(it);
  if (probed.state != ServerState::kGone) return {};
  return cuts;
}

}  // namespace applehall
