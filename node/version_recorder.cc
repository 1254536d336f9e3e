#include "node/version_recorder.h"

#include <algorithm>

#include "core/event_log.h"

namespace applehall {
namespace {

using std::chrono::seconds;

// The changes since the record must still be in the log when the hosts are
// back.
constexpr Duration kAppendInterval = seconds(5);
constexpr Duration kReadInterval = seconds(1);

}  // namespace

void VersionRecorder::RecordListing(const ServerListRead& listing,
                                    bool begins_anew) {
  listing_next_ = listing.next;
  if (listing.is_whole || listing.is_partial) {
    is_listing_partial_ = listing.is_partial;
  }
  if (!begins_anew) return;
  history_from_ = listing.next;
  is_restoring_ = true;
}

bool VersionRecorder::HasResumableRules() const {
  const auto rules = context_.control.rules().current();
  return rules &&
         std::any_of(rules->set.rules.begin(), rules->set.rules.end(),
                     [](const Rule& rule) { return rule.then.resumable; });
}

void VersionRecorder::RunOwner() {
  if (is_listing_partial_ || !HasResumableRules()) return;
  // A shorter history would replace a record that tells more.
  if (versions_.KnownFor(context_.now) < kMaxStreamAge) {
    ReadIfDue();
  } else {
    AppendIfDue();
  }
}

void VersionRecorder::ReadIfDue() {
  const bool is_due =
      read_at_ == TimePoint{} || context_.now - read_at_ >= kReadInterval;
  if (!is_restoring_ || !is_due) return;
  read_at_ = context_.now;
  context_.Emit(ReadVersionRecord{});
}

void VersionRecorder::AppendIfDue() {
  const bool is_due = appended_at_ == TimePoint{} ||
                      context_.now - appended_at_ >= kAppendInterval;
  if (!is_due) return;
  appended_at_ = context_.now;
  context_.Emit(AppendVersionRecord{
      {listing_next_, versions_.RecentVersions(context_.now)}});
}

void VersionRecorder::HandleRead(const VersionRecordRead& event) {
  if (!event.is_answered || !is_restoring_ || is_listing_partial_) return;
  if (event.versions && event.until < history_from_) return;  // Too early.
  is_restoring_ = false;
  if (event.versions) versions_.Restore(*event.versions, context_.now);
  LogEvent(LogLevel::kInfo, "versions_restored")
      .With("found", event.versions ? "yes" : "no")
      .With("versions", event.versions ? event.versions->size() : 0)
      .With("listing", event.until)
      .With("known_for_ms", ToMillis(versions_.KnownFor(context_.now)));
}

}  // namespace applehall
