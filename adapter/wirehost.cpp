// thymewood_wirehost: hosts balancer copies on the bench's wire (one JSON line in, one out). It parses,
// translates, writes and flushes; every decision is the library's.
#include <cstdio>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "rapidjson/document.h"
#include "rapidjson/error/en.h"
#include "rapidjson/stringbuffer.h"
#include "rapidjson/writer.h"
#include "settings_reader.h"
#include "thymewood/balancer.h"

namespace {

using Json = rapidjson::Value;
using Writer = rapidjson::Writer<rapidjson::StringBuffer>;
namespace ms = thymewood;

using namespace ms::json;  // the field readers, named all over this file

ms::Outcome read_outcome(std::string_view name) {
  if (name == "delivered") return ms::Outcome::kSuccess;
  if (name == "app_error") return ms::Outcome::kError;
  if (name == "shed") return ms::Outcome::kRejected;
  if (name == "expired") return ms::Outcome::kTimedOut;
  if (name == "dial_failed") return ms::Outcome::kConnectFailed;
  if (name == "dropped") return ms::Outcome::kReset;
  if (name == "revoked") return ms::Outcome::kCancelled;
  if (name == "unused") return ms::Outcome::kNotSent;
  return ms::Outcome::kUnknown;
}

ms::Endpoint read_server(const Json& in) {
  ms::Endpoint out;
  out.address = text(in, "server");
  out.zone = whole_or(in, "rackZone", 0);
  out.cell = whole_or(in, "pack", 0);
  out.weight = number_or(in, "units", 1);
  out.started_at = number_or(in, "since", 0);
  const std::string_view mode = text(in, "mode");
  if (mode == "Ready") {
    out.state = ms::EndpointState::kReady;
  } else if (mode == "Terminating") {
    out.state = ms::EndpointState::kDraining;
  } else if (mode == "Gone") {
    out.state = ms::EndpointState::kRemoved;
  } else {
    wrong("mode", "Ready, Terminating or Gone");
  }
  return out;
}

ms::Request read_request(const Json& in) {
  constexpr int kHintValid = 1;
  constexpr int kClientRepeats = 2;
  ms::Request out;
  out.id = text(in, "txn");
  out.tenant = index_or_zero(in, "account");
  out.request_class = index_or_zero(in, "profile");
  out.time_left = number(in, "timeLeft");
  const int opts = whole_or(in, "opts", 0);
  if ((opts & kHintValid) != 0 && find(in, "cost") != nullptr) out.work = number(in, "cost");
  out.is_client_retry = (opts & kClientRepeats) != 0;
  return out;
}

// Writes one action as a JSON object.
struct WriteAction {
  Writer& out;

  void start(const char* kind) const {
    out.StartObject();
    out.Key("kind");
    out.String(kind);
  }
  void field(const char* name, const std::string& value) const {
    out.Key(name);
    out.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  }
  void field(const char* name, double value) const {
    out.Key(name);
    out.Double(value);
  }
  void operator()(const ms::Send& a) const {
    start("CALL_OUT");
    field("txn", a.id);
    field("server", a.server);
    field("patience", a.timeout);
    out.EndObject();
  }
  void operator()(const ms::Reject& a) const {
    start("SAY_NO");
    field("txn", a.id);
    if (a.retry_after > 0) field("notBeforeFor", a.retry_after);
    out.EndObject();
  }
  void operator()(const ms::Fail& a) const {
    start("ERROR");
    field("txn", a.id);
    out.EndObject();
  }
  void operator()(const ms::Cancel& a) const {
    start("ABANDON");
    field("txn", a.id);
    out.Key("try");
    out.Int(a.attempt);
    out.EndObject();
  }
  void operator()(const ms::SetTimer& a) const {
    start("TIMER");
    field("dueAt", a.at);
    out.Key("keyBack");
    out.Uint64(a.token);
    out.EndObject();
  }
  void operator()(const ms::WatchEndpoints&) const {
    start("TAIL");
    out.Key("want");
    out.Bool(true);
    out.EndObject();
  }
  void operator()(const ms::SheddingReport& a) const {
    start("JOURNAL_LINE");
    field("noteText", ms::describe(a));
    out.EndObject();
  }
};

class Host {
 public:
  // Answers one batch; returns the reply line.
  const rapidjson::StringBuffer& answer(const Json& batch) {
    const double now = number(batch, "clock");
    buffer_.Clear();
    writer_.Reset(buffer_);
    writer_.StartObject();
    writer_.Key("turn");
    writer_.Uint64(token(batch, "turn"));
    writer_.Key("nodes");
    writer_.StartArray();
    for (const Json& node : array(batch, "nodes").GetArray()) answer_node(now, node);
    writer_.EndArray();
    writer_.EndObject();
    return buffer_;
  }

 private:
  void answer_node(double now, const Json& node) {
    const int who = whole(node, "who");
    std::unique_ptr<ms::Balancer>& balancer = balancers_[who];
    actions_.clear();
    std::optional<std::string> fault;
    for (const Json& item : array(node, "news").GetArray()) {
      try {
        handle(now, item, balancer);
      } catch (const BadMessage&) {
        throw;
      } catch (const std::exception& problem) {  // the library's own: the bench wants to hear of it
        if (!fault) fault = problem.what();
      }
    }
    if (actions_.empty() && !fault) return;
    writer_.StartObject();
    writer_.Key("who");
    writer_.Int(who);
    writer_.Key("steps");
    writer_.StartArray();
    for (const ms::Action& action : actions_) std::visit(WriteAction{writer_}, action);
    if (fault) {
      writer_.StartObject();
      writer_.Key("kind");
      writer_.String("PANIC");
      writer_.Key("noteText");
      writer_.String(fault->c_str());
      writer_.EndObject();
    }
    writer_.EndArray();
    writer_.EndObject();
  }

  void handle(double now, const Json& item, std::unique_ptr<ms::Balancer>& balancer) {
    const std::string_view kind = text(item, "kind");
    if (kind == "TABLE") {
      read_table(item);
      return;
    }
    if (kind == "OPEN_INSTANCE") {
      balancer.reset();
      balancer = std::make_unique<ms::Balancer>(read_settings(need(item, "config")), token(item, "initSeed"));
      actions_.clear();  // what an instance said before it was stopped in this batch is void
      balancer->handle(now, ms::Started{}, actions_);
    } else if (kind == "POWER_OFF") {
      balancer.reset();
      actions_.clear();
    } else if (const std::optional<ms::Event> event = read_event(kind, item); event && balancer != nullptr) {
      balancer->handle(now, *event, actions_);
    }
  }

  void read_table(const Json& item) {
    std::vector<ms::Endpoint> servers;
    for (const Json& entry : array(item, "nodesList").GetArray()) servers.push_back(read_server(entry));
    tables_[whole(item, "sheet")] = std::move(servers);
  }

  std::optional<ms::Event> read_event(std::string_view kind, const Json& item) const {
    if (kind == "QUERY") return read_request(item);
    if (kind == "DONE") {
      return ms::AttemptResult{std::string(text(item, "txn")), whole_or(item, "try", 0),
                               read_outcome(text(item, "outcome")), number_or(item, "lag", 0),
                               flag(item, "doneFlag")};
    }
    if (kind == "FIRED") return ms::TimerFired{token(item, "keyBack")};
    if (kind == "GONE") return ms::RequestAbandoned{std::string(text(item, "txn"))};
    if (kind == "DIRECTORY_UPDATE") return read_update(item);
    if (kind == "ACK_FIRST") {
      return ms::ResponseStarted{std::string(text(item, "txn")), whole_or(item, "try", 0),
                                 number_or(item, "lag", 0)};
    }
    return std::nullopt;  // STATUS_BACK, MEMO and kinds of later wires: nothing here asks for them
  }

  ms::EndpointUpdate read_update(const Json& item) const {
    const std::string_view form = text(item, "form");
    ms::EndpointUpdate out;
    if (form == "X") {
      out.form = ms::EndpointUpdate::Form::kFailed;
      return out;
    }
    if (form == "D") {
      out.form = ms::EndpointUpdate::Form::kDelta;
    } else if (form != "F" && form != "C") {
      wrong("form", "D, F, C or X");
    }
    const auto table = tables_.find(whole(item, "sheet"));
    if (table == tables_.end()) wrong("sheet", "the number of a list that was sent");
    out.endpoints = table->second;
    return out;
  }

  std::map<int, std::unique_ptr<ms::Balancer>> balancers_;
  std::map<int, std::vector<ms::Endpoint>> tables_;  // the numbered lists, shared by the whole process
  std::vector<ms::Action> actions_;
  rapidjson::StringBuffer buffer_;
  Writer writer_;
};

}  // namespace

int main() {
  std::ios::sync_with_stdio(false);
  Host host;
  std::string line;
  std::uint64_t lines = 0;
  while (std::getline(std::cin, line)) {
    if (line.find_first_not_of(" \t\r") == std::string::npos) continue;
    ++lines;
    std::string turn = "unknown";
    try {
      rapidjson::Document batch;
      batch.ParseInsitu(line.data());
      if (batch.HasParseError()) {
        throw BadMessage(std::string("not valid JSON: ") +
                         rapidjson::GetParseError_En(batch.GetParseError()) + " at byte " +
                         std::to_string(batch.GetErrorOffset()));
      }
      turn = std::to_string(token(batch, "turn"));
      const rapidjson::StringBuffer& reply = host.answer(batch);
      std::fwrite(reply.GetString(), 1, reply.GetSize(), stdout);
      std::fputc('\n', stdout);
      if (std::fflush(stdout) != 0) return 1;
    } catch (const std::exception& problem) {
      std::fprintf(stderr, "thymewood_wirehost: line %llu, turn %s: %s\n",
                   static_cast<unsigned long long>(lines), turn.c_str(), problem.what());
      return 2;
    }
  }
  return 0;
}
