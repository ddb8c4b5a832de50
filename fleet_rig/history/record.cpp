#include "record.h"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <stdexcept>

namespace thymewood::fleet {
namespace {

constexpr std::array<const char*, 26> kRecordNames{
    "begin",  "party",    "want",      "end",   "ask",  "answer", "broken", "gave_up", "came",
    "done",   "told",     "up",        "down",  "term", "away",   "back",   "crash",   "fault",
    "healed", "bad_link", "good_link", "usage", "open", "view",   "late",   "closed"};

using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

void put(Writer& out, const char* key, double value) {
  if (value == 0) return;
  out.Key(key);
  out.Double(value);
}
void put(Writer& out, const char* key, int value) {
  if (value == 0) return;
  out.Key(key);
  out.Int(value);
}
void put(Writer& out, const char* key, const std::string& value) {
  if (value.empty()) return;
  out.Key(key);
  out.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}
void put(Writer& out, const char* key, const Actor& actor) {
  out.Key(key);
  out.StartArray();
  out.Int(static_cast<int>(actor.kind));
  out.Int(actor.number);
  out.EndArray();
}

template <class T>
void get(const rapidjson::Value& in, const char* key, T& out) {
  const auto at = in.FindMember(key);
  if (at == in.MemberEnd()) return;
  const rapidjson::Value& value = at->value;
  if constexpr (std::is_same_v<T, double>) {
    if (value.IsNumber()) out = value.GetDouble();
  } else if constexpr (std::is_same_v<T, int>) {
    if (value.IsInt()) out = value.GetInt();
  } else if constexpr (std::is_same_v<T, bool>) {
    if (value.IsBool()) out = value.GetBool();
  } else if constexpr (std::is_same_v<T, std::string>) {
    if (value.IsString()) out.assign(value.GetString(), value.GetStringLength());
  } else {
    constexpr int kActorKinds = 6;
    if (value.IsArray() && value.Size() == 2 && value[0].IsInt() && value[1].IsInt() &&
        value[0].GetInt() >= 0 && value[0].GetInt() < kActorKinds)
      out = {static_cast<ActorKind>(value[0].GetInt()), value[1].GetInt()};
  }
}

}  // namespace

std::string to_line(const Record& r) {
  rapidjson::StringBuffer buffer;
  Writer out(buffer);
  constexpr int kTimeDecimals = 6;
  out.SetMaxDecimalPlaces(kTimeDecimals);
  out.StartObject();
  out.Key("t");
  out.Double(r.t);
  put(out, "what", std::string(kRecordNames[static_cast<std::size_t>(r.what)]));
  put(out, "by", r.by);
  put(out, "to", r.to);
  put(out, "id", r.id);
  put(out, "first", r.operation_id);
  put(out, "class", r.request_class);
  put(out, "tenant", r.tenant);
  put(out, "tier", r.tier);
  put(out, "count", r.count);
  put(out, "status", r.status);
  if (r.flag) {
    out.Key("yes");
    out.Bool(true);
  }
  put(out, "limit", r.limit);
  put(out, "left", r.last_byte_sent_at);
  put(out, "work", r.work);
  put(out, "cold", r.cold_capacity);
  put(out, "wait", r.wait);
  put(out, "note", r.note);
  out.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

std::optional<Record> from_line(std::string_view line) {
  rapidjson::Document in;
  in.Parse(line.data(), line.size());
  if (in.HasParseError() || !in.IsObject()) return std::nullopt;
  Record out;
  std::string name;
  get(in, "what", name);
  const auto at = std::find(kRecordNames.begin(), kRecordNames.end(), name);
  if (at == kRecordNames.end() || !in.HasMember("t")) return std::nullopt;
  out.what = static_cast<Record::What>(at - kRecordNames.begin());
  get(in, "t", out.t);
  get(in, "by", out.by);
  get(in, "to", out.to);
  get(in, "id", out.id);
  get(in, "first", out.operation_id);
  get(in, "class", out.request_class);
  get(in, "tenant", out.tenant);
  get(in, "tier", out.tier);
  get(in, "count", out.count);
  get(in, "status", out.status);
  get(in, "yes", out.flag);
  get(in, "limit", out.limit);
  get(in, "left", out.last_byte_sent_at);
  get(in, "work", out.work);
  get(in, "cold", out.cold_capacity);
  get(in, "wait", out.wait);
  get(in, "note", out.note);
  return out;
}

History History::read(const std::string& path) {
  std::ifstream in(path);
  if (!in) throw std::runtime_error(path + ": can't open the history file for reading");
  History out;
  for (std::string line; std::getline(in, line);) {
    if (std::optional<Record> record = from_line(line)) {
      out.records.push_back(std::move(*record));
    } else {
      ++out.unparsed_lines;
    }
  }
  out.sort();
  return out;
}

void History::sort() {
  std::stable_sort(records.begin(), records.end(),
                   [](const Record& a, const Record& b) { return a.t < b.t; });
}

}  // namespace thymewood::fleet
