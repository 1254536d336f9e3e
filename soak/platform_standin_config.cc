// The part of PlatformStandin with what the operator configures.

#include <absl/strings/str_cat.h>

#include "soak/platform_standin.h"

namespace applehall {

namespace {

constexpr char kRawService[] = "raw";
// Longest gap between two events of a stream on the routes of uneven servers.
constexpr int kUnevenGapMillis = 300;

Json Route(const std::string& name, const std::string& kind,
           const std::string& service) {
  Json route{{"name", name},
             {"host", "soak.example"},
             {"path_prefix", "/" + name + "/"},
             {"kind", kind},
             {"timeout_ms", 4000},
             {"target_latency_ms", 500},
             {"priority", 1},
             {"service", service},
             {"max_attempts", kind == "non_idempotent" ? 1 : 2}};
  if (kind == "streaming") route["resumable"] = name == "stream";
  return route;
}

}  // namespace

void PlatformStandin::PutConfig(const std::vector<std::string>& extra) {
  PutConfigText(NextConfigText(extra));
}

std::string PlatformStandin::NextConfigText(
    const std::vector<std::string>& extra) {
  Json config{{"version", ++config_version_}, {"routes", Json::array()}};
  config["routes"].push_back(Route("once", "non_idempotent", "app"));
  config["routes"].push_back(Route("again", "idempotent", "app"));
  config["routes"].push_back(Route("stream", "streaming", "llm"));
  config["routes"].push_back(Route("rare", "streaming", "llm"));
  for (const std::string& name : extra) {
    config["routes"].push_back(Route(name, "idempotent", "app"));
  }
  for (Json& route : config["routes"]) {
    if (!is_uneven_) break;
    route["target_latency_ms"] = ToMillis(kUnevenTarget);
    if (route["kind"] == "streaming") route["target_gap_ms"] = kUnevenGapMillis;
  }
  Json models = Json::array();
  for (int i = 0; i < models_; ++i) {
    models.push_back({{"name", absl::StrCat("m", i)},
                      {"weights_mb", kModelMegabytes},
                      {"load_s", 0.6},
                      {"warmup_s", 0.1},
                      {"disk_s", 0.2},
                      {"adapters", 0}});
  }
  const Json engine{{"weights_mb", kEngineMegabytes},
                    {"adapter_slots", 8},
                    {"loads_per_s", 4.0},
                    {"models", models}};
  config["services"] = Json::array(
      {Json{{"name", "app"}}, Json{{"name", "llm"}, {"engine", engine}}});
  if (raw_servers_ > 0) {
    config["routes"].push_back(Route("raw", "idempotent", kRawService));
    config["routes"].push_back(
        Route("raw-once", "non_idempotent", kRawService));
    config["services"].push_back(Json{{"name", kRawService}});
  }
  return DumpJson(config);
}

void PlatformStandin::PutConfigText(const std::string& text) {
  log_.Append(kConfigTopic, "config", text);
}

void PlatformStandin::ListRawServer(const Address& address) {
  const Json entry{{"service", kRawService},
                   {"address", address.ToString()},
                   {"zone", "hall"},
                   {"version", "v1"},
                   {"capacity", capacity_},
                   {"state", "ready"},
                   {"seq", 1}};
  PutServerRecord(absl::StrCat(NextId(), "-raw-", ++raw_servers_),
                  DumpJson(entry));
}

}  // namespace applehall
