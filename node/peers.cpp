#include "peers.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <iterator>
#include <limits>
#include <utility>

#include "peer_log.h"
#include "peer_report.h"

namespace thymewood::node {

namespace asio = boost::asio;
using boost::system::error_code;
using membership::Output;
using membership::SendDatagram;
using udp = asio::ip::udp;

namespace {

// Limit per event loop iteration, so that a flood of datagrams does not delay requests.
constexpr int kMaxDatagramsPerTurn = 32;
// Limit before timers are handled: after a pause, the node first receives the datagrams that arrived during
// the pause. A socket's buffer holds several hundred; the limit bounds the delay of timers in a flood.
constexpr int kMaxDatagramsBeforeTimer = 1024;

}  // namespace

Peers::Peers(asio::io_context& io, const Clock& clock, const PeerAddresses& addresses,
             const membership::LocalNode& local, const membership::DetectorConfig& detector_config,
             const membership::ReplicaSetViewConfig& view_config, std::uint64_t seed,
             ViewCallback on_view_changed)
    : clock_(clock),
      addresses_(addresses),
      socket_(io),
      timer_(io),
      detector_(local, detector_config, seed),
      view_tracker_(local, view_config),
      on_view_changed_(std::move(on_view_changed)) {
  for (std::size_t i = 0; i < addresses_.peers.size(); ++i)
    ids_by_address_.emplace(key_of(addresses_.peers[i]), static_cast<membership::NodeId>(i));
  socket_.open(addresses_.listen.protocol());
  socket_.bind(addresses_.listen);
  socket_.non_blocking(true);
}

std::uint64_t Peers::key_of(const Endpoint& endpoint) {
  constexpr int kPortBits = 16;
  return (std::uint64_t{endpoint.address().to_v4().to_uint()} << kPortBits) | endpoint.port();
}

std::optional<membership::NodeId> Peers::node_at(const Endpoint& endpoint) const {
  if (!endpoint.address().is_v4()) return std::nullopt;
  const auto it = ids_by_address_.find(key_of(endpoint));
  if (it == ids_by_address_.end()) return std::nullopt;
  return it->second;
}

void Peers::start() {
  detector_.start(clock_.now());
  process({});
  await_datagrams();
}

void Peers::await_datagrams() {
  socket_.async_wait(udp::socket::wait_read, [this](error_code error) {
    if (error || has_left_) return;
    receive_datagrams(kMaxDatagramsPerTurn);
    await_datagrams();  // remaining datagrams are received after other handlers have run
  });
}

bool Peers::receive_datagrams(int max_count) {
  std::vector<Output> outputs;
  bool is_drained = false;
  for (int i = 0; i < max_count && !is_drained; ++i) {
    Endpoint source;
    error_code error;
    const std::size_t size = socket_.receive_from(asio::buffer(buffer_), source, 0, error);
    if (error == asio::error::would_block || error == asio::error::try_again) {
      is_drained = true;
    } else if (!error) {
      std::vector<Output> new_outputs =
          detector_.receive(clock_.now(), node_at(source), {buffer_.data(), size});
      std::move(new_outputs.begin(), new_outputs.end(), std::back_inserter(outputs));
    }
  }
  process(outputs);
  return is_drained;
}

void Peers::on_timer() {
  receive_datagrams(kMaxDatagramsBeforeTimer);
  process(detector_.on_timer(clock_.now()));
}

// Restarts the timer only if the deadline has changed.
void Peers::schedule_timer() {
  if (has_left_) return;
  const double deadline = std::min(detector_.next_deadline(), view_tracker_.next_deadline());
  if (deadline == scheduled_at_ || deadline == std::numeric_limits<double>::infinity()) return;
  scheduled_at_ = deadline;
  timer_.expires_at(clock_.to_time_point(deadline));
  timer_.async_wait([this](error_code cancelled) {
    if (cancelled || has_left_) return;
    scheduled_at_ = 0;
    on_timer();
  });
}

void Peers::process(const std::vector<Output>& outputs) {
  for (const Output& output : outputs) {
    if (const auto* datagram = std::get_if<SendDatagram>(&output)) {
      send(*datagram);
    } else {
      log_output(output);
    }
  }
  update_view();
  schedule_timer();
}

void Peers::update_view() {
  const auto view = view_tracker_.update(clock_.now(), detector_);
  if (!view) return;
  log_view(*view);
  on_view_changed_(*view);
}

void Peers::send(const SendDatagram& output) {
  if (output.to) {
    send_to(addresses_.peers[*output.to], output.datagram);
  } else if (addresses_.broadcast.port() != 0) {
    send_to(addresses_.broadcast, output.datagram);
  } else {
    for (const Endpoint& peer : addresses_.peers) send_to(peer, output.datagram);
  }
}

// A datagram that cannot be sent is treated as lost; the protocol tolerates loss.
void Peers::send_to(const Endpoint& endpoint, const membership::Datagram& datagram) {
  error_code error;
  socket_.send_to(asio::buffer(datagram.bytes.data(), datagram.size), endpoint, 0, error);
  if (error) send_failures_ += 1;
}

void Peers::leave() {
  if (has_left_) return;
  process(detector_.leave());
  has_left_ = true;
  cancel_timer(timer_);
  error_code ignored;
  socket_.close(ignored);
}

std::string Peers::report() const {
  return peer_report(detector_, view_tracker_.current(), send_failures_, clock_.now());
}

}  // namespace thymewood::node
