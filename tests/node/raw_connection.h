// Reads and writes HTTP messages on a client or server connection.
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

// A TCP connection on which HTTP messages are written and read as text.
class RawConnection {
 public:
  RawConnection() = default;
  explicit RawConnection(Fd fd) : fd_(std::move(fd)) {}
  // `small_buffers`: the peer blocks after few bytes unless this side reads. If the connect fails, the
  // connection is not open.
  static RawConnection connect_to(int port, bool small_buffers = false) {
    Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    if (small_buffers) shrink_buffers(fd.get());
    const sockaddr_in server_address = loopback(port);
    if (::connect(fd.get(), reinterpret_cast<const sockaddr*>(&server_address), sizeof server_address) != 0)
      fd.reset();
    return RawConnection(std::move(fd));
  }
  bool is_open() const { return fd_.get() >= 0; }
  void close() { fd_.reset(); }
  // Closes the connection with a RST.
  void reset() {
    const linger abort_linger{1, 0};
    ::setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &abort_linger, sizeof abort_linger);
    fd_.reset();
  }
  int fd() const { return fd_.get(); }
  // Waits until data or the end of the connection can be read, and reads nothing.
  bool wait_readable() const {
    pollfd poll_fd{fd_.get(), POLLIN, 0};
    return ::poll(&poll_fd, 1, static_cast<int>(std::chrono::milliseconds(kMaxWait).count())) > 0;
  }
  // Shuts down the sending direction; the connection can still be read from.
  void half_close() const { ::shutdown(fd_.get(), SHUT_WR); }
  // Sends `text` repeatedly until `max_bytes` are sent, the peer has read nothing for 200 ms, or a send
  // fails. Returns the number of bytes sent.
  std::size_t flood(const std::string& text, std::size_t max_bytes) const {
    std::size_t sent = 0;
    for (auto last_progress = std::chrono::steady_clock::now(); sent < max_bytes;) {
      const std::size_t offset = sent % text.size();
      const ssize_t n =
          ::send(fd_.get(), text.data() + offset, text.size() - offset, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n > 0) {
        sent += static_cast<std::size_t>(n);
        last_progress = std::chrono::steady_clock::now();
      } else if (errno != EAGAIN || std::chrono::steady_clock::now() - last_progress > 200ms) {
        break;
      }
    }
    return sent;
  }

  bool write(const std::string& text) {
    std::size_t offset = 0;
    while (offset < text.size()) {
      const ssize_t n = ::send(fd_.get(), text.data() + offset, text.size() - offset, MSG_NOSIGNAL);
      if (n <= 0) return false;
      offset += static_cast<std::size_t>(n);
    }
    return true;
  }
  // Reads one message; without a Content-Length it has no body. Returns an empty string if the connection
  // ends or nothing arrives within kMaxWait.
  std::string read_message() {
    for (;;) {
      const std::size_t head_end = received_.find("\r\n\r\n");
      if (head_end != std::string::npos) {
        const std::size_t size = head_end + 4 + content_length_of(received_.substr(0, head_end + 2));
        if (received_.size() >= size) {
          std::string out = received_.substr(0, size);
          received_.erase(0, size);
          return out;
        }
      }
      if (!receive_more()) return {};
    }
  }
  // Returns everything up to the end of the connection, or until nothing arrives within kMaxWait.
  std::string read_until_close() {
    while (receive_more()) {
    }
    return std::exchange(received_, {});
  }
  // Waits for more data; returns false at the end of the connection or after kMaxWait.
  bool receive_more() {
    pollfd poll_fd{fd_.get(), POLLIN, 0};
    if (::poll(&poll_fd, 1, static_cast<int>(std::chrono::milliseconds(kMaxWait).count())) <= 0) return false;
    char buffer[4096];
    const ssize_t n = ::recv(fd_.get(), buffer, sizeof buffer, 0);
    if (n <= 0) return false;
    received_.append(buffer, static_cast<std::size_t>(n));
    return true;
  }

 private:
  static std::size_t content_length_of(const std::string& head) {
    std::string lowercase;
    for (const char c : head) lowercase += static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    const std::size_t pos = lowercase.find("\r\ncontent-length:");
    return pos == std::string::npos ? 0 : std::stoul(lowercase.substr(pos + 17));
  }
  Fd fd_;
  std::string received_;
};

inline int status_of(const std::string& response) {
  return response.size() < 12 ? 0 : std::stoi(response.substr(9, 3));
}

inline std::string header_of(const std::string& message, const std::string& name) {
  const std::size_t pos = message.find("\r\n" + name + ": ");
  if (pos == std::string::npos) return {};
  const std::size_t begin = pos + name.size() + 4;
  return message.substr(begin, message.find("\r\n", begin) - begin);
}

inline std::string body_of(const std::string& message) {
  const std::size_t pos = message.find("\r\n\r\n");
  return pos == std::string::npos ? "" : message.substr(pos + 4);
}

}  // namespace thymewood::node
