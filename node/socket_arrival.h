// Queries the kernel for the time at which data last arrived on a TCP connection. A process may be suspended
// or starved of CPU time at any point, so data can be much older than the read that returns it. The process
// cannot measure this delay with its own clock, because the delay lies between two of its clock readings; the
// kernel records the arrival time.
//
// tcp(7), TCP_INFO: tcpi_last_data_recv is the time in ms since data last arrived (in steps of a kernel tick,
// 1 to 10 ms); tcpi_state is past ESTABLISHED once the peer has closed, even if data is still unread.
#pragma once

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace thymewood::node {

struct SocketArrival {
  double age = 0;            // s since data last arrived; 0 if the kernel does not report it
  bool peer_closed = false;  // the peer has closed or reset the connection
  bool known = false;        // false: the kernel does not report it, and the other fields are not valid
};

// The client of a request that was unread for longer may have disconnected, which is checked before
// forwarding. Shorter delays are attributed to a busy event loop.
constexpr double kLateReadThreshold = 0.020;  // s

// If a response was unread for longer, this process had been suspended, and the delay is excluded from the
// server's response time. Shorter delays are included: a node that is short of CPU time must include its own
// stalls in the response times from which it derives its timeouts.
constexpr double kSuspensionThreshold = 0.25;  // s

// Makes one system call. If the data arrived in several segments, the age is that of the last one.
[[nodiscard]] inline SocketArrival read_socket_arrival(int socket) {
  SocketArrival arrival;
  tcp_info info{};
  socklen_t size = sizeof info;
  if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return arrival;
  constexpr socklen_t kNeededSize = offsetof(tcp_info, tcpi_last_data_recv) + sizeof info.tcpi_last_data_recv;
  if (size < kNeededSize) return arrival;
  if (info.tcpi_state == 0) return arrival;  // no valid TCP state
  arrival.known = true;
  constexpr double kSecondsPerMillisecond = 1e-3;
  arrival.age = kSecondsPerMillisecond * static_cast<double>(info.tcpi_last_data_recv);
  arrival.peer_closed =
      info.tcpi_state == TCP_CLOSE_WAIT || info.tcpi_state == TCP_LAST_ACK || info.tcpi_state == TCP_CLOSE;
  return arrival;
}

}  // namespace thymewood::node
