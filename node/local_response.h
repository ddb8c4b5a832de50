// The responses that a node makes itself.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "message.h"

namespace thymewood::node {

[[nodiscard]] HttpResponse make_text_response(boost::beast::http::status status, const std::string& text);

// The request is shed; `retry_after` in s, 0: no Retry-After.
[[nodiscard]] HttpResponse make_overload_response(double retry_after);

// Sheds what has arrived on a connection without allocating memory, for when there is none left.
void send_overload_response(boost::asio::ip::tcp::socket& socket);

}  // namespace thymewood::node
