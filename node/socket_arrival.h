// Reads from the kernel when data last arrived on a TCP connection. A process may be suspended or starved of
// CPU time at any point, and what it reads afterwards is older than the read. The process's own clock cannot
// measure that delay, which lies between two of its readings; the kernel records when data arrived.
//
// tcp(7), TCP_INFO: tcpi_last_data_recv is the time in ms since data last arrived (in steps of a kernel tick,
// 1 to 10 ms); tcpi_state is past ESTABLISHED once the peer has closed, whatever is still unread.
#pragma once

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace thymewood::node {

struct SocketArrival {
  double age = 0;            // s since data last arrived; 0 where the kernel does not report it
  bool peer_closed = false;  // the peer has closed or reset the connection
  bool known = false;        // false: the kernel does not report it, and the two above say nothing
};

// A request that has waited for longer may have been abandoned by its client, which is checked before it is
// forwarded. Shorter delays are those of a busy event loop.
constexpr double kLateRead = 0.020;  // s

// A response that was unread for longer was read by a process that had been suspended, and the delay is not
// counted as the server's. Shorter delays count: a node that is short of CPU time has to include its own
// stalls in the response times that its timeouts derive from.
constexpr double kSuspendedProcess = 0.25;  // s

// One system call. For data that arrived in several segments, the age is that of the last.
[[nodiscard]] inline SocketArrival read_socket_arrival(int socket) {
  SocketArrival arrival;
  tcp_info info{};
  socklen_t size = sizeof info;
  if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return arrival;
  constexpr socklen_t kNeededSize = offsetof(tcp_info, tcpi_last_data_recv) + sizeof info.tcpi_last_data_recv;
  if (size < kNeededSize) return arrival;
  if (info.tcpi_state == 0) return arrival;  // not a state of tcp(7)
  arrival.known = true;
  constexpr double kSecondsPerMillisecond = 1e-3;
  arrival.age = kSecondsPerMillisecond * static_cast<double>(info.tcpi_last_data_recv);
  arrival.peer_closed =
      info.tcpi_state == TCP_CLOSE_WAIT || info.tcpi_state == TCP_LAST_ACK || info.tcpi_state == TCP_CLOSE;
  return arrival;
}

}  // namespace thymewood::node
