#include "event_reader.h"

#include <string>
#include <utility>

namespace thymewood::adapter {
namespace {

using json::Value;

Outcome read_outcome(std::string_view name) {
  if (name == "delivered") return Outcome::kSuccess;
  if (name == "app_error") return Outcome::kError;
  if (name == "shed") return Outcome::kRejected;
  if (name == "expired") return Outcome::kTimedOut;
  if (name == "dial_failed") return Outcome::kConnectFailed;
  if (name == "dropped") return Outcome::kReset;
  if (name == "revoked") return Outcome::kCancelled;
  if (name == "unused") return Outcome::kNotSent;
  return Outcome::kUnknown;
}

EndpointState read_endpoint_state(const Value& in) {
  const std::string_view mode = json::string(in, "mode");
  if (mode == "Ready") return EndpointState::kReady;
  if (mode == "Terminating") return EndpointState::kDraining;
  if (mode == "Gone") return EndpointState::kRemoved;
  json::throw_invalid_field("mode", "Ready, Terminating or Gone");
}

Endpoint read_endpoint(const Value& in) {
  Endpoint out;
  out.address = json::string(in, "server");
  out.zone = json::integer_or(in, "rackZone", 0);
  out.cell = json::integer_or(in, "pack", 0);
  out.weight = json::number_or(in, "units", 1);
  out.started_at = json::number_or(in, "since", 0);
  out.state = read_endpoint_state(in);
  return out;
}

Request read_request(const Value& in) {
  // Bit flags of the field `opts`.
  constexpr int kHasWork = 1;
  constexpr int kIsClientRetry = 2;
  Request out;
  out.id = json::string(in, "txn");
  out.tenant = json::index_or_zero(in, "account");
  out.request_class = json::index_or_zero(in, "profile");
  out.time_left = json::number(in, "timeLeft");
  const int options = json::integer_or(in, "opts", 0);
  if ((options & kHasWork) != 0 && json::find_field(in, "cost") != nullptr)
    out.work = json::number(in, "cost");
  out.is_client_retry = (options & kIsClientRetry) != 0;
  return out;
}

AttemptResult read_attempt_result(const Value& in) {
  return {std::string(json::string(in, "txn")), json::integer_or(in, "try", 0),
          read_outcome(json::string(in, "outcome")), json::number_or(in, "lag", 0),
          json::boolean_or_false(in, "doneFlag")};
}

ResponseStarted read_response_started(const Value& in) {
  return {std::string(json::string(in, "txn")), json::integer_or(in, "try", 0),
          json::number_or(in, "lag", 0)};
}

}  // namespace

void EventReader::read_endpoint_list(const Value& event_json) {
  std::vector<Endpoint> endpoints;
  for (const Value& entry : json::array(event_json, "nodesList").GetArray())
    endpoints.push_back(read_endpoint(entry));
  endpoint_lists_[json::integer(event_json, "sheet")] = std::move(endpoints);
}

std::optional<Event> EventReader::read_event(std::string_view kind, const Value& event_json) const {
  if (kind == "QUERY") return read_request(event_json);
  if (kind == "DONE") return read_attempt_result(event_json);
  if (kind == "FIRED") return TimerFired{json::unsigned_integer(event_json, "keyBack")};
  if (kind == "GONE") return RequestAbandoned{std::string(json::string(event_json, "txn"))};
  if (kind == "DIRECTORY_UPDATE") return read_endpoint_update(event_json);
  if (kind == "ACK_FIRST") return read_response_started(event_json);
  return std::nullopt;
}

EndpointUpdate EventReader::read_endpoint_update(const Value& event_json) const {
  const std::string_view form = json::string(event_json, "form");
  EndpointUpdate out;
  if (form == "X") {
    out.form = EndpointUpdate::Form::kFailed;
    return out;
  }
  if (form == "D") {
    out.form = EndpointUpdate::Form::kDelta;
  } else if (form != "F" && form != "C") {
    json::throw_invalid_field("form", "D, F, C or X");
  }
  const auto list = endpoint_lists_.find(json::integer(event_json, "sheet"));
  if (list == endpoint_lists_.end())
    json::throw_invalid_field("sheet", "the number of a known endpoint list");
  out.endpoints = list->second;
  return out;
}

}  // namespace thymewood::adapter
