#include "tests/processes/host_fixture.h"

#include <absl/strings/str_cat.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <filesystem>
#include <fstream>
#include <future>
#include <iostream>
#include <sstream>
#include <utility>
#include <vector>

#include "drivers/http_client.h"

namespace applehall {

namespace {

constexpr uint64_t kSeed = 7;
constexpr int kModels = 2;
constexpr int kServers = 4;
// Of the stand-in servers: more than a crowd has requests.
constexpr int kCapacity = 400;
// Attempts to reach a host that has just started.
constexpr int kMaxStartRequests = 400;
constexpr int kStartPauseMicros = 50000;
// Tries of an ordinary caller, with a pause between them.
constexpr int kMaxTries = 20;
constexpr int kRetryPauseMicros = 200000;

// Private memory of a process that is not a file's.
int64_t AnonymousKilobytes(pid_t process) {
  std::ifstream status(absl::StrCat("/proc/", process, "/status"));
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("RssAnon:")) return std::atoll(line.c_str() + 8);
  }
  return 0;
}

// Bytes that the kernel keeps for the process until it reads them, at the
// ports of its listeners.
int64_t UnreadKilobytes(const std::vector<uint16_t>& ports) {
  std::ifstream sockets("/proc/net/tcp");
  int64_t bytes = 0;
  for (std::string line; std::getline(sockets, line);) {
    std::istringstream fields(line);
    std::string number;
    std::string own;
    std::string peer;
    std::string state;
    std::string queues;
    fields >> number >> own >> peer >> state >> queues;
    const size_t colon = own.find(':');
    if (colon == std::string::npos || queues.size() < 17) continue;
    const auto port = static_cast<uint16_t>(
        std::strtoul(own.c_str() + colon + 1, nullptr, 16));
    // Of a listening socket the queue is a number of connections.
    const bool is_own =
        std::find(ports.begin(), ports.end(), port) != ports.end();
    if (!is_own || state == "0A") continue;
    bytes += std::strtoll(queues.c_str() + 9, nullptr, 16);
  }
  return bytes / 1024;
}

// Returns the state of a process and the ticks that it has run for.
std::string ProcessorUse(pid_t process) {
  std::ifstream stat(absl::StrCat("/proc/", process, "/stat"));
  std::string text;
  std::getline(stat, text);
  // The fields begin behind the name, which is in parentheses.
  std::istringstream fields(text.substr(text.rfind(')') + 1));
  std::vector<std::string> values;
  for (std::string value; fields >> value;) values.push_back(value);
  constexpr size_t kUserTicks = 11;
  if (values.size() <= kUserTicks + 1) return "";
  return absl::StrCat(values[0], " ", values[kUserTicks], " ",
                      values[kUserTicks + 1]);
}

int CountDescriptors(pid_t process) {
  std::error_code error;
  const std::filesystem::directory_iterator entries(
      absl::StrCat("/proc/", process, "/fd"), error);
  if (error) return 0;
  return static_cast<int>(
      std::distance(begin(entries), std::filesystem::directory_iterator()));
}

}  // namespace

HostTest::HostTest() {
  folder_ = testing::TempDir() + "applehall-XXXXXX";
  if (::mkdtemp(folder_.data()) == nullptr) ADD_FAILURE() << "no folder";
  platform_ = std::make_unique<PlatformStandin>(io_, kSeed, kModels);
  platform_->SetCapacity(kCapacity);
  platform_->PutConfig({});
  platform_->StartEngine({"m0", "m1"});
  for (int i = 0; i < kServers; ++i) platform_->StartApp();
  hosts_ = std::make_unique<HostProcesses>(APPLEHALL_EDGED, folder_, kSeed);
  const Json limits{{"cpu_share", 0.25},
                    {"memory_mb", kMemoryMegabytes},
                    {"max_fds", kMaxDescriptors},
                    {"link_mbps", 1000.0}};
  hosts_->Add(platform_->store_address(), "", limits);
  hosts_->Start(0);
  thread_ = std::thread([this] { io_.run(); });
  AwaitService();
}

HostTest::~HostTest() {
  hosts_.reset();
  work_.reset();
  io_.stop();
  thread_.join();
  std::cout << "peak: " << peak_kilobytes_ / 1024 << " MB of "
            << kMemoryMegabytes << ", " << peak_descriptors_
            << " descriptors of " << kMaxDescriptors << "\n";
  if (HasFailure()) {
    std::cout << "logs of the host: " << folder_ << "\n";
  } else {
    std::filesystem::remove_all(folder_);
  }
}

void HostTest::AwaitService() {
  for (int i = 0; i < kMaxStartRequests; ++i) {
    const bool is_served = Request("/again/x") == 200 &&
                           Request("/stream/x", {{"x-model", "m0"}}) == 200;
    if (is_served) return;
    ::usleep(kStartPauseMicros);
  }
  ADD_FAILURE() << "the host did not begin to serve";
}

void HostTest::StartFaultyServers(int count, const FaultyAnswer& answer) {
  std::promise<void> is_listed;
  boost::asio::post(io_, [&] {
    for (int i = 0; i < count; ++i) {
      faulty_servers_.push_back(std::make_unique<FaultyServer>());
      platform_->ListRawServer(faulty_servers_.back()->address());
    }
    SetFaultyAnswer(answer);
    platform_->PutConfig({});
    is_listed.set_value();
  });
  is_listed.get_future().wait();
  for (int i = 0; i < kMaxStartRequests; ++i) {
    (void)Request("/raw/x");
    if (ArrivalsOfLastRequest() > 0) return;
    ::usleep(kStartPauseMicros);
  }
  ADD_FAILURE() << "no request reached the faulty servers";
}

void HostTest::SetFaultyAnswer(const FaultyAnswer& answer) {
  const auto shared = std::make_shared<FaultyServer::SharedAnswer>();
  shared->answer = answer;
  for (const auto& server : faulty_servers_) server->SetAnswer(shared);
}

int HostTest::ArrivalsOfLastRequest() const {
  return ArrivalsOf(absl::StrCat("r", requests_));
}

int HostTest::ArrivalsOf(const std::string& id) const {
  int count = 0;
  for (const auto& server : faulty_servers_) {
    const std::map<std::string, int> arrivals = server->Arrivals();
    const auto found = arrivals.find(id);
    if (found != arrivals.end()) count += found->second;
  }
  return count;
}

bool HostTest::Sample() {
  const pid_t process = hosts_->process(0);
  std::vector<uint16_t> ports;
  for (const char* key :
       {"callers", "readiness", "operators", "peers", "forwards"}) {
    ports.push_back(address(key).port);
  }
  peak_kilobytes_ = std::max(
      peak_kilobytes_, AnonymousKilobytes(process) + UnreadKilobytes(ports));
  peak_descriptors_ = std::max(peak_descriptors_, CountDescriptors(process));
  const std::string before =
      std::exchange(processor_use_, ProcessorUse(process));
  return processor_use_ != before || processor_use_.starts_with('R');
}

void HostTest::Send(ClientCrowd& crowd, const ClientScript& script) {
  crowd.Send(script, [this] { return Sample(); });
}

int HostTest::Request(const std::string& path, const HttpHeaders& headers,
                      const std::string& body) {
  HttpCall call;
  call.address = address("callers");
  call.request.method = "POST";
  call.request.target = path;
  call.request.headers = headers;
  call.request.headers["host"] = "soak.example";
  call.request.headers["x-attempt-id"] = absl::StrCat("r", ++requests_);
  call.request.headers["x-deadline-ms"] = "4000";
  call.request.body = body;
  const HttpResult result = FetchBlocking(call);
  return result.state == SendState::kAnswered ? result.response.status : 0;
}

int HostTest::RequestPatiently(const std::string& path,
                               const HttpHeaders& headers) {
  int status = 0;
  for (int i = 0; i < kMaxTries && status != 200; ++i) {
    if (i > 0) ::usleep(kRetryPauseMicros);
    status = Request(path, headers);
  }
  return status;
}

void HostTest::ExpectSound() {
  Sample();
  EXPECT_TRUE(hosts_->IsRunning(0)) << "the process has ended";
  EXPECT_LE(peak_kilobytes_, kMemoryMegabytes * 1024);
  EXPECT_LE(peak_descriptors_, kMaxDescriptors);
  EXPECT_EQ(RequestPatiently("/again/x"), 200);
  EXPECT_EQ(RequestPatiently("/once/x"), 200);
  EXPECT_EQ(RequestPatiently("/stream/x", {{"x-model", "m0"}}), 200);
}

}  // namespace applehall
