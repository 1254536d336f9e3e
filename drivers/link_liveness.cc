#include "drivers/link_liveness.h"

#include <utility>

namespace applehall {

void LinkLiveness::RecordReceived(Clock::time_point now) {
  received_at_ = now;
  has_sent_ = false;
  is_pinged_ = false;
}

LinkLiveness::Verdict LinkLiveness::Check(Clock::time_point now) {
  const Clock::duration gap = now - std::exchange(checked_at_, now);
  if (gap > kMaxCheckGap) RecordReceived(now);
  if (is_pinged_) {
    const bool is_silent =
        Silence(now) >= kMaxSilence && now - pinged_at_ >= kMinPingWait;
    return is_silent ? Verdict::kSilent : Verdict::kAlive;
  }
  if (Silence(now) < (has_sent_ ? kPingAfter : kIdlePingAfter)) {
    return Verdict::kAlive;
  }
  is_pinged_ = true;
  pinged_at_ = now;
  return Verdict::kPing;
}

}  // namespace applehall
