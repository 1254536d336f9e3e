#include "soak/server_links.h"

namespace applehall {

Address ServerLinks::AddressFor(int host, const Address& server) {
  std::unique_ptr<FaultProxy>& link = links_[{host, server.ToString()}];
  if (!link) {
    link = std::make_unique<FaultProxy>(io_, server);
    Apply(CutOf(host), *link);
  }
  return link->address();
}

LinkCut ServerLinks::CutOf(int host) const {
  const auto it = cuts_.find(host);
  return it == cuts_.end() ? LinkCut::kNone : it->second;
}

void ServerLinks::SetCut(int host, LinkCut cut) {
  if (CutOf(host) == cut) return;
  const bool was_cut = CutOf(host) != LinkCut::kNone;
  cuts_[host] = cut;
  for (auto& [key, link] : links_) {
    if (key.first != host) continue;
    if (was_cut) Apply(LinkCut::kNone, *link);
    if (cut != LinkCut::kNone) Apply(cut, *link);
  }
}

void ServerLinks::Apply(LinkCut cut, FaultProxy& link) {
  switch (cut) {
    case LinkCut::kNone:
      link.SetMode(FaultProxy::Mode::kPass);
      link.AcceptConnections();
      return;
    case LinkCut::kHang:
      link.SetMode(FaultProxy::Mode::kStalled);
      link.HangConnections();
      return;
    case LinkCut::kReset:
      link.RefuseConnections();
      link.ResetAll();
      return;
    case LinkCut::kKeptLive:
      link.RefuseConnections();
      return;
  }
}

}  // namespace applehall
