#include "peers.h"

#include <boost/asio/buffer.hpp>
#include <iostream>
#include <limits>
#include <sstream>
#include <utility>

namespace thymewood::node {

namespace asio = boost::asio;
namespace ms = thymewood::membership;
using boost::system::error_code;
using udp = asio::ip::udp;

namespace {

// Datagrams read in one turn of the loop. Danger: a flood on this address would hold up every request.
constexpr int kATurn = 32;
// ... and before time passes for the detector: a node that was stopped has to read what was said meanwhile. A
// socket's buffer holds some hundreds; a flood that brings more is not waited for.
constexpr int kBeforeTime = 1024;

}  // namespace

Peers::Peers(asio::io_context& io, const Clock& clock, const PeersTold& told, const ms::Self& self,
             const ms::Plan& plan, const ms::ViewPlan& view, std::uint64_t seed, Moved moved)
    : clock_(clock),
      told_(told),
      socket_(io),
      timer_(io),
      detector_(self, plan, seed),
      views_(self, view),
      moved_(std::move(moved)) {
  for (std::size_t i = 0; i < told_.peers.size(); ++i)
    numbers_.emplace(key_of(told_.peers[i]), static_cast<ms::Number>(i));
  socket_.open(told_.listen.protocol());
  socket_.bind(told_.listen);
  socket_.non_blocking(true);
}

std::uint64_t Peers::key_of(const Endpoint& endpoint) {
  constexpr int kPortBits = 16;
  return (std::uint64_t{endpoint.address().to_v4().to_uint()} << kPortBits) | endpoint.port();
}

void Peers::start() {
  std::vector<ms::Output> out;
  detector_.start(clock_.now(), out);
  carry(out);
  receive();
}

void Peers::receive() {
  socket_.async_wait(udp::socket::wait_read, [this](error_code bad) {
    if (bad || left_) return;
    read_some(kATurn);
    receive();  // what is left makes the next turn, after others had theirs
  });
}

bool Peers::read_some(int most) {
  std::vector<ms::Output> out;
  bool empty = false;
  for (int i = 0; i < most && !empty; ++i) {
    Endpoint from;
    error_code bad;
    const std::size_t size = socket_.receive_from(asio::buffer(buffer_), from, 0, bad);
    if (bad == asio::error::would_block || bad == asio::error::try_again) {
      empty = true;
    } else if (!bad) {
      std::optional<ms::Number> sender;
      if (from.address().is_v4()) {
        const auto at = numbers_.find(key_of(from));
        if (at != numbers_.end()) sender = at->second;
      }
      detector_.receive(clock_.now(), sender, {buffer_.data(), size}, out);
    }
  }
  carry(out);
  return empty;
}

void Peers::act() {
  read_some(kBeforeTime);
  std::vector<ms::Output> out;
  detector_.tick(clock_.now(), out);
  carry(out);
}

// The timer stands at the next moment; it is set anew only where that has moved.
void Peers::arm() {
  if (left_) return;
  const double next = std::min(detector_.next(), views_.next());
  if (next == armed_ || next == std::numeric_limits<double>::infinity()) return;
  armed_ = next;
  timer_.expires_at(clock_.at(next));
  timer_.async_wait([this](error_code cancelled) {
    if (cancelled || left_) return;
    armed_ = 0;
    act();
  });
}

void Peers::carry(const std::vector<ms::Output>& out) {
  for (const ms::Output& o : out) {
    if (const auto* post = std::get_if<ms::Post>(&o)) {
      if (post->to) {
        send(told_.peers[*post->to], post->datagram);
      } else if (told_.all.port() != 0) {
        send(told_.all, post->datagram);
      } else {
        for (const Endpoint& peer : told_.peers) send(peer, post->datagram);
      }
    } else if (const auto* change = std::get_if<ms::Change>(&o)) {
      std::clog << "fleet: peer " << change->now.number << ' ' << ms::name_of(change->before.state) << " -> "
                << ms::name_of(change->now.state) << ": " << change->why << '\n';
    } else {
      std::clog << "fleet: " << std::get<ms::Remark>(o).text << '\n';
    }
  }
  if (const auto view = views_.update(clock_.now(), detector_)) {
    std::clog << "fleet: view " << view->epoch << ": rank " << view->rank << " of " << view->live
              << ", reckons with " << view->bound << ", reaches " << view->reached << " of " << view->told
              << ", " << ms::name_of(view->confidence) << (view->moving ? ", moving" : "") << '\n';
    moved_(*view);
  }
  arm();
}

// A datagram that can't be sent is one that is lost: the protocol reckons with that.
void Peers::send(const Endpoint& to, const ms::Datagram& datagram) {
  error_code bad;
  socket_.send_to(asio::buffer(datagram.bytes.data(), datagram.size), to, 0, bad);
  if (bad) unsent_ += 1;
}

void Peers::leave() {
  if (left_) return;
  std::vector<ms::Output> out;
  detector_.leave(clock_.now(), out);
  carry(out);
  left_ = true;
  halt(timer_);
  error_code ignored;
  socket_.close(ignored);
}

std::string Peers::report() const {
  const ms::FleetView& v = views_.now();
  const ms::Counts& c = detector_.counts();
  const double up = std::max(1e-3, clock_.now());
  std::ostringstream out;
  out << "{\"epoch\":" << v.epoch << ",\"confidence\":\"" << ms::name_of(v.confidence)
      << "\",\"rank\":" << v.rank << ",\"live\":" << v.live << ",\"bound\":" << v.bound
      << ",\"reached\":" << v.reached << ",\"told\":" << v.told
      << ",\"moving\":" << (v.moving ? "true" : "false") << ",\"doubt\":" << detector_.doubt()
      << ",\"bytes_a_second\":" << static_cast<double>(c.sent_bytes + c.came_bytes) / up
      << ",\"sent\":" << c.sent << ",\"unsent\":" << unsent_ << ",\"came\":" << c.came
      << ",\"pings\":" << c.pings << ",\"unanswered\":" << c.unanswered << ",\"helped\":" << c.helped
      << ",\"suspicions\":" << c.suspicions << ",\"cleared\":" << c.cleared << ",\"failures\":" << c.failures
      << ",\"objections\":" << c.objections << ",\"aways\":" << c.aways
      << ",\"dropped\":{\"short\":" << c.too_short << ",\"long\":" << c.too_long
      << ",\"strange\":" << c.strange << ",\"newer\":" << c.newer << ",\"other_fleet\":" << c.other_fleet
      << ",\"damaged\":" << c.damaged << ",\"senseless\":" << c.senseless << ",\"strangers\":" << c.strangers
      << ",\"repeated\":" << c.repeated << ",\"old\":" << c.old << "},\"peers\":[";
  for (std::size_t i = 0; i < detector_.size(); ++i) {
    const auto number = static_cast<ms::Number>(i);
    const ms::Record& r = detector_.record(number);
    out << (i == 0 ? "" : ",") << "{\"number\":" << r.number << ",\"state\":\"" << ms::name_of(r.state)
        << "\",\"zone\":" << static_cast<int>(r.zone) << ",\"incarnation\":" << r.incarnation;
    if (const auto trip = detector_.round_trip(number)) out << ",\"round_trip_ms\":" << *trip * 1000;
    out << '}';
  }
  out << "]}";
  return out.str();
}

}  // namespace thymewood::node
