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

namespace applehall {
namespace {

using Server = websocketpp::server<websocketpp::config::asio>;
using Client = websocketpp::client<websocketpp::config::asio_client>;
using Handle = websocketpp::connection_hdl;
using Opcode = websocketpp::frame::opcode::value;

constexpr char kHelloPrefix[] = "hello ";
constexpr char kProofPrefix[] = "proof ";
constexpr std::size_t kChallengeBytes = 16;
constexpr std::size_t kMostHandshakeBytes = 512;

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

std::string Proof(const std::string& key, const std::string& challenge,
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
    SetUp(server_);
    SetUp(client_);
    server_.set_reuse_addr(true);
    server_.set_open_handler([this](Handle h) { Opened(h, "", false); });
    server_.listen(boost::asio::ip::tcp::endpoint(
        boost::asio::ip::make_address(settings_.listen_ip),
        settings_.listen_port));
    websocketpp::lib::asio::error_code error;
    port_ = server_.get_local_endpoint(error).port();
    server_.start_accept();
  }

  void Start() {
    thread_ = std::thread([this] { io_.run(); });
  }

  void Stop() {
    if (!thread_.joinable()) return;
    boost::asio::post(io_, [this] {
      websocketpp::lib::error_code ignored;
      server_.stop_listening(ignored);
      io_.stop();
    });
    thread_.join();
  }

  uint16_t port() const { return port_; }

  void Send(const std::string& host, const std::string& address,
            std::vector<uint8_t> bytes) {
    if (queued_ >= settings_.max_queued_messages) {
      // The link thread is behind; what is lost is sent anew by its sender.
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
        {"malformed", malformed_}};
  }

 private:
  struct Link {
    Handle handle;
    bool is_outgoing = false;
    bool is_open = false;
    bool is_proven = false;
    bool is_full = false;  // The last message found no room.
    std::string host;      // Known from the start on outgoing links.
    std::string challenge;
    std::deque<std::vector<uint8_t>> waiting;
  };
  using LinkPtr = std::shared_ptr<Link>;

  template <typename Endpoint>
  void SetUp(Endpoint& endpoint) {
    endpoint.clear_access_channels(websocketpp::log::alevel::all);
    endpoint.clear_error_channels(websocketpp::log::elevel::all);
    endpoint.init_asio(&io_);
    endpoint.set_max_message_size(settings_.max_message_bytes);
    endpoint.set_open_handshake_timeout(settings_.dial_timeout_ms);
    endpoint.set_close_handshake_timeout(settings_.dial_timeout_ms);
    endpoint.set_message_handler([this](Handle h, auto message) {
      Received(h, message->get_opcode(), message->get_payload());
    });
    endpoint.set_close_handler([this](Handle h) { Closed(h); });
    endpoint.set_fail_handler([this](Handle h) { Closed(h); });
  }

  void SendOnThread(const std::string& host, const std::string& address,
                    std::vector<uint8_t> bytes) {
    const auto proven = by_host_.find(host);
    if (proven != by_host_.end()) {
      Write(*proven->second, bytes);
      return;
    }
    LinkPtr& dialling = dialling_[host];
    if (!dialling) dialling = Dial(host, address);
    if (!dialling) {
      dialling_.erase(host);
      ++dropped_;
      return;
    }
    if (dialling->waiting.size() >= settings_.max_queued_messages) {
      dialling->waiting.pop_front();
      ++dropped_;
    }
    dialling->waiting.push_back(std::move(bytes));
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
    links_[link->handle] = link;
    connection->set_open_handler(
        [this, host](Handle h) { Opened(h, host, true); });
    client_.connect(connection);
    return link;
  }

  void Opened(Handle handle, const std::string& host, bool is_outgoing) {
    LinkPtr& link = links_[handle];
    if (!link) {
      if (links_.size() > settings_.max_links) {
        links_.erase(handle);
        ++rejected_;
        CloseHandle(handle, is_outgoing);
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

  void Received(Handle handle, Opcode opcode, const std::string& payload) {
    const auto it = links_.find(handle);
    if (it == links_.end()) return;
    const LinkPtr link = it->second;
    if (opcode == websocketpp::frame::opcode::text) {
      Handshake(link, payload);
      return;
    }
    if (!link->is_proven) {
      Reject(link, "message before proof");
      return;
    }
    ++received_;
    bytes_received_ += payload.size();
    const std::vector<uint8_t> bytes(payload.begin(), payload.end());
    if (on_message_(link->host, bytes)) return;
    ++malformed_;
    Reject(link, "malformed message");
  }

  void Handshake(const LinkPtr& link, const std::string& text) {
    const std::string hello = kHelloPrefix;
    const std::string proof = kProofPrefix;
    if (link->is_proven || text.size() > kMostHandshakeBytes) {
      Reject(link, "unexpected text");
    } else if (text.compare(0, hello.size(), hello) == 0) {
      const auto space = text.find(' ', hello.size());
      const std::string name = text.substr(hello.size(), space - hello.size());
      const bool is_expected = !link->is_outgoing || name == link->host;
      if (space == std::string::npos || name.empty() ||
          name == settings_.self || !is_expected) {
        Reject(link, "another host answers: " + name);
        return;
      }
      link->host = name;
      WriteText(*link, proof + Proof(settings_.shared_key,
                                     text.substr(space + 1), settings_.self));
    } else if (text.compare(0, proof.size(), proof) == 0) {
      const std::string expected =
          Proof(settings_.shared_key, link->challenge, link->host);
      if (link->host.empty() ||
          !EqualInConstantTime(expected, text.substr(proof.size()))) {
        Reject(link, "wrong shared key");
        return;
      }
      Proven(link);
    } else {
      Reject(link, "unknown handshake");
    }
  }

  void Proven(const LinkPtr& link) {
    link->is_proven = true;
    by_host_[link->host] = link;
    dialling_.erase(link->host);
    on_event_("peer_linked", link->host,
              link->is_outgoing ? "outgoing" : "incoming");
    while (!link->waiting.empty()) {
      Write(*link, link->waiting.front());
      link->waiting.pop_front();
    }
  }

  void Reject(const LinkPtr& link, const std::string& why) {
    ++rejected_;
    on_event_("peer_rejected", link->host, why);
    const Handle handle = link->handle;
    const bool is_outgoing = link->is_outgoing;
    Closed(handle);
    CloseHandle(handle, is_outgoing);
  }

  void CloseHandle(Handle handle, bool is_outgoing) {
    websocketpp::lib::error_code ignored;
    const auto status = websocketpp::close::status::policy_violation;
    if (is_outgoing) {
      client_.close(handle, status, "", ignored);
    } else {
      server_.close(handle, status, "", ignored);
    }
  }

  void Closed(Handle handle) {
    const auto it = links_.find(handle);
    if (it == links_.end()) return;
    const LinkPtr link = it->second;
    links_.erase(it);
    dropped_ += link->waiting.size();
    const auto proven = by_host_.find(link->host);
    if (proven != by_host_.end() && proven->second == link) {
      by_host_.erase(proven);
      on_event_("peer_unlinked", link->host, "");
    }
    const auto dialled = dialling_.find(link->host);
    if (dialled != dialling_.end() && dialled->second == link) {
      dialling_.erase(dialled);
    }
  }

  template <typename Endpoint>
  void SendBinary(Endpoint& endpoint, Handle handle,
                  const std::vector<uint8_t>& bytes,
                  websocketpp::lib::error_code& error) {
    const auto connection = endpoint.get_con_from_hdl(handle, error);
    if (error) return;
    // A peer that is cut off takes nothing, while TCP still counts the link as
    // open; what is queued for it must not grow.
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
  boost::asio::io_context io_;
  Server server_;
  Client client_;
  std::thread thread_;
  uint16_t port_ = 0;
  std::map<Handle, LinkPtr, std::owner_less<Handle>> links_;
  std::map<std::string, LinkPtr> by_host_;   // Proven links.
  std::map<std::string, LinkPtr> dialling_;  // Not proven yet.
  std::atomic<std::size_t> queued_{0};
  std::atomic<uint64_t> sent_{0};
  std::atomic<uint64_t> bytes_sent_{0};
  std::atomic<uint64_t> received_{0};
  std::atomic<uint64_t> bytes_received_{0};
  std::atomic<uint64_t> dropped_{0};
  std::atomic<uint64_t> rejected_{0};
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
std::map<std::string, uint64_t> WebsocketLink::Counters() const {
  return impl_->Counters();
}

}  // namespace applehall
