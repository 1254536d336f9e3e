// Keys of other writers of the store that have a meaning in a query, with hosts
// as real processes and a store that sends small pages.

#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <unistd.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <filesystem>
#include <future>
#include <iostream>
#include <memory>
#include <thread>

#include "drivers/http_client.h"
#include "soak/host_processes.h"
#include "soak/platform_standin.h"

namespace applehall {
namespace {

constexpr uint64_t kSeed = 9;
constexpr int kModels = 1;
constexpr int kHosts = 2;
constexpr int kMaxTries = 100;
constexpr int kPauseMicros = 50000;
constexpr char kServers[] = "keyed.servers";
constexpr char kLease[] = "keyed.applehall-lease";
constexpr char kQuarantine[] = "keyed.applehall-quarantine";

struct Kind {
  const char* name;
  std::string key;
};

void PrintTo(const Kind& kind, std::ostream* out) { *out << kind.name; }

// All stand before the configuration and the servers in the store's order.
const Kind kKinds[] = {
    {"Plain", "a02"},
    {"PlusAtTheEnd", "a05+"},
    {"PlusInside", "a+05"},
    {"PercentAndHash", "a02%#"},
    {"Percent", "a02%"},
    {"EscapeCutShort", "a02%4"},
    {"Escape", "a02%41"},
    {"Space", "a02 x"},
    {"Hash", "a02#"},
    {"Parameter", "a02&part=1"},
    {"Equals", "a=b"},
    {"Question", "a?b"},
    {"Quotes", "a\"'\\"},
    {"LineBreak", "a02\r\nx-other: y\r\n\r\nGET / HTTP/1.1"},
    {"Nul", std::string("a\0b", 3)},
    {"Control", "a\x01\x1f\x7f"},
    {"Empty", ""},
    {"Long", std::string(255, 'a')},
    {"LongPercent", std::string(255, '%')},
    {"Korean", "a\xEC\x88\x98\xEC\x9B\x90"},
    {"NotUtf8", "a\xff\xfe"},
    {"Surrogate", "a\xED\xB0\x80"},
};

// Two hosts, a server and an odd key. The store sends two records a page.
class OddKeyTest : public testing::TestWithParam<Kind> {
 protected:
  OddKeyTest() {
    folder_ = testing::TempDir() + "applehall-XXXXXX";
    if (::mkdtemp(folder_.data()) == nullptr) ADD_FAILURE() << "no folder";
    platform_ = std::make_unique<PlatformStandin>(io_, kSeed, kModels);
    platform_->PutConfig({});
    platform_->StartApp();
    hosts_ = std::make_unique<HostProcesses>(APPLEHALL_EDGED, folder_, kSeed);
    for (int i = 0; i < kHosts; ++i) {
      hosts_->Add(platform_->store_address(), "");
    }
    thread_ = std::thread([this] { io_.run(); });
    for (int i = 0; i < kHosts; ++i) hosts_->Start(i);
    ExpectAllServe();
  }

  ~OddKeyTest() override {
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

  // Runs `change` on the thread of the stand-ins and waits for it.
  template <typename Change>
  void OnPlatform(Change change) {
    std::promise<void> is_done;
    boost::asio::post(io_, [&] {
      change(*platform_);
      is_done.set_value();
    });
    is_done.get_future().get();
  }

  int Get(const Address& address, const std::string& method,
          const std::string& target) {
    HttpCall call;
    call.address = address;
    call.request.method = method;
    call.request.target = target;
    call.request.headers["host"] = "soak.example";
    call.request.headers["x-attempt-id"] = absl::StrCat("r", ++requests_);
    call.request.headers["x-deadline-ms"] = "4000";
    const HttpResult result = FetchBlocking(call);
    return result.state == SendState::kAnswered ? result.response.status : 0;
  }

  bool Serves(int host) {
    return Get(hosts_->address(host, "readiness"), "GET", "/") == 200 &&
           Get(hosts_->caller_address(host), "POST", "/again/x") == 200;
  }

  void ExpectAllServe() {
    for (int host = 0; host < kHosts; ++host) {
      bool serves = false;
      for (int i = 0; i < kMaxTries && !serves; ++i) {
        serves = Serves(host);
        if (!serves) ::usleep(kPauseMicros);
      }
      EXPECT_TRUE(serves) << "host " << host;
    }
  }

  void RestartAll() {
    for (int host = 0; host < kHosts; ++host) {
      hosts_->Signal(host, SIGKILL);
      while (hosts_->HasProcess(host)) ::usleep(kPauseMicros);
    }
    for (int host = 0; host < kHosts; ++host) hosts_->Start(host);
  }

  // Writes an odd key, and others, of which each page has `page_records`.
  void PutKey(const std::string& topic, size_t page_records) {
    OnPlatform([&](PlatformStandin& platform) {
      platform.log().max_page_records = page_records;
      platform.PutRecord(topic, "a00", "[not an entry");
      platform.PutRecord(topic, GetParam().key, "[not an entry");
      platform.PutRecord(topic, "a06", "[not an entry");
    });
  }

  void ExpectNoRefusedQuery() {
    OnPlatform([](PlatformStandin& platform) {
      EXPECT_EQ(platform.refused_queries(), 0);
    });
  }

  std::string folder_;
  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_{io_.get_executor()};
  std::unique_ptr<PlatformStandin> platform_;
  std::unique_ptr<HostProcesses> hosts_;
  std::thread thread_;  // Runs `io_`.
  int requests_ = 0;
};

// Guards against hosts that start and are never ready while another writer's
// key ends a page of the store.
TEST_P(OddKeyTest, HostsThatStartServeBesideIt) {
  for (const size_t page_records : {1, 2}) {
    for (const char* topic : {kServers, kConfigTopic, kLease, kQuarantine}) {
      PutKey(topic, page_records);
    }
    RestartAll();
    ExpectAllServe();
  }
  ExpectNoRefusedQuery();
}

INSTANTIATE_TEST_SUITE_P(Keys, OddKeyTest, testing::ValuesIn(kKinds),
                         [](const auto& kind) {
                           return std::string(kind.param.name);
                         });

}  // namespace
}  // namespace applehall
