// Helpers for loopback sockets, and for waiting for a condition with a generous limit.
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
constexpr auto kMaxWait = 20s;  // generous for slow machines; only a failing test waits that long

// Polls until the condition holds; returns false after kMaxWait.
template <typename Condition>
[[nodiscard]] bool eventually(Condition condition) {
  const auto deadline = std::chrono::steady_clock::now() + kMaxWait;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) return false;
    std::this_thread::sleep_for(2ms);
  }
  return true;
}

// Sleeps for a duration that is part of the tested scenario. To wait for a condition, use eventually().
inline void sleep_for(std::chrono::milliseconds duration) { std::this_thread::sleep_for(duration); }

// Owns a file descriptor and closes it on destruction.
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
  [[nodiscard]] int get() const { return fd_; }

 private:
  int fd_;
};

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// Sets small segments and a small receive buffer, so that the peer of this socket, or of one accepted from
// it, blocks after some tens of KiB. On loopback, send buffers would otherwise grow to megabytes.
inline void shrink_buffers(int socket) {
  const int max_segment = 88, receive_buffer = 1;  // bytes; the kernel's minima
  ::setsockopt(socket, IPPROTO_TCP, TCP_MAXSEG, &max_segment, sizeof max_segment);
  ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
}

}  // namespace thymewood::node
