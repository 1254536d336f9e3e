#include "admission/permit_gate.h"

#include <algorithm>

#include "admission/permit_ledger.h"

namespace applehall {
namespace {

// Time over which a host's unused credit accrues. All hosts together may send
// that much at once.
constexpr Duration kMaxCreditTime = std::chrono::seconds(1);
constexpr size_t kMaxSpares = 64;

}  // namespace

void PermitGate::AddSpare(const std::string& server, TimePoint use_until) {
  std::deque<TimePoint>& spares = servers_[server].spares;
  if (spares.size() < kMaxSpares) spares.push_back(use_until);
}

bool PermitGate::TakeSpare(const std::string& server, TimePoint now) {
  const auto it = servers_.find(server);
  if (it == servers_.end()) return false;
  std::deque<TimePoint>& spares = it->second.spares;
  std::erase_if(spares, [now](TimePoint until) { return until <= now; });
  if (spares.empty()) return false;
  spares.pop_front();
  return true;
}

bool PermitGate::TrySendIsolated(const std::string& server, double per_second,
                                 int hosts, double draw, TimePoint now) {
  Server& state = servers_[server];
  const double rate =
      kIsolatedShare * SendRate(per_second) / std::max(1, hosts);
  const bool is_first = state.credited_at == TimePoint{};
  const Duration elapsed =
      is_first ? Duration{0}
               : std::min<Duration>(now - state.credited_at, kMaxCreditTime);
  state.credit = std::min(state.credit + rate * ToSeconds(elapsed),
                          std::max(1.0, rate * ToSeconds(kMaxCreditTime)));
  state.credited_at = now;
  if (state.credit >= 1) {
    state.credit -= 1;
    return true;
  }
  const double chance = state.credit;
  state.credit = 0;
  return draw < chance;
}

void PermitGate::Remove(const std::string& server) { servers_.erase(server); }

}  // namespace applehall
