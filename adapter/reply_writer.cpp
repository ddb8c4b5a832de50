#include "reply_writer.h"

#include <variant>

namespace thymewood::adapter {
namespace {

using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

// Writes an element of the "steps" array: a JSON object with the field "kind" and the fields of that kind.
class ActionWriter {
 public:
  explicit ActionWriter(Writer& out) : out_(out) {}

  void operator()(const Send& action) const {
    begin("CALL_OUT");
    field("txn", action.id);
    field("server", action.server);
    field("patience", action.timeout);
    out_.EndObject();
  }
  void operator()(const Reject& action) const {
    begin("SAY_NO");
    field("txn", action.id);
    if (action.retry_after > 0) field("notBeforeFor", action.retry_after);
    out_.EndObject();
  }
  void operator()(const Fail& action) const {
    begin("ERROR");
    field("txn", action.id);
    out_.EndObject();
  }
  void operator()(const Cancel& action) const {
    begin("ABANDON");
    field("txn", action.id);
    out_.Key("try");
    out_.Int(action.attempt);
    out_.EndObject();
  }
  void operator()(const SetTimer& action) const {
    begin("TIMER");
    field("dueAt", action.at);
    out_.Key("keyBack");
    out_.Uint64(action.token);
    out_.EndObject();
  }
  void operator()(const WatchEndpoints&) const {
    begin("TAIL");
    out_.Key("want");
    out_.Bool(true);
    out_.EndObject();
  }
  void operator()(const ListEndpoints&) const {
    begin("LOOKUP");
    out_.EndObject();
  }
  void operator()(const SheddingReport& action) const {
    begin("JOURNAL_LINE");
    field("noteText", describe(action));
    out_.EndObject();
  }
  void write_exception(const std::string& exception_message) const {
    begin("PANIC");
    out_.Key("noteText");
    out_.String(exception_message.c_str());
    out_.EndObject();
  }

 private:
  void begin(const char* kind) const {
    out_.StartObject();
    out_.Key("kind");
    out_.String(kind);
  }
  void field(const char* name, const std::string& value) const {
    out_.Key(name);
    out_.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  }
  void field(const char* name, double value) const {
    out_.Key(name);
    out_.Double(value);
  }

  Writer& out_;
};

}  // namespace

void ReplyWriter::begin(std::uint64_t turn) {
  buffer_.Clear();
  writer_.Reset(buffer_);
  writer_.StartObject();
  writer_.Key("turn");
  writer_.Uint64(turn);
  writer_.Key("nodes");
  writer_.StartArray();
}

void ReplyWriter::write_node(int node_id, const std::vector<Action>& actions,
                             const std::optional<std::string>& exception_message) {
  const ActionWriter action_writer(writer_);
  writer_.StartObject();
  writer_.Key("who");
  writer_.Int(node_id);
  writer_.Key("steps");
  writer_.StartArray();
  for (const Action& action : actions) std::visit(action_writer, action);
  if (exception_message) action_writer.write_exception(*exception_message);
  writer_.EndArray();
  writer_.EndObject();
}

const rapidjson::StringBuffer& ReplyWriter::finish() {
  writer_.EndArray();
  writer_.EndObject();
  return buffer_;
}

}  // namespace thymewood::adapter
