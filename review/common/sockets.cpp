#include "sockets.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cmath>
#include <cstdlib>
#include <iomanip>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace review {
namespace {

using Steady = std::chrono::steady_clock;

Steady::time_point start_time() {
  static const Steady::time_point start = Steady::now();
  return start;
}

sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

void disable_delay(int descriptor) {
  const int on = 1;
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

std::string lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return text;
}

}  // namespace

double now() {
  const Steady::time_point start = start_time();
  return std::chrono::duration<double>(Steady::now() - start).count();
}

void sleep_until(double time) {
  const double left = time - now();
  if (left > 0) std::this_thread::sleep_for(std::chrono::duration<double>(left));
}

bool Socket::send_all(std::string_view bytes) const {
  while (!bytes.empty()) {
    const ssize_t sent = ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent < 0 && errno == EINTR) continue;
    if (sent <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

bool Socket::wait_readable(double deadline) const {
  const double left = std::max(0.0, deadline - now());
  constexpr double kNanoseconds = 1e9;
  timespec timeout{};
  timeout.tv_sec = static_cast<time_t>(left);
  timeout.tv_nsec = static_cast<long>((left - std::floor(left)) * kNanoseconds);
  pollfd entry{descriptor_, POLLIN, 0};
  return ::ppoll(&entry, 1, &timeout, nullptr) > 0;
}

std::string Socket::receive() const {
  std::array<char, 16384> bytes{};
  ssize_t received = 0;
  do {
    received = ::recv(descriptor_, bytes.data(), bytes.size(), 0);
  } while (received < 0 && errno == EINTR);
  return {bytes.data(), received > 0 ? static_cast<std::size_t>(received) : 0};
}

void Socket::close() {
  if (descriptor_ >= 0) ::close(std::exchange(descriptor_, -1));
}

void Socket::reset() {
  const linger option{1, 0};
  ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &option, sizeof option);
  close();
}

Listener listen_on_loopback() {
  Listener listener;
  listener.socket = Socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  sockaddr_in address = loopback(0);
  socklen_t size = sizeof address;
  constexpr int kBacklog = 512;
  const int descriptor = listener.socket.descriptor();
  if (::bind(descriptor, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      ::listen(descriptor, kBacklog) != 0 ||
      ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    throw std::runtime_error("cannot listen on 127.0.0.1");
  }
  listener.port = ntohs(address.sin_port);
  return listener;
}

int free_port() { return listen_on_loopback().port; }

Socket accept_from(const Listener& listener) {
  Socket socket(::accept4(listener.socket.descriptor(), nullptr, nullptr, SOCK_CLOEXEC));
  if (socket.is_open()) disable_delay(socket.descriptor());
  return socket;
}

Socket connect_to(int port) {
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const sockaddr_in address = loopback(port);
  if (::connect(socket.descriptor(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    return {};
  }
  disable_delay(socket.descriptor());
  return socket;
}

std::string Message::field(const std::string& name) const {
  const auto it = fields.find(name);
  return it == fields.end() ? std::string() : it->second;
}

std::optional<Message> MessageParser::next() {
  constexpr std::string_view kHeadEnd = "\r\n\r\n";
  const std::size_t head_size = buffer_.find(kHeadEnd);
  if (head_size == std::string::npos) return std::nullopt;
  Message message;
  std::istringstream head(buffer_.substr(0, head_size));
  std::string line;
  while (std::getline(head, line)) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    const std::size_t colon = line.find(':');
    if (message.start_line.empty()) {
      message.start_line = line;
    } else if (colon != std::string::npos) {
      const std::size_t value = line.find_first_not_of(" \t", colon + 1);
      message.fields[lower(line.substr(0, colon))] =
          value == std::string::npos ? std::string() : line.substr(value);
    }
  }
  const std::size_t body_size = std::strtoul(message.field("content-length").c_str(), nullptr, 10);
  const std::size_t body_start = head_size + kHeadEnd.size();
  if (buffer_.size() < body_start + body_size) return std::nullopt;
  message.body = buffer_.substr(body_start, body_size);
  buffer_.erase(0, body_start + body_size);
  return message;
}

void Record::line(double time, const std::string& text) {
  const std::lock_guard lock(mutex_);
  file_ << std::fixed << std::setprecision(4) << time << ' ' << text << '\n' << std::flush;
}

}  // namespace review
