#include "server_selector.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "idempotency.h"

namespace thymewood {
namespace {

constexpr std::size_t kMaxScannedMembers = 32;  // largest subset that is scanned for each request
constexpr int kMaxSamples = 16;      // random samples of a larger subset to find two usable members
constexpr double kFailurePower = 4;  // exponent that sets how strongly failures raise the load score
constexpr double kMaxFailureAverage = 0.99;
constexpr double kCrossZoneWeight = 50;  // a cost of 0.01 raises the load score by half

// Minimum time between two requests to unconfirmed servers, in seconds. Each of them may reach a server that
// has gone. Without any, a replica that has been idle could not serve requests until discovery is available
// again.
constexpr double kUnconfirmedInterval = 0.25;

}  // namespace

bool ServerSelector::is_confirmed(double now, const Server& server) const {
  return inputs_.lease.is_valid(now, server.last_answered_sent_at);
}

bool ServerSelector::is_safe(double now, const PendingRequest& request, const Server& server) const {
  return is_attempt_safe(now, inputs_.settings.classes[request.request_class], request, server.endpoint);
}

bool ServerSelector::slow_start_allows(double now, Server& server) const {
  return inputs_.slow_start.allows(now, server.endpoint, server.slow_start, inputs_.subset.total_weight());
}

bool ServerSelector::is_usable(double now, std::size_t index, const PendingRequest& request,
                               const Requirements& required) {
  Server& server = servers_[index];
  if (!is_confirmed(now, server)) return false;
  if (required.not_ejected && server.outlier.is_ejected(now)) return false;
  if (required.not_tried && request.was_sent_to(index)) return false;
  if (required.has_capacity && !inputs_.capacity.server_has_capacity(now, request, server)) return false;
  return is_safe(now, request, server) && slow_start_allows(now, server);
}

// Finds two usable members of a large subset by random sampling: scanning a thousand servers for each request
// would take longer than all other steps together. If this fails because few are usable, a scan follows.
bool ServerSelector::sample_candidates(double now, const PendingRequest& request) {
  candidates_.clear();
  const std::vector<std::size_t>& members = inputs_.subset.members();
  if (members.size() <= kMaxScannedMembers) return false;
  for (int samples = 0; samples < kMaxSamples && candidates_.size() < 2; ++samples) {
    const bool only_local = candidates_.empty() && inputs_.subset.local_count() > 0;
    const std::size_t index =
        members[random_.uniform_index(only_local ? inputs_.subset.local_count() : members.size())];
    if (!candidates_.empty() && candidates_[0] == index) continue;
    if (is_usable(now, index, request, {})) candidates_.push_back(index);
  }
  return candidates_.size() == 2;
}

bool ServerSelector::collect_candidates(double now, const std::vector<std::size_t>& from,
                                        const PendingRequest& request, const Requirements& required) {
  candidates_.clear();
  for (const std::size_t index : from) {
    if (is_usable(now, index, request, required)) candidates_.push_back(index);
  }
  return !candidates_.empty();
}

// Tries the strictest requirements first and relaxes them step by step. Behind the first tier, capacity is
// only preferred, since a rejection there wastes the work of the tiers above.
bool ServerSelector::find_candidates(double now, const PendingRequest& request) {
  const std::vector<std::size_t>& members = inputs_.subset.members();
  const std::vector<std::size_t>& ready = inputs_.subset.ready();
  const bool needs_capacity = inputs_.settings.tier == 0;
  if (sample_candidates(now, request)) return true;
  if (collect_candidates(now, members, request, {}) && candidates_.size() * 2 >= members.size()) return true;
  if (collect_candidates(now, ready, request, {})) return true;
  if (!needs_capacity && collect_candidates(now, ready, request, {.has_capacity = false})) return true;
  if (collect_candidates(now, ready, request, {.not_ejected = false, .has_capacity = needs_capacity}))
    return true;
  return collect_candidates(now, ready, request,
                            {.not_ejected = false, .not_tried = false, .has_capacity = needs_capacity});
}

std::optional<std::size_t> ServerSelector::select(double now, const PendingRequest& request) {
  if (!inputs_.capacity.tier_has_capacity(now, request, random_)) return std::nullopt;
  if (!find_candidates(now, request)) return select_unconfirmed(now, request);
  return choose(now, request);
}

// Power of two choices with memory: the least loaded of two random candidates and the server selected last.
// The memory lets a server with spare capacity receive more than its share of the random choices.
std::size_t ServerSelector::choose(double now, const PendingRequest& request) {
  std::size_t local = 0;
  while (local < candidates_.size() && !inputs_.subset.is_remote(servers_[candidates_[local]])) ++local;
  const std::size_t first = random_.uniform_index(local > 0 ? local : candidates_.size());
  if (candidates_.size() == 1) return candidates_[first];
  std::size_t second = random_.uniform_index(candidates_.size() - 1);
  if (second >= first) ++second;
  const std::size_t a = candidates_[first], b = candidates_[second];
  std::size_t best = load_score(now, servers_[b]) < load_score(now, servers_[a]) ? b : a;
  const std::size_t last = last_selected_;
  if (last < servers_.size() && servers_[last].in_subset && last != a && last != b &&
      inputs_.subset.is_remote(servers_[last]) == inputs_.subset.is_remote(servers_[best]) &&
      is_usable(now, last, request, {}) && load_score(now, servers_[last]) < load_score(now, servers_[best]))
    best = last;
  last_selected_ = best;
  return best;
}

// If no confirmed server is usable, selects unconfirmed servers at a limited rate and in turn, starting with
// the one that has most recently accepted a request.
std::optional<std::size_t> ServerSelector::select_unconfirmed(double now, const PendingRequest& request) {
  if (inputs_.lease.is_current() || !inputs_.lease.is_list_trusted(now)) return std::nullopt;
  if (now < next_unconfirmed_at_) return std::nullopt;
  const auto selection_order = [this](std::size_t index) {
    return std::pair(servers_[index].last_unconfirmed_use_at, -servers_[index].last_answered_sent_at);
  };
  std::optional<std::size_t> best;
  for (const std::size_t index : inputs_.subset.ready()) {
    Server& server = servers_[index];
    if (is_confirmed(now, server) || request.was_sent_to(index)) continue;
    if (!is_safe(now, request, server) || !slow_start_allows(now, server)) continue;
    if (!best || selection_order(index) < selection_order(*best)) best = index;
  }
  if (!best) return std::nullopt;
  servers_[*best].last_unconfirmed_use_at = now;
  next_unconfirmed_at_ = now + kUnconfirmedInterval;
  return best;
}

// Based on the server's recent responses, or on the age of its attempts in flight: at about one request per
// second, the number of requests in flight reveals a slow server only after its queue has become long.
double ServerSelector::relative_latency(double now, const Server& server) const {
  const double from_responses = server.latency.at(now);
  const double from_in_flight =
      server.in_flight == 0 ? 0
                            : (now - server.sent_at_sum / server.in_flight) / inputs_.latency.overall_mean();
  // Servers faster than the mean tie, so that the number of requests in flight decides.
  return std::max({1.0, from_responses, from_in_flight});
}

double ServerSelector::load_score(double now, const Server& server) const {
  const double failure_average = std::min(server.outlier.failure_average(now), kMaxFailureAverage);
  const double health_factor = std::pow(1 - failure_average, kFailurePower);
  const double zone_factor =
      inputs_.subset.is_remote(server) ? 1 + kCrossZoneWeight * inputs_.settings.cross_zone_cost : 1;
  return (server.in_flight + 1) * relative_latency(now, server) * zone_factor /
         (server.endpoint.weight * inputs_.slow_start.capacity(now, server.endpoint) * health_factor);
}

}  // namespace thymewood
