#ifndef APPLEHALL_NODE_VERSION_RECORDER_H_
#define APPLEHALL_NODE_VERSION_RECORDER_H_

#include "membership/version_history.h"
#include "node/messages.h"
#include "node/node_context.h"

namespace applehall {

// Keeps the software versions of the last minute in the platform's store, so
// that they outlive all hosts (docs/design/streams-and-versions.md).
//
// The placement owner writes a record of all versions that were listed up to an
// offset of the listing's log. An owner that has just started reads it, and the
// changes of the listing since that offset: together with its own listing it
// has then seen every version, whatever was listed while no host ran.
//
// Not thread-safe.
class VersionRecorder {
 public:
  VersionRecorder(NodeContext& context, VersionHistory& versions)
      : context_(context), versions_(versions) {}

  // Records that a listing was applied to the history. `begins_anew`: the
  // history begins with it.
  void RecordListing(const ServerListRead& listing, bool begins_anew);
  // Writes the record, or reads it if the history is too short. Requires: this
  // host is the placement owner.
  void RunOwner();
  // Extends the history by what was read.
  void HandleRead(const VersionRecordRead& event);

 private:
  bool HasResumableRules() const;
  void ReadIfDue();
  void AppendIfDue();

  NodeContext& context_;
  VersionHistory& versions_;
  LogOffset listing_next_ = 0;  // The first offset that is not applied.
  // The history covers all changes from this offset on.
  LogOffset history_from_ = 0;
  bool is_listing_partial_ = true;
  bool is_restoring_ = true;
  TimePoint read_at_;
  TimePoint appended_at_;
};

}  // namespace applehall

#endif  // APPLEHALL_NODE_VERSION_RECORDER_H_
