#include "core/peer_message.h"

namespace applehall {
namespace {

constexpr int kMessageTypes = 17;

}  // namespace

std::vector<uint8_t> PeerMessage::Encode() const {
  return Json::to_cbor(Json{{"v", kPeerProtocolVersion},
                            {"type", static_cast<int>(type)},
                            {"body", body}});
}

std::optional<PeerMessage> PeerMessage::Decode(
    const std::vector<uint8_t>& bytes) {
  absl::StatusOr<Json> parsed = ParseCbor(bytes);
  if (!parsed.ok()) return std::nullopt;
  const Json json = *std::move(parsed);
  if (!json.is_object() || FieldOr<int>(json, "v", 0) != kPeerProtocolVersion) {
    return std::nullopt;
  }
  const int type = FieldOr<int>(json, "type", -1);
  const auto body = json.find("body");
  if (type < 0 || type >= kMessageTypes || body == json.end() ||
      !body->is_object()) {
    return std::nullopt;
  }
  return PeerMessage{static_cast<PeerMessageType>(type), *body};
}

}  // namespace applehall
