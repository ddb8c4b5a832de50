#include "config.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iterator>
#include <string_view>
#include <utility>

#include "rapidjson/error/en.h"
#include "settings_reader.h"

namespace thymewood::node {
namespace {

namespace asio = boost::asio;

constexpr int kDefaultDescriptors = 1024, kMinDescriptors = 64;
constexpr int kDefaultMemoryMib = 192, kMinMemoryMib = 8;
constexpr std::size_t kBytesPerMib = std::size_t{1024} * 1024;
constexpr int kDefaultMaxPendingRequests = 20000;
constexpr double kDefaultConnectTimeout = 0.25;  // s
constexpr double kDefaultServerIdleTimeout = 5;  // s
constexpr double kMaxTimeout = 1e6;              // s
constexpr std::size_t kMaxPeers = 60000;         // a node id has 16 bits
constexpr double kMaxNotificationDelay = 6;  // s; a change at discovery counts as notified after this time
constexpr double kMaxSchedulingDelay = 0.2;  // s; for a process that is waiting for CPU time
// A list may be used for so many poll intervals after a call that failed.
constexpr double kFailedCallFactor = 4;
constexpr double kDefaultDrainGracePeriod = 1;  // s
constexpr double kMaxUsedGracePeriod = 1;       // s
constexpr double kMinEndpointLease = 0.25;      // s

rapidjson::Document parse_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) throw ConfigError(path, "", "RELAY_CONFIG: cannot read " + path);
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  rapidjson::Document in;
  in.Parse<rapidjson::kParseIterativeFlag>(text.data(), text.size());
  if (in.HasParseError()) {
    throw ConfigError(path, "",
                      std::string("RELAY_CONFIG: not valid JSON: ") +
                          rapidjson::GetParseError_En(in.GetParseError()) + " at byte " +
                          std::to_string(in.GetErrorOffset()));
  }
  return in;
}

std::uint64_t read_seed(const json::Value& in) {
  const std::string_view digits = json::string(in, "seed");
  std::uint64_t seed = 0;
  const auto [end, conversion_error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), seed, 16);
  if (conversion_error != std::errc() || end != digits.data() + digits.size()) {
    json::throw_invalid_field("seed", "a hexadecimal number");
  }
  return seed;
}

asio::ip::tcp::endpoint to_socket_address(std::string_view text, const char* field) {
  const auto address = parse_socket_address(text);
  if (!address) json::throw_invalid_field(field, "an address with a port");
  return *address;
}

PeerAddresses::Endpoint to_peer_address(std::string_view text, const char* field) {
  const asio::ip::tcp::endpoint address = to_socket_address(text, field);
  return {address.address(), address.port()};
}

double read_timeout(const json::Value& in, const char* field, double default_seconds) {
  const double seconds = json::number_or(in, field, default_seconds);
  if (!(seconds > 0 && seconds < kMaxTimeout)) json::throw_invalid_field(field, "a number above 0");
  return seconds;
}

void read_limits(const json::Value& in, Config& config) {
  const json::Value* const limits = json::find_field(in, "limits");
  const int descriptors =
      limits != nullptr ? json::integer_or(*limits, "sockets", kDefaultDescriptors) : kDefaultDescriptors;
  if (descriptors < kMinDescriptors) json::throw_invalid_field("sockets", "at least 64");
  config.max_descriptors = static_cast<std::size_t>(descriptors);
  const int memory_mib =
      limits != nullptr ? json::integer_or(*limits, "memory_mb", kDefaultMemoryMib) : kDefaultMemoryMib;
  if (memory_mib < kMinMemoryMib) json::throw_invalid_field("memory_mb", "at least 8");
  config.memory_bytes = static_cast<std::size_t>(memory_mib) * kBytesPerMib;
}

std::vector<std::string> read_names(const json::Value& list) {
  std::vector<std::string> names;
  for (const json::Value& item : list.GetArray()) names.emplace_back(json::string(item, "name"));
  return names;
}

ZoneNames read_zones(const json::Value& settings) {
  ZoneNames zones;
  if (json::find_field(settings, "azs") == nullptr) return zones;
  for (const json::Value& zone : json::array(settings, "azs").GetArray()) {
    if (!zone.IsString()) json::throw_invalid_field("azs", "an array of strings");
    zones.names.emplace_back(zone.GetString(), zone.GetStringLength());
  }
  return zones;
}

// Seconds from the notification of a drain until the last byte that the server may still get.
double read_drain_grace_period(const json::Value& settings) {
  const json::Value* const rules = json::find_field(settings, "rules");
  if (rules == nullptr) return kDefaultDrainGracePeriod;
  return std::max(0.0, json::number_or(*rules, "drainGrace", kDefaultDrainGracePeriod));
}

// A change at discovery counts as notified after the poll interval if that is shorter than the maximum
// notification delay, and a draining server may get requests for the grace period after that. The lease is
// reduced by the longest time that can pass between selecting an endpoint and sending it the first byte, and
// the grace period by the delay with which the end of the watch may be noticed.
double endpoint_lease(double poll_interval, double grace_period, double connect_timeout) {
  const double notification_delay =
      poll_interval > 0 ? std::min(kMaxNotificationDelay, poll_interval) : kMaxNotificationDelay;
  const double used_grace_period =
      std::max(0.0, std::min(kMaxUsedGracePeriod, grace_period) - kMaxSchedulingDelay);
  return std::max(kMinEndpointLease,
                  notification_delay + used_grace_period - connect_timeout - kMaxSchedulingDelay);
}

void read_bounds(const json::Value& bounds, double drain_grace_period, Config& config) {
  config.connect_timeout = read_timeout(bounds, "dialTimeout", kDefaultConnectTimeout);
  config.server_idle_timeout = read_timeout(bounds, "idleClose", kDefaultServerIdleTimeout);
  const double poll_interval = config.settings.uses_watch ? config.settings.poll_interval : 0;
  config.settings.endpoint_lease = endpoint_lease(poll_interval, drain_grace_period, config.connect_timeout);
  config.settings.endpoint_outage_lease =
      endpoint_lease(kFailedCallFactor * poll_interval, drain_grace_period, config.connect_timeout);
  const int max_pending = json::integer_or(bounds, "maxOpen", kDefaultMaxPendingRequests);
  if (max_pending < 1) json::throw_invalid_field("maxOpen", "at least 1");
  config.max_pending_requests = static_cast<std::size_t>(max_pending);
}

void read_settings_section(const json::Value& in, Config& config) {
  const json::Value& settings = json::required_field(in, "settings");
  config.settings = json::read_settings(settings);
  config.class_names = read_names(json::array(settings, "categories"));
  if (json::find_field(settings, "realms") != nullptr)
    config.tenant_names = read_names(json::array(settings, "realms"));
  config.zones = read_zones(settings);
  read_bounds(json::required_field(settings, "bounds"), read_drain_grace_period(settings), config);
}

// Messages between replicas require the platform's permission, a listen address and the addresses of the
// peers.
std::optional<PeerAddresses> read_peers(const json::Value& in, const Settings& settings) {
  const json::Value* const permitted =
      json::find_field(json::required_field(json::required_field(in, "settings"), "bounds"), "peers");
  if (permitted == nullptr || !permitted->IsBool() || !permitted->GetBool()) return std::nullopt;
  if (json::find_field(in, "peer_listen") == nullptr || json::find_field(in, "peers") == nullptr)
    return std::nullopt;
  PeerAddresses peers;
  peers.listen = to_peer_address(json::string(in, "peer_listen"), "peer_listen");
  for (const json::Value& peer : json::array(in, "peers").GetArray()) {
    if (!peer.IsString()) json::throw_invalid_field("peers", "an array of addresses with ports");
    peers.peers.push_back(to_peer_address({peer.GetString(), peer.GetStringLength()}, "peers"));
  }
  if (static_cast<std::size_t>(settings.replica_index) >= peers.peers.size())
    json::throw_invalid_field("peers", "an address for this node's own position");
  if (peers.peers.size() > kMaxPeers) json::throw_invalid_field("peers", "60000 addresses at most");
  if (json::find_field(in, "peers_all") != nullptr)
    peers.broadcast = to_peer_address(json::string(in, "peers_all"), "peers_all");
  return peers;
}

void read_known_endpoints(const json::Value& in, const Clock& clock, Config& config) {
  const json::Value* const known = json::find_field(in, "known");
  if (known == nullptr) return;
  try {
    config.known_endpoints = read_endpoint_list(*known, config.zones, clock.reading(), config.start_times);
  } catch (const std::exception& error) {
    throw std::runtime_error(std::string("known: ") + error.what());
  }
}

}  // namespace

ConfigError::ConfigError(std::string file, std::string key, std::string reason)
    : std::runtime_error(reason), file_(std::move(file)), key_(std::move(key)), reason_(std::move(reason)) {}

Config read_config(const std::string& path, const Clock& clock) {
  const rapidjson::Document in = parse_file(path);
  Config config;
  const char* key = "";
  try {
    key = "name";
    config.name = json::find_field(in, key) != nullptr ? std::string(json::string(in, key)) : "node";
    key = "listen";
    config.listen_address = to_socket_address(json::string(in, key), key);
    key = "discovery";
    config.discovery_address = to_socket_address(json::string(in, key), key);
    key = "seed";
    config.seed = read_seed(in);
    key = "limits";
    read_limits(in, config);
    key = "settings";
    read_settings_section(in, config);
    key = "peers";
    config.peers = read_peers(in, config.settings);
    key = "known";
    read_known_endpoints(in, clock, config);
  } catch (const std::exception& error) {
    throw ConfigError(path, key, error.what());
  }
  return config;
}

}  // namespace thymewood::node
