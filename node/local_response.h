// Responses that the node generates itself.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "message.h"

namespace thymewood::node {

[[nodiscard]] HttpResponse make_text_response(boost::beast::http::status status, const std::string& text);

// For a request that is shed. `retry_after` in seconds; 0: no Retry-After.
[[nodiscard]] HttpResponse make_overload_response(double retry_after);

// Sheds the requests received on a connection without allocating memory, for out-of-memory conditions.
void send_overload_response(boost::asio::ip::tcp::socket& socket);

}  // namespace thymewood::node
