#include "drivers/websocket_link.h"

#include <openssl/crypto.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <atomic>
#include <boost/asio.hpp>
#include <deque>
#include <mutex>
#include <set>
#include <thread>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include "drivers/event_loop.h"
#include "drivers/link_liveness.h"
#include "drivers/port_binder.h"
#include "drivers/socket_activity.h"

namespace applehall {
namespace {

using Server = websocketpp::server<websocketpp::config::asio>;
using Client = websocketpp::client<websocketpp::config::asio_client>;
using Handle = websocketpp::connection_hdl;
using Opcode = websocketpp::frame::opcode::value;

constexpr char kHelloPrefix[] = "hello ";
constexpr char kProofPrefix[] = "proof ";
constexpr std::size_t kChallengeBytes = 16;
constexpr std::size_t kMaxHandshakeBytes = 512;
// More unacknowledged bytes than this belong to a message that takes long.
constexpr std::size_t kTransferBacklogBytes = 16 * 1024;
constexpr std::chrono::milliseconds kAcceptPause{50};

std::string ToHex(const unsigned char* bytes, std::size_t size) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  for (std::size_t i = 0; i < size; ++i) {
    text += kDigits[bytes[i] >> 4];
    text += kDigits[bytes[i] & 15];
  }
  return text;
}

std::string RandomChallenge() {
  unsigned char bytes[kChallengeBytes];
  RAND_bytes(bytes, sizeof(bytes));
  return ToHex(bytes, sizeof(bytes));
}

std::string HandshakeProof(const std::string& key, const std::string& challenge,
                           const std::string& host) {
  const std::string text = challenge + "|" + host;
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest,
       &size);
  return ToHex(digest, size);
}

bool EqualInConstantTime(const std::string& a, const std::string& b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace

class WebsocketLink::Impl {
 public:
  Impl(WebsocketLinkSettings settings, OnMessage on_message, OnEvent on_event)
      : settings_(std::move(settings)),
        on_message_(std::move(on_message)),
        on_event_(std::move(on_event)) {
    ConfigureEndpoint(server_);
    ConfigureEndpoint(client_);
    server_.set_open_handler([this](Handle h) { HandleOpen(h, "", false); });
    server_.set_tcp_post_init_handler([this](Handle h) { HandleAccept(h); });
    binder_.Start([this] { Accept(); });
  }

  void Start() {
    ScheduleChecks();
    thread_ = std::thread([this] { RunEventLoop(io_, "peer_links"); });
  }

  void Stop() {
    if (!thread_.joinable()) return;
    boost::asio::post(io_, [this] {
      binder_.Stop();
      io_.stop();
    });
    thread_.join();
  }

  uint16_t port() const { return binder_.port(); }
  bool is_bound() const { return binder_.is_bound(); }

  void Send(const std::string& host, const std::string& address,
            std::vector<uint8_t> bytes) {
    if (queued_ >= settings_.max_queued_messages) {
      // The link thread is overloaded; senders repeat what is lost.
      ++dropped_;
      return;
    }
    ++queued_;
    boost::asio::post(io_,
                      [this, host, address, data = std::move(bytes)]() mutable {
                        --queued_;
                        SendOnThread(host, address, std::move(data));
                      });
  }

  std::map<std::string, uint64_t> Counters() const {
    return {
        {"messages_sent", sent_},         {"bytes_sent", bytes_sent_},
        {"messages_received", received_}, {"bytes_received", bytes_received_},
        {"messages_dropped", dropped_},   {"links_rejected", rejected_},
        {"links_silent", silent_},        {"malformed", malformed_}};
  }

 private:
  struct Link {
    Handle handle;
    bool is_outgoing = false;
    bool is_open = false;
    bool is_authenticated = false;
    bool is_full = false;  // The last message exceeded the buffer.
    std::string host;      // Set from the start on outgoing links.
    std::string address;   // Of outgoing links.
    std::string challenge;
    LinkLiveness::Clock::time_point created_at = LinkLiveness::Clock::now();
    LinkLiveness liveness{created_at};
    std::deque<std::vector<uint8_t>> pending;
  };
  using LinkPtr = std::shared_ptr<Link>;

  template <typename Endpoint>
  void ConfigureEndpoint(Endpoint& endpoint) {
    endpoint.clear_access_channels(websocketpp::log::alevel::all);
    endpoint.clear_error_channels(websocketpp::log::elevel::all);
    endpoint.init_asio(&io_);
    endpoint.set_max_message_size(settings_.max_message_bytes);
    endpoint.set_open_handshake_timeout(settings_.dial_timeout_ms);
    endpoint.set_close_handshake_timeout(settings_.dial_timeout_ms);
    endpoint.set_message_handler([this](Handle h, auto message) {
      HandleFrame(h, message->get_opcode(), message->get_payload());
    });
    endpoint.set_ping_handler([this](Handle h, const std::string&) {
      RecordReceived(h);
      return true;  // Answer it.
    });
    endpoint.set_pong_handler(
        [this](Handle h, const std::string&) { RecordReceived(h); });
    endpoint.set_close_handler([this](Handle h) { HandleClose(h); });
    endpoint.set_fail_handler([this](Handle h) { HandleClose(h); });
  }

  // Accepts here rather than by server_.listen(), which hides why it failed.
  void Accept() {
    const Server::connection_ptr connection = server_.get_connection();
    if (!connection) {
      AcceptLater();
      return;
    }
    binder_.acceptor().async_accept(
        connection->get_raw_socket(),
        [this, connection](const boost::system::error_code& error) {
          if (!error) {
            // First, so that an exception of one connection does not end it.
            Accept();
            connection->start();
            return;
          }
          connection->terminate(error);
          if (error != boost::asio::error::operation_aborted) AcceptLater();
        });
  }

  // After a lack of descriptors, for example: others may be closed soon.
  void AcceptLater() {
    accept_timer_.expires_after(kAcceptPause);
    accept_timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) Accept();
    });
  }

  void ScheduleChecks() {
    check_timer_.expires_after(LinkLiveness::kCheckInterval);
    check_timer_.async_wait([this](const boost::system::error_code& error) {
      if (error) return;
      // First, so that an exception of one check does not end them.
      ScheduleChecks();
      CheckLinks();
    });
  }

  void CheckLinks() {
    const auto now = LinkLiveness::Clock::now();
    std::vector<LinkPtr> links;
    links.reserve(links_.size());
    for (const auto& [handle, link] : links_) links.push_back(link);
    for (const LinkPtr& link : links) CheckLink(link, now);
  }

  void CheckLink(const LinkPtr& link, LinkLiveness::Clock::time_point now) {
    if (!link->is_authenticated) {
      if (now - link->created_at < dial_timeout_) return;
      Abandon(link, "no handshake", now - link->created_at);
      return;
    }
    switch (link->liveness.Check(now)) {
      case LinkLiveness::Verdict::kAlive:
        return;
      case LinkLiveness::Verdict::kPing:
        Ping(*link);
        return;
      case LinkLiveness::Verdict::kSilent:
        break;
    }
    if (IsTransferring(*link)) {
      link->liveness.RecordReceived(now);
      return;
    }
    Abandon(link, "no answer", link->liveness.Silence(now));
    // The peer may be waiting for this host's next message.
    if (!link->is_outgoing || links_by_host_.count(link->host) != 0) return;
    LinkPtr& dialling = dialling_[link->host];
    if (!dialling) dialling = Dial(link->host, link->address);
    if (!dialling) dialling_.erase(link->host);
  }

  // A new link is made in place of an abandoned one.
  void Abandon(const LinkPtr& link, const std::string& reason,
               LinkLiveness::Clock::duration silence) {
    ++silent_;
    const auto silent_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(silence).count();
    on_event_("peer_link_silent", link->host,
              reason + " for " + std::to_string(silent_ms) + " ms, " +
                  (link->is_outgoing ? "outgoing" : "incoming"));
    const Handle handle = link->handle;
    HandleClose(handle);
    CloseHandle(handle, link->is_outgoing,
                websocketpp::close::status::going_away);
  }

  // An answer can be queued behind a large message in either direction.
  bool IsTransferring(const Link& link) {
    websocketpp::lib::error_code error;
    const int socket = link.is_outgoing ? SocketOf(client_, link.handle, error)
                                        : SocketOf(server_, link.handle, error);
    if (error) return false;
    return HasMovedBytes(socket,
                         std::chrono::duration_cast<std::chrono::milliseconds>(
                             LinkLiveness::kMinPingWait),
                         kTransferBacklogBytes);
  }

  template <typename Endpoint>
  static int SocketOf(Endpoint& endpoint, Handle handle,
                      websocketpp::lib::error_code& error) {
    const auto connection = endpoint.get_con_from_hdl(handle, error);
    return error ? -1 : connection->get_raw_socket().native_handle();
  }

  void Ping(const Link& link) {
    // A ping that cannot be sent shows as silence.
    websocketpp::lib::error_code ignored;
    if (link.is_outgoing) {
      client_.ping(link.handle, "", ignored);
    } else {
      server_.ping(link.handle, "", ignored);
    }
  }

  void RecordReceived(Handle handle) {
    const auto it = links_.find(handle);
    if (it == links_.end()) return;
    it->second->liveness.RecordReceived(LinkLiveness::Clock::now());
  }

  void SendOnThread(const std::string& host, const std::string& address,
                    std::vector<uint8_t> bytes) {
    const auto authenticated = links_by_host_.find(host);
    if (authenticated != links_by_host_.end()) {
      Write(*authenticated->second, bytes);
      return;
    }
    LinkPtr& dialling = dialling_[host];
    if (!dialling) dialling = Dial(host, address);
    if (!dialling) {
      dialling_.erase(host);
      ++dropped_;
      return;
    }
    if (dialling->pending.size() >= settings_.max_queued_messages) {
      dialling->pending.pop_front();
      ++dropped_;
    }
    dialling->pending.push_back(std::move(bytes));
  }

  LinkPtr Dial(const std::string& host, const std::string& address) {
    if (links_.size() >= settings_.max_links) return nullptr;
    websocketpp::lib::error_code error;
    auto connection =
        client_.get_connection("ws://" + address + "/peer", error);
    if (error) return nullptr;
    const LinkPtr link = std::make_shared<Link>();
    link->handle = connection->get_handle();
    link->is_outgoing = true;
    link->host = host;
    link->address = address;
    links_[link->handle] = link;
    connection->set_open_handler(
        [this, host](Handle h) { HandleOpen(h, host, true); });
    client_.connect(connection);
    return link;
  }

  // Limits the number of peers whose handshake is not complete, and the size of
  // their messages.
  void HandleAccept(Handle handle) {
    for (auto it = unknown_peers_.begin(); it != unknown_peers_.end();) {
      it = it->expired() ? unknown_peers_.erase(it) : std::next(it);
    }
    websocketpp::lib::error_code error;
    const auto connection = server_.get_con_from_hdl(handle, error);
    if (error) return;
    connection->set_max_message_size(kMaxHandshakeBytes);
    if (unknown_peers_.size() < settings_.max_unknown_peers) {
      unknown_peers_.insert(handle);
      return;
    }
    ++rejected_;
    boost::system::error_code ignored;
    connection->get_raw_socket().close(ignored);
  }

  void HandleOpen(Handle handle, const std::string& host, bool is_outgoing) {
    if (is_outgoing && links_.find(handle) == links_.end()) {
      // It was abandoned while it was being opened.
      CloseHandle(handle, is_outgoing, websocketpp::close::status::going_away);
      return;
    }
    LinkPtr& link = links_[handle];
    if (!link) {
      if (links_.size() > settings_.max_links) {
        links_.erase(handle);
        ++rejected_;
        CloseHandle(handle, is_outgoing,
                    websocketpp::close::status::policy_violation);
        return;
      }
      link = std::make_shared<Link>();
      link->handle = handle;
      link->host = host;
    }
    link->is_open = true;
    link->challenge = RandomChallenge();
    WriteText(*link, kHelloPrefix + settings_.self + " " + link->challenge);
  }

  void HandleFrame(Handle handle, Opcode opcode, const std::string& payload) {
    const auto it = links_.find(handle);
    if (it == links_.end()) return;
    const LinkPtr link = it->second;
    link->liveness.RecordReceived(LinkLiveness::Clock::now());
    if (opcode == websocketpp::frame::opcode::text) {
      HandleHandshake(link, payload);
      return;
    }
    if (!link->is_authenticated) {
      Reject(link, "message before authentication");
      return;
    }
    ++received_;
    bytes_received_ += payload.size();
    const std::vector<uint8_t> bytes(payload.begin(), payload.end());
    if (on_message_(link->host, bytes)) return;
    ++malformed_;
    Reject(link, "malformed message");
  }

  void HandleHandshake(const LinkPtr& link, const std::string& text) {
    const std::string hello = kHelloPrefix;
    const std::string proof = kProofPrefix;
    if (link->is_authenticated || text.size() > kMaxHandshakeBytes) {
      Reject(link, "unexpected handshake message");
    } else if (text.compare(0, hello.size(), hello) == 0) {
      const auto space = text.find(' ', hello.size());
      const std::string name = text.substr(hello.size(), space - hello.size());
      const bool is_expected = !link->is_outgoing || name == link->host;
      if (space == std::string::npos || name.empty() ||
          name == settings_.self || !is_expected) {
        Reject(link, "unexpected host in hello: " + name);
        return;
      }
      link->host = name;
      WriteText(*link,
                proof + HandshakeProof(settings_.shared_key,
                                       text.substr(space + 1), settings_.self));
    } else if (text.compare(0, proof.size(), proof) == 0) {
      const std::string expected =
          HandshakeProof(settings_.shared_key, link->challenge, link->host);
      if (link->host.empty() ||
          !EqualInConstantTime(expected, text.substr(proof.size()))) {
        Reject(link, "wrong shared key");
        return;
      }
      CompleteHandshake(link);
    } else {
      Reject(link, "unknown handshake message");
    }
  }

  void CompleteHandshake(const LinkPtr& link) {
    link->is_authenticated = true;
    unknown_peers_.erase(link->handle);
    if (!link->is_outgoing) {
      websocketpp::lib::error_code error;
      const auto connection = server_.get_con_from_hdl(link->handle, error);
      if (!error) connection->set_max_message_size(settings_.max_message_bytes);
    }
    links_by_host_[link->host] = link;
    dialling_.erase(link->host);
    on_event_("peer_linked", link->host,
              link->is_outgoing ? "outgoing" : "incoming");
    while (!link->pending.empty()) {
      Write(*link, link->pending.front());
      link->pending.pop_front();
    }
  }

  void Reject(const LinkPtr& link, const std::string& reason) {
    ++rejected_;
    on_event_("peer_rejected", link->host, reason);
    const Handle handle = link->handle;
    const bool is_outgoing = link->is_outgoing;
    HandleClose(handle);
    CloseHandle(handle, is_outgoing,
                websocketpp::close::status::policy_violation);
  }

  void CloseHandle(Handle handle, bool is_outgoing,
                   websocketpp::close::status::value status) {
    websocketpp::lib::error_code ignored;
    if (is_outgoing) {
      client_.close(handle, status, "", ignored);
    } else {
      server_.close(handle, status, "", ignored);
    }
  }

  void HandleClose(Handle handle) {
    unknown_peers_.erase(handle);
    const auto it = links_.find(handle);
    if (it == links_.end()) return;
    const LinkPtr link = it->second;
    links_.erase(it);
    dropped_ += link->pending.size();
    const auto authenticated = links_by_host_.find(link->host);
    if (authenticated != links_by_host_.end() &&
        authenticated->second == link) {
      links_by_host_.erase(authenticated);
      on_event_("peer_unlinked", link->host, "");
    }
    const auto dialled_link = dialling_.find(link->host);
    if (dialled_link != dialling_.end() && dialled_link->second == link) {
      dialling_.erase(dialled_link);
    }
  }

  template <typename Endpoint>
  void SendBinary(Endpoint& endpoint, Handle handle,
                  const std::vector<uint8_t>& bytes,
                  websocketpp::lib::error_code& error) {
    const auto connection = endpoint.get_con_from_hdl(handle, error);
    if (error) return;
    // An unreachable peer reads nothing while TCP still reports the link as
    // open; its send buffer must not grow.
    if (connection->get_buffered_amount() > settings_.max_message_bytes) {
      error = websocketpp::error::make_error_code(
          websocketpp::error::send_queue_full);
      return;
    }
    error = connection->send(bytes.data(), bytes.size(),
                             websocketpp::frame::opcode::binary);
  }

  void Write(Link& link, const std::vector<uint8_t>& bytes) {
    websocketpp::lib::error_code error;
    if (link.is_outgoing) {
      SendBinary(client_, link.handle, bytes, error);
    } else {
      SendBinary(server_, link.handle, bytes, error);
    }
    const bool is_full = error == websocketpp::error::send_queue_full;
    if (is_full != link.is_full) {
      link.is_full = is_full;
      on_event_(is_full ? "peer_link_full" : "peer_link_drained", link.host,
                "");
    }
    if (error) {
      ++dropped_;
      return;
    }
    link.liveness.RecordSent();
    ++sent_;
    bytes_sent_ += bytes.size();
  }

  void WriteText(Link& link, const std::string& text) {
    websocketpp::lib::error_code ignored;
    const auto opcode = websocketpp::frame::opcode::text;
    if (link.is_outgoing) {
      client_.send(link.handle, text, opcode, ignored);
    } else {
      server_.send(link.handle, text, opcode, ignored);
    }
  }

  WebsocketLinkSettings settings_;
  OnMessage on_message_;
  OnEvent on_event_;
  const std::chrono::milliseconds dial_timeout_{settings_.dial_timeout_ms};
  boost::asio::io_context io_;
  boost::asio::steady_timer check_timer_{io_};
  Server server_;
  Client client_;
  PortBinder binder_{io_, "peers", settings_.listen_ip, settings_.listen_port};
  boost::asio::steady_timer accept_timer_{io_};
  std::thread thread_;
  std::map<Handle, LinkPtr, std::owner_less<Handle>> links_;
  std::map<std::string, LinkPtr> links_by_host_;  // Authenticated links.
  std::map<std::string, LinkPtr> dialling_;       // Not authenticated yet.
  // Accepted connections whose handshake is not complete.
  std::set<Handle, std::owner_less<Handle>> unknown_peers_;
  std::atomic<std::size_t> queued_{0};
  std::atomic<uint64_t> sent_{0};
  std::atomic<uint64_t> bytes_sent_{0};
  std::atomic<uint64_t> received_{0};
  std::atomic<uint64_t> bytes_received_{0};
  std::atomic<uint64_t> dropped_{0};
  std::atomic<uint64_t> rejected_{0};
  std::atomic<uint64_t> silent_{0};
  std::atomic<uint64_t> malformed_{0};
};

WebsocketLink::WebsocketLink(WebsocketLinkSettings settings,
                             OnMessage on_message, OnEvent on_event)
    : impl_(std::make_unique<Impl>(std::move(settings), std::move(on_message),
                                   std::move(on_event))) {}
WebsocketLink::~WebsocketLink() { impl_->Stop(); }
void WebsocketLink::Start() { impl_->Start(); }
void WebsocketLink::Stop() { impl_->Stop(); }
void WebsocketLink::Send(const std::string& host, const std::string& address,
                         std::vector<uint8_t> bytes) {
  impl_->Send(host, address, std::move(bytes));
}
uint16_t WebsocketLink::port() const { return impl_->port(); }
bool WebsocketLink::is_bound() const { return impl_->is_bound(); }
std::map<std::string, uint64_t> WebsocketLink::Counters() const {
  return impl_->Counters();
}

}  // namespace applehall
