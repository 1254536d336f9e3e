#ifndef APPLEHALL_SOAK_SERVER_LINKS_H_
#define APPLEHALL_SOAK_SERVER_LINKS_H_

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "soak/fault_proxy.h"

namespace applehall {

// How the links of a host to all backend servers fail.
enum class LinkCut : uint8_t { kNone, kHang, kReset, kKeptLive };

// The links of each host to each backend server: one relay for each pair, so
// that a host can be partitioned from all servers. Thread of all methods: the
// one that runs `io`.
class ServerLinks {
 public:
  explicit ServerLinks(boost::asio::io_context& io) : io_(io) {}

  // Returns the address at which `host` reaches the server that listens at
  // `server`.
  Address AddressFor(int host, const Address& server);
  // Cuts the host from all servers, also from those that start later, or heals
  // its links.
  void SetCut(int host, LinkCut cut);
  LinkCut CutOf(int host) const;

 private:
  static void Apply(LinkCut cut, FaultProxy& link);

  boost::asio::io_context& io_;
  std::map<std::pair<int, std::string>, std::unique_ptr<FaultProxy>> links_;
  std::map<int, LinkCut> cuts_;
};

}  // namespace applehall

#endif  // APPLEHALL_SOAK_SERVER_LINKS_H_
