#include "ledger.h"

#include <algorithm>

namespace review {
namespace {

const char* name_of(Effect effect) { return effect == Effect::kUnsafe ? "test-close" : "fault-mark"; }

const char* name_of(AnswerKind kind) {
  switch (kind) {
    case AnswerKind::kServed:
      return "served";
    case AnswerKind::kForeign:
      return "FOREIGN";
    case AnswerKind::kRefused:
      return "refused";
    case AnswerKind::kFailed:
      return "failed";
    case AnswerKind::kNone:
      return "NONE";
  }
  return "?";
}

}  // namespace

void Ledger::add_sent(int node, const std::string& id, Effect effect) {
  {
    const std::lock_guard lock(mutex_);
    ++sent_;
  }
  note("sent id=" + id + " class=" + name_of(effect) + " node=" + std::to_string(node));
}

void Ledger::add_run(const Run& run) {
  {
    const std::lock_guard lock(mutex_);
    runs_.push_back(run);
  }
  record_.line(run.at, "run id=" + run.id + " class=" + name_of(run.effect) + " server=" + run.server);
}

void Ledger::add_answer(const Answer& answer, const std::string& text) {
  {
    const std::lock_guard lock(mutex_);
    answers_.push_back(answer);
  }
  record_.line(answer.at, "answered id=" + answer.id + " class=" + name_of(answer.effect) + " " +
                              name_of(answer.kind) + " \"" + text + "\"");
}

std::vector<Run> Ledger::runs() const {
  const std::lock_guard lock(mutex_);
  return runs_;
}

std::size_t Ledger::count(AnswerKind kind) const {
  const std::lock_guard lock(mutex_);
  return static_cast<std::size_t>(
      std::count_if(answers_.begin(), answers_.end(), [kind](const Answer& a) { return a.kind == kind; }));
}

std::size_t Ledger::failed_unsafe() const {
  const std::lock_guard lock(mutex_);
  return static_cast<std::size_t>(std::count_if(answers_.begin(), answers_.end(), [](const Answer& a) {
    return a.kind == AnswerKind::kFailed && a.effect == Effect::kUnsafe;
  }));
}

std::size_t Ledger::doubled_unsafe() const {
  std::map<std::string, std::size_t> counts;
  for (const Run& run : runs()) {
    if (run.effect == Effect::kUnsafe) ++counts[run.id];
  }
  return static_cast<std::size_t>(
      std::count_if(counts.begin(), counts.end(), [](const auto& entry) { return entry.second > 1; }));
}

void Ledger::write_summary() {
  std::string text = "summary sent=" + std::to_string(sent_);
  text += " runs=" + std::to_string(runs().size());
  for (const AnswerKind kind : {AnswerKind::kServed, AnswerKind::kForeign, AnswerKind::kRefused,
                                AnswerKind::kFailed, AnswerKind::kNone}) {
    text += std::string(" ") + name_of(kind) + "=" + std::to_string(count(kind));
  }
  text += " failed_test_close=" + std::to_string(failed_unsafe());
  text += " test_close_run_twice=" + std::to_string(doubled_unsafe());
  note(text);
}

}  // namespace review
