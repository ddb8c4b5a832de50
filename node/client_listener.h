// Accepts client connections and recovers when accept(2) fails.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>

namespace thymewood::node {

// Receives the connections that a ClientListener accepts.
class ListenerCallbacks {
 public:
  ListenerCallbacks() = default;
  ListenerCallbacks(const ListenerCallbacks&) = delete;
  ListenerCallbacks& operator=(const ListenerCallbacks&) = delete;

  // Returns whether another connection may be accepted.
  [[nodiscard]] virtual bool can_accept() const = 0;
  virtual void on_accept(boost::asio::ip::tcp::socket socket) = 0;
  // The connection uses the reserve descriptor, which is needed to accept the next client, so it must be
  // rejected soon.
  virtual void on_accept_on_reserve(boost::asio::ip::tcp::socket socket) = 0;
  // Closes an idle connection, if any, to free its descriptor.
  virtual void free_descriptor() = 0;

 protected:
  ~ListenerCallbacks() = default;
};

// A file descriptor held in reserve: closing it allows one more accept when the process has reached its
// descriptor limit.
class ReserveDescriptor {
 public:
  ReserveDescriptor() { acquire(); }
  ~ReserveDescriptor();
  ReserveDescriptor(const ReserveDescriptor&) = delete;
  ReserveDescriptor& operator=(const ReserveDescriptor&) = delete;

  // Reopens the descriptor if it was released. Does nothing while none is available.
  void acquire();
  // Closes the descriptor. Returns false if it is not open.
  [[nodiscard]] bool release();

 private:
  int descriptor_ = -1;
};

class ClientListener {
 public:
  ClientListener(boost::asio::io_context& io, ListenerCallbacks& callbacks);

  // Throws boost::system::system_error if the address cannot be bound or listened on.
  void listen(const boost::asio::ip::tcp::endpoint& endpoint);
  [[nodiscard]] boost::asio::ip::tcp::endpoint local_endpoint() const { return acceptor_.local_endpoint(); }
  [[nodiscard]] bool is_open() const { return acceptor_.is_open(); }

  // Starts accepting connections while can_accept() allows it. Call again when it may have become true.
  void accept();

  // Called when a connection has ended and its descriptor is free.
  void on_descriptor_freed() { reserve_.acquire(); }

  // Resumes accepting after an exception escaped from a handler, in which case Asio drops an accept that
  // fails inside that handler.
  void resume_after_exception();

  // Accepts the connections in the listen queue without blocking, while can_accept() allows it. Returns
  // whether the queue is empty.
  [[nodiscard]] bool accept_queued();
  void close();

 private:
  void on_accept_failed(boost::system::error_code error);
  // Returns whether a connection was accepted.
  [[nodiscard]] bool accept_on_reserve();

  boost::asio::io_context& io_;
  ListenerCallbacks& callbacks_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer retry_timer_;
  ReserveDescriptor reserve_;
  std::uint64_t accept_generation_ = 0;  // identifies accepts that resume_after_exception() has replaced
  bool is_accepting_ = false;
  bool is_retry_pending_ = false;
};

}  // namespace thymewood::node
