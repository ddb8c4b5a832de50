#include "views.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <set>

#include "checkers.h"

namespace thymewood::fleet {
namespace {

using What = Record::What;
// s. For so long a node that starts may not have said so to the others yet, and what stands in a log may not
// have been read.
constexpr double kHeard = 2;

bool is_node(const Actor& party) { return party.kind == ActorKind::kNode; }

}  // namespace

std::optional<SeenView> seen_view(const Record& record) {
  if (record.what != What::kView) return std::nullopt;
  SeenView out;
  char word[16] = {};
  if (std::sscanf(record.note.c_str(), "%d: rank %d of %d, reckons with %d, reaches %d of %d, %15[a-z ]",
                  &out.epoch, &out.rank, &out.live, &out.bound, &out.reached, &out.told, word) != 7)
    return std::nullopt;
  out.confidence = word;
  out.moving = record.note.find(", moving") != std::string::npos;
  return out;
}

void check_views(const History& history, const Rules& rules, Verdict& verdict) {
  if (rules.views_within <= 0) return;
  std::map<Actor, double> up;  // since when
  std::set<Actor> away, leaving;
  std::map<Actor, SeenView> views;
  int bad_links = 0;
  double changed = 0, end = 0;
  bool looked = true;
  const auto look = [&](double t) {
    if (looked || bad_links > 0 || t < changed + rules.views_within + verdict.latest) return;
    looked = true;
    const int there = static_cast<int>(up.size() - away.size());
    for (const auto& [party, since] : up) {
      if (away.contains(party)) continue;
      const auto at = views.find(party);
      if (at == views.end()) {
        verdict.blind.push_back(bench::name_of(party) + " has not said how it sees the fleet");
      } else if (at->second.reached != there) {
        verdict.broken.push_back({"fleet-views",
                                  bench::name_of(party) + " reaches " + std::to_string(at->second.reached) +
                                      " nodes, and there are " + std::to_string(there),
                                  t});
      }
    }
  };
  for (const Record& r : history.records) {
    end = r.t;
    if (r.what == What::kView) {
      const auto view = seen_view(r);
      if (!view) {
        verdict.blind.push_back("a view of " + bench::name_of(r.by) + " can't be read: " + r.note);
        continue;
      }
      look(r.t);
      views[r.by] = *view;
      const auto sure = std::count_if(up.begin(), up.end(), [&](const auto& one) {
        return one.second < r.t - kHeard && !leaving.contains(one.first);
      });
      if (view->bound < sure)
        verdict.broken.push_back({"fleet-views",
                                  bench::name_of(r.by) + " reckons with " + std::to_string(view->bound) +
                                      " nodes, and " + std::to_string(sure) + " run",
                                  r.t});
      continue;
    }
    const bool node = is_node(r.by);
    const bool change =
        (node && (r.what == What::kUp || r.what == What::kDown || r.what == What::kCrash ||
                  r.what == What::kPaused || r.what == What::kResumed || r.what == What::kTerm)) ||
        r.what == What::kBadLink || r.what == What::kGoodLink;
    look(r.t);
    if (!change) continue;
    changed = r.t;
    looked = false;
    if (r.what == What::kUp) up[r.by] = r.t;
    if (r.what == What::kUp) leaving.erase(r.by);
    if (r.what == What::kDown || r.what == What::kCrash) {
      up.erase(r.by);
      away.erase(r.by);
      views.erase(r.by);
    }
    if (r.what == What::kPaused) away.insert(r.by);
    if (r.what == What::kResumed) away.erase(r.by);
    if (r.what == What::kTerm) leaving.insert(r.by);
    if (r.what == What::kBadLink) ++bad_links;
    if (r.what == What::kGoodLink) --bad_links;
  }
  if (!looked) {
    // A day that ends too soon after its last change has shown nothing.
    if (bad_links == 0 && end < changed + rules.views_within + verdict.latest)
      verdict.blind.emplace_back("the day ends before views can have come together");
    look(end);
  }
}

}  // namespace thymewood::fleet
