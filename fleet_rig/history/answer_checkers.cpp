#include "answer_checkers.h"

#include <algorithm>
#include <utility>

namespace thymewood::fleet {
namespace {

using What = Record::What;

std::string describe(const Record& r) {
  return r.id + " from " + bench::name_of(r.by) + " to " + bench::name_of(r.to);
}

bool is_request_end(What what) {
  return what == What::kResponse || what == What::kConnectionBroken || what == What::kClientDisconnected;
}

}  // namespace

void FinalAnswerChecker::check() {
  for (const Record& r : history_.records) {
    if (r.what == What::kRequestSent) {
      requests_[r.id] = {&r, false};
      ++verdict_.requests_sent;
    } else if (is_request_end(r.what)) {
      on_request_end(r);
    }
  }
}

void FinalAnswerChecker::on_request_end(const Record& end) {
  const auto found = requests_.find(end.id);
  if (found == requests_.end()) {
    verdict_.missing_input.push_back("end of request " + end.id + ", which no client sent");
    return;
  }
  Request& request = found->second;
  const Record& sent = *request.sent;
  if (end.what == What::kResponse && std::exchange(request.answered, true))
    return report(sent, "got more than one response", end.t);
  const bool late = end.what == What::kResponse && end.t > sent.limit + slack_;
  const bool connection_lost = end.what == What::kConnectionBroken && !request.answered;
  const bool unanswered =
      end.what == What::kClientDisconnected && !request.answered && end.t >= sent.limit + slack_;
  if (!late && !connection_lost && !unanswered) return;
  if (faults_.fault_affects(sent.by, sent.to, sent.t, std::min(end.t, sent.limit + slack_))) {
    ++verdict_.excused;
    return;
  }
  report(sent,
         late              ? "got its response after its deadline"
         : connection_lost ? "lost its connection without a response"
                           : "got no response",
         end.t);
}

void FinalAnswerChecker::report(const Record& request, const std::string& what, double at) {
  verdict_.violations.push_back({"one-final-answer", describe(request) + " " + what, at});
}

void AbandonmentChecker::check() {
  for (const Record& r : history_.records) {
    if (r.what == What::kClientDisconnected) disconnected_[r.id] = &r;
    if (r.what == What::kServerReceived) on_received(r);
  }
}

void AbandonmentChecker::on_received(const Record& attempt) {
  const auto found = disconnected_.find(attempt.id);
  if (found == disconnected_.end() || attempt.last_byte_sent_at <= found->second->t + grace_) return;
  // A node can't see a disconnect that is lost on a faulty link. A paused node is not excused: it can see
  // the disconnect as soon as it resumes.
  const Record& disconnect = *found->second;
  if (faults_.link_faulty(disconnect.by, disconnect.to, disconnect.t, attempt.last_byte_sent_at)) return;
  verdict_.violations.push_back({"abandoned",
                                 attempt.id + " was sent " +
                                     std::to_string(attempt.last_byte_sent_at - disconnect.t) +
                                     " s after its client disconnected",
                                 attempt.t});
}

}  // namespace thymewood::fleet
