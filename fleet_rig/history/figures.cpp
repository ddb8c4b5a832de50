#include "figures.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>
#include <unordered_map>

#include "histogram.h"

namespace thymewood::fleet {
namespace {

using What = Record::What;
constexpr double kRecoveredShare = 0.98;
constexpr std::size_t kRecoveryWindow = 3;  // s; the share of a single second is too noisy

struct Operation {
  double at = 0;
  int request_class = 0, tenant = 0, node = -1;
  bool ended = false;
};

struct ServedCount {
  double wanted = 0, served = 0;
  double share() const { return wanted > 0 ? served / wanted : 1; }
};

ServedCount sum(const std::vector<Second>& seconds, std::size_t from, std::size_t to) {
  ServedCount out;
  for (std::size_t i = from; i < std::min(to, seconds.size()); ++i) {
    out.wanted += seconds[i].wanted;
    out.served += seconds[i].served;
  }
  return out;
}

double recovery_of(const Figures& f) {
  if (f.faults.empty()) return 0;
  double first = std::numeric_limits<double>::infinity(), last = 0;
  for (const auto& [from, to] : f.faults) {
    first = std::min(first, from);
    last = std::max(last, std::isfinite(to) ? to : from);
  }
  const auto before = static_cast<std::size_t>(first);
  const ServedCount baseline = before > 0 ? sum(f.seconds, 0, before) : sum(f.seconds, 0, f.seconds.size());
  const double threshold = kRecoveredShare * baseline.share();
  // Walks backwards to the first second from which on every window reaches the threshold.
  std::size_t recovered_at = f.seconds.size();
  for (std::size_t i = f.seconds.size(); i-- > static_cast<std::size_t>(last);) {
    if (sum(f.seconds, i, i + kRecoveryWindow).share() < threshold) break;
    recovered_at = i;
  }
  if (recovered_at >= f.seconds.size()) return -1;
  return std::max(0.0, static_cast<double>(recovered_at) - std::floor(last));
}

}  // namespace

// NOLINTNEXTLINE(readability-function-size,readability-function-cognitive-complexity)
Figures compute_figures(const History& history, const bench::Scenario& scenario) {
  Figures out;
  out.seconds.resize(static_cast<std::size_t>(std::ceil(scenario.seconds)));
  std::unordered_map<std::string, Operation> operations;
  std::unordered_map<std::string, const Record*> requests_sent;
  std::map<int, ServedCount> by_node, by_tenant;
  std::map<int, double> by_server;
  std::set<int> disturbed;
  std::map<Actor, Record> usage_first, usage_last;
  std::map<std::string, double> open_faults;
  bench::Histogram latency;
  const auto second_of = [&out](double t) -> Second* {
    const auto at = static_cast<std::size_t>(std::max(0.0, t));
    return at < out.seconds.size() ? &out.seconds[at] : nullptr;
  };
  for (const Record& r : history.records) {
    Second* const second = second_of(r.t);
    switch (r.what) {
      case What::kOperationBegan: {
        operations[r.operation_id] = {r.t, r.request_class, r.tenant, -1, false};
        out.wanted += 1;
        if (second != nullptr) second->wanted += 1;
        break;
      }
      case What::kRequestSent:
        if (r.by.kind != ActorKind::kClients) break;
        out.client_attempts += 1;
        if (second != nullptr) second->client_attempts += 1;
        operations[r.operation_id].node = r.to.number;
        break;
      case What::kServerReceived:
        (r.by.kind == ActorKind::kServer ? out.first_tier : out.second_tier) += 1;
        if (r.by.kind == ActorKind::kServer) by_server[r.by.number] += 1;
        if (second != nullptr)
          (r.by.kind == ActorKind::kServer ? second->first_tier : second->second_tier) += 1;
        break;
      case What::kOperationEnded: {
        Operation& operation = operations[r.operation_id];
        operation.ended = true;
        Second* const began_in = second_of(operation.at);
        ServedCount& node = by_node[operation.node];
        ServedCount& tenant = by_tenant[operation.tenant];
        node.wanted += 1;
        tenant.wanted += 1;
        const RequestClass& c =
            scenario.classes.at(static_cast<std::size_t>(operation.request_class)).settings;
        if (r.status == 200) {
          const bool in_time = r.t - operation.at <= c.latency_objective;
          out.served += 1;
          out.in_time += in_time ? 1 : 0;
          node.served += 1;
          tenant.served += 1;
          latency.add(r.t - operation.at);
          if (began_in != nullptr) {
            began_in->served += 1;
            began_in->in_time += in_time ? 1 : 0;
          }
        } else {
          const bool rejected = r.status == 429 || r.status == 503;
          (rejected ? out.rejected : out.failed) += 1;
          if (began_in != nullptr) (rejected ? began_in->rejected : began_in->failed) += 1;
        }
        break;
      }
      case What::kFault:
        open_faults[r.note] = r.t;
        break;
      case What::kFaultEnded:
        if (const auto at = open_faults.find(r.note); at != open_faults.end()) {
          out.faults.emplace_back(at->second, r.t);
          open_faults.erase(at);
        }
        break;
      case What::kDown:
      case What::kPaused:
      case What::kTerm:
        if (r.by.kind == ActorKind::kNode) disturbed.insert(r.by.number);
        break;
      case What::kUsage:
        usage_first.try_emplace(r.by, r);
        usage_last[r.by] = r;
        break;
      case What::kOpen:
        if (second != nullptr) second->connections = std::max<double>(second->connections, r.count);
        break;
      default:
        break;
    }
  }
  for (const auto& [note, from] : open_faults) out.faults.emplace_back(from, scenario.seconds);
  const double mean_rate = out.wanted / std::max(1.0, scenario.seconds);
  for (const Second& s : out.seconds) {
    if (s.wanted < mean_rate / 10) continue;
    out.min_second_share = std::min(out.min_second_share, s.served / s.wanted);
    out.max_first_tier = std::max(out.max_first_tier, s.first_tier / s.wanted);
  }
  constexpr double kMinOperations = 30;  // operations; with fewer, a share is too noisy
  bool found = false;
  for (const auto& [node, served_count] : by_node) {
    if (node < 0 || disturbed.contains(node) || served_count.wanted < kMinOperations) continue;
    out.min_node_share = found ? std::min(out.min_node_share, served_count.share()) : served_count.share();
    out.max_node = found ? std::max(out.max_node, served_count.share()) : served_count.share();
    found = true;
  }
  for (const auto& [tenant, served_count] : by_tenant) {
    const bool floods = std::any_of(
        scenario.floods.begin(), scenario.floods.end(),
        [number = tenant](const bench::Flood& flood) { return static_cast<int>(flood.tenant) == number; });
    if (served_count.wanted >= kMinOperations && !floods)
      out.min_tenant_share = std::min(out.min_tenant_share, served_count.share());
  }
  for (const auto& [server, attempts] : by_server)
    out.max_server_load_ratio = std::max(
        out.max_server_load_ratio, attempts * static_cast<double>(scenario.servers.size()) / out.first_tier);
  double cpu = 0;
  for (const auto& [actor, last] : usage_last) {
    out.memory_kb = std::max(out.memory_kb, static_cast<double>(last.status));
    out.descriptors = std::max(out.descriptors, last.count);
    cpu += last.work;
    const Record& before = usage_first.at(actor);
    out.max_memory_growth_kb =
        std::max(out.max_memory_growth_kb, static_cast<double>(last.status - before.status));
  }
  out.cpu_us = out.client_attempts > 0 ? 1e6 * cpu / out.client_attempts : 0;
  out.client_attempts /= std::max(1.0, out.wanted);
  out.first_tier /= std::max(1.0, out.wanted);
  out.second_tier /= std::max(1.0, out.wanted);
  out.p50 = latency.quantile(0.5);
  out.p99 = latency.quantile(0.99);
  out.recovery_seconds = recovery_of(out);
  return out;
}

}  // namespace thymewood::fleet
