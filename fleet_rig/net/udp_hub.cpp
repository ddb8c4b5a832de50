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

UdpHub::UdpHub(asio::io_context& io, LinkTable& table, std::vector<Peer> peers, const Endpoint& all,
               std::uint64_t seed)
    : io_(io), table_(table), peers_(std::move(peers)), all_(all), random_(seed) {
  for (std::size_t i = 0; i <= peers_.size(); ++i) {
    Endpoint& where = i < peers_.size() ? peers_[i].face : all_;
    auto held = std::make_unique<Socket>(io_);
    held->socket.open(udp::v4());
    held->socket.bind(where);
    held->socket.non_blocking(true);
    where = held->socket.local_endpoint();
    sockets_.push_back(std::move(held));
  }
  for (std::size_t i = 0; i < sockets_.size(); ++i) receive(i);
}

UdpHub::~UdpHub() { *alive_ = false; }

void UdpHub::receive(std::size_t at) {
  Socket& socket = *sockets_[at];
  socket.socket.async_receive_from(asio::buffer(socket.receive_buffer), socket.sender,
                                   [this, alive = alive_, at](error_code bad, std::size_t n) {
                                     if (!*alive || bad == asio::error::operation_aborted) return;
                                     Socket& held = *sockets_[at];
                                     if (!bad) {
                                       const auto from = std::find_if(
                                           peers_.begin(), peers_.end(),
                                           [&](const Peer& p) { return p.listens == held.sender; });
                                       const std::string bytes(held.receive_buffer.data(), n);
                                       counts_.came += 1;
                                       counts_.longest = std::max<std::uint64_t>(counts_.longest, n);
                                       if (from == peers_.end()) {
                                         counts_.strange += 1;
                                       } else {
                                         const auto sender = static_cast<std::size_t>(from - peers_.begin());
                                         for (std::size_t to = 0; to < peers_.size(); ++to) {
                                           if (to != sender && (at == peers_.size() || at == to))
                                             pass_on(sender, to, bytes);
                                         }
                                       }
                                     }
                                     receive(at);
                                   });
}

void UdpHub::pass_on(std::size_t from, std::size_t to, const std::string& bytes) {
  const auto now = std::chrono::steady_clock::now();
  const double seconds = std::chrono::duration<double>(now.time_since_epoch()).count();
  const std::vector<double> dues =
      table_.way(peers_[from].actor, peers_[to].actor).due_datagrams(seconds, bytes.size(), random_);
  if (dues.empty()) counts_.dropped += 1;
  const auto send = [this, from, to](const std::string& text) {
    // The way may have been cut while it was under way.
    if (table_.way(peers_[from].actor, peers_[to].actor).cut()) {
      counts_.dropped += 1;
      return;
    }
    error_code ignored;
    sockets_[from]->socket.send_to(asio::buffer(text), peers_[to].listens, 0, ignored);
    counts_.delivered += 1;
    counts_.bytes += text.size();
  };
  for (const double due : dues) {
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
