#include "config.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <string_view>

#include "rapidjson/error/en.h"
#include "settings_reader.h"

namespace thymewood::node {
namespace {

std::uint64_t read_seed(const json::Value& in) {
  const std::string_view digits = json::text(in, "seed");
  std::uint64_t out = 0;
  const auto [end, problem] = std::from_chars(digits.data(), digits.data() + digits.size(), out, 16);
  if (problem != std::errc() || end != digits.data() + digits.size()) {
    json::wrong("seed", "a hexadecimal number");
  }
  return out;
}

boost::asio::ip::tcp::endpoint read_endpoint(const json::Value& in, const char* field) {
  const auto out = parse_endpoint(json::text(in, field));
  if (!out) json::wrong(field, "an address with a port");
  return *out;
}

double positive(const json::Value& in, const char* field, double otherwise) {
  const double out = json::number_or(in, field, otherwise);
  if (!(out > 0 && out < 1e6)) json::wrong(field, "a number above 0");
  return out;
}

PeerAddresses::Endpoint read_peer(std::string_view text, const char* field) {
  const auto out = parse_endpoint(text);
  if (!out) json::wrong(field, "an address with a port");
  return {out->address(), out->port()};
}

// Talk between nodes needs the platform's word for it, an address of one's own, and those of the others.
std::optional<PeerAddresses> read_peers(const json::Value& in, const json::Value& bounds,
                                        const Settings& settings) {
  const json::Value* const permitted = json::find(bounds, "peers");
  if (permitted == nullptr || !permitted->IsBool() || !permitted->GetBool()) return std::nullopt;
  if (json::find(in, "peer_listen") == nullptr || json::find(in, "peers") == nullptr) return std::nullopt;
  PeerAddresses out;
  out.listen = read_peer(json::text(in, "peer_listen"), "peer_listen");
  for (const json::Value& peer : json::array(in, "peers").GetArray()) {
    if (!peer.IsString()) json::wrong("peers", "an array of addresses with ports");
    out.peers.push_back(read_peer({peer.GetString(), peer.GetStringLength()}, "peers"));
  }
  if (static_cast<std::size_t>(settings.replica_index) >= out.peers.size())
    json::wrong("peers", "an address for this node's own position");
  constexpr std::size_t kMostPeers = 60000;
  if (out.peers.size() > kMostPeers) json::wrong("peers", "60000 addresses at most");
  if (json::find(in, "peers_all") != nullptr)
    out.broadcast = read_peer(json::text(in, "peers_all"), "peers_all");
  return out;
}

// s; how long a server is used by a list that nothing confirms. What discovery has counts as notified 6 s
// later at the latest, or as soon as the settings say for a node that does not ask. From that goes what may
// lie between the decision for a server and the first byte to it: a dial, and a process that is held up.
double list_lease_of(const Settings& settings, double dial_timeout) {
  constexpr double kNotified = 6, kHeldUp = 0.2, kLeast = 0.25;
  const double notified = settings.uses_watch && settings.poll_interval > 0
                              ? std::min(kNotified, settings.poll_interval)
                              : kNotified;
  return std::max(kLeast, notified - dial_timeout - kHeldUp);
}

std::vector<std::string> names_of(const json::Value& list) {
  std::vector<std::string> out;
  for (const json::Value& item : list.GetArray()) out.emplace_back(json::text(item, "name"));
  return out;
}

}  // namespace

Config read_config(const std::string& path, const Clock& clock) {
  std::ifstream file(path, std::ios::binary);
  if (!file) throw std::runtime_error("RELAY_CONFIG: cannot read " + path);
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  rapidjson::Document in;
  in.Parse<rapidjson::kParseIterativeFlag>(text.data(), text.size());
  if (in.HasParseError()) {
    throw std::runtime_error(std::string("RELAY_CONFIG: not valid JSON: ") +
                             rapidjson::GetParseError_En(in.GetParseError()) + " at byte " +
                             std::to_string(in.GetErrorOffset()));
  }
  Config out;
  out.name = json::find(in, "name") != nullptr ? std::string(json::text(in, "name")) : "node";
  out.listen = read_endpoint(in, "listen");
  out.discovery = read_endpoint(in, "discovery");
  out.seed = read_seed(in);
  constexpr int kUsualSockets = 1024, kFewestSockets = 64;
  const json::Value* limits = json::find(in, "limits");
  const int sockets = limits != nullptr ? json::whole_or(*limits, "sockets", kUsualSockets) : kUsualSockets;
  if (sockets < kFewestSockets) json::wrong("sockets", "at least 64");
  out.sockets = static_cast<std::size_t>(sockets);
  constexpr int kUsualMemory = 192, kLeastMemory = 8;
  constexpr std::size_t kMega = std::size_t{1024} * 1024;
  const int memory = limits != nullptr ? json::whole_or(*limits, "memory_mb", kUsualMemory) : kUsualMemory;
  if (memory < kLeastMemory) json::wrong("memory_mb", "at least 8");
  out.memory = static_cast<std::size_t>(memory) * kMega;

  const json::Value& settings = json::need(in, "settings");
  out.settings = json::read_settings(settings);
  out.class_names = names_of(json::array(settings, "categories"));
  if (json::find(settings, "realms") != nullptr) out.tenant_names = names_of(json::array(settings, "realms"));
  if (json::find(settings, "azs") != nullptr) {
    for (const json::Value& zone : json::array(settings, "azs").GetArray()) {
      if (!zone.IsString()) json::wrong("azs", "an array of strings");
      out.directory.zones.emplace_back(zone.GetString(), zone.GetStringLength());
    }
  }
  const json::Value& bounds = json::need(settings, "bounds");
  constexpr double kUsualDial = 0.25, kUsualIdle = 5;
  out.dial_timeout = positive(bounds, "dialTimeout", kUsualDial);
  out.idle_close = positive(bounds, "idleClose", kUsualIdle);
  out.settings.endpoint_lease = list_lease_of(out.settings, out.dial_timeout);
  constexpr int kUsualOpen = 20000;
  const int max_open = json::whole_or(bounds, "maxOpen", kUsualOpen);
  if (max_open < 1) json::wrong("maxOpen", "at least 1");
  out.max_open = static_cast<std::size_t>(max_open);
  out.peers = read_peers(in, bounds, out.settings);
  if (const json::Value* known = json::find(in, "known")) {
    try {
      out.known = read_membership(*known, out.directory, clock.reading(), out.starts);
    } catch (const std::exception& problem) {
      throw std::runtime_error(std::string("known: ") + problem.what());
    }
  }
  return out;
}

}  // namespace thymewood::node
