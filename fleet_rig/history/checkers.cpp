#include "checkers.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

namespace thymewood::fleet {
namespace {

using What = Record::What;
constexpr double kForever = std::numeric_limits<double>::infinity();
constexpr double kDrainEnd =
    0.7;  // s; what is taken later than this after SIGTERM and lost was not taken in vain

// When something did not hold, for each of many.
template <class Key>
class Spans {
 public:
  void begin(const Key& key, double at) { spans_[key].emplace_back(at, kForever); }
  void end(const Key& key, double at) {
    const auto found = spans_.find(key);
    if (found == spans_.end()) return;
    for (auto& [from, to] : found->second) {
      if (to == kForever) to = at;
    }
  }
  bool touch(const Key& key, double from, double to) const {
    const auto found = spans_.find(key);
    return found != spans_.end() &&
           std::any_of(found->second.begin(), found->second.end(),
                       [&](const auto& span) { return span.first <= to && span.second >= from; });
  }

 private:
  std::map<Key, std::vector<std::pair<double, double>>> spans_;
};

// Where and when nothing is sure.
struct Excuses {
  explicit Excuses(const History& history) {
    for (const Record& r : history.records) {
      switch (r.what) {
        case What::kDown:
        case What::kCrash:
        case What::kPaused:
          actors.begin(r.by, r.t);
          break;
        case What::kUp:
        case What::kResumed:
          actors.end(r.by, r.t);
          break;
        case What::kTerm:
          leaving.begin(r.by, r.t + kDrainEnd);
          break;
        case What::kBadLink:
          links.begin({r.by, r.to}, r.t);
          break;
        case What::kGoodLink:
          links.end({r.by, r.to}, r.t);
          break;
        default:
          break;
      }
    }
  }
  bool cover(const Actor& a, const Actor& b, double from, double to) const {
    return actors.touch(a, from, to) || actors.touch(b, from, to) || leaving.touch(a, from, from) ||
           leaving.touch(b, from, from) || links.touch({a, b}, from, to) || links.touch({b, a}, from, to);
  }
  Spans<Actor> actors, leaving;
  Spans<std::pair<Actor, Actor>> links;
};

std::string describe(const Record& r) {
  return r.id + " of " + bench::name_of(r.by) + " at " + bench::name_of(r.to);
}

int place_of(const std::vector<int>& places, const Actor& actor) {
  const auto at = static_cast<std::size_t>(actor.number);
  return at < places.size() ? places[at] : 0;
}

}  // namespace

Rules Rules::of(const bench::Scenario& scenario) {
  Rules out;
  out.views_within = scenario.views_within;
  for (const bench::LoadClass& c : scenario.classes) out.classes.push_back(c.settings);
  for (const bench::ScenarioServer& s : scenario.servers) {
    out.server_cells.push_back(s.cell);
    out.server_zones.push_back(s.zone);
  }
  for (const bench::ScenarioServer& s : scenario.backends) {
    out.backend_cells.push_back(s.cell);
    out.backend_zones.push_back(s.zone);
  }
  return out;
}

std::size_t Verdict::of(const std::string& rule) const {
  return static_cast<std::size_t>(
      std::count_if(broken.begin(), broken.end(), [&](const Finding& f) { return f.rule == rule; }));
}

// Whether all that took part wrote to the end, and the rig itself kept up.
void check_completeness(const History& history, const Rules& rules, Verdict& verdict) {
  bool begun = false;
  std::set<Actor> open;
  for (const Record& r : history.records) {
    if (r.what == What::kBegin) begun = true;
    if (r.what == What::kActorJoined) open.insert(r.by);
    if (r.what == What::kClosed) open.erase(r.by);
    if (r.what == What::kLate) verdict.latest = std::max(verdict.latest, r.work);
    if (r.what == What::kCrash)
      verdict.broken.push_back({"crash", bench::name_of(r.by) + ": " + r.note, r.t});
  }
  if (!begun) verdict.blind.emplace_back("the run's beginning is not there");
  if (history.unread > 0)
    verdict.blind.push_back(std::to_string(history.unread) + " lines of the history could not be read");
  for (const Actor& actor : open)
    verdict.blind.push_back(bench::name_of(actor) + " has not written to its end");
  verdict.void_run = verdict.latest > rules.most_late;
}

void check_final_answers(const History& history, const Rules& rules, Verdict& verdict) {
  const Excuses excuses(history);
  struct Asked {
    const Record* ask = nullptr;
    bool answered = false;
  };
  std::unordered_map<std::string, Asked> open;
  const double slack = rules.slack + verdict.latest;
  const auto report = [&verdict](const Record& r, const std::string& what, double t) {
    verdict.broken.push_back({"one-final-answer", describe(r) + " " + what, t});
  };
  for (const Record& r : history.records) {
    if (r.what == What::kRequestSent) {
      open[r.id] = {&r, false};
      ++verdict.asked;
      continue;
    }
    if (r.what != What::kResponse && r.what != What::kConnectionBroken && r.what != What::kClientLeft)
      continue;
    const auto at = open.find(r.id);
    if (at == open.end()) {
      verdict.blind.push_back("an end of " + r.id + ", which nobody asked");
      continue;
    }
    Asked& asked = at->second;
    const Record& ask = *asked.ask;
    if (r.what == What::kResponse && std::exchange(asked.answered, true)) {
      report(ask, "has two answers", r.t);
      continue;
    }
    const bool late = r.what == What::kResponse && r.t > ask.limit + slack;
    const bool lost = r.what == What::kConnectionBroken && !asked.answered;
    const bool never = r.what == What::kClientLeft && !asked.answered && r.t >= ask.limit + slack;
    if (!late && !lost && !never) continue;
    if (excuses.cover(ask.by, ask.to, ask.t, std::min(r.t, ask.limit + slack))) {
      ++verdict.excused;
    } else {
      report(ask,
             late   ? "was answered after its caller's time"
             : lost ? "was lost"
                    : "was never answered",
             r.t);
    }
  }
}

void check_double_effects(const History& history, const Rules& rules, Verdict& verdict) {
  struct Ran {
    double at = 0;
    Actor server;
  };
  struct Seen {
    int request_class = -1;
    std::vector<Ran> ran;
    double answered = kForever;
  };
  std::unordered_map<std::string, Seen> all;
  const double slack = rules.slack + verdict.latest;
  for (const Record& r : history.records) {
    if (r.what == What::kRequestSent) all[r.id].request_class = r.request_class;
    if (r.what != What::kServerReceived && r.what != What::kResponse) continue;
    const auto at = all.find(r.id);
    if (at == all.end()) {
      verdict.blind.push_back(r.id + " came to " + bench::name_of(r.by) + ", and nobody asked it");
      continue;
    }
    Seen& seen = at->second;
    const RequestClass& c = rules.classes.at(static_cast<std::size_t>(seen.request_class));
    const auto report = [&](const std::string& what) {
      verdict.broken.push_back({"no-double-effect", r.id + " " + what, r.t});
    };
    if (r.what == What::kResponse) {
      seen.answered = std::min(seen.answered, r.t);
      const bool rejected = r.status == 429 || r.status == 503;
      const bool harmless =
          c.idempotency == Idempotency::kIdempotent ||
          (c.idempotency == Idempotency::kIdempotentWithKey && c.dedup_scope == DedupScope::kAll);
      if (rejected && !harmless && !seen.ran.empty()) report("was refused though it may have run");
      continue;
    }
    ++verdict.came;
    if (r.left > seen.answered + slack) report("was sent after its answer");
    if (!r.yes) continue;  // rejected unseen
    const bool backend = r.by.kind == ActorKind::kBackend;
    const std::vector<int>& places = c.dedup_scope == DedupScope::kCell
                                         ? (backend ? rules.backend_cells : rules.server_cells)
                                         : (backend ? rules.backend_zones : rules.server_zones);
    for (const Ran& before : seen.ran) {
      if (c.idempotency == Idempotency::kNotIdempotent) {
        report("ran twice");
      } else if (c.idempotency == Idempotency::kIdempotentWithKey &&
                 r.left > before.at + c.dedup_window + slack) {
        report("was sent again when its key may be forgotten");
      } else if (c.idempotency == Idempotency::kIdempotentWithKey && c.dedup_scope != DedupScope::kAll &&
                 place_of(places, before.server) != place_of(places, r.by)) {
        report("was sent again to where its key is not known");
      }
    }
    seen.ran.push_back({r.left > 0 ? r.left : r.t, r.by});
  }
}

void check_drains(const History& history, const Rules& rules, Verdict& verdict) {
  std::map<std::pair<Actor, Actor>, double> unwanted;  // by node and server: since when
  for (const Record& r : history.records) {
    if (r.what == What::kNotified && r.yes) unwanted.erase({r.by, r.to});
    if (r.what == What::kNotified && !r.yes) unwanted.try_emplace({r.by, r.to}, r.t);
    // A node that starts again has only the list that it is started with.
    if (r.what == What::kDown || r.what == What::kCrash)
      std::erase_if(unwanted, [&](const auto& entry) { return entry.first.first == r.by; });
    if (r.what != What::kServerReceived) continue;
    const auto at = unwanted.find({r.to, r.by});
    if (at == unwanted.end()) continue;
    if (r.left > at->second + rules.drain_grace + rules.slack + verdict.latest)
      verdict.broken.push_back({"drains-kept",
                                r.id + " left " + bench::name_of(r.to) + " for " + bench::name_of(r.by) +
                                    " " + std::to_string(r.left - at->second) + " s after its end was told",
                                r.t});
  }
}

void check_cold_servers(const History& history, const Rules& rules, Verdict& verdict) {
  struct Arrivals {
    std::deque<std::pair<double, double>> late;
    double sum = 0;
    bool fallen = false;
  };
  std::map<Actor, Arrivals> all;
  for (const Record& r : history.records) {
    if (r.what != What::kServerReceived) continue;
    Arrivals& a = all[r.by];
    if (r.cold <= 0) {
      a = {};
      continue;
    }
    a.late.emplace_back(r.t, r.work);
    a.sum += r.work;
    while (a.late.front().first <= r.t - rules.fall_s) {
      a.sum -= a.late.front().second;
      a.late.pop_front();
    }
    // One request may be larger than a cold server's second: with it alone there is nothing to blame.
    if (a.late.size() < 2 || a.sum <= rules.fall_multiple * r.cold * rules.fall_s) continue;
    if (!std::exchange(a.fallen, true))
      verdict.broken.push_back({"cold-servers",
                                bench::name_of(r.by) + " was sent " + std::to_string(a.sum) +
                                    " s of work in a second, by all nodes together, and can do " +
                                    std::to_string(r.cold),
                                r.t});
  }
}

void check_abandoned(const History& history, const Rules& rules, Verdict& verdict) {
  const Excuses excuses(history);
  std::unordered_map<std::string, const Record*> left;
  for (const Record& r : history.records) {
    if (r.what == What::kClientLeft) left[r.id] = &r;
    if (r.what != What::kServerReceived) continue;
    const auto at = left.find(r.id);
    if (at == left.end() || r.left <= at->second->t + rules.abandoned + verdict.latest) continue;
    // A close that can't reach the node is not known to it; that it was stopped is no excuse.
    const Record& gone = *at->second;
    if (excuses.links.touch({gone.by, gone.to}, gone.t, r.left)) continue;
    verdict.broken.push_back(
        {"abandoned",
         r.id + " was sent " + std::to_string(r.left - gone.t) + " s after its caller had closed", r.t});
  }
}

Verdict check_history(const History& history, const Rules& rules) {
  Verdict out;
  check_completeness(history, rules, out);
  check_final_answers(history, rules, out);
  check_double_effects(history, rules, out);
  check_drains(history, rules, out);
  check_cold_servers(history, rules, out);
  check_abandoned(history, rules, out);
  check_views(history, rules, out);
  check_usage(history, rules, out);
  if (out.asked == 0) out.blind.emplace_back("nobody asked anything");
  return out;
}

}  // namespace thymewood::fleet
