#include "node/helper_selector.h"

#include <algorithm>

namespace applehall {
namespace {

// Helpers named while all hosts of a data centre reach their servers, so that
// they are known when the owner is lost together with the links.
constexpr size_t kSpareHelpers = 3;
constexpr size_t kMaxHelpers = 16;
// How long a host that failed to help with a service is not chosen for it.
constexpr Duration kFailureTime = std::chrono::seconds(1);

// In random order, so that the hosts named first share the load.
void Shuffle(std::vector<HelperHost>& helpers, Random& random) {
  for (size_t i = helpers.size(); i > 1; --i) {
    std::swap(helpers[i - 1], helpers[random.Below(i)]);
  }
}

void Append(std::vector<HelperHost>& to, std::vector<HelperHost> more,
            Random& random) {
  Shuffle(more, random);
  std::stable_sort(more.begin(), more.end(), [](const auto& a, const auto& b) {
    return a.unreachable.size() < b.unreachable.size();
  });
  to.insert(to.end(), more.begin(), more.end());
}

}  // namespace

std::vector<HelperHost> ListHelpers(const std::string& data_centre,
                                    const FleetPeers& peers,
                                    const HelperHost& self,
                                    const std::string& own_centre,
                                    TimePoint now, Random& random) {
  std::vector<HelperHost> near;
  std::vector<HelperHost> far;
  size_t hosts = 0;  // In the data centre.
  size_t sound = 0;
  const auto add = [&](const HelperHost& helper, const std::string& centre) {
    const bool is_near = centre == data_centre;
    hosts += is_near;
    sound += is_near && helper.unreachable.empty();
    if (!helper.host.address.empty()) {
      (is_near ? near : far).push_back(helper);
    }
  };
  add(self, own_centre);
  for (const auto& [host, peer] : peers) {
    if (now - peer.last_report_at > kMaxReaderSilence) continue;
    add({{host, peer.forward_address}, peer.unreachable}, peer.data_centre);
  }
  std::vector<HelperHost> helpers;
  Append(helpers, std::move(near), random);
  const bool is_any_lost = sound < hosts;
  // A host that serves the requests of two others takes three times its load.
  if (sound * 2 <= hosts || helpers.size() < kSpareHelpers) {
    Append(helpers, std::move(far), random);
    std::stable_partition(
        helpers.begin(), helpers.end(),
        [](const HelperHost& helper) { return helper.unreachable.empty(); });
  }
  helpers.resize(
      std::min(helpers.size(), is_any_lost ? kMaxHelpers : kSpareHelpers));
  return helpers;
}

Json HelpersToJson(const std::vector<HelperHost>& helpers) {
  Json rows = Json::array();
  for (const HelperHost& helper : helpers) {
    rows.push_back(Json::array(
        {helper.host.host, helper.host.address, helper.unreachable}));
  }
  return rows;
}

void HelperSelector::HandleRows(const Json& rows) {
  helpers_.clear();
  for (const Json& row : rows) {
    const bool is_helper = row.is_array() && row.size() == 3 &&
                           row[0].is_string() && row[1].is_string() &&
                           row[2].is_array();
    if (!is_helper) continue;
    HelperHost helper;
    helper.host = {row[0].get<std::string>(), row[1].get<std::string>()};
    for (const Json& service : row[2]) {
      if (service.is_string()) {
        helper.unreachable.insert(service.get<std::string>());
      }
    }
    if (helper.host.host != self_) helpers_.push_back(std::move(helper));
  }
}

std::optional<PeerAddress> HelperSelector::Choose(
    const std::string& service, const std::set<std::string>& tried,
    TimePoint now) {
  std::erase_if(excluded_,
                [now](const auto& item) { return item.second <= now; });
  std::vector<const HelperHost*> usable;
  for (const HelperHost& helper : helpers_) {
    const std::string& host = helper.host.host;
    if (tried.contains(host) || helper.unreachable.contains(service) ||
        excluded_.contains({host, service})) {
      continue;
    }
    usable.push_back(&helper);
  }
  if (usable.empty()) return std::nullopt;
  return usable[random_.Below(usable.size())]->host;
}

bool HelperSelector::IsAnyReaching(const std::string& service) const {
  return std::any_of(helpers_.begin(), helpers_.end(),
                     [&](const HelperHost& helper) {
                       return !helper.unreachable.contains(service);
                     });
}

void HelperSelector::RecordFailure(const std::string& host,
                                   const std::string& service, TimePoint now) {
  excluded_[{host, service}] = now + kFailureTime;
}

void HelperSelector::RecordSuccess(const std::string& host,
                                   const std::string& service) {
  excluded_.erase({host, service});
}

}  // namespace applehall
