#ifndef APPLEHALL_DRIVERS_RESPONSE_BODY_H_
#define APPLEHALL_DRIVERS_RESPONSE_BODY_H_

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstdint>
#include <string>

namespace applehall {

// A body that a parser appends to a string as it arrives, for Beast's parsers.
// Unlike their string_body it sets no memory aside for the length that the peer
// declares, which may exceed all memory: the parser would throw within a
// completion handler. Not thread-safe.
struct ResponseBody {
  using value_type = std::string;

  // Beast asks for this name. NOLINTNEXTLINE(readability-identifier-naming)
  class reader {
   public:
    template <bool kIsRequest, typename Fields>
    reader(boost::beast::http::header<kIsRequest, Fields>&, value_type& body)
        : body_(body) {}

    void init(const boost::optional<std::uint64_t>&,
              boost::system::error_code& error) {
      error = {};
    }
    template <typename Buffers>
    std::size_t put(const Buffers& buffers, boost::system::error_code& error) {
      error = {};
      std::size_t size = 0;
      for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
        body_.append(static_cast<const char*>(buffer.data()), buffer.size());
        size += buffer.size();
      }
      return size;
    }
    void finish(boost::system::error_code& error) { error = {}; }

   private:
    value_type& body_;
  };
};

}  // namespace applehall

#endif  // APPLEHALL_DRIVERS_RESPONSE_BODY_H_
