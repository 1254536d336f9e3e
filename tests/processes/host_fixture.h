#ifndef APPLEHALL_TESTS_PROCESSES_HOST_FIXTURE_H_
#define APPLEHALL_TESTS_PROCESSES_HOST_FIXTURE_H_

#include <gtest/gtest.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "soak/host_processes.h"
#include "soak/platform_standin.h"
#include "tests/processes/client_crowd.h"
#include "tests/processes/faulty_servers.h"

namespace applehall {

// One entry host as a process of its own, on a small machine, with a store, a
// model engine and plain servers on loopback.
class HostTest : public testing::Test {
 protected:
  static constexpr int kMemoryMegabytes = 64;
  static constexpr int kMaxDescriptors = 2000;

  HostTest();
  ~HostTest() override;

  Address address(const std::string& listener) const {
    return hosts_->address(0, listener);
  }
  // Starts servers behind the routes "/raw/" and "/raw-once/", which send
  // `answer` to each request, and waits until the host passes requests on.
  void StartFaultyServers(int count, const FaultyAnswer& answer);
  void SetFaultyAnswer(const FaultyAnswer& answer);
  // Returns how often requests with an id reached these servers.
  int ArrivalsOf(const std::string& id) const;
  // As above, for the last request of Request().
  int ArrivalsOfLastRequest() const;
  // Records the process's use of memory and descriptors; the highest counts.
  // Returns whether the process has used processor time since the last call.
  // Requires: the host has begun to serve.
  bool Sample();
  // Sends the script from each client of the crowd and samples meanwhile.
  void Send(ClientCrowd& crowd, const ClientScript& script);
  // Sends one request and returns its status; zero without an answer.
  int Request(const std::string& path, const HttpHeaders& headers = {},
              const std::string& body = "");
  // The same for a caller that comes back a few times until it is served.
  int RequestPatiently(const std::string& path,
                       const HttpHeaders& headers = {});
  // Checks that the process lives, that it stayed within its machine, and that
  // ordinary requests are answered.
  void ExpectSound();

  int64_t peak_kilobytes() const { return peak_kilobytes_; }
  int peak_descriptors() const { return peak_descriptors_; }

 private:
  void AwaitService();

  std::string folder_;
  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_{io_.get_executor()};
  std::unique_ptr<PlatformStandin> platform_;
  std::unique_ptr<HostProcesses> hosts_;
  std::vector<std::unique_ptr<FaultyServer>> faulty_servers_;
  std::thread thread_;  // Runs `io_`.
  int requests_ = 0;
  int64_t peak_kilobytes_ = 0;
  std::string processor_use_;  // At the last sample.
  int peak_descriptors_ = 0;
};

}  // namespace applehall

#endif  // APPLEHALL_TESTS_PROCESSES_HOST_FIXTURE_H_
