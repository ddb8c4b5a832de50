// A client connection, which carries a sequence of requests and their responses.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>

#include "clock.h"
#include "dispatcher.h"
#include "graceful_shutdown.h"
#include "memory_budget.h"
#include "message.h"
#include "request_reader.h"
#include "session_table.h"
#include "validation.h"

namespace thymewood::node {

// Why a session ended, for the log.
enum class SessionEnd {
  kAnswered,
  kClientClosed,
  kTimedOut,
  kWriteFailed,
  kEvicted,
  kShutdown,
  kOutOfMemory,
};

[[nodiscard]] const char* name_of(SessionEnd end);

class SessionOwner {
 public:
  SessionOwner() = default;
  SessionOwner(const SessionOwner&) = delete;
  SessionOwner& operator=(const SessionOwner&) = delete;

  virtual void on_session_ended(ClientSession& session) = 0;

 protected:
  ~SessionOwner() = default;
};

// State shared by the sessions of one Frontend.
struct SessionContext {
  SessionOwner& owner;
  SessionTable& sessions;
  const GracefulShutdown& shutdown;
  Dispatcher& dispatcher;
  MemoryBudget& memory_budget;
  const Catalog& catalog;
  double overload_retry_after;  // s
};

// Keeps a read pending at all times to detect that the client disconnects. Pipelined requests are buffered up
// to a limit. Beyond it, data is read and discarded while a request is in flight, since a FIN may follow it.
// In that case the buffered requests are answered, then the client is rejected and the connection is closed.
//
// A FIN from the client aborts all of its requests: TCP cannot distinguish a close from a half-close, and the
// protocol defines it as a close. Only a response that is already being written is completed.
class ClientSession : public std::enable_shared_from_this<ClientSession> {
 public:
  // `kRejecting`: every request is shed because the node has too many connections.
  enum class Mode { kServing, kRejecting };

  ClientSession(SessionContext& context, boost::asio::ip::tcp::socket socket, Mode mode);

  // The first request must be received within `first_request_timeout` seconds.
  void start(double first_request_timeout);

  // Closes the connection without sending a further response.
  void close(SessionEnd reason);
  // Closes an idle connection, or sets a short timeout if a request is arriving. No connection on which a
  // client could send may stay open after the shutdown.
  void close_gracefully();
  // Called when the owner is being destroyed.
  void detach();

  [[nodiscard]] bool has_unread();
  [[nodiscard]] Clock::Steady::time_point accepted_at() const { return accepted_at_; }
  [[nodiscard]] SessionTable::Entry& table_entry() { return table_entry_; }

 private:
  enum class State { kReading, kWaiting, kWriting, kDelaying, kLingering, kClosed };
  enum class Framing { kIntact, kLost };  // whether the start of the next request can be located

  template <class Work>
  void run_guarded(const Work& work);
  void set_timeout(double seconds);
  void on_timeout();

  void read_request();
  void read();
  void on_read(boost::system::error_code error, std::size_t size);
  void on_received(std::size_t size);
  void parse();
  [[nodiscard]] bool read_available();
  [[nodiscard]] bool is_idle() const;

  void handle_request(HttpRequest&& request);
  void handle_health_check(const HttpRequest& request);
  void respond_to_health_check();
  void handle_forwarded_request(HttpRequest&& request);
  void dispatch(Request&& event, HttpRequest&& request);
  void submit(Request&& event, std::shared_ptr<const HttpRequest> request);
  void begin_waiting();

  void on_final_response(FinalResponse&& final_response);
  void reject(const Rejection& rejection, Framing framing);
  void shed();
  void respond(HttpResponse&& response);
  void on_written(boost::system::error_code error);
  void linger();

  SessionContext* context_;  // null once the session has ended or its owner is destroyed
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  Mode mode_;
  State state_ = State::kReading;
  const Clock::Steady::time_point accepted_at_ = Clock::Steady::now();
  SessionTable::Entry table_entry_;

  RequestReader reader_;
  bool is_read_pending_ = false;
  bool has_sent_valid_request_ = false;
  bool is_delay_due_ = false;  // delay the next request once this response is written
  bool keep_alive_ = true;
  std::size_t discarded_ = 0;  // bytes received after the last response
  std::string request_id_;
  HttpResponse response_;
  MemoryBudget::Reservation memory_;  // for the response being written
};

}  // namespace thymewood::node
