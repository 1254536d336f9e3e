#ifndef APPLEHALL_TRIAL_TRIAL_DEPLOYMENT_H_
#define APPLEHALL_TRIAL_TRIAL_DEPLOYMENT_H_

#include <absl/status/status.h>

#include <string>
#include <vector>

#include "core/json.h"
#include "core/settings_reader.h"

namespace applehall {

// An entry host of a trial, as read from its addresses file.
struct TrialHost {
  std::string host;
  std::string data_centre;
  Address callers;
  Address operators;
};

// A trial's folder, with the settings and the addresses of its processes.
//   deployment.json   the hosts and the limits of the weight store
//   addresses.json    written by the stand-ins
//   HOST.json         settings, written by Prepare()
//   HOST.addresses    written by each applehalld
class TrialDeployment {
 public:
  explicit TrialDeployment(std::string folder) : folder_(std::move(folder)) {}

  // Reads deployment.json and addresses.json. Not thread-safe.
  absl::Status Load();
  // Writes the settings of all hosts and prints their names. Requires:
  // Load(). Not thread-safe.
  absl::Status Prepare() const;
  // Waits until all hosts have written their addresses and adds them to the
  // host list. Requires: Load(). Not thread-safe.
  absl::Status Register();
  // Waits until all hosts are ready. Requires: Register(). Not thread-safe.
  absl::Status AwaitReady() const;

  const Address& platform() const { return platform_; }
  const std::vector<TrialHost>& hosts() const { return hosts_; }
  const Json& json() const { return deployment_; }

 private:
  std::string folder_;
  Json deployment_;
  Address platform_;
  std::vector<TrialHost> hosts_;
};

// Sends a request and returns the body of the response as JSON. Blocks. Not
// thread-safe.
absl::StatusOr<Json> CallJson(const Address& address, const std::string& method,
                              const std::string& target,
                              const std::string& body = "");

}  // namespace applehall

#endif  // APPLEHALL_TRIAL_TRIAL_DEPLOYMENT_H_
