// Blocking sockets on loopback addresses, and HTTP/1.1 messages on them, for the stand-ins of the review
// cases. Each connection of a stand-in has a thread of its own.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>

namespace review {

using Steady = std::chrono::steady_clock;

// Seconds since the case started, on the real clock.
inline Steady::time_point& start_time() {
  static Steady::time_point start = Steady::now();
  return start;
}
inline double now() { return std::chrono::duration<double>(Steady::now() - start_time()).count(); }
inline void sleep_until(double at) {
  std::this_thread::sleep_until(
      start_time() + std::chrono::duration_cast<Steady::duration>(std::chrono::duration<double>(at)));
}
inline void sleep_for(double seconds) { sleep_until(now() + seconds); }

inline std::string lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return text;
}

// A message as it was read. `is_whole`: its end was read.
struct Message {
  std::string start_line;
  std::map<std::string, std::string> fields;  // by name in lower case
  std::string body;
  double first_byte_at = 0, last_byte_at = 0;
  bool is_whole = false;

  std::string field(const std::string& name) const {
    const auto it = fields.find(name);
    return it == fields.end() ? "" : it->second;
  }
  // The status of an answer; 0 if there is none.
  int status() const { return start_line.size() < 12 ? 0 : std::atoi(start_line.c_str() + 9); }
};

enum class ReadEnd { kOk, kTimeout, kClosed, kReset };

class Connection {
 public:
  Connection() = default;
  explicit Connection(int descriptor) : descriptor_(descriptor) {
    const int on = 1;
    ::setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~Connection() { close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  Connection(Connection&& other) noexcept
      : descriptor_(std::exchange(other.descriptor_, -1)), buffer_(std::move(other.buffer_)) {}
  Connection& operator=(Connection&& other) noexcept {
    close();
    descriptor_ = std::exchange(other.descriptor_, -1);
    buffer_ = std::move(other.buffer_);
    return *this;
  }

  [[nodiscard]] bool is_open() const { return descriptor_ >= 0; }
  [[nodiscard]] int descriptor() const { return descriptor_; }
  [[nodiscard]] const std::string& buffered() const { return buffer_; }

  void close() {
    if (descriptor_ >= 0) ::close(std::exchange(descriptor_, -1));
    buffer_.clear();
  }
  // Ends the connection with a RST.
  void reset() {
    if (descriptor_ < 0) return;
    const linger now{1, 0};
    ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close();
  }

  // Writes all of the text; returns false if the connection has ended.
  bool write(const std::string& text) {
    for (std::size_t done = 0; done < text.size();) {
      const ssize_t n = ::send(descriptor_, text.data() + done, text.size() - done, MSG_NOSIGNAL);
      if (n < 0 && errno == EINTR) continue;
      if (n <= 0) return false;
      done += static_cast<std::size_t>(n);
    }
    return true;
  }

  // Waits for bytes until the time `until` and adds them to the buffer.
  ReadEnd read_some(double until) {
    for (;;) {
      pollfd wait{descriptor_, POLLIN, 0};
      const double left = std::max(0.0, until - now());
      const int ready = ::poll(&wait, 1, static_cast<int>(left * 1000) + (left > 0 ? 1 : 0));
      if (ready < 0 && errno == EINTR) continue;
      if (ready == 0) return ReadEnd::kTimeout;
      char bytes[16384];
      const ssize_t n = ::recv(descriptor_, bytes, sizeof bytes, 0);
      if (n < 0 && errno == EINTR) continue;
      if (n < 0) return ReadEnd::kReset;
      if (n == 0) return ReadEnd::kClosed;
      buffer_.append(bytes, static_cast<std::size_t>(n));
      return ReadEnd::kOk;
    }
  }

  // Reads one message with a Content-Length, with chunks, or without a body.
  ReadEnd read_message(Message& message, double until) {
    message = {};
    if (!buffer_.empty()) message.first_byte_at = now();
    std::size_t head = 0;
    while ((head = buffer_.find("\r\n\r\n")) == std::string::npos) {
      const ReadEnd end = read_some(until);
      if (end != ReadEnd::kOk) return end;
      if (message.first_byte_at == 0) message.first_byte_at = now();
    }
    parse_head(message, buffer_.substr(0, head + 2));
    buffer_.erase(0, head + 4);
    const ReadEnd end = lower(message.field("transfer-encoding")) == "chunked" ? read_chunks(message, until)
                                                                               : read_length(message, until);
    message.last_byte_at = now();
    message.is_whole = end == ReadEnd::kOk;
    return end;
  }

  // Reads the next chunk of a body; an empty one is its end.
  ReadEnd read_chunk(std::string& chunk, double until) {
    std::size_t line = 0;
    while ((line = buffer_.find("\r\n")) == std::string::npos) {
      const ReadEnd end = read_some(until);
      if (end != ReadEnd::kOk) return end;
    }
    const std::size_t size = std::strtoul(buffer_.c_str(), nullptr, 16);
    while (buffer_.size() < line + 2 + size + 2) {
      const ReadEnd end = read_some(until);
      if (end != ReadEnd::kOk) return end;
    }
    chunk = buffer_.substr(line + 2, size);
    buffer_.erase(0, line + 2 + size + 2);
    return ReadEnd::kOk;
  }

 private:
  static void parse_head(Message& message, const std::string& head) {
    std::size_t at = head.find("\r\n");
    message.start_line = head.substr(0, at);
    while (at + 2 < head.size()) {
      const std::size_t begin = at + 2;
      at = head.find("\r\n", begin);
      const std::size_t colon = head.find(':', begin);
      if (colon == std::string::npos || colon > at) continue;
      const std::size_t value = head.find_first_not_of(' ', colon + 1);
      message.fields[lower(head.substr(begin, colon - begin))] =
          value < at ? head.substr(value, at - value) : "";
    }
  }
  ReadEnd read_length(Message& message, double until) {
    const std::size_t size = std::strtoul(message.field("content-length").c_str(), nullptr, 10);
    while (buffer_.size() < size) {
      const ReadEnd end = read_some(until);
      if (end != ReadEnd::kOk) return end;
    }
    message.body = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return ReadEnd::kOk;
  }
  ReadEnd read_chunks(Message& message, double until) {
    for (std::string chunk;;) {
      const ReadEnd end = read_chunk(chunk, until);
      if (end != ReadEnd::kOk) return end;
      if (chunk.empty()) return ReadEnd::kOk;
      message.body += chunk;
    }
  }

  int descriptor_ = -1;
  std::string buffer_;
};

// A loopback address with a port.
struct Address {
  std::string host = "127.0.0.1";
  int port = 0;
  std::string text() const { return host + ":" + std::to_string(port); }
};

inline sockaddr_in to_sockaddr(const Address& address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(address.port));
  ::inet_pton(AF_INET, address.host.c_str(), &out.sin_addr);
  return out;
}

class Listener {
 public:
  // Listens on a free port of the host, or on the port given.
  explicit Listener(const std::string& host = "127.0.0.1", int port = 0) : address_{host, port} {
    descriptor_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in at = to_sockaddr(address_);
    socklen_t size = sizeof at;
    if (::bind(descriptor_, reinterpret_cast<sockaddr*>(&at), size) != 0 || ::listen(descriptor_, 512) != 0 ||
        ::getsockname(descriptor_, reinterpret_cast<sockaddr*>(&at), &size) != 0)
      throw std::runtime_error("cannot listen on " + address_.text());
    address_.port = ntohs(at.sin_port);
  }
  ~Listener() { close(); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  [[nodiscard]] const Address& address() const { return address_; }
  // Waits for a connection; nothing once the listener is closed.
  std::optional<Connection> accept() {
    for (;;) {
      const int accepted = ::accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted >= 0) return Connection(accepted);
      if (errno != EINTR && errno != ECONNABORTED) return std::nullopt;
    }
  }
  void close() {
    if (descriptor_ < 0) return;
    ::shutdown(descriptor_, SHUT_RDWR);
    ::close(std::exchange(descriptor_, -1));
  }

 private:
  Address address_;
  int descriptor_ = -1;
};

// A free port of a host: one that was listened on a moment ago.
inline Address free_address(const std::string& host) { return Listener(host).address(); }

// Connects; nothing if that fails.
inline std::optional<Connection> connect_to(const Address& address) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in at = to_sockaddr(address);
  if (descriptor >= 0 && ::connect(descriptor, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0)
    return Connection(descriptor);
  if (descriptor >= 0) ::close(descriptor);
  return std::nullopt;
}

}  // namespace review
