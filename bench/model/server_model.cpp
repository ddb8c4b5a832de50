#include "server_model.h"

#include <algorithm>

namespace thymewood::bench {

bool ServerModel::arrive(double now, std::uint64_t request, double work) {
  apply_pauses(now);
  if (capacity_.workers == 0 || running() < capacity_.workers) {
    begin(now, request, work);
    return true;
  }
  if (waiting() >= capacity_.queue) return false;
  waiting_.push_back({request, work});
  return true;
}

std::optional<double> ServerModel::next() const {
  if (running_.empty()) return std::nullopt;  // nothing runs, so a pause has no effect
  return std::min(running_.top().end, next_pause_);
}

void ServerModel::advance(double now, std::vector<std::uint64_t>& ended) {
  apply_pauses(now);
  while (!running_.empty() && running_.top().end <= now) {
    const Running done = running_.top();
    running_.pop();
    ended.push_back(done.request);
    if (waiting_.empty()) continue;
    const Waiting first = waiting_.front();
    waiting_.pop_front();
    begin(done.end, first.request, first.work);
  }
}

std::vector<std::uint64_t> ServerModel::take_all() {
  std::vector<std::uint64_t> out;
  for (; !running_.empty(); running_.pop()) out.push_back(running_.top().request);
  for (const Waiting& w : waiting_) out.push_back(w.request);
  waiting_.clear();
  return out;
}

double ServerModel::warmth(double now) const {
  if (capacity_.warm_up_s <= 0 || now - started_ >= capacity_.warm_up_s) return 1;
  return capacity_.cold_speed_share +
         (1 - capacity_.cold_speed_share) * (now - started_) / capacity_.warm_up_s;
}

double ServerModel::rate(double now, double mean_work) const {
  if (capacity_.workers == 0) return std::numeric_limits<double>::infinity();
  const double paused_share = capacity_.pause_every_s > 0 ? capacity_.pause_s / capacity_.pause_every_s : 0;
  return capacity_.workers * capacity_.speed * warmth(now) * (1 - paused_share) / (mean_work * slowdown_);
}

void ServerModel::begin(double now, std::uint64_t request, double work) {
  const bool overloaded =
      capacity_.overload_threshold > 0 && running() + waiting() >= capacity_.overload_threshold;
  const double slowdown = slowdown_ * (overloaded ? capacity_.overload_slowdown : 1);
  running_.push({now + work * slowdown / (capacity_.speed * warmth(now)), ++order_, request});
}

// Each pause that has begun by `now` delays all completions after its start.
void ServerModel::apply_pauses(double now) {
  while (next_pause_ <= now) {
    std::vector<Running> delayed;
    for (; !running_.empty(); running_.pop()) {
      delayed.push_back(running_.top());
      if (delayed.back().end > next_pause_) delayed.back().end += capacity_.pause_s;
    }
    for (const Running& r : delayed) running_.push(r);
    next_pause_ += capacity_.pause_every_s;
  }
}

}  // namespace thymewood::bench
