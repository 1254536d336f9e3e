// The part of Soak with servers of different speeds.

#include <absl/strings/str_cat.h>

#include "soak/soak.h"

namespace applehall {
namespace {

constexpr double kMinInTime = 0.90;
// Fewer calls than this show nothing.
constexpr int kMinCalls = 100;

}  // namespace

std::pair<int, int> Soak::CountInTime() const {
  int calls = 0;
  int in_time = 0;
  for (const auto& [id, view] : sent_requests_) {
    const bool is_call = view.kind == "once" || view.kind == "again";
    if (!is_call || !is_calm_.at(id)) continue;
    ++calls;
    const bool is_answered = view.status / 100 == 2;
    in_time += is_answered && view.took <= kUnevenTarget ? 1 : 0;
  }
  return {calls, in_time};
}

std::string Soak::UnevenSummary() const {
  if (!options_.has_uneven) return "";
  const auto [calls, in_time] = CountInTime();
  return absl::StrCat(" calm_in_time=", in_time, "/", calls);
}

void Soak::CheckUneven(std::vector<std::string>& broken) const {
  if (!options_.has_uneven) return;
  const auto [calls, in_time] = CountInTime();
  if (calls < kMinCalls || in_time >= kMinInTime * calls) return;
  broken.push_back(absl::StrCat("LATE ", in_time, " of ", calls,
                                " calls sent without faults were answered "
                                "within the target"));
}

}  // namespace applehall
