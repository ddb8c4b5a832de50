#include "upstream_connection.h"

#include <sys/socket.h>

#include <cerrno>

namespace thymewood::node {

const char* name_of(CloseReason reason) {
  switch (reason) {
    case CloseReason::kIdleTimeout:
      return "idle";
    case CloseReason::kClosedByServer:
      return "closed_by_server";
    case CloseReason::kEndpointUnusable:
      return "server_unusable";
    case CloseReason::kServerRestarted:
      return "another_process";
    case CloseReason::kUnexpectedBytes:
      return "unasked_bytes";
    case CloseReason::kNotReusable:
      return "not_kept";
    case CloseReason::kConnectFailed:
      return "connect_failed";
    case CloseReason::kConnectionLimit:
      return "descriptors";
  }
  return "unknown";
}

bool UpstreamConnection::is_readable() {
  char byte = 0;
  ssize_t received = 0;
  do {
    received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  } while (received < 0 && errno == EINTR);
  return received >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

void UpstreamConnection::close() {
  state = State::kClosed;
  cancel_timer(timer);
  boost::system::error_code ignored;
  socket.close(ignored);
}

}  // namespace thymewood::node
