// What clients sent and were answered, and what servers ran. Thread-safe.
#pragma once

#include <cstddef>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "sockets.h"

namespace review {

enum class Effect { kKeyed, kUnsafe };

struct Run {
  double at = 0;  // when the request's last byte had come to the server
  std::string id, server;
  Effect effect = Effect::kKeyed;
};

enum class AnswerKind { kServed, kForeign, kRefused, kFailed, kNone };

struct Answer {
  double at = 0;
  std::string id;
  Effect effect = Effect::kKeyed;
  AnswerKind kind = AnswerKind::kNone;
};

class Ledger {
 public:
  explicit Ledger(const std::string& record_path) : record_(record_path) {}

  void note(const std::string& text) { record_.line(now(), text); }
  void add_sent(int node, const std::string& id, Effect effect);
  void add_run(const Run& run);
  void add_answer(const Answer& answer, const std::string& text);

  [[nodiscard]] std::vector<Run> runs() const;
  [[nodiscard]] std::size_t count(AnswerKind kind) const;
  [[nodiscard]] std::size_t failed_unsafe() const;
  // Unsafe requests that ran more than once.
  [[nodiscard]] std::size_t doubled_unsafe() const;
  // Writes the sums of a run.
  void write_summary();

 private:
  Record record_;
  mutable std::mutex mutex_;
  std::vector<Run> runs_;
  std::vector<Answer> answers_;
  std::size_t sent_ = 0;
};

}  // namespace review
