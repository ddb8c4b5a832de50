// What the kernel knows of a connection that the node has not looked at for a while. A process may be
// stopped, or starved of its core, at any point; what it reads when it runs again is as old as it is, not as
// new as the look. No clock of the node's own can tell, for the time lies between two of its readings; the
// kernel notes when data came in.
//
// tcp(7), TCP_INFO: tcpi_last_data_recv, in ms since data last came (exact to a tick of the kernel, 1 to 10
// ms), and tcpi_state, which is past ESTABLISHED once the peer has closed, whatever is still to be read.
#pragma once

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace thymewood::node {

struct Arrival {
  double age = 0;            // s since the peer last sent something; 0 where the kernel does not tell
  bool peer_closed = false;  // it sends nothing more: it has closed, or reset the connection
  bool known = false;        // false: the kernel does not tell, and the two above say nothing
};

// s. Younger than this, all is as usual: the loop was busy for a moment. From here on the node was late, and
// what it holds may be over: it looks whether the peer still waits.
constexpr double kLateLook = 0.020;
// s. An answer that lay unread for longer was found by a node that had been stopped. Danger: a node that is
// merely short of its core has to learn how long answers take it, its own stalls included, for its time-outs
// stall with it.
constexpr double kAway = 0.25;

// One system call. Of data that came in several pieces, the age is the last one's.
inline Arrival look_at(int socket) {
  tcp_info info{};
  socklen_t size = sizeof info;
  Arrival out;
  if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return out;
  constexpr socklen_t kNeeded = offsetof(tcp_info, tcpi_last_data_recv) + sizeof info.tcpi_last_data_recv;
  if (size < kNeeded) return out;
  if (info.tcpi_state == 0) return out;  // no state of tcp(7)
  out.known = true;
  constexpr double kMilli = 1e-3;
  out.age = kMilli * static_cast<double>(info.tcpi_last_data_recv);
  out.peer_closed =
      info.tcpi_state == TCP_CLOSE_WAIT || info.tcpi_state == TCP_LAST_ACK || info.tcpi_state == TCP_CLOSE;
  return out;
}

}  // namespace thymewood::node
