#include "actors.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <utility>

namespace thymewood::bench {
namespace {

constexpr std::array<std::pair<const char*, ActorKind>, 6> kActorKindNames{
    {{"callers", ActorKind::kClients},
     {"node", ActorKind::kNode},
     {"server", ActorKind::kServer},
     {"discovery", ActorKind::kDiscovery},
     {"inner", ActorKind::kSidecar},
     {"backend", ActorKind::kBackend}}};

bool is_singleton(ActorKind kind) { return kind == ActorKind::kClients || kind == ActorKind::kDiscovery; }

int actor_count(const Topology& topology, ActorKind kind) {
  switch (kind) {
    case ActorKind::kNode:
      return static_cast<int>(topology.node_zones.size());
    case ActorKind::kServer:
      return static_cast<int>(topology.server_zones.size());
    case ActorKind::kBackend:
      return static_cast<int>(topology.backend_zones.size());
    case ActorKind::kSidecar:
      return topology.sidecar;
    default:
      return 1;
  }
}

std::optional<int> parse_unsigned(const std::string& text) {
  int out = 0;
  const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), out);
  if (status != std::errc() || end != text.data() + text.size() || out < 0) return std::nullopt;
  return out;
}

}  // namespace

std::string name_of(const Actor& actor) {
  for (const auto& [name, kind] : kActorKindNames) {
    if (kind == actor.kind)
      return is_singleton(kind) ? std::string(name) : std::string(name) + std::to_string(actor.number);
  }
  return "?";
}

std::vector<Actor> Topology::all_actors() const {
  std::vector<Actor> out;
  for (const auto& [name, kind] : kActorKindNames) {
    for (int i = 0; i < actor_count(*this, kind); ++i) out.push_back({kind, i});
  }
  return out;
}

int Topology::zone_of(const Actor& actor) const {
  const auto at = static_cast<std::size_t>(actor.number);
  switch (actor.kind) {
    case ActorKind::kNode:
      return node_zones.at(at);
    case ActorKind::kServer:
    case ActorKind::kSidecar:  // in the zone of its server
      return server_zones.at(at);
    case ActorKind::kBackend:
      return backend_zones.at(at);
    default:
      return -1;
  }
}

std::optional<Selector> Selector::parse(const std::string& text, std::string& error) {
  Selector out;
  if (text.empty()) return out;
  const std::size_t colon = text.find(':');
  const std::string word = text.substr(0, colon);
  const std::string rest = colon == std::string::npos ? "" : text.substr(colon + 1);
  if (word == "zone") {
    const std::optional<int> zone = parse_unsigned(rest);
    if (!zone) return error = "'" + text + "': a zone is selected as 'zone:1'", std::nullopt;
    out.kind = Kind::kZone;
    out.first = out.last = *zone;
    return out;
  }
  const auto match = std::find_if(kActorKindNames.begin(), kActorKindNames.end(),
                                  [&](const auto& entry) { return word == entry.first; });
  if (match == kActorKindNames.end())
    return error = "'" + text + "' is not one of callers, discovery, node, server, inner, backend, zone",
           std::nullopt;
  out.of = match->second;
  if (is_singleton(out.of)) {
    if (colon != std::string::npos) return error = "'" + text + "': there is only one " + word, std::nullopt;
    out.kind = Kind::kAll;
    return out;
  }
  if (rest == "*") {
    out.kind = Kind::kAll;
    return out;
  }
  if (!rest.empty() && rest.back() == '%') {
    const std::optional<int> percent = parse_unsigned(rest.substr(0, rest.size() - 1));
    if (!percent || *percent > 100)
      return error = "'" + text + "': a percentage is from 0% to 100%", std::nullopt;
    out.kind = Kind::kPart;
    out.part = *percent / 100.0;
    return out;
  }
  const std::size_t dash = rest.find('-');
  const std::optional<int> first = parse_unsigned(rest.substr(0, dash));
  const std::optional<int> last = dash == std::string::npos ? first : parse_unsigned(rest.substr(dash + 1));
  if (!first || !last || *last < *first)
    return error = "'" + text + "': numbers are selected as '" + word + ":3' or '" + word + ":0-6'",
           std::nullopt;
  out.kind = dash == std::string::npos ? Kind::kOne : Kind::kRange;
  out.first = *first;
  out.last = *last;
  return out;
}

std::string Selector::mismatch_reason(const Topology& topology) const {
  if (kind == Kind::kNobody) return "";
  if (kind == Kind::kZone) {
    for (const Actor& actor : topology.all_actors()) {
      if (topology.zone_of(actor) == first) return "";
    }
    return "no actor is in zone " + std::to_string(first);
  }
  const int count = actor_count(topology, of);
  if ((kind == Kind::kOne || kind == Kind::kRange) && last >= count)
    return "there are " + std::to_string(count) + " of these, numbered from 0";
  return count == 0 ? "the scenario has none of these" : "";
}

std::vector<Actor> Selector::pick(const Topology& topology, Random& random) const {
  std::vector<Actor> out;
  if (kind == Kind::kNobody) return out;
  if (kind == Kind::kZone) {
    for (const Actor& actor : topology.all_actors()) {
      if (topology.zone_of(actor) == first) out.push_back(actor);
    }
    return out;
  }
  const int count = actor_count(topology, of);
  for (int i = 0; i < count; ++i) out.push_back({of, i});
  if (kind == Kind::kAll) return out;
  if (kind == Kind::kPart) {
    const auto picked = static_cast<std::size_t>(std::lround(part * count));
    for (std::size_t i = 0; i < picked; ++i) std::swap(out[i], out[i + random.below(out.size() - i)]);
    out.resize(picked);
    std::sort(out.begin(), out.end());
    return out;
  }
  return {out.begin() + first, out.begin() + last + 1};
}

}  // namespace thymewood::bench
