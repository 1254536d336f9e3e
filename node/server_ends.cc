#include "node/server_ends.h"

namespace applehall {
namespace {

// A probe without a result after this time was lost before the probing thread
// ran it: the timeout of a probe is a quarter of this.
constexpr Duration kProbeTtl = std::chrono::seconds(2);
// Maximum number of requests of one host recorded for one probe. Engines run
// some 64 at a time.
constexpr size_t kMaxCuts = 256;

}  // namespace

bool ServerEnds::RecordCut(const std::string& server, const CutRequest& cut,
                           TimePoint now) {
  Probe& probe = probes_[server];
  const bool is_due = probe.cuts.empty() || now - probe.sent_at > kProbeTtl;
  if (is_due) probe = {now, {}};
  if (probe.cuts.size() < kMaxCuts) probe.cuts.push_back(cut);
  return is_due;
}

std::vector<CutRequest> ServerEnds::FindWhole(
    const ServerProbed& probed) const {
  std::vector<CutRequest> whole;
  const auto it = probes_.find(probed.server);
  if (it == probes_.end() || probed.state != ServerState::kListening) {
    return whole;
  }
  for (const CutRequest& cut : it->second.cuts) {
    if (cut.may_be_whole) whole.push_back(cut);
  }
  return whole;
}

std::vector<CutRequest> ServerEnds::HandleProbe(const ServerProbed& probed) {
  const auto it = probes_.find(probed.server);
  if (it == probes_.end()) return {};
  std::vector<CutRequest> cuts = std::move(it->second.cuts);
  probes_.erase(it);
  if (probed.state != ServerState::kGone) return {};
  return cuts;
}

}  // namespace applehall
