#include "server_selector.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "idempotency.h"

namespace thymewood {
namespace {

constexpr std::size_t kMaxScanned = 32;  // servers of a subset that are looked through for each request
constexpr int kMaxDraws = 16;            // among more of them, draws until two are usable
constexpr double kFailurePower = 4;      // how strongly failures raise a server's load score
constexpr double kMaxFailureAverage = 0.99;
constexpr double kCrossZoneWeight = 50;  // a cost of 0.01 makes a server look half as busy again

// s; least time between two requests to unconfirmed servers. Each may reach a server that drains; without
// any, a replica that was idle for a while could not serve before discovery is back.
constexpr double kUnconfirmedInterval = 0.25;

}  // namespace

bool ServerSelector::is_confirmed(double now, const Server& server) const {
  return in_.lease.covers(now, server.accepted_at);
}

bool ServerSelector::is_safe(double now, const PendingRequest& request, const Server& server) const {
  return is_attempt_safe(now, in_.settings.classes[request.request_class], request, server.endpoint);
}

bool ServerSelector::slow_start_allows(double now, Server& server) const {
  return in_.slow_start.allows(now, server.endpoint, server.slow_start, in_.subset.total_weight());
}

bool ServerSelector::is_usable(double now, std::size_t index, const PendingRequest& request,
                               const Requirements& required) {
  Server& server = servers_[index];
  if (!is_confirmed(now, server)) return false;
  if (required.not_ejected && server.outlier.is_ejected(now)) return false;
  if (required.not_tried && request.was_sent_to(index)) return false;
  if (required.has_capacity && !in_.capacity.server_has_capacity(now, request, server)) return false;
  return is_safe(now, request, server) && slow_start_allows(now, server);
}

// Two usable members of a large subset, found by random draws: a scan of a thousand servers for each request
// would take longer than all other steps together. Where few are usable, a scan follows.
bool ServerSelector::draw_candidates(double now, const PendingRequest& request) {
  candidates_.clear();
  const std::vector<std::size_t>& members = in_.subset.members();
  if (members.size() <= kMaxScanned) return false;
  for (int draws = 0; draws < kMaxDraws && candidates_.size() < 2; ++draws) {
    const bool only_local = candidates_.empty() && in_.subset.local_count() > 0;
    const std::size_t index = members[random_.below(only_local ? in_.subset.local_count() : members.size())];
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

// From the strictest requirements to the loosest. Past the first tier capacity is only preferred, since a
// rejection there wastes the work of the tiers above.
bool ServerSelector::find_candidates(double now, const PendingRequest& request) {
  const std::vector<std::size_t>& members = in_.subset.members();
  const std::vector<std::size_t>& ready = in_.subset.ready();
  const bool needs_capacity = in_.settings.tier == 0;
  if (draw_candidates(now, request)) return true;
  if (collect_candidates(now, members, request, {}) && candidates_.size() * 2 >= members.size()) return true;
  if (collect_candidates(now, ready, request, {})) return true;
  if (!needs_capacity && collect_candidates(now, ready, request, {.has_capacity = false})) return true;
  if (collect_candidates(now, ready, request, {.not_ejected = false, .has_capacity = needs_capacity}))
    return true;
  return collect_candidates(now, ready, request,
                            {.not_ejected = false, .not_tried = false, .has_capacity = needs_capacity});
}

std::optional<std::size_t> ServerSelector::select(double now, const PendingRequest& request) {
  if (!in_.capacity.tier_has_capacity(now, request, random_)) return std::nullopt;
  if (!find_candidates(now, request)) return select_unconfirmed(now, request);
  return choose(now, request);
}

// The least loaded of two random candidates and of the server that the last selection chose. That memory lets
// a server receive what it has capacity for and not only its part of the draws.
std::size_t ServerSelector::choose(double now, const PendingRequest& request) {
  std::size_t local = 0;
  while (local < candidates_.size() && !in_.subset.is_remote(servers_[candidates_[local]])) ++local;
  const std::size_t first = random_.below(local > 0 ? local : candidates_.size());
  if (candidates_.size() == 1) return candidates_[first];
  std::size_t second = random_.below(candidates_.size() - 1);
  if (second >= first) ++second;
  const std::size_t a = candidates_[first], b = candidates_[second];
  std::size_t best = load_score(now, servers_[b]) < load_score(now, servers_[a]) ? b : a;
  const std::size_t last = last_selected_;
  if (last < servers_.size() && servers_[last].in_subset && last != a && last != b &&
      in_.subset.is_remote(servers_[last]) == in_.subset.is_remote(servers_[best]) &&
      is_usable(now, last, request, {}) && load_score(now, servers_[last]) < load_score(now, servers_[best]))
    best = last;
  last_selected_ = best;
  return best;
}

// Where no confirmed server is usable: now and then one of the others, in turn, the one that answered last
// first.
std::optional<std::size_t> ServerSelector::select_unconfirmed(double now, const PendingRequest& request) {
  if (in_.lease.is_current() || now < next_unconfirmed_at_) return std::nullopt;
  const auto rank = [this](std::size_t index) {
    return std::pair(servers_[index].unconfirmed_at, -servers_[index].accepted_at);
  };
  std::optional<std::size_t> best;
  for (const std::size_t index : in_.subset.ready()) {
    Server& server = servers_[index];
    if (is_confirmed(now, server) || request.was_sent_to(index)) continue;
    if (!is_safe(now, request, server) || !slow_start_allows(now, server)) continue;
    if (!best || rank(index) < rank(*best)) best = index;
  }
  if (!best) return std::nullopt;
  servers_[*best].unconfirmed_at = now;
  next_unconfirmed_at_ = now + kUnconfirmedInterval;
  return best;
}

// By the server's last answers, or by the age of the attempts that it has not answered: with about one
// request a second, the number in flight shows a slow server only once its queue is long.
double ServerSelector::relative_latency(double now, const Server& server) const {
  const double learned = server.latency.at(now);
  const double waiting =
      server.in_flight == 0 ? 0 : (now - server.sent_at_sum / server.in_flight) / in_.latency.overall_mean();
  return std::max({1.0, learned, waiting});  // fast servers tie, so that requests in flight decide
}

double ServerSelector::load_score(double now, const Server& server) const {
  const double failures = std::min(server.outlier.failure_average(now), kMaxFailureAverage);
  const double health = std::pow(1 - failures, kFailurePower);
  const double zone_factor =
      in_.subset.is_remote(server) ? 1 + kCrossZoneWeight * in_.settings.cross_zone_cost : 1;
  return (server.in_flight + 1) * relative_latency(now, server) * zone_factor /
         (server.endpoint.weight * in_.slow_start.capacity(now, server.endpoint) * health);
}

}  // namespace thymewood
