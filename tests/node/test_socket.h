// Loopback sockets of the tests, and waiting for a condition with a generous limit.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <thread>
#include <utility>

namespace thymewood::node {

using namespace std::chrono_literals;
constexpr auto kPatience = 20s;  // a machine may be slow; a test that fails may take its time

template <typename Condition>
bool eventually(Condition condition) {
  const auto until = std::chrono::steady_clock::now() + kPatience;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > until) return false;
    std::this_thread::sleep_for(2ms);
  }
  return true;
}

// A descriptor that is closed with its owner.
class Fd {
 public:
  explicit Fd(int fd = -1) : fd_(fd) {}
  Fd(Fd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Fd& operator=(Fd&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  ~Fd() { reset(); }
  void reset() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  }
  int get() const { return fd_; }

 private:
  int fd_;
};

inline sockaddr_in loopback(int port) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(port));
  out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return out;
}

// Small segments and a small buffer, so that whoever sends to this socket, or to what it accepts, is stopped
// after some tens of KiB. On loopback a sender's buffer is megabytes otherwise: it grows with the segments.
inline void narrow(int socket) {
  const int segment = 88, buffer = 1;  // the least that there is
  ::setsockopt(socket, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
  ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
}

}  // namespace thymewood::node
