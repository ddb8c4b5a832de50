// Gives the membership of the fleet a socket and a timer: reads what has come before it lets time pass, hands
// out what is to be sent, and tells who wants to know when the view changes. It decides nothing.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "clock.h"
#include "detector.h"
#include "replica_set_view.h"

namespace thymewood::node {

// From the platform's configuration.
struct PeersTold {
  using Endpoint = boost::asio::ip::udp::endpoint;
  Endpoint listen;
  std::vector<Endpoint> peers;  // by number, this node's own among them
  Endpoint all;                 // port 0: there is none
};

class Peers {
 public:
  using Endpoint = PeersTold::Endpoint;
  using Moved = std::function<void(const membership::FleetView&)>;
  // `moved` is called with each new view, from the event loop. Throws boost::system::system_error where the
  // address can't be listened at, std::invalid_argument where `self` or a plan can't be.
  Peers(boost::asio::io_context& io, const Clock& clock, const PeersTold& told, const membership::Self& self,
        const membership::Plan& plan, const membership::ViewPlan& view, std::uint64_t seed, Moved moved);

  void start();
  // This node ends: says so to all, at once, and no more after it.
  void leave();
  // One line of JSON: the view, and each peer as it is seen.
  std::string report() const;

 private:
  void receive();
  // Reads so many datagrams at most; whether the socket is empty.
  bool read_some(int most);
  void act();
  void arm();
  void carry(const std::vector<membership::Output>& out);
  void send(const Endpoint& to, const membership::Datagram& datagram);
  static std::uint64_t key_of(const Endpoint& endpoint);

  const Clock& clock_;
  PeersTold told_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::steady_timer timer_;
  membership::Detector detector_;
  membership::Views views_;
  Moved moved_;
  std::unordered_map<std::uint64_t, membership::Number> numbers_;  // by address
  // One byte more than a datagram may have: what is too long shows.
  std::array<std::uint8_t, membership::kMostBytes + 1> buffer_{};
  double armed_ = 0;
  std::uint64_t unsent_ = 0;
  bool left_ = false;
};

}  // namespace thymewood::node
