#include "main/daemon_settings.h"

#include <absl/strings/str_cat.h>

#include <chrono>

#include "core/hash.h"
#include "core/listen_addresses.h"

namespace applehall {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr size_t kMinKeyLength = 16;

absl::Status ReadPlatform(const std::string& path, const Json& json,
                          DaemonSettings& settings) {
  SettingsReader reader(path, json, "platform.");
  settings.platform.log = reader.AddressAt("log");
  settings.platform.hosts = reader.AddressAt("hosts");
  settings.platform.store = reader.AddressAt("store");
  settings.node.store_loads_per_second =
      static_cast<double>(
          reader.IntegerOr("store_loads_per_minute", 120, 1, 1000000)) /
      60.0;
  settings.node.store_slots =
      static_cast<double>(reader.IntegerOr("store_slots", 4, 1, 100000));
  settings.node.host_list_lag = reader.MillisOr("host_list_lag_ms", seconds(5),
                                                milliseconds(0), minutes(10));
  return reader.Finish();
}

absl::Status ReadLimits(const std::string& path, const Json& json,
                        DaemonSettings& settings) {
  SettingsReader reader(path, json, "limits.");
  HttpServerLimits& limits = settings.caller_limits;
  limits.header_bytes = static_cast<size_t>(
      reader.IntegerOr("header_bytes", 16384, 512, 1048576));
  limits.body_bytes = static_cast<size_t>(
      reader.IntegerOr("body_bytes", 4194304, 1024, 1073741824));
  limits.connections =
      static_cast<size_t>(reader.IntegerOr("connections", 4096, 1, 1000000));
  limits.header_timeout = reader.MillisOr("header_timeout_ms", seconds(10),
                                          milliseconds(10), minutes(10));
  limits.write_timeout = reader.MillisOr("write_timeout_ms", seconds(30),
                                         milliseconds(10), minutes(10));
  NodeSettings& node = settings.node;
  node.max_open_requests =
      static_cast<size_t>(reader.IntegerOr("requests", 20000, 1, 1000000));
  node.max_in_flight_per_caller = static_cast<size_t>(
      reader.IntegerOr("requests_per_caller", 2000, 1, 1000000));
  node.decisions_kept =
      static_cast<size_t>(reader.IntegerOr("decisions_kept", 2000, 1, 1000000));
  return reader.Finish();
}

absl::Status ReadTimings(const std::string& path, const Json& json,
                         DaemonSettings& settings) {
  SettingsReader reader(path, json, "timings.");
  NodeSettings& node = settings.node;
  node.owner.inspect_interval = reader.MillisOr(
      "inspect_interval_ms", milliseconds(500), milliseconds(10), minutes(1));
  node.owner.order_horizon = reader.MillisOr("order_horizon_ms", seconds(10),
                                             milliseconds(100), minutes(10));
  node.owner.default_keep = reader.MillisOr("default_keep_ms", minutes(5),
                                            milliseconds(100), hours(24));
  node.owner_lease = reader.MillisOr("owner_lease_ms", seconds(4),
                                     milliseconds(200), minutes(10));
  node.gossip_interval = reader.MillisOr(
      "gossip_interval_ms", milliseconds(500), milliseconds(10), minutes(1));
  node.claims.linger = reader.MillisOr("claim_linger_ms", milliseconds(5),
                                       milliseconds(0), seconds(10));
  node.claims.window.retention =
      reader.MillisOr("key_window_ms", minutes(30), seconds(1), hours(24));
  node.claims.window.clock_skew = reader.MillisOr("clock_skew_ms", seconds(5),
                                                  milliseconds(0), minutes(10));
  node.max_snapshot_age =
      reader.MillisOr("carry_after_ms", minutes(10), seconds(1), hours(240));
  node.max_drain = reader.MillisOr("drain_bound_ms", seconds(60),
                                   milliseconds(100), hours(2));
  node.log_down_after = reader.MillisOr("log_down_after_ms", seconds(2),
                                        milliseconds(100), minutes(10));
  return reader.Finish();
}

LogLevel ReadLogLevel(SettingsReader& reader) {
  const std::string name = reader.TextOr("log_level", "info");
  if (name == "debug") return LogLevel::kDebug;
  if (name == "info") return LogLevel::kInfo;
  if (name == "warning") return LogLevel::kWarning;
  if (name == "error") return LogLevel::kError;
  reader.Fail("log_level", "debug, info, warning or error");
  return LogLevel::kInfo;
}

const Json& ObjectOrEmpty(const Json& json) {
  static const Json kEmpty = Json::object();
  return json.is_null() ? kEmpty : json;
}

}  // namespace

absl::StatusOr<DaemonSettings> ParseDaemonSettings(const std::string& path,
                                                   const std::string& text) {
  const absl::StatusOr<Json> json = ParseJson(text);
  if (!json.ok()) {
    return absl::InvalidArgumentError(
        absl::StrCat(path, ": ", json.status().message()));
  }
  DaemonSettings settings;
  SettingsReader reader(path, *json);
  settings.node.self.host = reader.Text("host");
  settings.node.data_centre = reader.Text("data_centre");
  settings.callers = reader.AddressAt("callers");
  settings.operators = reader.AddressAt("operators");
  settings.peers = reader.AddressAt("peers");
  RequireDistinctAddresses({{"callers", settings.callers},
                            {"operators", settings.operators},
                            {"peers", settings.peers}},
                           reader);
  settings.shared_key = reader.Text("shared_key");
  if (settings.shared_key.size() < kMinKeyLength) {
    reader.Fail("shared_key",
                absl::StrCat("at least ", kMinKeyLength, " characters"));
  }
  const int64_t started = ToUnixMillis(SystemClock().Now());
  settings.node.self.number = static_cast<uint64_t>(
      reader.IntegerOr("incarnation", started, 1, INT64_MAX));
  settings.node.group_count =
      static_cast<int>(reader.IntegerOr("engine_groups", 1, 1, 10000));
  settings.log_level = ReadLogLevel(reader);
  settings.addresses_file = reader.TextOr("addresses_file", "");
  // Hosts that start in the same millisecond need different random sequences.
  settings.node.seed =
      StableHash(settings.node.self.host, settings.node.self.number);
  const Json& platform = reader.Raw("platform");
  const Json& limits = reader.Raw("limits");
  const Json& timings = reader.Raw("timings");
  absl::Status status = reader.Finish();
  if (status.ok())
    status = ReadPlatform(path, ObjectOrEmpty(platform), settings);
  if (status.ok()) status = ReadLimits(path, ObjectOrEmpty(limits), settings);
  if (status.ok()) status = ReadTimings(path, ObjectOrEmpty(timings), settings);
  if (!status.ok()) return status;
  return settings;
}

absl::StatusOr<DaemonSettings> LoadDaemonSettings(const std::string& path) {
  const absl::StatusOr<std::string> text = ReadFile(path);
  if (!text.ok()) return text.status();
  return ParseDaemonSettings(path, *text);
}

}  // namespace applehall
