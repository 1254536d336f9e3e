#ifndef APPLEHALL_DRIVERS_PLATFORM_CLIENT_H_
#define APPLEHALL_DRIVERS_PLATFORM_CLIENT_H_

#include <functional>
#include <string>

#include "drivers/decision_thread.h"
#include "drivers/http_client.h"
#include "drivers/io_thread.h"

namespace applehall {

struct PlatformAddresses {
  Address log;
  Address hosts;
  Address store;
};

// Talks to the log service, the host list and the weight store's catalogue,
// and turns what they say into events.
class PlatformClient {
 public:
  PlatformClient(PlatformAddresses addresses, std::string data_centre,
                 DecisionThread& decisions);

  // Thread: the owner's.
  void Start();
  void Stop();
  // Appends a record; its end comes back as an event. Thread-safe.
  void Append(const AppendRecord& action);

 private:
  using Task = boost::asio::awaitable<void>;

  Task FollowStream(std::string stream);
  Task FollowHosts();
  Task FollowCatalogue();
  Task RunAppend(AppendRecord action);
  // Hands an event over; waits while the channel is full.
  Task Deliver(const Event& event);
  HttpCall MakeCall(const Address& address, const std::string& method,
                    const std::string& target, std::string body,
                    Duration timeout) const;

  PlatformAddresses addresses_;
  std::string data_centre_;
  DecisionThread& decisions_;
  IoThread thread_;
  HttpClient client_;
};

// Reads a log answer; nothing if it is not one. Thread-safe.
std::optional<LogBatch> ParseLogBatch(const std::string& stream,
                                      const std::string& body);
// Parses the store's catalogue. Thread-safe.
Catalogue ParseCatalogue(const std::string& body);

}  // namespace applehall

#endif  // APPLEHALL_DRIVERS_PLATFORM_CLIENT_H_
