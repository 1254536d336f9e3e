#include "core/policy_set.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <array>

namespace applehall {
namespace {

// Names of the policies, in the order of Policy.
constexpr std::array<std::string_view, static_cast<size_t>(Policy::kCount)>
    kNames = {"overload_replicas", "second_replica",   "last_pair",
              "seeding",           "store_width",      "reservations",
              "adapter_affinity",  "blocked_adapters", "service_turns",
              "silence",           "hand_over",        "engine_speeds",
              "prefix_affinity",   "two_choices",      "near_first",
              "engine_shares",     "circuit_breaker",  "estimates",
              "early_refusal",     "short_queues",     "return_schedule",
              "late_worth",        "store_relay",      "free_memory",
              "quota_shares",      "quota_usage"};
static_assert(!kNames.back().empty(), "each policy needs a name");

}  // namespace

absl::StatusOr<PolicySet> PolicySet::Without(std::string_view names) {
  PolicySet set;
  const absl::string_view text(names.data(), names.size());
  for (const absl::string_view item :
       absl::StrSplit(text, ',', absl::SkipWhitespace())) {
    const absl::string_view name = absl::StripAsciiWhitespace(item);
    bool is_known = false;
    for (size_t i = 0; i < kNames.size(); ++i) {
      if (name != absl::string_view(kNames[i].data(), kNames[i].size())) {
        continue;
      }
      set.off_.set(i);
      is_known = true;
    }
    if (!is_known) {
      return absl::InvalidArgumentError(
          absl::StrCat("unknown policy \"", name, "\""));
    }
  }
  return set;
}

}  // namespace applehall
