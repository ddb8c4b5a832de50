// All decisions of thymewood. The interface, that is the types, events and actions, is
// include/thymewood/balancer.h; read it first. Reading order here: the constants, then one section for each
// question: admit? who is there? is it healthy? which server? how long? again? and last the events.
#include "thymewood/balancer.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <unordered_map>

#include "concurrency_limit.h"
#include "decaying_rate.h"
#include "endpoint_lease.h"
#include "estimate.h"
#include "pending_requests.h"
#include "random.h"
#include "tenant_limiter.h"
#include "watch_backoff.h"

namespace thymewood {
namespace {

// ---------------------------------------------------------------- constants

constexpr double kInTime = 0.6;  // of the aim; slower answers tell of queues before the aim is missed

constexpr std::size_t kSubset = 5;  // servers at least; enough spread, few connections
constexpr std::size_t kFew = 32;    // servers that are looked through for each call
constexpr int kDraws = 16;          // among more of them, draws until two may be used
constexpr std::size_t kCover = 2;   // copies that use each server, at least: few copies have large subsets
// ... and while copies may count each other differently: a rank that is off by two leaves no server bare.
constexpr std::size_t kMovingCover = 5;
constexpr double kAdmittedMemory = 5;  // s; smoothing of the admitted rate that sizes cold budgets
constexpr double kColdBudget = 1;      // x a server's part of the traffic, times what it can do so far

constexpr double kShareRoom = 1.3;  // x the room, for calls within their tenant's share

constexpr double kFailGain = 0.3;    // weight of one outcome in a server's failure average
constexpr double kFailHalfLife = 2;  // s; how fast distrust fades, times the failures in a row
constexpr double kFailPower = 4;     // how strongly failures make a server look busy
constexpr double kTrusted = 0.05;    // failure average that counts as none, or a server stays spared for good
constexpr double kIll = 0.5;         // failure average from which a server is shunned

constexpr double kPaceGain = 0.3;    // weight of one answer in a server's pace
constexpr double kPaceMemory = 20;   // s; fades to the usual, or a slow server is never met again
constexpr double kPriceWeight = 50;  // a crossing's price of 0.01 makes a server look half as busy again

constexpr double kLatencyGain = 0.05;  // weight of one sample in the latency estimates
constexpr double kDeviations = 15;     // deviations over the mean before an attempt is given up
constexpr double kTailFactor = 1.5,
                 kTailMemory = 5;  // x the longest answer of late; s, how soon that is forgotten
constexpr double kNoHope = 1, kTryAnyway = 0.05;  // x the usual answer time; of the calls that have less left
constexpr double kSureCalls = 20;                 // calls; answers before that time counts as learned
constexpr double kRetryShare = 0.1;               // further attempts per first one
constexpr double kAtOnce = 0.02;   // s; an attempt that fails sooner has cost no server any work
constexpr double kRetryBurst = 1;  // further attempts saved up at most
constexpr double kLeastAdvice = 0.375, kAdviceSpread = 0.25;  // of the longest advice that callers follow
// s; least time between two requests to servers that nothing confirms. Danger: each may be one too many for a
// server that drains; but with none a node that was quiet for a while would serve nobody until discovery is
// back.
constexpr double kUnconfirmedPause = 0.25;
// s; by which a change that discovery had when it moved counts as told sooner than one that comes later.
constexpr double kMovedEarlier = 2;
constexpr double kLogPeriod = 10;  // s; least time between two log lines of a kind
constexpr std::uint64_t kWatchTimer = 0;

constexpr double kMostAim = 60;  // s; what the first guess at a class's latency is made from, at most

constexpr double kForever = std::numeric_limits<double>::infinity();

// Which outcomes prove that an attempt never ran. Danger: taking an unknown end for harmless repeats effects.
bool never_ran(Outcome outcome) {
  return outcome == Outcome::kRejected || outcome == Outcome::kConnectFailed || outcome == Outcome::kNotSent;
}

// What attempts of a class take.
struct ClassTime {
  Estimate latency;  // s
  // s; the longest of late. Danger: where few calls are slow, deviations forget them
  double tail = 0, tail_at = 0;
};

struct ServerNode {
  Endpoint told;
  std::uint64_t order = 0, listed = 0;  // listed: in which membership update it was told last
  int in_flight = 0, named = 0;         // named: by attempts of open requests, ended ones too
  bool forgotten = false;               // its place is free for another
  bool in_subset = false;               // of those that this copy draws from
  double accepted_at = -kForever;       // when the last request was sent that it answered
  double tried_at = -kForever;          // when it was last used without anything that confirmed it
  double full_until = 0;  // it turned a call away, and of those that it has none is likely to have ended yet
  double failing = 0, failing_at = 0;  // failure average and when it was last brought up to date
  int failures_in_row = 0;
  double cold_tokens = 0, cold_at = 0;
  Throughput answered;
  double met_at = 0;
  Estimate pace{1, 0, 0};             // answer time against the usual of the same class
  double paced_at = 0, sent_sum = 0;  // sent_sum: over the calls in flight, of when they were sent
};

}  // namespace

// Evenly spaced starts on a ring: any two servers differ by at most one in how many copies use them, and a
// server that leaves moves each start by one place at most.
std::vector<std::size_t> subset_of(std::size_t replica_index, std::size_t replica_count, std::size_t servers,
                                   std::size_t size) {
  std::vector<std::size_t> out;
  if (servers == 0 || replica_count == 0) return out;
  const std::size_t start = replica_index * servers / replica_count;
  for (std::size_t i = 0; i < std::min(size, servers); ++i) out.push_back((start + i) % servers);
  return out;
}

class Balancer::Impl {
 public:
  Impl(const Settings& settings, std::uint64_t seed)
      : settings_(with_unknown(settings)),
        random_(seed),
        room_(settings_.classes),
        lease_(settings_.endpoint_lease),
        watch_retry_(settings_.poll_interval) {
    for (const RequestClass& c : settings_.classes) {
      const double latency_objective = std::min(c.latency_objective, kMostAim);
      classes_.push_back({{latency_objective / 4, latency_objective / 8, 0}});
    }
    settings_.tenants.emplace_back();
    reckoned_ = settings_.replica_count;
    for (const Tenant& told : settings_.tenants) tenants_.emplace_back(told, settings_);
  }

  void handle(double now, const Event& event, std::vector<Action>& actions) {
    now_ = now;
    out_ = &actions;
    std::visit([this](const auto& e) { on(e); }, event);
  }

  std::size_t known_endpoints() const { return servers_.size() - unused_.size(); }

  TenantLimitView view(double now, std::size_t tenant) const {
    return tenants_[std::min(tenant, tenants_.size() - 1)].view(now);
  }

  ConcurrencyLimitView concurrency_limit(double now) const {
    return {room_.natural(), room_.answers(now), static_cast<double>(in_flight_), tier_room(now),
            room_.crowd_bound(now)};
  }

 private:
  // Refuses settings that cannot be used. What is out of range lands in one more class: unsafe, no aim of its
  // own.
  static Settings with_unknown(Settings s) {
    validate(s);
    s.classes.emplace_back();
    s.classes.back().client_timeout = s.classes.back().latency_objective = kForever;
    return s;
  }

  // ---------------------------------------------------------------- admit?

  // Whether the caller gives up sooner than calls of its class are answered. Danger: sent, it would fail for
  // good where it may not be repeated, and its work be for nothing; refused, it may come back. Past the first
  // tier the work above is spent already. Some are tried all the same, or a time once learned would last.
  bool is_hopeless(std::size_t request_class, double time_left) {
    const Estimate& usual = classes_[request_class].latency;
    return settings_.tier == 0 && usual.samples >= kSureCalls && time_left < kNoHope * usual.mean &&
           random_.unit() >= kTryAnyway;
  }

  // ---------------------------------------------------------------- who is there?

  void learn(const Endpoint& told) {
    const auto [it, unknown] = by_address_.try_emplace(told.address, servers_.size());
    if (unknown && !unused_.empty()) {
      it->second = unused_.back();
      unused_.pop_back();
      servers_[it->second] = {};
    } else if (unknown) {
      servers_.emplace_back();
    }
    if (unknown) servers_[it->second].order = stable_hash(told.address);
    ServerNode& s = servers_[it->second];
    if (unknown || told.started_at != s.told.started_at || s.told.state == EndpointState::kRemoved) {
      ServerNode fresh;  // another process: what the last one did says nothing
      fresh.order = s.order;
      fresh.in_flight = s.in_flight;
      fresh.named = s.named;
      fresh.sent_sum = s.sent_sum;
      fresh.met_at = fresh.cold_at = now_;
      fresh.cold_tokens = random_.unit();  // copies hear of a start together and must not send together
      s = fresh;
    }
    s.told = told;
    s.listed = listing_;
    if (!(s.told.weight > 0)) s.told.weight = 1;
  }

  // Guards against a list that holds every server there ever was, where new ones come all day. Danger:
  // attempts of open requests name their servers, also those that have ended: their cell binds where the next
  // may go.
  void forget_if_gone(std::size_t at) {
    ServerNode& s = servers_[at];
    if (s.told.state != EndpointState::kRemoved || s.named > 0 || s.forgotten) return;
    by_address_.erase(s.told.address);
    s.forgotten = true;
    unused_.push_back(at);
  }

  std::vector<std::size_t> own_part(const std::vector<std::size_t>& from) const {
    const std::size_t index = static_cast<std::size_t>(settings_.replica_index);
    const std::size_t count = static_cast<std::size_t>(settings_.replica_count);
    // Danger: a subset of fixed size leaves servers without any caller where copies are few.
    const std::size_t size = std::max(kSubset, (cover_ * from.size() + count - 1) / count);
    std::vector<std::size_t> out;
    for (const std::size_t at : subset_of(index, count, from.size(), size)) out.push_back(from[at]);
    return out;
  }

  bool is_away(const ServerNode& s) const {
    return settings_.cross_zone_cost > 0 && s.told.zone != settings_.zone;
  }

  void rebuild_subset() {
    const std::vector<std::size_t> before = std::move(ring_);
    ring_.clear();
    ready_weight_ = 0;
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      if (servers_[i].told.state != EndpointState::kReady) continue;
      ring_.push_back(i);
      ready_weight_ += servers_[i].told.weight;
    }
    std::sort(ring_.begin(), ring_.end(),
              [this](std::size_t a, std::size_t b) { return servers_[a].order < servers_[b].order; });
    const auto away = std::stable_partition(ring_.begin(), ring_.end(),
                                            [this](std::size_t i) { return !is_away(servers_[i]); });
    if (ring_ != before) room_.forget_crowds();  // after the partition, for so the last one was left
    subset_ = own_part({ring_.begin(), away});
    subset_home_ = subset_.size();
    const std::vector<std::size_t> others = own_part({away, ring_.end()});
    subset_.insert(subset_.end(), others.begin(), others.end());
    for (ServerNode& s : servers_) s.in_subset = false;
    for (const std::size_t i : subset_) servers_[i].in_subset = true;
    sharers_ = std::max(1.0, static_cast<double>(reckoned_) * static_cast<double>(subset_.size()) /
                                 static_cast<double>(ring_.size()));
  }

  // ---------------------------------------------------------------- is it healthy?

  // The failure average now: it fades, the slower the more failures came in a row.
  double failing(const ServerNode& s) const {
    if (s.failing == 0) return 0;
    const double left =
        s.failing * std::exp2((s.failing_at - now_) / (kFailHalfLife * (1 + s.failures_in_row)));
    return left < kTrusted ? 0 : left;
  }

  void note_health(ServerNode& s, bool good) {
    s.failing = failing(s) + kFailGain * ((good ? 0 : 1) - failing(s));
    s.failing_at = now_;
    s.failures_in_row = good ? 0 : std::min(s.failures_in_row + 1, 4);
  }

  // Whether a further call would be answered well before its aim: calls in flight against answers a second.
  // Danger: a queue longer than the aim feeds itself. One call has room: at many copies each has but a part;
  // but not where one has just been turned away.
  bool has_room(const PendingRequest& p, const ServerNode& s) const {
    if (now_ < s.full_until) return false;
    const double room = room_.at_server(now_, s.answered, s.met_at, sharers_);
    return s.in_flight < std::max(1.0, room * (p.within_quota ? kShareRoom : 1));
  }

  // The same for all servers, by a measure that is steadier; past the first tier nothing is refused for it.
  bool tier_has_room(const PendingRequest& p) {
    if (settings_.tier > 0) return true;
    return in_flight_ + random_.unit() < tier_room(now_) * (p.within_quota ? kShareRoom : 1);
  }
  double tier_room(double now) const {
    return room_.at_all(now, static_cast<double>(subset_.size()), met_at_, sharers_);
  }

  // The part of its full capacity that a server is sure to have by now.
  double warmth(const ServerNode& s) const {
    if (s.told.started_at == 0 || settings_.slow_start_window <= 0) return 1;
    const double age = std::max(0.0, now_ - s.told.started_at);
    return std::min(1.0, settings_.slow_start_min_capacity +
                             (1 - settings_.slow_start_min_capacity) * age / settings_.slow_start_window);
  }

  // Whether a cold server's budget at this copy has room. Danger: all copies together can push a cold server
  // over; each spends no more than the server's part of its own traffic, scaled to what it can do so far.
  bool budget_allows(ServerNode& s) {
    const double warm = warmth(s);
    if (warm >= 1) return true;
    const double part = admitted_.at(now_) * s.told.weight / ready_weight_;
    s.cold_tokens =
        std::min(1.0 + part * 0.1, s.cold_tokens + (now_ - s.cold_at) * part * warm * kColdBudget);
    s.cold_at = now_;
    return s.cold_tokens >= 1;
  }

  // ---------------------------------------------------------------- which server?

  // How slow a server is against the usual: by its last answers, or by the age of what it has not answered.
  // Danger: at a call a second, calls in flight tell slow servers from fast ones only once queues are long.
  double pace(const ServerNode& s) const {
    const double learned = 1 + (s.pace.mean - 1) * std::max(0.0, 1 - (now_ - s.paced_at) / kPaceMemory);
    const double waited = s.in_flight == 0 ? 0 : (now_ - s.sent_sum / s.in_flight) / usual_.mean;
    return std::max({1.0, learned, waited});  // like servers stay a tie, which calls in flight decide
  }

  double busyness(const ServerNode& s) const {
    const double trust = std::pow(1 - std::min(failing(s), 0.99), kFailPower);
    return (s.in_flight + 1) * pace(s) * (is_away(s) ? 1 + kPriceWeight * settings_.cross_zone_cost : 1) /
           (s.told.weight * warmth(s) * trust);
  }

  bool in_scope(const PendingRequest& p, const ServerNode& s) const {
    const RequestClass& c = settings_.classes[p.request_class];
    for (const Attempt& a : p.attempts) {
      if (!a.may_have_run || c.idempotency == Idempotency::kIdempotent) continue;
      if (c.idempotency == Idempotency::kNotIdempotent || now_ > a.sent_at + c.dedup_window) return false;
      if (c.dedup_scope == DedupScope::kZone && a.zone != s.told.zone) return false;
      if (c.dedup_scope == DedupScope::kCell && a.cell != s.told.cell) return false;
    }
    return true;
  }

  // Until when one more attempt is dropped as a repeat by those that may have run.
  double harmless_until(const PendingRequest& p) const {
    const RequestClass& c = settings_.classes[p.request_class];
    double out = kForever;
    for (const Attempt& a : p.attempts) {
      if (a.may_have_run && c.idempotency == Idempotency::kIdempotentWithKey)
        out = std::min(out, a.sent_at + c.dedup_window);
    }
    return out;
  }

  bool may_use(std::size_t i, const PendingRequest& p, bool healthy, bool untried, bool room) {
    ServerNode& s = servers_[i];
    return is_confirmed(s) && !(healthy && failing(s) >= kIll) && !(untried && p.was_sent_to(i)) &&
           !(room && !has_room(p, s)) && in_scope(p, s) && budget_allows(s);
  }

  // Danger: without a watch a server may drain for longer than it takes to count as told. That it answers is
  // the word that it does not.
  bool is_confirmed(const ServerNode& s) const { return lease_.covers(now_, s.accepted_at); }

  // Where no confirmed server can be used: now and then one of the others, in turn, the one that answered
  // last before the rest.
  std::optional<std::size_t> pick_unconfirmed(const PendingRequest& p) {
    if (lease_.is_current() || now_ < next_unconfirmed_) return std::nullopt;
    std::optional<std::size_t> best;
    for (const std::size_t i : ring_) {
      ServerNode& s = servers_[i];
      if (is_confirmed(s) || p.was_sent_to(i) || !in_scope(p, s) || !budget_allows(s)) continue;
      const auto rank = [this](std::size_t at) {
        return std::pair(servers_[at].tried_at, -servers_[at].accepted_at);
      };
      if (!best || rank(i) < rank(*best)) best = i;
    }
    if (!best) return std::nullopt;
    servers_[*best].tried_at = now_;
    next_unconfirmed_ = now_ + kUnconfirmedPause;
    return best;
  }

  // Gathers the servers of `from` that may be used; returns whether there are any. Past the first tier room
  // is a wish: a refusal there wastes what was done above.
  bool gather(const std::vector<std::size_t>& from, const PendingRequest& p, bool healthy, bool untried,
              bool room) {
    choice_.clear();
    for (const std::size_t i : from) {
      if (may_use(i, p, healthy, untried, room)) choice_.push_back(i);
    }
    return !choice_.empty();
  }

  // Two members of a large subset that may be used, found by drawing until two are. Danger: to look at a
  // thousand servers for each call takes longer than all else together. Where few may be used it finds none,
  // and then they are looked through.
  bool draw_two(const PendingRequest& p) {
    choice_.clear();
    if (subset_.size() <= kFew) return false;
    for (int draws = 0; draws < kDraws && choice_.size() < 2; ++draws) {
      const bool at_home = choice_.empty() && subset_home_ > 0;
      const std::size_t i = subset_[random_.below(at_home ? subset_home_ : subset_.size())];
      if ((choice_.empty() || choice_[0] != i) && may_use(i, p, true, true, true)) choice_.push_back(i);
    }
    return choice_.size() == 2;
  }

  // The less busy of two random members of the subset and of what the last draw left as the least busy: with
  // that memory a server gets what it can do and not just its share of the draws. Where the subset has too
  // few that are well, all servers stand in; where none is well the cause is shared and health does not
  // count.
  std::optional<std::size_t> pick(const PendingRequest& p) {
    if (!tier_has_room(p)) return std::nullopt;
    const bool first_tier = settings_.tier == 0;
    const bool found =
        draw_two(p) || (gather(subset_, p, true, true, true) && choice_.size() * 2 >= subset_.size()) ||
        gather(ring_, p, true, true, true) || (!first_tier && gather(ring_, p, true, true, false)) ||
        gather(ring_, p, false, true, first_tier) || gather(ring_, p, false, false, first_tier);
    if (!found) return pick_unconfirmed(p);
    std::size_t home = 0;
    while (home < choice_.size() && !is_away(servers_[choice_[home]])) ++home;
    const std::size_t first = random_.below(home > 0 ? home : choice_.size());
    if (choice_.size() == 1) return choice_[first];
    std::size_t second = random_.below(choice_.size() - 1);
    if (second >= first) ++second;
    const std::size_t a = choice_[first], b = choice_[second];
    std::size_t best = busyness(servers_[b]) < busyness(servers_[a]) ? b : a;
    const std::size_t kept = remembered_;
    if (kept < servers_.size() && servers_[kept].in_subset && kept != a && kept != b &&
        is_away(servers_[kept]) == is_away(servers_[best]) && may_use(kept, p, true, true, true) &&
        busyness(servers_[kept]) < busyness(servers_[best]))
      best = kept;
    remembered_ = best;
    return best;
  }

  // ---------------------------------------------------------------- how long?

  // An attempt may run until the answer is worthless, or until it is clearly late while another can follow.
  double timeout(const PendingRequest& p) const {
    const double left = p.useful_until - now_;
    const ClassTime& c = classes_[p.request_class];
    const Estimate& usual = c.latency;
    const double longest = std::max(usual.mean + kDeviations * usual.deviation, kTailFactor * c.tail);
    const bool can_repeat = settings_.classes[p.request_class].idempotency != Idempotency::kNotIdempotent &&
                            p.attempts.size() + 1 < static_cast<std::size_t>(settings_.max_attempts);
    return can_repeat && left - longest > usual.mean ? longest : left;
  }

  // ---------------------------------------------------------------- again?

  // Whether one more attempt takes of what is saved up for them. Guards the servers against work done twice;
  // a connection that is refused, or was dropped while idle and is reset at the next request, has brought
  // none, and neither has a queue that was full.
  static bool is_budgeted(const AttemptResult& r) {
    return r.elapsed >= kAtOnce || (r.outcome != Outcome::kConnectFailed && r.outcome != Outcome::kReset &&
                                    r.outcome != Outcome::kRejected);
  }

  bool worth_another(const PendingRequest& p, bool budgeted) const {
    return !p.streaming && p.attempts.size() < static_cast<std::size_t>(settings_.max_attempts) &&
           (!budgeted || retry_tokens_ >= 1) &&
           p.useful_until - now_ > classes_[p.request_class].latency.mean / 2;
  }

  // A refusal promises that a repeat is harmless: only when nothing can have run, or repeats are dropped.
  bool may_refuse(const PendingRequest& p) const {
    const RequestClass& c = settings_.classes[p.request_class];
    if (c.idempotency == Idempotency::kIdempotent) return true;
    if (c.idempotency == Idempotency::kIdempotentWithKey && c.dedup_scope == DedupScope::kAll) return true;
    return !p.may_have_run();
  }

  // ---------------------------------------------------------------- doing it

  bool send(const std::string& id, PendingRequest& p, bool budgeted) {
    const double limit = timeout(p);
    const std::optional<std::size_t> server = limit > 0 ? pick(p) : std::nullopt;
    if (!server) return false;
    ServerNode& s = servers_[*server];
    if (p.attempts.empty()) {
      retry_tokens_ = std::min(kRetryBurst, retry_tokens_ + kRetryShare);
    } else if (budgeted) {
      retry_tokens_ -= 1;
    }
    if (warmth(s) < 1) s.cold_tokens -= 1;
    s.in_flight += 1;
    s.sent_sum += now_;
    in_flight_ += 1;
    s.named += 1;
    const double send_by = harmless_until(p);
    p.attempts.push_back({*server, now_, s.told.zone, s.told.cell});
    out_->push_back(Send{id, s.told.address, limit, send_by});
    return true;
  }

  // s; when to come back. Danger: callers that were refused together and told the same come back together.
  double advice() { return settings_.max_retry_after * (kLeastAdvice + kAdviceSpread * random_.unit()); }

  void answer_unserved(const std::string& id, PendingRequest& p) {
    p.finished = true;
    if (!may_refuse(p)) return out_->push_back(Fail{id});
    out_->push_back(Reject{id, advice()});
  }

  void note_shed(int& count) {
    if (denied_ + unplaced_ + hopeless_ == 0) next_log_ = now_ + kLogPeriod;
    ++count;
    if (now_ < next_log_) return;
    out_->push_back(SheddingReport{denied_, unplaced_, hopeless_});
    denied_ = unplaced_ = hopeless_ = 0;
  }

  void close(std::unordered_map<std::string, PendingRequest>::iterator it) {
    const PendingRequest ended = std::move(it->second);
    pending_.erase(it);
    for (const Attempt& a : ended.attempts) {
      servers_[a.server].named -= 1;
      forget_if_gone(a.server);
    }
  }

  void cancel_open(const std::string& id, const PendingRequest& p) {
    if (!settings_.can_cancel || p.streaming) return;
    for (std::size_t i = 0; i < p.attempts.size(); ++i) {
      if (p.attempts[i].in_flight) out_->push_back(Cancel{id, static_cast<int>(i)});
    }
  }

  // ---------------------------------------------------------------- events

  void on(const Started&) {
    if (settings_.uses_watch) out_->push_back(WatchEndpoints{});
  }

  void on(const Request& r) {
    if (pending_.contains(r.id)) return;  // an id that is still open: one answer is owed, not two
    const std::size_t tenant = std::min(r.tenant, tenants_.size() - 1);
    const bool within_quota = tenants_[tenant].is_within_share(now_);
    if (!tenants_[tenant].admits(now_, random_)) {
      out_->push_back(Reject{r.id, advice()});
      note_shed(denied_);
      return;
    }
    const std::size_t request_class = std::min(r.request_class, settings_.classes.size() - 1);
    if (is_hopeless(request_class, r.time_left)) {
      out_->push_back(Reject{r.id, advice()});
      return note_shed(hopeless_);
    }
    admitted_.add(now_);
    const auto it = pending_.try_emplace(r.id).first;
    PendingRequest& p = it->second;
    p.tenant = tenant;
    p.request_class = request_class;
    const RequestClass& c = settings_.classes[p.request_class];
    const double latency_objective =
        std::min(c.latency_objective + c.latency_objective_per_work * r.work.value_or(0), c.client_timeout);
    p.useful_until =
        now_ + std::min(r.time_left,
                        c.late_value > 0 ? r.time_left : latency_objective - 2 * settings_.clock_granularity);
    p.within_quota = within_quota;
    if (send(r.id, p, false)) return;
    room_.refused(now_, in_flight_, settings_.tier == 0, sharers_);
    tenants_[tenant].ended(now_, true, room_.unqueued());
    note_shed(unplaced_);
    answer_unserved(r.id, p);
    pending_.erase(it);
  }

  void on(const AttemptResult& r) {
    const auto it = pending_.find(r.id);
    if (it == pending_.end()) return;
    PendingRequest& p = it->second;
    if (r.attempt < 0 || static_cast<std::size_t>(r.attempt) >= p.attempts.size()) return;
    Attempt& a = p.attempts[static_cast<std::size_t>(r.attempt)];
    if (!a.in_flight) return;
    a.in_flight = false;
    a.may_have_run = !never_ran(r.outcome);
    ServerNode& s = servers_[a.server];
    s.in_flight -= 1;
    s.sent_sum -= a.sent_at;
    in_flight_ -= 1;
    learn_from(p, s, r, a.sent_at);
    if (r.request_complete && !p.finished) {
      p.finished = true;
      cancel_open(r.id, p);
    }
    const bool budgeted = is_budgeted(r);
    if (!p.finished && !p.any_in_flight() && !(worth_another(p, budgeted) && send(r.id, p, budgeted)))
      answer_unserved(r.id, p);
    if (p.finished && !p.any_in_flight()) close(it);
  }

  void learn_from(const PendingRequest& p, ServerNode& s, const AttemptResult& r, double sent) {
    const bool was_well = failing(s) < kIll;
    if (r.outcome == Outcome::kCancelled || r.outcome == Outcome::kNotSent) return;
    const bool answered = r.outcome == Outcome::kSuccess;
    ClassTime& c = classes_[p.request_class];
    // Danger: a caller that gives up before answers usually come says nothing of the server. A further
    // attempt that comes too late is another matter: that is the module's own doing.
    if (r.outcome == Outcome::kTimedOut && r.attempt == 0 && r.elapsed < c.latency.mean) return;
    if (answered) s.accepted_at = std::max(s.accepted_at, sent);
    if (r.outcome == Outcome::kRejected) s.full_until = now_ + c.latency.mean / (s.in_flight + 1);
    if (answered) s.full_until = 0;
    if (r.outcome != Outcome::kRejected) note_health(s, answered);
    if (answered) room_.answered(now_, p.request_class, r.elapsed, in_flight_, usual_.mean, s.answered);
    if (answered || r.outcome == Outcome::kTimedOut) {
      s.pace.add(c.latency.mean > 0 ? r.elapsed / c.latency.mean : 1, kPaceGain);
      s.paced_at = now_;
      usual_.add(r.elapsed, kLatencyGain);
      c.latency.add(r.elapsed, kLatencyGain);
      c.tail = std::max(r.elapsed, c.tail * std::exp((c.tail_at - now_) / kTailMemory));
      c.tail_at = now_;
      room_.took(now_, p.request_class, r.elapsed);
    }
    // As the design has it, failures cut and answers in time raise a limit; one sick server cuts no tenant.
    // Danger: an error or a spoilt answer tells of a server, not of a crowd, and comes at any load.
    const bool crowd = r.outcome == Outcome::kRejected || r.outcome == Outcome::kTimedOut ||
                       r.outcome == Outcome::kConnectFailed;
    const double latency_objective = settings_.classes[p.request_class].latency_objective;
    if (answered ? r.elapsed < kInTime * latency_objective : was_well && crowd)
      tenants_[p.tenant].ended(now_, !answered, room_.unqueued());
  }

  void on(const ResponseStarted& r) {
    const auto it = pending_.find(r.id);
    if (it != pending_.end()) it->second.streaming = true;
  }

  void on(const RequestAbandoned& r) {
    const auto it = pending_.find(r.id);
    if (it == pending_.end()) return;
    if (!it->second.finished) cancel_open(r.id, it->second);
    it->second.finished = true;
    if (!it->second.any_in_flight()) close(it);
  }

  void on(const EndpointUpdate& update) {
    if (update.form == EndpointUpdate::Form::kFailed) {
      if (!settings_.uses_watch) return;
      out_->push_back(SetTimer{now_ + watch_retry_.pause_after(update.failure, random_), kWatchTimer});
      return;
    }
    watch_retry_.reset();
    met_at_ = std::min(met_at_, now_);
    ++listing_;
    for (const Endpoint& told : update.endpoints) learn(told);
    if (update.form == EndpointUpdate::Form::kFull) {
      for (ServerNode& s : servers_) {
        if (s.listed != listing_) s.told.state = EndpointState::kRemoved;
      }
    }
    for (std::size_t i = 0; i < servers_.size(); ++i) forget_if_gone(i);
    rebuild_subset();
  }

  void on(const EndpointListFreshness& freshness) {
    switch (freshness.state) {
      case EndpointListFreshness::State::kCurrent:
        watch_retry_.reset();
        return lease_.list_is_current();
      case EndpointListFreshness::State::kStale:
        return lease_.list_is_stale(freshness.as_of);
      case EndpointListFreshness::State::kMoved:
        watch_retry_.reset();
        return lease_.discovery_moved(now_, kMovedEarlier);
    }
  }

  // Danger: taken from those that answer, `bound` would give away what copies that are cut off go on using.
  void on(const ReplicaSetChanged& fleet) {
    if (fleet.rank < 0 || fleet.rank >= fleet.live_count) return;
    for (TenantLimiter& t : tenants_)
      t.share_anew(static_cast<double>(settings_.replica_count) / fleet.live_count);
    settings_.replica_index = fleet.rank;
    settings_.replica_count = fleet.live_count;
    reckoned_ = std::max(fleet.live_count, fleet.max_count);
    cover_ = fleet.is_settling ? kMovingCover : kCover;
    rebuild_subset();
  }

  void on(const TimerFired& timer) {
    if (timer.token == kWatchTimer && settings_.uses_watch) out_->push_back(WatchEndpoints{});
  }

  Settings settings_;
  Random random_;
  double now_ = 0;
  std::vector<Action>* out_ = nullptr;
  std::vector<TenantLimiter> tenants_;
  Estimate usual_{1, 0, 0};  // s; answer time over all servers and classes
  std::vector<ClassTime> classes_;
  ConcurrencyLimit room_;
  std::vector<ServerNode> servers_;
  std::unordered_map<std::string, std::size_t> by_address_;
  std::vector<std::size_t> unused_;  // places of servers that were forgotten
  std::vector<std::size_t> ring_, subset_, choice_;
  std::size_t cover_ = kCover;
  int reckoned_ = 1;                       // copies, see ReplicaSetChanged::bound
  std::size_t subset_home_ = 0;            // its first members: those that are not away
  std::size_t remembered_ = 0;             // the least busy of the last draw
  double ready_weight_ = 0, sharers_ = 1;  // sharers: copies that use the same server
  DecayingRate admitted_{kAdmittedMemory};
  int in_flight_ = 0;
  double met_at_ = kForever;
  std::uint64_t listing_ = 0;
  double retry_tokens_ = kRetryBurst;
  EndpointLease lease_;
  WatchBackoff watch_retry_;
  double next_unconfirmed_ = 0;
  int denied_ = 0, unplaced_ = 0, hopeless_ = 0;  // since the last log line
  double next_log_ = 0;
  std::unordered_map<std::string, PendingRequest>
      pending_;  // looked up, never walked: order would not be stable
};

Balancer::Balancer(const Settings& s, std::uint64_t seed) : impl_(std::make_unique<Impl>(s, seed)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

void Balancer::handle(double now, const Event& event, std::vector<Action>& actions) {
  impl_->handle(now, event, actions);
}

std::size_t Balancer::known_endpoints() const { return impl_->known_endpoints(); }

TenantLimitView Balancer::tenant(double now, std::size_t tenant) const { return impl_->view(now, tenant); }

ConcurrencyLimitView Balancer::concurrency_limit(double now) const { return impl_->concurrency_limit(now); }

}  // namespace thymewood
