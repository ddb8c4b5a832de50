// HTTP message types and the size limits shared by the client side and the server side of a node.
#pragma once

#include <boost/beast/http.hpp>
#include <cstddef>
#include <cstdint>

namespace thymewood::node {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

constexpr std::uint32_t kHeaderLimit = 16 * 1024;  // bytes
// Bytes. Higher than the protocol's limit of 64 KiB, which some clients exceed: a request rejected for its
// size fails without an attempt.
constexpr std::uint64_t kRequestBodyLimit = std::uint64_t{256} * 1024;
// Bytes. Higher than the limit for requests, since a request whose response is not read has been processed
// nevertheless, and cannot be retried if it is not idempotent. The memory budget limits the total.
constexpr std::uint64_t kResponseBodyLimit = std::uint64_t{1024} * 1024;

// Removes the hop-by-hop fields, which apply to a single connection (RFC 9110, 7.6.1).
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
