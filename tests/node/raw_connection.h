// HTTP messages over one connection, on either side of it.
#pragma once

#include <poll.h>
#include <sys/socket.h>

#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstddef>
#include <string>
#include <utility>

#include "test_socket.h"

namespace thymewood::node {

// A connection on which HTTP messages are written and read as text.
class RawConnection {
 public:
  RawConnection() = default;
  explicit RawConnection(Fd fd) : fd_(std::move(fd)) {}
  // `small_buffers`: it buffers little before it is read from.
  static RawConnection connect_to(int port, bool small_buffers = false) {
    Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    if (small_buffers) shrink_buffers(fd.get());
    const sockaddr_in where = loopback(port);
    if (::connect(fd.get(), reinterpret_cast<const sockaddr*>(&where), sizeof where) != 0) fd.reset();
    return RawConnection(std::move(fd));
  }
  bool is_open() const { return fd_.get() >= 0; }
  void close() { fd_.reset(); }
  // Closes with a reset.
  void reset() {
    const linger hard{1, 0};
    ::setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    fd_.reset();
  }
  int fd() const { return fd_.get(); }
  // Waits until something has arrived, and leaves it unread.
  bool wait_readable() const {
    pollfd wait{fd_.get(), POLLIN, 0};
    return ::poll(&wait, 1, static_cast<int>(std::chrono::milliseconds(kMaxWait).count())) > 0;
  }
  // Half-closes the connection.
  void half_close() const { ::shutdown(fd_.get(), SHUT_WR); }
  // Sends until the peer reads no more, or `most` bytes are sent; returns how many.
  std::size_t flood(const std::string& text, std::size_t most) const {
    std::size_t sent = 0;
    for (auto since = std::chrono::steady_clock::now(); sent < most;) {
      const std::size_t at = sent % text.size();
      const ssize_t n = ::send(fd_.get(), text.data() + at, text.size() - at, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n > 0) {
        sent += static_cast<std::size_t>(n);
        since = std::chrono::steady_clock::now();
      } else if (errno != EAGAIN || std::chrono::steady_clock::now() - since > 200ms) {
        break;
      }
    }
    return sent;
  }

  bool write(const std::string& text) {
    std::size_t at = 0;
    while (at < text.size()) {
      const ssize_t n = ::send(fd_.get(), text.data() + at, text.size() - at, MSG_NOSIGNAL);
      if (n <= 0) return false;
      at += static_cast<std::size_t>(n);
    }
    return true;
  }
  // One message with a Content-Length (none: no body); empty at the end of the connection.
  std::string read_message() {
    for (;;) {
      const std::size_t head = received_.find("\r\n\r\n");
      if (head != std::string::npos) {
        const std::size_t size = head + 4 + length_in(received_.substr(0, head + 2));
        if (received_.size() >= size) {
          std::string out = received_.substr(0, size);
          received_.erase(0, size);
          return out;
        }
      }
      if (!receive_more()) return {};
    }
  }
  // Everything up to the end of the connection.
  std::string read_until_close() {
    while (receive_more()) {
    }
    return std::exchange(received_, {});
  }
  // Waits for more to arrive; false at the end of the connection.
  bool receive_more() {
    pollfd wait{fd_.get(), POLLIN, 0};
    if (::poll(&wait, 1, static_cast<int>(std::chrono::milliseconds(kMaxWait).count())) <= 0) return false;
    char piece[4096];
    const ssize_t n = ::recv(fd_.get(), piece, sizeof piece, 0);
    if (n <= 0) return false;
    received_.append(piece, static_cast<std::size_t>(n));
    return true;
  }

 private:
  static std::size_t length_in(const std::string& head) {
    std::string low;
    for (const char c : head) low += static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    const std::size_t at = low.find("\r\ncontent-length:");
    return at == std::string::npos ? 0 : std::stoul(low.substr(at + 17));
  }
  Fd fd_;
  std::string received_;
};

inline int status_of(const std::string& answer) {
  return answer.size() < 12 ? 0 : std::stoi(answer.substr(9, 3));
}

inline std::string field_of(const std::string& message, const std::string& name) {
  const std::size_t at = message.find("\r\n" + name + ": ");
  if (at == std::string::npos) return {};
  const std::size_t from = at + name.size() + 4;
  return message.substr(from, message.find("\r\n", from) - from);
}

inline std::string body_of(const std::string& message) {
  const std::size_t at = message.find("\r\n\r\n");
  return at == std::string::npos ? "" : message.substr(at + 4);
}

}  // namespace thymewood::node
