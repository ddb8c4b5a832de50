#include "answer_checkers.h"

#include <algorithm>
#include <utility>

namespace thymewood::fleet {
namespace {

using What = Record::What;

std::string describe(const Record& r) {
  return r.id + " of " + bench::name_of(r.by) + " at " + bench::name_of(r.to);
}

bool ends_request(What what) {
  return what == What::kResponse || what == What::kConnectionBroken || what == What::kClientLeft;
}

}  // namespace

void FinalAnswerChecker::check() {
  for (const Record& r : history_.records) {
    if (r.what == What::kRequestSent) {
      requests_[r.id] = {&r, false};
      ++verdict_.asked;
    } else if (ends_request(r.what)) {
      on_ended(r);
    }
  }
}

void FinalAnswerChecker::on_ended(const Record& end) {
  const auto found = requests_.find(end.id);
  if (found == requests_.end()) {
    verdict_.blind.push_back("an end of " + end.id + ", which nobody asked");
    return;
  }
  Request& request = found->second;
  const Record& sent = *request.sent;
  if (end.what == What::kResponse && std::exchange(request.answered, true))
    return report(sent, "has two answers", end.t);
  const bool late = end.what == What::kResponse && end.t > sent.limit + slack_;
  const bool lost = end.what == What::kConnectionBroken && !request.answered;
  const bool missing = end.what == What::kClientLeft && !request.answered && end.t >= sent.limit + slack_;
  if (!late && !lost && !missing) return;
  if (faults_.excuse(sent.by, sent.to, sent.t, std::min(end.t, sent.limit + slack_))) {
    ++verdict_.excused;
    return;
  }
  report(sent,
         late   ? "was answered after its caller's time"
         : lost ? "was lost"
                : "was never answered",
         end.t);
}

void FinalAnswerChecker::report(const Record& request, const std::string& what, double at) {
  verdict_.broken.push_back({"one-final-answer", describe(request) + " " + what, at});
}

void AbandonmentChecker::check() {
  for (const Record& r : history_.records) {
    if (r.what == What::kClientLeft) disconnected_[r.id] = &r;
    if (r.what == What::kServerReceived) on_received(r);
  }
}

void AbandonmentChecker::on_received(const Record& attempt) {
  const auto found = disconnected_.find(attempt.id);
  if (found == disconnected_.end() || attempt.left <= found->second->t + allowed_) return;
  // A close that can't reach the node is not known to it; that the node was paused is no excuse.
  const Record& close = *found->second;
  if (faults_.link_faulty(close.by, close.to, close.t, attempt.left)) return;
  verdict_.broken.push_back(
      {"abandoned",
       attempt.id + " was sent " + std::to_string(attempt.left - close.t) + " s after its caller had closed",
       attempt.t});
}

}  // namespace thymewood::fleet
