#ifndef APPLEHALL_ROUTING_SERVER_REACH_H_
#define APPLEHALL_ROUTING_SERVER_REACH_H_

#include <map>
#include <string>

#include "core/clock.h"
#include "core/json.h"

namespace applehall {

// Whether this host can open connections to the backend servers of each
// service.
//
// Servers that cannot be reached may have ended, also several at once. If
// servers drawn at random cannot be reached either, with no new connection to
// any between them, the fault is that of the whole service or of this host's
// own links. Answers on older connections prove nothing: they may live on while
// new ones fail.
class ServerReach {
 public:
  // Servers drawn at random that must fail in a row before a service is
  // unreachable; all of a service with fewer.
  static constexpr int kChecksToLose = 4;

  enum class Change : uint8_t { kNone, kLost, kRegained };

  // Records that a new connection to `server` was made. Not thread-safe.
  Change RecordConnected(const std::string& service, const std::string& server,
                         TimePoint now);
  // Records that a new connection to `server` failed or timed out; `is_check`
  // if the server was drawn at random. `listed` is the number of servers of the
  // service that are listed and not leaving. Not thread-safe.
  Change RecordFailed(const std::string& service, const std::string& server,
                      bool is_check, int listed, TimePoint now);

  bool IsUnreachable(const std::string& service) const;
  // Whether connections to some service have failed since the last one made.
  bool IsAnyFailing() const;
  // Returns since when connections to the service have failed; the epoch if
  // they have not. Not thread-safe.
  TimePoint FailingSince(const std::string& service) const;
  // Returns when the last new connection to the service was made; the epoch if
  // none was. Not thread-safe.
  TimePoint ConnectedAt(const std::string& service) const;
  // Whether a connection to a server of `service` other than `server` was made
  // at `since` or later. Not thread-safe.
  bool ConnectedElsewhere(const std::string& service, const std::string& server,
                          TimePoint since) const;
  // By service, with the time since when it has been unreachable.
  const std::map<std::string, TimePoint>& unreachable() const {
    return unreachable_;
  }
  // Removes services that are not in `services`. Not thread-safe.
  template <typename Set>
  void RetainServices(const Set& services) {
    const auto is_unknown = [&](const auto& item) {
      return !services.contains(item.first);
    };
    std::erase_if(services_, is_unknown);
    std::erase_if(unreachable_, is_unknown);
  }
  Json ToJson(TimePoint now) const;

 private:
  struct ServiceState {
    // Time of the last failure since the last connection, by server.
    std::map<std::string, TimePoint> failed;
    std::map<std::string, TimePoint> failed_checks;  // A part of `failed`.
    TimePoint failing_since;
    // The two servers to which connections were made last.
    std::string connected_server;
    TimePoint connected_at;
    std::string previous_server;
    TimePoint previous_at;
  };

  std::map<std::string, ServiceState> services_;
  std::map<std::string, TimePoint> unreachable_;
};

}  // namespace applehall

#endif  // APPLEHALL_ROUTING_SERVER_REACH_H_
