#include "endpoint_list.h"

#include <algorithm>
#include <charconv>
#include <stdexcept>
#include <utility>

namespace thymewood::node {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

std::optional<tcp::endpoint> parse_socket_address(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  std::string_view host = text.substr(0, colon);
  const std::string_view digits = text.substr(colon + 1);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') host = host.substr(1, host.size() - 2);
  std::uint16_t port = 0;
  const auto [end, conversion_error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (conversion_error != std::errc() || end != digits.data() + digits.size()) return std::nullopt;
  error_code error;
  const asio::ip::address address = asio::ip::make_address(std::string(host), error);
  if (error) return std::nullopt;
  return tcp::endpoint(address, port);
}

namespace {

// Field names of discovery's wire format.
namespace wire {
constexpr const char* kVersion = "index";
constexpr const char* kIsFull = "snapshot";
constexpr const char* kEndpoints = "endpoints";
constexpr const char* kName = "name";
constexpr const char* kSocketAddress = "address";
constexpr const char* kState = "status";
constexpr const char* kZone = "zone";
constexpr const char* kCell = "group";
constexpr const char* kWeight = "weight";
constexpr const char* kStartedAt = "since_ms";
}  // namespace wire

constexpr std::uint64_t kMaxUnixMs = 1ULL << 53;  // largest integer that every JSON parser represents exactly

EndpointState read_state(const json::Value& entry) {
  const std::string_view state = json::string(entry, wire::kState);
  if (state == "up") return EndpointState::kReady;
  if (state == "draining") return EndpointState::kDraining;
  if (state == "removed") return EndpointState::kRemoved;
  json::throw_invalid_field(wire::kState, "up, draining or removed");
}

// Fills in `listed` field by field, so that the fields before an invalid one are kept.
void read_entry(const json::Value& entry, const ZoneNames& zones, const ClockReading& now,
                StartTimes& start_times, ListedEndpoint& listed) {
  Endpoint& endpoint = listed.endpoint;
  endpoint.address = json::string(entry, wire::kName);
  if (endpoint.address.empty()) json::throw_invalid_field(wire::kName, "a name");
  endpoint.state = read_state(entry);
  // For a removed server only the name is required.
  if (json::find_field(entry, wire::kSocketAddress) != nullptr || endpoint.state != EndpointState::kRemoved) {
    const auto address = parse_socket_address(json::string(entry, wire::kSocketAddress));
    if (!address) json::throw_invalid_field(wire::kSocketAddress, "an address with a port");
    listed.socket_address = *address;
  }
  if (json::find_field(entry, wire::kZone) != nullptr) {
    const auto it = std::find(zones.names.begin(), zones.names.end(), json::string(entry, wire::kZone));
    endpoint.zone = static_cast<int>(it - zones.names.begin());
  }
  endpoint.cell = json::integer_or(entry, wire::kCell, 0);
  endpoint.weight = json::number_or(entry, wire::kWeight, 1);
  if (json::find_field(entry, wire::kStartedAt) != nullptr) {
    const auto unix_ms =
        static_cast<std::int64_t>(std::min(json::unsigned_integer(entry, wire::kStartedAt), kMaxUnixMs));
    endpoint.started_at = start_times.started_at(endpoint.address, unix_ms, now);
  }
}

}  // namespace

EndpointList read_endpoint_list(const json::Value& in, const ZoneNames& zones, const ClockReading& now,
                                StartTimes& start_times) {
  EndpointList list;
  list.version = json::unsigned_integer(in, wire::kVersion);
  list.is_full = json::boolean_or_false(in, wire::kIsFull);
  std::size_t position = 0;
  for (const json::Value& entry : json::array(in, wire::kEndpoints).GetArray()) {
    ListedEndpoint listed;
    Endpoint& endpoint = listed.endpoint;
    try {
      read_entry(entry, zones, now, start_times, listed);
    } catch (const std::exception& error) {
      if (list.first_error.empty())
        list.first_error = "endpoints[" + std::to_string(position) + "]: " + error.what();
      if (endpoint.state != EndpointState::kRemoved) endpoint.state = EndpointState::kDraining;
    }
    if (endpoint.state == EndpointState::kRemoved) start_times.on_removed(endpoint.address, now.steady);
    ++position;
    if (!endpoint.address.empty()) list.endpoints.push_back(std::move(listed));
  }
  return list;
}

}  // namespace thymewood::node
