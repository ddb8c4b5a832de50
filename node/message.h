// The HTTP messages of a node, and the limits that its client side and its server side share.
#pragma once

#include <boost/beast/http.hpp>
#include <cstddef>
#include <cstdint>

namespace thymewood::node {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

constexpr std::uint32_t kHeaderLimit = 16 * 1024;  // bytes
// Bytes. Above the 64 KiB of the protocol, which some clients exceed: a request that is rejected for its
// length has failed without an attempt.
constexpr std::uint64_t kRequestBodyLimit = std::uint64_t{256} * 1024;
// Bytes. Above the limit of requests, since a response that is not read has been processed all the same, and
// a request that is not idempotent is lost with it. The memory budget limits all of them together.
constexpr std::uint64_t kResponseBodyLimit = std::uint64_t{1024} * 1024;

// Removes the fields that belong to one connection and not to the message (RFC 9110, 7.6.1).
template <typename Fields>
void remove_hop_by_hop_fields(Fields& fields) {
  namespace http = boost::beast::http;
  for (const http::field name :
       {http::field::connection, http::field::keep_alive, http::field::proxy_connection, http::field::te,
        http::field::trailer, http::field::transfer_encoding, http::field::upgrade, http::field::expect,
        http::field::content_length}) {
    fields.erase(name);
  }
}

}  // namespace thymewood::node
