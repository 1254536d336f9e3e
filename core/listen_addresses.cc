#include "core/listen_addresses.h"

namespace applehall {

namespace {

bool IsWildcard(const std::string& ip) { return ip == "0.0.0.0" || ip == "::"; }

bool Clash(const Address& a, const Address& b) {
  if (a.port == 0 || a.port != b.port) return false;
  return a.ip == b.ip || IsWildcard(a.ip) || IsWildcard(b.ip);
}

}  // namespace

void RequireDistinctAddresses(
    const std::vector<std::pair<std::string, Address>>& addresses,
    SettingsReader& reader) {
  for (size_t i = 0; i < addresses.size(); ++i) {
    for (size_t j = 0; j < i; ++j) {
      const auto& [key, address] = addresses[i];
      const auto& [earlier_key, earlier] = addresses[j];
      if (!Clash(earlier, address)) continue;
      reader.Fail(key, "an address that \"" + earlier_key +
                           "\" does not have, found \"" + address.ToString() +
                           "\"");
    }
  }
}

}  // namespace applehall
