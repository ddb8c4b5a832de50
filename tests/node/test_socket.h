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
constexpr auto kMaxWait = 20s;  // for slow machines; only a failing test takes that long

// Waits until the condition holds; false after kMaxWait.
template <typename Condition>
[[nodiscard]] bool eventually(Condition condition) {
  const auto until = std::chrono::steady_clock::now() + kMaxWait;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > until) return false;
    std::this_thread::sleep_for(2ms);
  }
  return true;
}

// Lets the time under test elapse.
inline void sleep_for(std::chrono::milliseconds duration) { std::this_thread::sleep_for(duration); }

// Owns a descriptor.
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
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(port));
  out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return out;
}

// Small segments and a small receive buffer, so that a peer of this socket, or of one that it accepts, blocks
// after some tens of KiB. On loopback, send buffers grow to megabytes otherwise.
inline void shrink_buffers(int socket) {
  const int segment = 88, buffer = 1;  // bytes; the kernel's minima
  ::setsockopt(socket, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
  ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
}

}  // namespace thymewood::node
