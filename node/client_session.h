// One client's connection: its requests, one after the other, and their responses.
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

// Why a session ended; the log names it.
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

// What the sessions of one Frontend share.
struct SessionContext {
  SessionOwner& owner;
  SessionTable& sessions;
  const GracefulShutdown& shutdown;
  Dispatcher& dispatcher;
  MemoryBudget& memory_budget;
  const Catalog& catalog;
  double overload_retry_after;  // s
};

// A read is always pending, so that a client's close is noticed. Requests that are sent ahead are buffered up
// to a limit; beyond it, bytes are read and discarded while a request is in flight, since the client's close
// may follow them: the buffered requests are answered, then the client is rejected and the connection closed.
//
// A client that ends its sending has disconnected, with all of its requests: TCP does not tell a close from a
// half-close, and by the protocol it is a close. A response that is being written is completed; nothing else
// is.
class ClientSession : public std::enable_shared_from_this<ClientSession> {
 public:
  // How the session treats requests: `kRejecting` sheds each, since the node has too many connections.
  enum class Mode { kServing, kRejecting };

  ClientSession(SessionContext& context, boost::asio::ip::tcp::socket socket, Mode mode);

  // The first request has to arrive within `first_request_timeout` seconds.
  void start(double first_request_timeout);

  // Closes the connection without a further response.
  void close(SessionEnd reason);
  // Ends an idle connection, and leaves a short time to one on which a request is arriving: after the
  // shutdown, no connection may be open on which a client could send.
  void wind_up();
  // The owner is destroyed.
  void detach();

  [[nodiscard]] bool has_unread();
  [[nodiscard]] Clock::Steady::time_point accepted_at() const { return accepted_at_; }
  [[nodiscard]] SessionTable::Entry& table_entry() { return table_entry_; }

 private:
  enum class State { kReading, kWaiting, kWriting, kPausing, kLingering, kClosed };
  enum class Framing { kIntact, kLost };  // whether the start of the next request is known

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
  void hand_over(Request&& event, std::shared_ptr<const HttpRequest> request);
  void begin_waiting();

  void on_final_response(FinalResponse&& final_response);
  void reject(const Rejection& rejection, Framing framing);
  void shed();
  void respond(HttpResponse&& response);
  void on_written(boost::system::error_code error);
  void linger();

  SessionContext* context_;  // null: the session has ended, or its owner has
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  Mode mode_;
  State state_ = State::kReading;
  const Clock::Steady::time_point accepted_at_ = Clock::Steady::now();
  SessionTable::Entry table_entry_;

  RequestReader reader_;
  bool is_read_pending_ = false;
  bool is_proven_ = false;     // has sent a valid request
  bool is_pause_due_ = false;  // after this response
  bool keep_alive_ = true;
  std::size_t discarded_ = 0;  // bytes; after the last response
  std::string request_id_;
  HttpResponse response_;
  MemoryBudget::Reservation memory_;  // of the reader, and of the response that is being written
};

}  // namespace thymewood::node
