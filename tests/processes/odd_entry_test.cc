// Odd records of other writers of the store, read by hosts as real processes.

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <filesystem>
#include <future>
#include <iostream>
#include <memory>
#include <thread>
#include <vector>

#include "drivers/http_client.h"
#include "soak/host_processes.h"
#include "soak/platform_standin.h"

namespace applehall {
namespace {

constexpr uint64_t kSeed = 8;
constexpr int kModels = 2;
constexpr int kNesting = 100000;
// A host that still follows the store needs a few of these pauses.
constexpr int kMaxTries = 400;
constexpr int kPauseMicros = 50000;

std::string Repeat(const std::string& text, int count) {
  std::string result;
  for (int i = 0; i < count; ++i) result += text;
  return result;
}

std::string NestedLists(int depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

std::string NestedObjects(int depth) {
  return Repeat(R"({"a":)", depth) + "1" + std::string(depth, '}');
}

// Returns the text of an object with a member of any text as its value.
std::string WithMember(const std::string& object, const std::string& key,
                       const std::string& value) {
  Json json = *ParseJson(object);
  json.erase(key);
  const std::string rest = json.dump();
  return absl::StrCat("{\"", key, "\":", value, ",", rest.substr(1));
}

// Two hosts, of which one reads the store and relays the updates to the other,
// and a third one that starts on demand.
class OddEntryTest : public testing::Test {
 protected:
  OddEntryTest() {
    folder_ = testing::TempDir() + "applehall-XXXXXX";
    if (::mkdtemp(folder_.data()) == nullptr) ADD_FAILURE() << "no folder";
    platform_ = std::make_unique<PlatformStandin>(io_, kSeed, kModels);
    platform_->PutConfig({});
    engine_ = platform_->StartEngine({"m0", "m1"});
    app_ = platform_->StartApp();
    hosts_ = std::make_unique<HostProcesses>(APPLEHALL_EDGED, folder_, kSeed);
    thread_ = std::thread([this] { io_.run(); });
    StartHost();
    StartHost();
  }

  ~OddEntryTest() override {
    hosts_.reset();
    work_.reset();
    io_.stop();
    thread_.join();
    if (HasFailure()) {
      std::cout << "logs of the hosts: " << folder_ << "\n";
    } else {
      std::filesystem::remove_all(folder_);
    }
  }

  // Runs `change` on the thread of the stand-ins.
  template <typename Change>
  auto OnPlatform(Change change) {
    std::promise<decltype(change(*platform_))> result;
    boost::asio::post(io_, [&] {
      if constexpr (std::is_void_v<decltype(change(*platform_))>) {
        change(*platform_);
        result.set_value();
      } else {
        result.set_value(change(*platform_));
      }
    });
    return result.get_future().get();
  }

  HttpResponse Request(int host, const std::string& path,
                       const HttpHeaders& headers = {}) {
    HttpCall call;
    call.address = hosts_->caller_address(host);
    call.request.method = "POST";
    call.request.target = path;
    call.request.headers = headers;
    call.request.headers["host"] = "soak.example";
    call.request.headers["x-attempt-id"] = absl::StrCat("r", ++requests_);
    call.request.headers["x-deadline-ms"] = "4000";
    HttpResult result = FetchBlocking(call);
    if (result.state != SendState::kAnswered) result.response.status = 0;
    return result.response;
  }

  bool HasEndedProcess() {
    return std::any_of(
        processes_.begin(), processes_.end(),
        [&](const auto& entry) { return !hosts_->IsRunning(entry.first); });
  }

  // Returns false after many tries, or once a process has ended.
  template <typename Condition>
  bool Await(Condition condition) {
    for (int i = 0; i < kMaxTries && !HasEndedProcess(); ++i) {
      if (condition()) return true;
      ::usleep(kPauseMicros);
    }
    return false;
  }

  void StartHost() {
    const int host = hosts_->Add(
        OnPlatform([](PlatformStandin& p) { return p.store_address(); }), "");
    hosts_->Start(host);
    processes_[host] = hosts_->process(host);
    ExpectServes(host, "/again/x");
    ExpectEngineServes(host);
  }

  void ExpectServes(int host, const std::string& path) {
    EXPECT_TRUE(Await([&] { return Request(host, path).status == 200; }))
        << "host " << host << " does not serve " << path;
  }

  void ExpectEngineServes(int host) {
    EXPECT_TRUE(Await([&] {
      return Request(host, "/stream/x", {{"x-model", "m0"}}).status == 200;
    })) << "host "
        << host << " does not use the engine";
  }

  // Checks that no process has ended since its start.
  void ExpectSameProcesses() {
    for (const auto& [host, process] : processes_) {
      EXPECT_TRUE(hosts_->IsRunning(host)) << "host " << host << " has ended";
      EXPECT_EQ(hosts_->process(host), process);
    }
  }

  // Replaces the plain server by a new one, which all hosts must use.
  void ExpectNewServerIsUsed() {
    const std::string before = app_;
    app_ = OnPlatform([](PlatformStandin& p) { return p.StartApp(); });
    for (const auto& [host, process] : processes_) {
      EXPECT_TRUE(Await([&, host = host] {
        return Request(host, "/again/x").headers[kServerHeader] == app_;
      })) << "host "
          << host << " does not use the new server";
    }
    OnPlatform([&](PlatformStandin& p) { p.Stop(before, true); });
  }

  // Writes the record as another writer of the list of servers.
  void Put(const std::string& key, const std::string& value) {
    OnPlatform([&](PlatformStandin& p) { p.PutServerRecord(key, value); });
  }

  std::string EntryOf(const std::string& id) {
    return OnPlatform([&](PlatformStandin& p) { return p.EntryText(id); });
  }

  // Puts each of the values into an entry of its own and expects that the
  // hosts follow the list.
  void ExpectHostsFollow(const std::string& name,
                         const std::vector<std::string>& values) {
    SCOPED_TRACE(name);
    int count = 0;
    for (const std::string& value : values) {
      Put(absl::StrCat("!odd-", name, "-", ++count), value);
    }
    ExpectNewServerIsUsed();
    ExpectSameProcesses();
  }

  // Puts the text as the entry of the engine, and later a sound one.
  void ExpectEngineReturns(const std::string& name, const std::string& text) {
    SCOPED_TRACE(name);
    Put(engine_, text);
    ExpectNewServerIsUsed();
    OnPlatform([&](PlatformStandin& p) { p.PublishEntry(engine_); });
    for (const auto& [host, process] : processes_) ExpectEngineServes(host);
    ExpectSameProcesses();
  }

  // Puts a configuration with an odd member, then a sound one that adds a
  // route.
  void ExpectConfigReturns(const std::string& key, const std::string& value) {
    SCOPED_TRACE(key);
    const std::string route = absl::StrCat("extra-", ++configs_);
    OnPlatform([&](PlatformStandin& p) {
      p.PutConfigText(WithMember(p.NextConfigText({}), key, value));
    });
    ExpectNewServerIsUsed();
    OnPlatform([&](PlatformStandin& p) { p.PutConfig({route}); });
    for (const auto& [host, process] : processes_) {
      ExpectServes(host, "/" + route + "/x");
    }
    ExpectSameProcesses();
  }

  // Puts a configuration with this list of teams, under which no host may run
  // a request.
  void ExpectNobodyIsAdmitted(const std::string& teams) {
    SCOPED_TRACE(teams);
    OnPlatform([&](PlatformStandin& p) {
      p.PutConfigText(WithMember(p.NextConfigText({}), "tenants", teams));
    });
    for (const auto& [host, process] : processes_) {
      EXPECT_TRUE(Await([&, host = host] {
        return Request(host, "/again/x", {{"authorization", "Bearer key-1"}})
                   .status == 401;
      })) << "host "
          << host << " admits a key that nobody holds";
    }
    ExpectSameProcesses();
  }

  std::string folder_;
  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_{io_.get_executor()};
  std::unique_ptr<PlatformStandin> platform_;
  std::unique_ptr<HostProcesses> hosts_;
  std::thread thread_;  // Runs `io_`.
  std::map<int, pid_t> processes_;
  std::string engine_;
  std::string app_;
  int requests_ = 0;
  int configs_ = 0;
};

// Guards against hosts that end, or stop following the list of servers, after
// one odd entry of another writer, also those that start later.
TEST_F(OddEntryTest, HostsFollowTheServerListPastOddEntries) {
  // Entries that are sound in the end must not take the requests of the app.
  const std::string app = WithMember(EntryOf(app_), "service", "\"odd\"");
  const std::string odd = R"({"service":"odd","state":"ready","capacity":16,)";
  ExpectHostsFollow("nested",
                    {NestedLists(kNesting), NestedObjects(kNesting),
                     std::string(kNesting, '['), Repeat(R"({"a":[)", kNesting),
                     WithMember(app, "extra", NestedLists(kNesting)),
                     WithMember(app, "models", NestedObjects(kNesting))});
  std::vector<std::string> ports;
  for (const char* port :
       {"0", "65536", "-1", "1e999", "text", "", "18446744073709551616"}) {
    ports.push_back(absl::StrCat(odd, R"("address":"127.0.0.1:)", port, "\"}"));
    ports.push_back(absl::StrCat(odd, R"("address":")", port, "\"}"));
  }
  ports.push_back(odd + R"("address":65536})");
  ports.push_back(odd + R"("address":1e999})");
  ExpectHostsFollow("port", ports);
  std::vector<std::string> numbers;
  for (const char* key : {"capacity", "born", "seq", "version", "zone"}) {
    for (const char* number : {"1e999", "-1e999", "18446744073709551616", "-1",
                               "1e308", "9223372036854775807", "0.5"}) {
      numbers.push_back(WithMember(app, key, number));
    }
  }
  ExpectHostsFollow("number", numbers);
  ExpectHostsFollow("type", {"7", "null", "\"text\"", "[]", "{}", "{", "\xff",
                             std::string(3, '\0'), "{\"service\":\"\xff\"}"});
  Put(std::string("\x01\n\x7f\0", 4), "{}");
  Put("\xff\xfe", app);
  Put("", app);
  Put(std::string(255, 'k'), app);
  ExpectHostsFollow("key", {});
  OnPlatform([](PlatformStandin& p) {
    p.PutMalformedServerRecord("");
    p.PutMalformedServerRecord("\xff");
    p.PutMalformedServerRecord(
        "\x05short"
        "{}");
    p.PutMalformedServerRecord("\x09short");
  });
  ExpectHostsFollow("length", {});
  StartHost();
  ExpectNewServerIsUsed();
  ExpectSameProcesses();
}

// Guards against an engine that is lost for good, or hosts that end, after one
// odd update of its entry.
TEST_F(OddEntryTest, HostsUseAnEngineAgainAfterAnOddUpdate) {
  const std::string entry = EntryOf(engine_);
  const std::string nested = NestedLists(kNesting);
  ExpectEngineReturns("whole", nested);
  ExpectEngineReturns("at_hand", WithMember(entry, "at_hand", nested));
  ExpectEngineReturns(
      "on_disk", WithMember(entry, "at_hand", R"({"on_disk":)" + nested + "}"));
  ExpectEngineReturns("models", WithMember(entry, "models", nested));
  ExpectEngineReturns(
      "adapters", WithMember(entry, "models",
                             R"([{"name":"m0","adapters":)" + nested + "}]"));
  ExpectEngineReturns("number", WithMember(entry, "capacity", "1e999"));
  ExpectEngineReturns("address",
                      WithMember(entry, "address", "\"127.0.0.1:65536\""));
  ExpectEngineReturns("at_hand_types",
                      WithMember(entry, "at_hand",
                                 R"({"on_disk":[1e300,null,{},[],"",{"name":7}],
                                     "in_memory":"text"})"));
  ExpectEngineReturns("adapter_types",
                      WithMember(entry, "models",
                                 R"([{"name":"m0","adapters":[1e300,null,{},
                                     [],"",{"name":7},"\u0001\n"]}])"));
}

// Guards against hosts that end again and again until another configuration is
// written, after one that is deeply nested.
TEST_F(OddEntryTest, HostsTakeTheNextConfigurationAfterANestedOne) {
  for (const char* key : {"services", "limits", "routes", "tenants", "extra"}) {
    ExpectConfigReturns(key, NestedLists(4 * kNesting));
    ExpectConfigReturns(key, NestedObjects(kNesting));
  }
  StartHost();
  ExpectSameProcesses();
}

// Guards against hosts that end, use up their memory or refuse all requests
// after a configuration with numbers out of range.
TEST_F(OddEntryTest, HostsTakeTheNextConfigurationAfterOddNumbers) {
  ExpectConfigReturns("version", "1e999");
  ExpectConfigReturns("version", "-1");
  ExpectConfigReturns("limits", R"({"idle_timeout_ms":1e308,
      "header_timeout_ms":-1e308,"max_body_bytes":1e308,
      "max_header_bytes":4294967296})");
  ExpectConfigReturns("services", R"([{"name":"llm","engine":{
      "weights_mb":1e308,"models":[{"name":"m0","weights_mb":-1e308,
      "load_s":1e308,"adapters":2000000000,"adapter_mb":1e308}]}}])");
  StartHost();
  ExpectSameProcesses();
}

// Guards against hosts that serve everybody after a configuration whose list of
// teams is empty or cannot be read.
TEST_F(OddEntryTest, HostsAdmitNobodyByAListOfTeamsWithoutKeys) {
  for (const char* teams :
       {"[]", "null", "{}", "7", "\"key-1\"", R"([{"api_keys":["key-1"]}])",
        R"([{"name":"team","api_keys":"key-1"}])"}) {
    ExpectNobodyIsAdmitted(teams);
    OnPlatform([](PlatformStandin& p) { p.PutConfig({}); });
    for (const auto& [host, process] : processes_) {
      ExpectServes(host, "/again/x");
    }
  }
}

}  // namespace
}  // namespace applehall
