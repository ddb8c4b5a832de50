// A listener whose accept queue a test can fill.
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

// A listener that accepts only when the test calls accept(). Its accept queue holds one connection: after
// fill_accept_queue(), connects to it stay pending until accept() makes space.
class ManualAcceptListener {
 public:
  // `small_buffers`: accepted connections have small receive buffers.
  explicit ManualAcceptListener(bool small_buffers = false)
      : listen_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    if (small_buffers) shrink_buffers(listen_.get());
    sockaddr_in listen_address = loopback(0);
    EXPECT_EQ(::bind(listen_.get(), reinterpret_cast<sockaddr*>(&listen_address), sizeof listen_address), 0);
    EXPECT_EQ(::listen(listen_.get(), 0), 0);
    socklen_t size = sizeof listen_address;
    ::getsockname(listen_.get(), reinterpret_cast<sockaddr*>(&listen_address), &size);
    port_ = ntohs(listen_address.sin_port);
  }
  [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  // Occupies the single slot of the accept queue.
  void fill_accept_queue() {
    backlog_connection_ = Fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const sockaddr_in listen_address = loopback(port_);
    ASSERT_EQ(::connect(backlog_connection_.get(), reinterpret_cast<const sockaddr*>(&listen_address),
                        sizeof listen_address),
              0);
  }
  // Returns the next connection other than that of fill_accept_queue(), or an empty Fd after kMaxWait.
  Fd accept() {
    for (;;) {
      pollfd poll_fd{listen_.get(), POLLIN, 0};
      if (::poll(&poll_fd, 1, static_cast<int>(std::chrono::milliseconds(kMaxWait).count())) <= 0)
        return Fd();
      sockaddr_in peer_address{}, backlog_address{};
      socklen_t size = sizeof peer_address;
      Fd fd(::accept4(listen_.get(), reinterpret_cast<sockaddr*>(&peer_address), &size, SOCK_CLOEXEC));
      if (backlog_connection_.get() < 0) return fd;
      ::getsockname(backlog_connection_.get(), reinterpret_cast<sockaddr*>(&backlog_address), &size);
      if (peer_address.sin_port != backlog_address.sin_port) return fd;
    }
  }
  // Counts the pending connects to this listener, which are in state SYN_SENT (02) in /proc/net/tcp.
  [[nodiscard]] int pending_connects() const {
    std::ifstream table("/proc/net/tcp");
    std::ostringstream entry;
    entry << ':' << std::uppercase << std::hex << std::setw(4) << std::setfill('0') << port_ << " 02 ";
    int count = 0;
    for (std::string line; std::getline(table, line);) count += line.find(entry.str()) != std::string::npos;
    return count;
  }

 private:
  Fd listen_, backlog_connection_;
  int port_ = 0;
};

}  // namespace thymewood::node
