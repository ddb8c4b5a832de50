// A listener whose queue is full.
#pragma once

#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>

#include <chrono>
#include <fstream>
#include <iomanip>
#include <sstream>
#include <string>

#include "test_socket.h"

namespace thymewood::node {

// A server whose listen queue is full: a connect to it stays pending until accept() frees a place.
class FullListener {
 public:
  // `small_buffers`: the connections that it accepts buffer little.
  explicit FullListener(bool small_buffers = false)
      : listen_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    if (small_buffers) shrink_buffers(listen_.get());
    sockaddr_in where = loopback(0);
    EXPECT_EQ(::bind(listen_.get(), reinterpret_cast<sockaddr*>(&where), sizeof where), 0);
    EXPECT_EQ(::listen(listen_.get(), 0), 0);
    socklen_t size = sizeof where;
    ::getsockname(listen_.get(), reinterpret_cast<sockaddr*>(&where), &size);
    port_ = ntohs(where.sin_port);
  }
  [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  // Occupies the one place in the queue.
  void fill() {
    filler_ = Fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const sockaddr_in where = loopback(port_);
    ASSERT_EQ(::connect(filler_.get(), reinterpret_cast<const sockaddr*>(&where), sizeof where), 0);
  }
  // The next connection that is not the filler's.
  Fd accept() {
    for (;;) {
      pollfd wait{listen_.get(), POLLIN, 0};
      if (::poll(&wait, 1, static_cast<int>(std::chrono::milliseconds(kMaxWait).count())) <= 0) return Fd();
      sockaddr_in from{}, own{};
      socklen_t size = sizeof from;
      Fd fd(::accept4(listen_.get(), reinterpret_cast<sockaddr*>(&from), &size, SOCK_CLOEXEC));
      if (filler_.get() < 0) return fd;
      ::getsockname(filler_.get(), reinterpret_cast<sockaddr*>(&own), &size);
      if (from.sin_port != own.sin_port) return fd;
    }
  }
  // How many connects to it are pending, by the kernel's table.
  [[nodiscard]] int pending_connects() const {
    std::ifstream table("/proc/net/tcp");
    std::ostringstream to;
    to << ':' << std::uppercase << std::hex << std::setw(4) << std::setfill('0') << port_ << " 02 ";
    int out = 0;
    for (std::string line; std::getline(table, line);) out += line.find(to.str()) != std::string::npos;
    return out;
  }

 private:
  Fd listen_, filler_;
  int port_ = 0;
};

}  // namespace thymewood::node
