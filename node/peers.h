// Connects the failure detector to a UDP socket and a timer: receives pending datagrams before timers are
// handled, sends datagrams, logs changes, and reports each new view of the replica set. Makes no policy
// decisions.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "clock.h"
#include "detector.h"
#include "replica_set_view.h"

namespace thymewood::node {

// From the platform's configuration.
struct PeerAddresses {
  using Endpoint = boost::asio::ip::udp::endpoint;
  Endpoint listen;
  std::vector<Endpoint> peers;  // by node id, including this node's own
  Endpoint broadcast;           // reaches all peers; port 0 if there is none
};

class Peers {
 public:
  using Endpoint = PeerAddresses::Endpoint;
  using ViewCallback = std::function<void(const membership::ReplicaSetView&)>;

  // `on_view_changed` is called from the event loop. Throws boost::system::system_error if the address cannot
  // be bound and membership::InvalidDetectorConfig if a setting is out of range.
  Peers(boost::asio::io_context& io, const Clock& clock, const PeerAddresses& addresses,
        const membership::LocalNode& local, const membership::DetectorConfig& detector_config,
        const membership::ReplicaSetViewConfig& view_config, std::uint64_t seed,
        ViewCallback on_view_changed);

  void start();
  // Announces this node's shutdown to all peers. Nothing is sent afterwards.
  void leave();
  // Returns one line of JSON with the view, the counters and the state of each peer.
  [[nodiscard]] std::string report() const;

 private:
  void await_datagrams();
  // Receives at most `max_count` datagrams. Returns whether the socket's receive buffer is empty.
  bool receive_datagrams(int max_count);
  void on_timer();
  void schedule_timer();
  void process(const std::vector<membership::Output>& outputs);
  void update_view();
  void send(const membership::SendDatagram& output);
  void send_to(const Endpoint& endpoint, const membership::Datagram& datagram);
  [[nodiscard]] std::optional<membership::NodeId> node_at(const Endpoint& endpoint) const;
  static std::uint64_t key_of(const Endpoint& endpoint);

  const Clock& clock_;
  PeerAddresses addresses_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::steady_timer timer_;
  membership::Detector detector_;
  membership::ReplicaSetViewTracker view_tracker_;
  ViewCallback on_view_changed_;
  std::unordered_map<std::uint64_t, membership::NodeId> ids_by_address_;
  // One byte larger than the maximum datagram, to detect oversized ones.
  std::array<std::uint8_t, membership::kMaxDatagramBytes + 1> buffer_{};
  double scheduled_at_ = 0;
  std::uint64_t send_failures_ = 0;
  bool has_left_ = false;
};

}  // namespace thymewood::node
