#include "trial/trial_deployment.h"

#include <absl/strings/str_cat.h>

#include <chrono>
#include <fstream>
#include <iostream>
#include <thread>

#include "drivers/http_client.h"

namespace applehall {
namespace {

constexpr int kMaxPolls = 100;
constexpr std::chrono::milliseconds kPollInterval{100};
constexpr Duration kCallTimeout = std::chrono::seconds(10);

absl::StatusOr<Json> ReadJsonFile(const std::string& path) {
  const absl::StatusOr<std::string> text = ReadFile(path);
  if (!text.ok()) return text.status();
  return ParseJson(*text);
}

absl::StatusOr<Json> AwaitJsonFile(const std::string& path) {
  for (int i = 0; i < kMaxPolls; ++i) {
    absl::StatusOr<Json> json = ReadJsonFile(path);
    if (json.ok()) return json;
    std::this_thread::sleep_for(kPollInterval);
  }
  return absl::DeadlineExceededError(absl::StrCat(path, " was not written"));
}

HttpCall MakeCall(const Address& address, const std::string& method,
                  const std::string& target, const std::string& body) {
  HttpCall call;
  call.address = address;
  call.request.method = method;
  call.request.target = target;
  call.request.body = body;
  call.header_timeout = kCallTimeout;
  return call;
}

}  // namespace

absl::StatusOr<Json> CallJson(const Address& address, const std::string& method,
                              const std::string& target,
                              const std::string& body) {
  const HttpResult result =
      FetchBlocking(MakeCall(address, method, target, body));
  if (!result.is_ok()) {
    return absl::UnavailableError(
        absl::StrCat(address.ToString(), target, ": status ",
                     result.response.status, " ", result.error));
  }
  return ParseJson(result.response.body);
}

absl::Status TrialDeployment::Load() {
  absl::StatusOr<Json> deployment =
      ReadJsonFile(absl::StrCat(folder_, "/deployment.json"));
  if (!deployment.ok()) return deployment.status();
  deployment_ = *std::move(deployment);
  const absl::StatusOr<Json> addresses =
      AwaitJsonFile(absl::StrCat(folder_, "/addresses.json"));
  if (!addresses.ok()) return addresses.status();
  const absl::StatusOr<Address> platform =
      ParseAddress(FieldOr<std::string>(*addresses, "platform", ""));
  if (!platform.ok()) return platform.status();
  platform_ = *platform;
  return absl::OkStatus();
}

absl::Status TrialDeployment::Prepare() const {
  const std::string ip = FieldOr<std::string>(deployment_, "ip", "127.0.0.1");
  const std::string any = ip + ":0";
  for (const Json& host : deployment_["hosts"]) {
    const std::string name = FieldOr<std::string>(host, "host", "");
    Json settings{
        {"host", name},
        {"data_centre", host["data_centre"]},
        {"callers", any},
        {"operators", any},
        {"peers", any},
        {"shared_key", deployment_["shared_key"]},
        {"addresses_file", absl::StrCat(folder_, "/", name, ".addresses")},
        {"platform",
         {{"log", platform_.ToString()},
          {"hosts", platform_.ToString()},
          {"store", platform_.ToString()},
          {"store_loads_per_minute", deployment_["store_loads_per_minute"]},
          {"store_slots", deployment_["store_slots"]},
          {"host_list_lag_ms", 1000}}}};
    if (deployment_.contains("timings")) {
      settings["timings"] = deployment_["timings"];
    }
    if (deployment_.contains("engine_groups")) {
      settings["engine_groups"] = deployment_["engine_groups"];
    }
    std::ofstream(absl::StrCat(folder_, "/", name, ".json"))
        << settings.dump(2) << "\n";
    std::cout << name << "\n";
  }
  return absl::OkStatus();
}

absl::Status TrialDeployment::Register() {
  hosts_.clear();
  for (const Json& host : deployment_["hosts"]) {
    const std::string name = FieldOr<std::string>(host, "host", "");
    const absl::StatusOr<Json> json =
        AwaitJsonFile(absl::StrCat(folder_, "/", name, ".addresses"));
    if (!json.ok()) return json.status();
    TrialHost entry;
    entry.host = name;
    entry.data_centre = FieldOr<std::string>(*json, "data_centre", "");
    const auto callers =
        ParseAddress(FieldOr<std::string>(*json, "callers", ""));
    const auto operators =
        ParseAddress(FieldOr<std::string>(*json, "operators", ""));
    if (!callers.ok() || !operators.ok()) {
      return absl::InvalidArgumentError(
          name + ": malformed callers or operators address");
    }
    entry.callers = *callers;
    entry.operators = *operators;
    hosts_.push_back(entry);
    const Json put{{"put",
                    {{"name", name},
                     {"kind", "entry"},
                     {"data_centre", entry.data_centre},
                     {"address", (*json)["callers"]},
                     {"peer_address", (*json)["peers"]},
                     {"incarnation", (*json)["incarnation"]}}}};
    const auto put_result = CallJson(platform_, "POST", "/hosts", put.dump());
    if (!put_result.ok()) return put_result.status();
  }
  return absl::OkStatus();
}

absl::Status TrialDeployment::AwaitReady() const {
  for (const TrialHost& host : hosts_) {
    bool is_ready = false;
    for (int i = 0; i < kMaxPolls && !is_ready; ++i) {
      const HttpResult result =
          FetchBlocking(MakeCall(host.operators, "GET", "/readyz", ""));
      is_ready = result.is_ok();
      if (!is_ready) std::this_thread::sleep_for(kPollInterval);
    }
    if (!is_ready) {
      return absl::DeadlineExceededError(host.host + " did not become ready");
    }
  }
  return absl::OkStatus();
}

}  // namespace applehall
