#include "planner.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace thymewood::fleet {
namespace {

using bench::ActorKind;
using bench::Random;
using bench::Scenario;
using bench::Topology;

bool is_link_fault(Fault::What what) {
  switch (what) {
    case Fault::What::kCut:
    case Fault::What::kCutTo:
    case Fault::What::kDelay:
    case Fault::What::kLoss:
    case Fault::What::kSlowLink:
    case Fault::What::kReset:
    case Fault::What::kRefuse:
      return true;
    default:
      return false;
  }
}

Shape shape_of(const Fault& f) {
  Shape out;
  switch (f.what) {
    case Fault::What::kCut:
    case Fault::What::kCutTo:
      out.cut = true;
      break;
    case Fault::What::kDelay:
      out.delay = f.delay;
      out.jitter = f.jitter;
      break;
    case Fault::What::kLoss:
      out.loss = f.share;
      break;
    case Fault::What::kSlowLink:
      out.rate = f.rate;
      break;
    default:
      break;
  }
  return out;
}

// The link directions between `who` and `to`; an empty `to` stands for all other actors. With `one_way`, only
// those from `who` to `to`.
std::vector<DirectedLink> links_between(const Topology& topology, const std::vector<Actor>& who,
                                        const std::vector<Actor>& to, bool one_way) {
  const std::set<Actor> sources(who.begin(), who.end()), targets(to.begin(), to.end());
  const auto is_target = [&](const Actor& actor) {
    return targets.empty() ? !sources.contains(actor) : targets.contains(actor);
  };
  std::set<DirectedLink> out;
  for (const DirectedLink& link : links_of(topology)) {
    if (sources.contains(link.from) && is_target(link.to)) {
      out.insert(link);
      if (!one_way) out.insert({link.to, link.from});
    }
    if (sources.contains(link.to) && is_target(link.from)) {
      out.insert({link.to, link.from});
      if (!one_way) out.insert(link);
    }
  }
  return {out.begin(), out.end()};
}

// The intervals during which a fault is active: one, or alternating ones of length `flap`.
std::vector<std::pair<double, double>> active_intervals(const Fault& f) {
  if (f.flap <= 0) return {{f.at, f.at + f.lasts}};
  std::vector<std::pair<double, double>> out;
  for (double at = f.at; at < f.at + f.lasts; at += 2 * f.flap)
    out.emplace_back(at, std::min(at + f.flap, f.at + f.lasts));
  return out;
}

// Whether a fault ends at the moment at which it begins: connections are reset once, a process gets SIGTERM
// or SIGHUP once.
bool is_instantaneous(Fault::What what) {
  return what == Fault::What::kReset || what == Fault::What::kRestart || what == Fault::What::kSighup;
}

}  // namespace

std::vector<DirectedLink> links_of(const Topology& topology) {
  std::vector<DirectedLink> out;
  const auto number = [](std::size_t i) { return static_cast<int>(i); };
  const Actor clients{ActorKind::kClients, 0}, discovery{ActorKind::kDiscovery, 0};
  for (std::size_t n = 0; n < topology.node_zones.size(); ++n) {
    const Actor node{ActorKind::kNode, number(n)};
    out.push_back({clients, node});
    out.push_back({node, discovery});
    for (std::size_t s = 0; s < topology.server_zones.size(); ++s)
      out.push_back({node, {ActorKind::kServer, number(s)}});
    for (std::size_t m = n + 1; m < topology.node_zones.size(); ++m)
      out.push_back({node, {ActorKind::kNode, number(m)}});
  }
  for (int i = 0; i < topology.sidecar; ++i) {
    const Actor sidecar{ActorKind::kSidecar, i};
    out.push_back({sidecar, discovery});
    for (std::size_t b = 0; b < topology.backend_zones.size(); ++b)
      out.push_back({sidecar, {ActorKind::kBackend, number(b)}});
    for (int j = i + 1; j < topology.sidecar; ++j) out.push_back({sidecar, {ActorKind::kSidecar, j}});
  }
  return out;
}

std::vector<std::pair<DirectedLink, Shape>> configured_link_shapes(const Scenario& scenario) {
  const Topology topology = scenario.topology();
  Random random(0);
  std::vector<std::pair<DirectedLink, Shape>> out;
  for (const bench::LinkRule& rule : scenario.links) {
    for (const DirectedLink& link :
         links_between(topology, rule.from.pick(topology, random), rule.to.pick(topology, random), false))
      out.emplace_back(link, rule.shape);
  }
  return out;
}

// NOLINTNEXTLINE(readability-function-size,readability-function-cognitive-complexity)
std::vector<Step> plan(const Scenario& scenario, std::uint64_t seed) {
  const Topology topology = scenario.topology();
  std::vector<Step> out;
  std::uint64_t number = 0;
  for (std::size_t i = 0; i < scenario.faults.size(); ++i) {
    const Fault& f = scenario.faults[i];
    Random random(seed * 1000003 + i);
    const std::vector<Actor> who = f.who.pick(topology, random);
    const std::vector<Actor> to = f.to.pick(topology, random);
    // With `stagger` the actors are affected one after another, otherwise all at once.
    std::vector<std::vector<Actor>> groups;
    if (f.stagger > 0) {
      for (const Actor& actor : who) groups.push_back({actor});
    } else {
      groups.push_back(who);
    }
    const std::vector<std::pair<double, double>> intervals = active_intervals(f);
    std::size_t index = 0;
    for (std::size_t group = 0; group < groups.size(); ++group) {
      for (const auto& [from, end] : intervals) {
        Step step;
        step.fault = i;
        step.interval_id = ++number;
        step.at = from + static_cast<double>(group) * f.stagger;
        step.note = f.text + ", " + std::to_string(++index) + " of " +
                    std::to_string(groups.size() * intervals.size());
        if (is_link_fault(f.what)) {
          step.links = links_between(topology, groups[group], to, f.what == Fault::What::kCutTo);
          step.shape = shape_of(f);
        } else {
          step.actors = groups[group];
        }
        out.push_back(step);
        step.what = Step::What::kFaultEnds;
        step.at = is_instantaneous(f.what) ? step.at : end + static_cast<double>(group) * f.stagger;
        if (std::isfinite(step.at)) out.push_back(step);
      }
    }
  }
  for (std::size_t i = 0; i < scenario.changes.size(); ++i) {
    Step step;
    step.at = scenario.changes[i].at;
    step.what = Step::What::kServerChange;
    step.change = i;
    out.push_back(step);
  }
  std::stable_sort(out.begin(), out.end(), [](const Step& a, const Step& b) { return a.at < b.at; });
  return out;
}

}  // namespace thymewood::fleet
