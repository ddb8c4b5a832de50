// Blocking loopback sockets, HTTP/1.1 messages with a Content-Length, and the record of a case.
#pragma once

#include <cstddef>
#include <fstream>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace review {

// Seconds on the steady clock since the first call.
[[nodiscard]] double now();
void sleep_until(double time);

// Owns a socket.
class Socket {
 public:
  Socket() = default;
  explicit Socket(int descriptor) : descriptor_(descriptor) {}
  Socket(Socket&& other) noexcept : descriptor_(std::exchange(other.descriptor_, -1)) {}
  Socket& operator=(Socket&& other) noexcept {
    std::swap(descriptor_, other.descriptor_);
    return *this;
  }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  ~Socket() { close(); }

  [[nodiscard]] bool is_open() const { return descriptor_ >= 0; }
  [[nodiscard]] int descriptor() const { return descriptor_; }
  [[nodiscard]] bool send_all(std::string_view bytes) const;
  // Waits until the socket is readable or `deadline` has passed; returns whether it is readable.
  [[nodiscard]] bool wait_readable(double deadline) const;
  // Returns the bytes that could be read; empty if the peer has closed or reset the connection.
  [[nodiscard]] std::string receive() const;
  void close();
  // Closes with a reset, as a process that dies does.
  void reset();

 private:
  int descriptor_ = -1;
};

// Listens on a free port of 127.0.0.1.
struct Listener {
  Socket socket;
  int port = 0;
};
[[nodiscard]] Listener listen_on_loopback();
// A port of 127.0.0.1 that is free at the moment.
[[nodiscard]] int free_port();
[[nodiscard]] Socket accept_from(const Listener& listener);
// Closed if the connection is refused.
[[nodiscard]] Socket connect_to(int port);

struct Message {
  std::string start_line;
  std::map<std::string, std::string> fields;  // names in lower case
  std::string body;

  [[nodiscard]] std::string field(const std::string& name) const;
};

// Cuts a stream of bytes into messages.
class MessageParser {
 public:
  void append(std::string_view bytes) { buffer_ += bytes; }
  [[nodiscard]] bool is_empty() const { return buffer_.empty(); }
  // The next message, if it is complete.
  [[nodiscard]] std::optional<Message> next();

 private:
  std::string buffer_;
};

// The file record.txt: one line an event, with its time. Thread-safe.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}
  void line(double time, const std::string& text);

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

}  // namespace review
