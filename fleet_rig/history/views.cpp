#include "views.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <map>
#include <set>
#include <string_view>

#include "checkers.h"

namespace thymewood::fleet {
namespace {

using What = Record::What;

// s; for so long the other nodes may not know a started node yet, and a log line may not have been read yet.
constexpr double kDiscoveryDelay = 2;

bool is_node(const Actor& actor) { return actor.kind == ActorKind::kNode; }

// Returns the value of `key=value`, or an empty string if the key is absent.
std::string_view field_of(std::string_view fields, std::string_view key) {
  std::size_t at = 0;
  while (at < fields.size()) {
    const std::size_t end = std::min(fields.find(' ', at), fields.size());
    const std::string_view field = fields.substr(at, end - at);
    const std::size_t equals = field.find('=');
    if (equals != std::string_view::npos && field.substr(0, equals) == key) return field.substr(equals + 1);
    at = end + 1;
  }
  return {};
}

std::optional<int> count_of(std::string_view fields, std::string_view key) {
  const std::string_view text = field_of(fields, key);
  int value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return value;
}

std::optional<ObservedView> parse_fields(std::string_view note) {
  const auto epoch = count_of(note, "epoch");
  const auto rank = count_of(note, "rank");
  const auto live_count = count_of(note, "live_count");
  const auto max_count = count_of(note, "max_count");
  const auto reachable_count = count_of(note, "reachable_count");
  const auto configured_count = count_of(note, "configured_count");
  const std::string_view connectivity = field_of(note, "connectivity");
  const std::string_view settling = field_of(note, "settling");
  if (!epoch || !rank || !live_count || !max_count || !reachable_count || !configured_count)
    return std::nullopt;
  if (connectivity.empty() || (settling != "true" && settling != "false")) return std::nullopt;
  return ObservedView{*epoch,
                      *rank,
                      *live_count,
                      *max_count,
                      *reachable_count,
                      *configured_count,
                      std::string(connectivity),
                      settling == "true"};
}

std::string connectivity_of_sentence(const std::string& word) {
  if (word == "whole") return "complete";
  if (word == "part") return "partial";
  if (word == "cut off") return "partitioned";
  return word;
}

std::optional<ObservedView> parse_sentence(const std::string& note) {
  ObservedView out;
  char word[16] = {};
  if (std::sscanf(note.c_str(), "%d: rank %d of %d, reckons with %d, reaches %d of %d, %15[a-z ]", &out.epoch,
                  &out.rank, &out.live_count, &out.max_count, &out.reachable_count, &out.configured_count,
                  word) != 7)
    return std::nullopt;
  out.connectivity = connectivity_of_sentence(word);
  out.is_settling = note.find(", moving") != std::string::npos;
  return out;
}

// Replays a history and compares each node's last view with the nodes that are running.
class ViewChecker {
 public:
  ViewChecker(const Rules& rules, Verdict& verdict) : rules_(rules), verdict_(verdict) {}

  void replay(const History& history) {
    for (const Record& record : history.records) {
      end_ = record.t;
      if (record.what == What::kView) {
        on_view(record);
      } else {
        check_if_settled(record.t);
        if (is_change(record)) on_change(record);
      }
    }
    finish();
  }

 private:
  static bool is_change(const Record& record) {
    switch (record.what) {
      case What::kUp:
      case What::kDown:
      case What::kCrash:
      case What::kPaused:
      case What::kResumed:
      case What::kTerm:
        return is_node(record.by);
      case What::kLinkFaulty:
      case What::kLinkRestored:
        return true;
      default:
        return false;
    }
  }

  void on_view(const Record& record) {
    const auto view = parse_view(record);
    if (!view) {
      verdict_.missing_input.push_back("can't parse a view of " + bench::name_of(record.by) + ": " +
                                       record.note);
      return;
    }
    check_if_settled(record.t);
    views_[record.by] = *view;
    check_max_count(record, *view);
  }

  // max_count must never be below the number of nodes known to run: limits are divided by it.
  void check_max_count(const Record& record, const ObservedView& view) {
    const auto running = std::count_if(up_since_.begin(), up_since_.end(), [&](const auto& node) {
      return node.second < record.t - kDiscoveryDelay && !leaving_.contains(node.first);
    });
    if (view.max_count >= running) return;
    verdict_.violations.push_back({"fleet-views",
                                   bench::name_of(record.by) + " has max_count " +
                                       std::to_string(view.max_count) + " while " + std::to_string(running) +
                                       " nodes run",
                                   record.t});
  }

  void on_change(const Record& record) {
    changed_at_ = record.t;
    is_checked_ = false;
    switch (record.what) {
      case What::kUp:
        up_since_[record.by] = record.t;
        leaving_.erase(record.by);
        break;
      case What::kDown:
      case What::kCrash:
        up_since_.erase(record.by);
        paused_.erase(record.by);
        views_.erase(record.by);
        break;
      case What::kPaused:
        paused_.insert(record.by);
        break;
      case What::kResumed:
        paused_.erase(record.by);
        break;
      case What::kTerm:
        leaving_.insert(record.by);
        break;
      case What::kLinkFaulty:
        ++faulty_links_;
        break;
      case What::kLinkRestored:
        --faulty_links_;
        break;
      default:
        break;
    }
  }

  [[nodiscard]] double settled_at() const {
    return changed_at_ + rules_.view_convergence_time + verdict_.max_lateness;
  }

  // Checks once after each change that every node's view agrees with the running nodes.
  void check_if_settled(double now) {
    if (is_checked_ || faulty_links_ > 0 || now < settled_at()) return;
    is_checked_ = true;
    const int running = static_cast<int>(up_since_.size() - paused_.size());
    for (const auto& [actor, since] : up_since_) {
      if (paused_.contains(actor)) continue;
      const auto view = views_.find(actor);
      if (view == views_.end()) {
        verdict_.missing_input.push_back(bench::name_of(actor) + " has logged no view of the replica set");
      } else if (view->second.reachable_count != running) {
        verdict_.violations.push_back({"fleet-views",
                                       bench::name_of(actor) + " reaches " +
                                           std::to_string(view->second.reachable_count) + " nodes while " +
                                           std::to_string(running) + " run",
                                       now});
      }
    }
  }

  void finish() {
    if (is_checked_) return;
    // A run that ends too soon after its last change is inconclusive.
    if (faulty_links_ == 0 && end_ < settled_at())
      verdict_.missing_input.emplace_back("the run ends before the views must have converged");
    check_if_settled(end_);
  }

  const Rules& rules_;
  Verdict& verdict_;
  std::map<Actor, double> up_since_;
  std::set<Actor> paused_;
  std::set<Actor> leaving_;
  std::map<Actor, ObservedView> views_;
  int faulty_links_ = 0;
  double changed_at_ = 0;
  double end_ = 0;
  bool is_checked_ = true;
};

}  // namespace

std::optional<ObservedView> parse_view(const Record& record) {
  if (record.what != What::kView) return std::nullopt;
  if (auto view = parse_fields(record.note)) return view;
  return parse_sentence(record.note);
}

void check_views(const History& history, const Rules& rules, Verdict& verdict) {
  if (rules.view_convergence_time <= 0) return;
  ViewChecker(rules, verdict).replay(history);
}

}  // namespace thymewood::fleet
