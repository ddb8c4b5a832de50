// A client that sends commands without waiting for the answers to those before, as HTTP/1.1 allows.
#pragma once

#include <deque>

#include "stand_ins.h"

namespace review {

// The answer to a command, and how long after the command it was complete.
struct PipelinedAnswer {
  Request request;
  Message message;
  double after = 0;  // s
};

class PipeliningClient {
 public:
  PipeliningClient(const Address& node, RecordFile& record) : record_(record) {
    if (auto connection = connect_to(node)) connection_ = std::move(*connection);
  }

  [[nodiscard]] bool is_connected() const { return connection_.is_open(); }
  // Commands that have no answer yet.
  [[nodiscard]] std::size_t open() const { return open_.size(); }
  [[nodiscard]] const std::deque<Request>& open_requests() const { return open_; }

  // Sends all requests at once. Returns false if not all of their bytes could be written.
  bool send(const std::vector<Request>& requests) {
    std::string all;
    for (const Request& request : requests) {
      all += request.text();
      open_.push_back(request);
      sent_at_.push_back(now());
      record_.add("client sends " + request.id);
    }
    return connection_.write(all);
  }

  // Reads the answer to the oldest command that has none.
  ReadEnd read(PipelinedAnswer& answer, double until) {
    const ReadEnd end = connection_.read_message(answer.message, until);
    if (end != ReadEnd::kOk) return end;
    answer.request = open_.front();
    answer.after = now() - sent_at_.front();
    open_.pop_front();
    sent_at_.pop_front();
    record_.add("client gets " + std::to_string(answer.message.status()) + " for " + answer.request.id +
                " after " + seconds(answer.after) +
                " s: " + answer.message.body.substr(0, answer.message.body.find('\n')));
    return end;
  }

 private:
  RecordFile& record_;
  Connection connection_;
  std::deque<Request> open_;
  std::deque<double> sent_at_;
};

}  // namespace review
