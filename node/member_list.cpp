#include "member_list.h"

#include <algorithm>
#include <charconv>
#include <stdexcept>
#include <utility>

namespace thymewood::node {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

std::optional<tcp::endpoint> parse_endpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  std::string_view host = text.substr(0, colon);
  const std::string_view digits = text.substr(colon + 1);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') host = host.substr(1, host.size() - 2);
  std::uint16_t port = 0;
  const auto [end, problem] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (problem != std::errc() || end != digits.data() + digits.size()) return std::nullopt;
  error_code bad;
  const asio::ip::address address = asio::ip::make_address(std::string(host), bad);
  if (bad) return std::nullopt;
  return tcp::endpoint(address, port);
}

namespace {

void read_member(const json::Value& item, const Directory& directory, const ClockReading& now,
                 StartTimes& starts, Member& member) {
  const std::string_view status = json::text(item, "status");
  if (status == "up") {
    member.server.state = EndpointState::kReady;
  } else if (status == "draining") {
    member.server.state = EndpointState::kDraining;
  } else if (status == "removed") {
    member.server.state = EndpointState::kRemoved;
  } else {
    json::wrong("status", "up, draining or removed");
  }
  // One that has gone needs no more than its name.
  if (json::find(item, "address") != nullptr || member.server.state != EndpointState::kRemoved) {
    const auto endpoint = parse_endpoint(json::text(item, "address"));
    if (!endpoint) json::wrong("address", "an address with a port");
    member.endpoint = *endpoint;
  }
  if (json::find(item, "zone") != nullptr) {
    const auto at = std::find(directory.zones.begin(), directory.zones.end(), json::text(item, "zone"));
    member.server.zone = static_cast<int>(at - directory.zones.begin());
  }
  member.server.cell = json::whole_or(item, "group", 0);
  member.server.weight = json::number_or(item, "weight", 1);
  if (json::find(item, "since_ms") != nullptr) {
    constexpr std::uint64_t kFarthest = 1ULL << 53;
    const auto since = static_cast<std::int64_t>(std::min(json::token(item, "since_ms"), kFarthest));
    member.server.started_at = starts.started(member.server.address, since, now);
  }
}

}  // namespace

Membership read_membership(const json::Value& in, const Directory& directory, const ClockReading& now,
                           StartTimes& starts) {
  Membership out;
  out.index = json::token(in, "index");
  out.full = json::flag(in, "snapshot");
  std::size_t place = 0;
  for (const json::Value& item : json::array(in, "endpoints").GetArray()) {
    Member member;
    try {
      member.server.address = json::text(item, "name");
      if (member.server.address.empty()) json::wrong("name", "a name");
      read_member(item, directory, now, starts, member);
    } catch (const std::exception& problem) {
      if (out.complaint.empty())
        out.complaint = "endpoints[" + std::to_string(place) + "]: " + problem.what();
      if (member.server.state != EndpointState::kRemoved) member.server.state = EndpointState::kDraining;
    }
    if (member.server.state == EndpointState::kRemoved) starts.left(member.server.address, now.clock);
    ++place;
    if (!member.server.address.empty()) out.members.push_back(std::move(member));
  }
  return out;
}

}  // namespace thymewood::node
