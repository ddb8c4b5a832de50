#include "local_response.h"

#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstddef>
#include <cstdio>
#include <string_view>

namespace thymewood::node {

namespace http = boost::beast::http;

namespace {

std::string format_seconds(double seconds) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.3f", seconds);
  return text.data();
}

}  // namespace

HttpResponse make_text_response(http::status status, const std::string& text) {
  constexpr unsigned kHttp11 = 11;
  HttpResponse response(status, kHttp11);
  response.set(http::field::content_type, "text/plain");
  response.body() = text;
  return response;
}

HttpResponse make_overload_response(double retry_after) {
  HttpResponse response = make_text_response(http::status::service_unavailable, "refused\n");
  if (retry_after > 0) response.set(http::field::retry_after, format_seconds(retry_after));
  return response;
}

// Reads the received data first: closing a socket with unread data would send an RST, and the client might
// lose the response.
void send_overload_response(boost::asio::ip::tcp::socket& socket) {
  static constexpr std::string_view kResponse =
      "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
  constexpr std::size_t kReadSize = 4096;                         // bytes
  constexpr std::size_t kMaxDiscarded = std::size_t{256} * 1024;  // bytes
  std::array<char, kReadSize> discarded{};
  for (std::size_t total = 0; total < kMaxDiscarded;) {
    const ssize_t n = ::recv(socket.native_handle(), discarded.data(), discarded.size(), MSG_DONTWAIT);
    if (n <= 0 && (n == 0 || errno != EINTR)) break;
    total += n > 0 ? static_cast<std::size_t>(n) : 0;
  }
  ::send(socket.native_handle(), kResponse.data(), kResponse.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  ::shutdown(socket.native_handle(), SHUT_WR);
}

}  // namespace thymewood::node
