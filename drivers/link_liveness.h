#ifndef APPLEHALL_DRIVERS_LINK_LIVENESS_H_
#define APPLEHALL_DRIVERS_LINK_LIVENESS_H_

// Includes standard headers only, as websocket_link.h.
#include <chrono>

namespace applehall {

// Judges whether a link still carries messages.
//
// A link can go silent without an error, and the peer's kernel or a middlebox
// may go on acknowledging its bytes. Only what the peer itself sends shows that
// a link works. A link on which messages are sent and none arrive is pinged; if
// the ping is not answered either, the link is silent. The peer of a link that
// is silent in one direction receives nothing on it and closes it by the same
// rule.
//
// Not thread-safe.
class LinkLiveness {
 public:
  using Clock = std::chrono::steady_clock;

  enum class Verdict {
    kAlive,
    kPing,    // Send a ping; returned once for each silence.
    kSilent,  // Close the link.
  };

  // A link in regular use receives a heartbeat more often than this.
  static constexpr Clock::duration kPingAfter = std::chrono::milliseconds(600);
  // Shorter than the silence after which hosts replace the owner of placement.
  static constexpr Clock::duration kMaxSilence =
      std::chrono::milliseconds(1000);
  static constexpr Clock::duration kMinPingWait =
      std::chrono::milliseconds(300);
  // Interval of pings on links on which nothing is sent.
  static constexpr Clock::duration kIdlePingAfter = std::chrono::seconds(30);
  // Interval of calls of Check().
  static constexpr Clock::duration kCheckInterval =
      std::chrono::milliseconds(200);
  // After a longer time without a check this process was paused, and what
  // arrived meanwhile has not been read yet.
  static constexpr Clock::duration kMaxCheckGap =
      std::chrono::milliseconds(500);

  explicit LinkLiveness(Clock::time_point now)
      : received_at_(now), checked_at_(now) {}

  // Records that a message was queued for the peer.
  void RecordSent() { has_sent_ = true; }
  // Records that something of the peer arrived or that bytes of a large
  // message are on their way, in either direction.
  void RecordReceived(Clock::time_point now);
  // Returns what to do. Requires: called every kCheckInterval.
  Verdict Check(Clock::time_point now);

  // Time since something of the peer arrived.
  Clock::duration Silence(Clock::time_point now) const {
    return now - received_at_;
  }

 private:
  Clock::time_point received_at_;
  Clock::time_point checked_at_;
  Clock::time_point pinged_at_;
  bool has_sent_ = false;  // Since something arrived.
  bool is_pinged_ = false;
};

}  // namespace applehall

#endif  // APPLEHALL_DRIVERS_LINK_LIVENESS_H_
