#include "node/topic_reader.h"

#include <algorithm>
#include <utility>

namespace applehall {
namespace {

// Bounds the backoff while the store fails, in heartbeat intervals, which are a
// part of the time in which a change must be in force: hundreds of hosts must
// not retry several times per second each, but all must notice soon that the
// store has recovered.
constexpr int kMaxRetryHeartbeats = 2;
// Between reads of all records while some cannot be read. Thousands of hosts
// may do so, each with megabytes, and follow the updates meanwhile.
constexpr Duration kMinWholeReadPause = std::chrono::seconds(1);
constexpr Duration kMaxWholeReadPause = std::chrono::seconds(300);

}  // namespace

std::optional<TopicReader::Read> TopicReader::NextRead(TimePoint now) {
  if (next_ && next_whole_read_ && now >= *next_whole_read_) {
    resume_at_ = std::exchange(next_, std::nullopt);
    next_whole_read_ = now + whole_read_pause_;
  }
  if (!next_) return Read{.is_whole = true};
  if (!is_polling_) return std::nullopt;
  // After a disconnection with many changes, a host would otherwise read all of
  // them, megabytes on a slow link, before it gets the newest.
  if (has_single_key_ && now - as_of_ > budget_.bound) {
    next_.reset();
    return Read{.is_whole = true};
  }
  // Does not wait once freshness is overdue: a long poll at a hung store looks
  // like one at a healthy store without updates, and would hide for its whole
  // wait that the store has recovered.
  return Read{.from = *next_, .wait = TimeUntilRenewal(now)};
}

void TopicReader::HandleNewest(LogOffset end, TimePoint as_of) {
  retry_pause_ = Duration{0};
  as_of_ = as_of;
  next_ = end;
  resume_at_.reset();
  next_whole_read_.reset();
  whole_read_pause_ = Duration{0};
}

void TopicReader::HandlePartOfNewest(LogOffset end, TimePoint as_of) {
  const Duration pause =
      std::clamp(2 * whole_read_pause_, kMinWholeReadPause, kMaxWholeReadPause);
  HandleNewest(end, as_of);
  whole_read_pause_ = pause;
  next_whole_read_ = as_of + pause;
}

bool TopicReader::HandleUpdates(LogOffset next, TimePoint as_of) {
  retry_pause_ = Duration{0};
  as_of_ = std::max(as_of_, as_of);
  if (next_ && next <= *next_) return false;
  next_ = next;
  return true;
}

Duration TopicReader::HandleFailure() {
  if (resume_at_) next_ = std::exchange(resume_at_, std::nullopt);
  retry_pause_ = std::clamp(2 * retry_pause_, budget_.retry_pause,
                            kMaxRetryHeartbeats * budget_.heartbeat_interval);
  return retry_pause_;
}

Duration TopicReader::PauseAfterUpdates(TimePoint now) const {
  return std::min(update_pause_, TimeUntilRenewal(now));
}

bool TopicReader::TryApplyRelayed(LogOffset from, LogOffset next) {
  if (!next_ || from > *next_ || *next_ >= next) return false;
  next_ = next;
  return true;
}

void TopicReader::SetPolling(bool is_polling, TimePoint as_of) {
  is_polling_ = is_polling;
  as_of_ = std::max(as_of_, as_of);
}

Duration TopicReader::TimeUntilRenewal(TimePoint now) const {
  return std::clamp(budget_.renewal_interval - (now - as_of_), Duration{0},
                    budget_.renewal_interval);
}

}  // namespace applehall
