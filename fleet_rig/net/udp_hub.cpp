#include "udp_hub.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

namespace thymewood::fleet {

namespace asio = boost::asio;
using boost::system::error_code;
using udp = asio::ip::udp;

struct UdpHub::Socket {
  explicit Socket(asio::io_context& io) : socket(io) {}
  udp::socket socket;
  Endpoint sender;
  std::array<char, 65536> receive_buffer{};
};

UdpHub::UdpHub(asio::io_context& io, LinkTable& table, std::vector<Peer> peers,
               const Endpoint& broadcast_endpoint, std::uint64_t seed)
    : io_(io),
      table_(table),
      peers_(std::move(peers)),
      broadcast_endpoint_(broadcast_endpoint),
      random_(seed) {
  for (std::size_t i = 0; i <= peers_.size(); ++i) {
    Endpoint& where = i < peers_.size() ? peers_[i].proxy_endpoint : broadcast_endpoint_;
    auto owned = std::make_unique<Socket>(io_);
    owned->socket.open(udp::v4());
    owned->socket.bind(where);
    owned->socket.non_blocking(true);
    where = owned->socket.local_endpoint();
    sockets_.push_back(std::move(owned));
  }
  for (std::size_t i = 0; i < sockets_.size(); ++i) receive(i);
}

UdpHub::~UdpHub() { *alive_ = false; }

void UdpHub::receive(std::size_t socket_index) {
  Socket& socket = *sockets_[socket_index];
  socket.socket.async_receive_from(
      asio::buffer(socket.receive_buffer), socket.sender,
      [this, alive = alive_, socket_index](error_code error, std::size_t size) {
        if (!*alive || error == asio::error::operation_aborted) return;
        Socket& owned = *sockets_[socket_index];
        if (!error) {
          const auto from = std::find_if(peers_.begin(), peers_.end(),
                                         [&](const Peer& p) { return p.node_endpoint == owned.sender; });
          const std::string bytes(owned.receive_buffer.data(), size);
          counts_.received += 1;
          counts_.max_datagram_bytes = std::max<std::uint64_t>(counts_.max_datagram_bytes, size);
          if (from == peers_.end()) {
            counts_.unknown_sender += 1;
          } else {
            const auto sender = static_cast<std::size_t>(from - peers_.begin());
            for (std::size_t to = 0; to < peers_.size(); ++to) {
              if (to != sender && (socket_index == peers_.size() || socket_index == to))
                forward(sender, to, bytes);
            }
          }
        }
        receive(socket_index);
      });
}

void UdpHub::forward(std::size_t from, std::size_t to, const std::string& bytes) {
  const auto now = std::chrono::steady_clock::now();
  const double seconds = std::chrono::duration<double>(now.time_since_epoch()).count();
  const std::vector<double> due_times = table_.direction(peers_[from].actor, peers_[to].actor)
                                            .datagram_delivery_times(seconds, bytes.size(), random_);
  if (due_times.empty()) counts_.dropped += 1;
  const auto send = [this, from, to](const std::string& text) {
    // The link may have been cut while the datagram was delayed.
    if (table_.direction(peers_[from].actor, peers_[to].actor).cut()) {
      counts_.dropped += 1;
      return;
    }
    error_code ignored;
    sockets_[from]->socket.send_to(asio::buffer(text), peers_[to].node_endpoint, 0, ignored);
    counts_.delivered += 1;
    counts_.bytes += text.size();
  };
  for (const double due : due_times) {
    if (due <= seconds) {
      send(bytes);
      continue;
    }
    const auto timer = std::make_shared<asio::steady_timer>(
        io_, now + std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                       std::chrono::duration<double>(due - seconds)));
    timer->async_wait([alive = alive_, timer, bytes, send](error_code cancelled) {
      if (!cancelled && *alive) send(bytes);
    });
  }
}

}  // namespace thymewood::fleet
