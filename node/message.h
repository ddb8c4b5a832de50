// The HTTP messages of a node and the bounds that both of its sides keep.
#pragma once

#include <boost/beast/http.hpp>
#include <cstddef>
#include <cstdint>

namespace thymewood::node {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

constexpr std::uint32_t kHeaderLimit = 16 * 1024;
// Bytes, of a request. The protocol says 64 KiB, and some callers send more all the same: 90 KiB were seen.
// Danger: a request that is turned down for its length is one more that failed without having been sent on.
constexpr std::uint64_t kBodyLimit = std::uint64_t{256} * 1024;
// Bytes, of an answer: servers send more than they take. Danger: an answer that is not taken in has run all
// the same, and an unsafe request is lost with it. The memory of messages bounds them all together.
constexpr std::uint64_t kAnswerLimit = std::uint64_t{1024} * 1024;

// Drops the fields that belong to one connection and not to the message.
template <typename Fields>
void drop_hop_by_hop(Fields& fields) {
  namespace http = boost::beast::http;
  for (const http::field name :
       {http::field::connection, http::field::keep_alive, http::field::proxy_connection, http::field::te,
        http::field::trailer, http::field::transfer_encoding, http::field::upgrade, http::field::expect,
        http::field::content_length}) {
    fields.erase(name);
  }
}

}  // namespace thymewood::node
