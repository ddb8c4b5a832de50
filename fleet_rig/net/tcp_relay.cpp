#include "tcp_relay.h"

#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <string>
#include <tuple>
#include <utility>

#include "sockets.h"

namespace thymewood::fleet {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t kPiece = std::size_t{16} * 1024;
// Bytes that wait for one way of one connection; beyond, its sender is no longer read, as with a full window.
constexpr std::size_t kMostQueued = std::size_t{256} * 1024;

double seconds_of(TcpRelay::Steady::time_point at) {
  return std::chrono::duration<double>(at.time_since_epoch()).count();
}
TcpRelay::Steady::time_point time_of(double seconds) {
  return TcpRelay::Steady::time_point(
      std::chrono::duration_cast<TcpRelay::Steady::duration>(std::chrono::duration<double>(seconds)));
}

}  // namespace

class TcpRelay::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(TcpRelay& owner, tcp::socket near)
      : owner_(&owner),
        near_(std::move(near)),
        far_(owner.io_),
        forth_(owner.io_, near_, far_, owner.table_.way(owner.from_, owner.to_)),
        back_(owner.io_, far_, near_, owner.table_.way(owner.to_, owner.from_)) {}

  std::list<std::shared_ptr<Connection>>::iterator at;

  void start() {
    error_code ignored;
    near_.set_option(tcp::no_delay(true), ignored);
    far_.async_connect(owner_->target_, [self = shared_from_this()](error_code bad) {
      if (self->owner_ == nullptr) return;
      if (bad) return self->end(true);
      error_code none;
      self->far_.set_option(tcp::no_delay(true), none);
      self->port_ = self->far_.local_endpoint(none).port();
      self->near_.non_blocking(true, none);
      self->far_.non_blocking(true, none);
      self->up_ = true;
      self->read(self->forth_);
      self->read(self->back_);
    });
  }
  void go_on() {
    if (!up_) return;
    deliver(forth_);
    if (owner_ != nullptr) deliver(back_);
  }
  // With a reset to both, or after both have closed.
  void end(bool hard) {
    TcpRelay* owner = std::exchange(owner_, nullptr);
    if (owner == nullptr) return;
    const std::shared_ptr<Connection> self = shared_from_this();
    error_code ignored;
    forth_.timer.cancel(ignored);
    back_.timer.cancel(ignored);
    if (hard) {
      reset_connection(near_);
      reset_connection(far_);
    } else {
      near_.close(ignored);
      far_.close(ignored);
    }
    owner->connections_.erase(at);
  }
  unsigned short port() const { return port_; }
  Steady::time_point last_read() const { return forth_.last_read; }

 private:
  enum class End { kNone, kClosed, kReset };
  struct Piece {
    double due = 0;
    Steady::time_point read;
    std::string bytes;
    End end = End::kNone;
  };
  // One way: what is read from `in` and goes to `out`.
  struct Pipe {
    Pipe(asio::io_context& io, tcp::socket& from, tcp::socket& to, Direction& way)
        : in(from), out(to), direction(way), timer(io) {}
    tcp::socket &in, &out;
    Direction& direction;
    asio::steady_timer timer;
    std::array<char, kPiece> room{};
    std::deque<Piece> queue;
    std::size_t queued = 0;
    double free = 0;
    bool reading = false, writing = false, waiting = false, over = false, ended = false;
    Steady::time_point last_read;
  };

  void read(Pipe& pipe) {
    if (pipe.reading || pipe.over || pipe.queued >= kMostQueued) return;
    pipe.reading = true;
    pipe.in.async_read_some(asio::buffer(pipe.room),
                            [self = shared_from_this(), &pipe](error_code bad, std::size_t n) {
                              pipe.reading = false;
                              if (self->owner_ != nullptr) self->on_read(pipe, bad, n);
                            });
  }

  void on_read(Pipe& pipe, error_code bad, std::size_t n) {
    Piece piece;
    piece.read = Steady::now();
    const double now = seconds_of(piece.read);
    if (bad) {
      pipe.over = true;
      piece.end = bad == asio::error::eof ? End::kClosed : End::kReset;
      // A reset overtakes what has not been delivered.
      if (piece.end == End::kReset) pipe.queue.clear(), pipe.free = 0;
    } else {
      piece.bytes.assign(pipe.room.data(), n);
      pipe.queued += n;
    }
    piece.due = pipe.direction.due_in_stream(now, piece.bytes.size(), pipe.free, owner_->random_);
    pipe.queue.push_back(std::move(piece));
    deliver(pipe);
    if (owner_ != nullptr) read(pipe);
  }

  void deliver(Pipe& pipe) {
    while (owner_ != nullptr && !pipe.writing && !pipe.queue.empty() && !pipe.direction.cut()) {
      Piece& piece = pipe.queue.front();
      if (piece.due > seconds_of(Steady::now())) return wait(pipe, piece.due);
      if (piece.end != End::kNone) return finish(pipe, piece.end);
      pipe.last_read = piece.read;
      // Most go at once; what the receiver's kernel has no room for is awaited.
      error_code bad;
      const std::size_t written = pipe.out.write_some(asio::buffer(piece.bytes), bad);
      if (bad && bad != asio::error::would_block) return broken(pipe);
      if (written == piece.bytes.size()) {
        pop(pipe);
        continue;
      }
      piece.bytes.erase(0, bad ? 0 : written);
      pipe.queued -= bad ? 0 : written;
      pipe.writing = true;
      asio::async_write(pipe.out, asio::buffer(piece.bytes),
                        [self = shared_from_this(), &pipe](error_code problem, std::size_t) {
                          pipe.writing = false;
                          if (self->owner_ == nullptr) return;
                          if (problem) return self->broken(pipe);
                          self->pop(pipe);
                          self->deliver(pipe);
                        });
    }
  }

  void pop(Pipe& pipe) {
    if (pipe.queue.empty()) return;  // a reset has cleared it meanwhile
    pipe.queued -= pipe.queue.front().bytes.size();
    pipe.queue.pop_front();
    read(pipe);
  }

  void wait(Pipe& pipe, double due) {
    if (std::exchange(pipe.waiting, true)) return;
    pipe.timer.expires_at(time_of(due));
    pipe.timer.async_wait([self = shared_from_this(), &pipe](error_code) {
      pipe.waiting = false;
      if (self->owner_ != nullptr) self->deliver(pipe);
    });
  }

  void finish(Pipe& pipe, End how) {
    pipe.queue.clear();
    pipe.ended = true;
    if (how == End::kReset) return end(true);
    error_code ignored;
    pipe.out.shutdown(tcp::socket::shutdown_send, ignored);
    if (forth_.ended && back_.ended) end(false);
  }

  // The receiver has reset: its reset goes to the sender, by the other way and with that way's delay or cut.
  // A buffer must not hide it: what waits there for the sender is overtaken.
  void broken(Pipe& pipe) {
    Pipe& other = &pipe == &forth_ ? back_ : forth_;
    pipe.queue.clear();
    pipe.over = pipe.ended = true;
    other.over = true;
    other.queue.clear();
    other.free = 0;
    Piece piece;
    piece.end = End::kReset;
    piece.due = other.direction.due_in_stream(seconds_of(Steady::now()), 0, other.free, owner_->random_);
    other.queue.push_back(std::move(piece));
    deliver(other);
  }

  TcpRelay* owner_;
  tcp::socket near_, far_;
  Pipe forth_, back_;
  bool up_ = false;
  unsigned short port_ = 0;
};

TcpRelay::TcpRelay(asio::io_context& io, LinkTable& table, const Actor& from, const Actor& to,
                   const Endpoint& where, const Endpoint& target, std::uint64_t seed)
    : io_(io),
      table_(table),
      from_(from),
      to_(to),
      where_(where),
      target_(target),
      random_(seed),
      acceptor_(io) {
  open();
  where_ = acceptor_.local_endpoint();
  changed();
}

TcpRelay::~TcpRelay() {
  try {
    while (!connections_.empty()) std::shared_ptr<Connection>(connections_.front())->end(true);
  } catch (const std::exception&) {
    connections_.clear();  // nothing in it does throw, but the checker can't know
  }
}

void TcpRelay::open() {
  listen_at(acceptor_, where_);
  ++turn_;
  accepting_ = false;
  accept();
}

void TcpRelay::accept() {
  if (accepting_ || blocked_ || !acceptor_.is_open()) return;
  accepting_ = true;
  acceptor_.async_accept([this, turn = turn_](error_code bad, tcp::socket socket) {
    if (bad == asio::error::operation_aborted || turn != turn_) return;
    accepting_ = false;
    if (!bad) {
      const auto connection = std::make_shared<Connection>(*this, std::move(socket));
      connection->at = connections_.insert(connections_.end(), connection);
      connection->start();
    }
    accept();
  });
}

void TcpRelay::changed() {
  const bool block = !table_.both_open(from_, to_);
  if (block != blocked_) {
    blocked_ = block;
    if (acceptor_.is_open()) block ? fill() : empty();
  }
  // Each may end as it goes on.
  const std::vector<std::shared_ptr<Connection>> all(connections_.begin(), connections_.end());
  for (const std::shared_ptr<Connection>& connection : all) connection->go_on();
}

// A queue of length 0 holds one connection, and the kernel drops what comes beyond it (listen(2),
// tcp_abort_on_overflow off). One that an actor opened a moment ago may hold that place already.
void TcpRelay::fill() {
  error_code ignored;
  ++turn_;
  accepting_ = false;
  acceptor_.cancel(ignored);
  acceptor_.listen(0, ignored);
  fillers_.emplace_back(io_);
  fillers_.back().open(tcp::v4(), ignored);
  // Danger: the library's own connect waits for its end, also on a socket that does not block, and where a
  // actor's connection attempt holds the one place that end is minutes away.
  fillers_.back().native_non_blocking(true, ignored);
  // Under way, as a rule; it comes up or waits behind another, and both will do.
  std::ignore =
      ::connect(fillers_.back().native_handle(), where_.data(), static_cast<socklen_t>(where_.size()));
}

void TcpRelay::empty() {
  error_code ignored;
  std::vector<Endpoint> own;
  for (tcp::socket& filler : fillers_) own.push_back(filler.local_endpoint(ignored));
  acceptor_.non_blocking(true, ignored);
  for (;;) {
    tcp::socket socket(io_);
    error_code bad;
    acceptor_.accept(socket, bad);
    if (bad) break;
    bool filler = false;
    for (const Endpoint& endpoint : own) filler = filler || socket.remote_endpoint(ignored) == endpoint;
    if (filler) continue;
    const auto connection = std::make_shared<Connection>(*this, std::move(socket));
    connection->at = connections_.insert(connections_.end(), connection);
    connection->start();
  }
  for (tcp::socket& filler : fillers_) reset_connection(filler);
  fillers_.clear();
  acceptor_.listen(kListenBacklog, ignored);
  accept();
}

void TcpRelay::reset() {
  const std::vector<std::shared_ptr<Connection>> all(connections_.begin(), connections_.end());
  for (const std::shared_ptr<Connection>& connection : all) connection->end(true);
}

void TcpRelay::refuse(bool on) {
  if (on == refusing_) return;
  refusing_ = on;
  if (on) {
    error_code ignored;
    ++turn_;
    fillers_.clear();
    acceptor_.close(ignored);
    return;
  }
  open();
  if (blocked_) fill();
}

std::optional<TcpRelay::Origin> TcpRelay::origin(unsigned short port) const {
  for (const std::shared_ptr<Connection>& connection : connections_) {
    if (connection->port() == port) return Origin{from_, connection->last_read()};
  }
  return std::nullopt;
}

}  // namespace thymewood::fleet
