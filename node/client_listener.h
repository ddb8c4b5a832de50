// Accepts the connections of clients, and copes with accepts that fail.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>

namespace thymewood::node {

// Receives the connections of a ClientListener.
class ConnectionAdmission {
 public:
  ConnectionAdmission() = default;
  ConnectionAdmission(const ConnectionAdmission&) = delete;
  ConnectionAdmission& operator=(const ConnectionAdmission&) = delete;

  // Whether one more connection may be accepted.
  [[nodiscard]] virtual bool can_accept() const = 0;
  virtual void admit(boost::asio::ip::tcp::socket socket) = 0;
  // The connection occupies the reserve descriptor, which the next client waits for: it is to be rejected
  // soon.
  virtual void admit_on_reserve(boost::asio::ip::tcp::socket socket) = 0;
  // Closes an idle connection, if there is one, so that its descriptor becomes free.
  virtual void free_descriptor() = 0;

 protected:
  ~ConnectionAdmission() = default;
};

// A descriptor that is kept open only to be closed: it makes one accept possible when all others are in use.
class ReserveDescriptor {
 public:
  ReserveDescriptor() { acquire(); }
  ~ReserveDescriptor();
  ReserveDescriptor(const ReserveDescriptor&) = delete;
  ReserveDescriptor& operator=(const ReserveDescriptor&) = delete;

  // Opens it again, where it was released and a descriptor is free.
  void acquire();
  // Closes it; false where it is not open.
  [[nodiscard]] bool release();

 private:
  int descriptor_ = -1;
};

class ClientListener {
 public:
  ClientListener(boost::asio::io_context& io, ConnectionAdmission& admission);

  // Throws boost::system::system_error when the address cannot be listened on.
  void listen(const boost::asio::ip::tcp::endpoint& endpoint);
  [[nodiscard]] boost::asio::ip::tcp::endpoint local_endpoint() const { return acceptor_.local_endpoint(); }
  [[nodiscard]] bool is_open() const { return acceptor_.is_open(); }

  // Accepts connections from now on, as far as the admission allows; to be called again when it allows more.
  void accept();

  // A connection has ended, and its descriptor is free.
  void on_descriptor_freed() { reserve_.acquire(); }

  // Accepts again after an exception that left a handler; Asio drops an accept that fails within it.
  void recover();

  // Accepts all queued connections that the admission allows, without waiting; whether the queue is empty.
  [[nodiscard]] bool accept_queued();
  void close();

 private:
  void on_accept_failed(boost::system::error_code error);
  // Whether a connection was accepted.
  [[nodiscard]] bool accept_on_reserve();

  boost::asio::io_context& io_;
  ConnectionAdmission& admission_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer retry_timer_;
  ReserveDescriptor reserve_;
  std::uint64_t accept_number_ = 0;  // tells the pending accept from one that recover() has replaced
  bool is_accepting_ = false;
  bool is_retry_pending_ = false;
};

}  // namespace thymewood::node
