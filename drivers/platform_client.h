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

// Client of the log service, the host list and the weight store's catalogue;
// reports their responses as events.
class PlatformClient {
 public:
  PlatformClient(PlatformAddresses addresses, std::string data_centre,
                 DecisionThread& decisions);

  // Thread: the owner's.
  void Start();
  void Stop();
  // Appends a record; the result is reported as an event. Thread-safe.
  void Append(const AppendRecord& action);

 private:
  using Task = boost::asio::awaitable<void>;

  Task PollStream(std::string stream);
  Task PollHosts();
  Task PollCatalogue();
  Task RunAppend(AppendRecord action);
  // Pushes an event to the decision thread; waits while its channel is full.
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

// Parses a response of the log service to a read from the offset `from`;
// nothing if it is malformed. A record that cannot be read keeps its place and
// has no payload. Thread-safe.
std::optional<LogBatch> ParseLogBatch(const std::string& stream, LogOffset from,
                                      const std::string& body);
// Parses the store's catalogue. Thread-safe.
Catalogue ParseCatalogue(const std::string& body);

}  // namespace applehall

#endif  // APPLEHALL_DRIVERS_PLATFORM_CLIENT_H_
