#include "isolation.h"

#include <algorithm>

namespace thymewood::membership {
namespace {

constexpr std::size_t kMostKept = 256;  // attempts; a busy node decides by the newest

}  // namespace

void Isolation::sees(Confidence confidence) {
  cut_off_ = confidence == Confidence::kCutOff;
  if (!cut_off_) isolated_ = false;
}

void Isolation::attempt_ended(double now, bool heard) {
  ended_.push_back({now, heard});
  if (ended_.size() > kMostKept) ended_.pop_front();
  if (isolated_) {
    answers_ = heard ? answers_ + 1 : 0;
    if (answers_ >= plan_.answers) {
      isolated_ = false;
      ended_.clear();
    }
    return;
  }
  decide(now);
}

void Isolation::decide(double now) {
  while (!ended_.empty() && ended_.front().at < now - plan_.within) ended_.pop_front();
  if (!cut_off_ || ended_.size() < static_cast<std::size_t>(plan_.least)) return;
  const auto silent = std::count_if(ended_.begin(), ended_.end(), [](const Ended& e) { return !e.heard; });
  if (static_cast<double>(silent) < plan_.silent * static_cast<double>(ended_.size())) return;
  isolated_ = true;
  tried_ = now;
  answers_ = 0;
}

bool Isolation::refuses(double now) {
  if (!isolated_) return false;
  if (now < tried_ + plan_.try_every) return true;
  tried_ = now;
  return false;
}

}  // namespace thymewood::membership
