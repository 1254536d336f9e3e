#ifndef APPLEHALL_STANDINS_STANDIN_SERVER_H_
#define APPLEHALL_STANDINS_STANDIN_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/json.h"
#include "drivers/http_query.h"
#include "drivers/http_server.h"
#include "membership/host_list.h"
#include "standins/fake_engine.h"
#include "standins/fake_log.h"
#include "standins/faults.h"

namespace applehall {

// Serves the fakes of the platform and the backend servers over HTTP, with
// injected faults. The platform listens on one address, each engine and service
// on its own. Thread of all methods: the one that runs `io`.
class StandinServer {
 public:
  // Requires: `config` was checked by LoadStandinConfig().
  StandinServer(boost::asio::io_context& io, const Json& config);
  ~StandinServer();

  // Returns the addresses by name, "platform" included, as a JSON object.
  Json Addresses() const;

 private:
  struct Engine;
  struct Service;

  using Reply = boost::asio::awaitable<void>;

  Reply HandlePlatform(HttpExchange& exchange);
  Reply HandleEngine(Engine& engine, HttpExchange& exchange);
  Reply HandleService(Service& service, HttpExchange& exchange);

  Reply HandleLogAppend(HttpExchange& exchange, const std::string& stream);
  Reply HandleLogRead(HttpExchange& exchange, const std::string& stream,
                      const HttpQuery& query);
  Reply HandleHostChange(HttpExchange& exchange);
  Reply HandleFault(HttpExchange& exchange);
  Reply HandleTruth(HttpExchange& exchange);
  Reply HandleCompletion(Engine& engine, HttpExchange& exchange);
  Reply StreamCompletion(Engine& engine, HttpExchange& exchange,
                         const std::string& model, const std::string& prompt,
                         int tokens, int resume_from);

  // Applies the faults of `name`: delays the request or closes its connection.
  // Returns false if the request must not be handled.
  boost::asio::awaitable<bool> ApplyFaults(const std::string& name,
                                           HttpExchange& exchange);
  // Sends the response, unless a fault loses or delays it.
  Reply SendResponse(const std::string& name, HttpExchange& exchange,
                     HttpResponse&& response);
  HostList VisibleHostList();
  // Returns the host list for one data centre; status 304 if the client has it.
  HttpResponse HostListResponse(const HttpRequest& request,
                                const HttpQuery& query);
  TimePoint Now() const { return clock_.Now(); }
  Json TruthJson();
  void CountReplicas();

  boost::asio::io_context& io_;
  SystemClock clock_;
  FakeLog log_;
  FakeWeightStore store_;
  std::map<std::string, HostEntry> hosts_;
  // Versions of the host list, shown only after the configured lag.
  std::deque<std::pair<TimePoint, std::map<std::string, HostEntry>>> history_;
  Duration host_list_lag_;
  uint64_t history_version_ = 0;
  FaultTable faults_;
  std::vector<std::unique_ptr<Engine>> engines_;
  std::vector<std::unique_ptr<Service>> services_;
  std::unique_ptr<HttpServer> platform_;
  std::string ip_;
  // Highest number of simultaneous replicas by "DATA CENTRE/TARGET".
  std::map<std::string, int> peak_replicas_;
};

}  // namespace applehall

#endif  // APPLEHALL_STANDINS_STANDIN_SERVER_H_
