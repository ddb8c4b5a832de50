#include "validation.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <iterator>

namespace thymewood::node {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t kMaxIdLength = 128;  // bytes
constexpr double kMaxTimeout = 3600;  // s; regardless of the settings, to stay within the range of a timer

std::string_view to_string_view(boost::beast::string_view text) { return {text.data(), text.size()}; }

std::optional<std::uint64_t> parse_number(std::string_view digits) {
  constexpr std::size_t kMaxDigits = 9;
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
  const bool is_number = error == std::errc() && end == digits.data() + digits.size();
  if (!is_number || digits.size() > kMaxDigits) return std::nullopt;
  return number;
}

// Returns the value of a field that occurs exactly once.
std::optional<std::string_view> single_value(const HttpRequest& request, boost::beast::string_view name) {
  const auto [first, last] = request.equal_range(name);
  if (first == last || std::next(first) != last) return std::nullopt;
  return to_string_view(first->value());
}

Rejection bad_request(const char* text) { return {http::status::bad_request, text}; }

std::optional<Rejection> parse_request_class(const HttpRequest& request, const Catalog& catalog,
                                             Request& event) {
  const std::vector<std::string>& names = catalog.class_names;
  const std::string_view path = path_without_query(request);
  if (path.empty() || path.front() != '/') return bad_request("not a path");
  const std::string_view first_segment = path.substr(1, path.find('/', 1) - 1);
  const auto path_class = std::find(names.begin(), names.end(), first_segment);
  if (request.count("X-Priority-Class") == 0) {
    if (path_class == names.end()) return Rejection{http::status::not_found, "no such path"};
    return bad_request("X-Priority-Class is missing");
  }
  const auto field_class = single_value(request, "X-Priority-Class");
  if (!field_class || std::find(names.begin(), names.end(), *field_class) == names.end()) {
    return bad_request("X-Priority-Class is unknown");
  }
  if (first_segment != *field_class) return bad_request("X-Priority-Class is not that of the path");
  event.request_class = static_cast<std::size_t>(path_class - names.begin());
  return std::nullopt;
}

std::optional<Rejection> parse_request_id(const HttpRequest& request, Request& event) {
  const auto id = single_value(request, "X-Request-ID");
  if (!id || id->empty() || id->size() > kMaxIdLength) {
    return bad_request("X-Request-ID is missing or unfit");
  }
  event.id = *id;
  return std::nullopt;
}

// Limited to the client timeout of the class: a longer timeout would occupy resources for that time. 0 is
// valid; such a request is shed at once.
std::optional<Rejection> parse_timeout(const HttpRequest& request, const RequestClass& request_class,
                                       Request& event) {
  event.time_left = std::min(request_class.client_timeout, kMaxTimeout);
  if (request.count("X-Timeout-Ms") == 0) return std::nullopt;
  const auto text = single_value(request, "X-Timeout-Ms");
  const auto milliseconds = text ? parse_number(*text) : std::nullopt;
  if (!milliseconds) return bad_request("X-Timeout-Ms is not a number of milliseconds");
  constexpr double kMillisecondsPerSecond = 1000;
  event.time_left = std::min(static_cast<double>(*milliseconds) / kMillisecondsPerSecond, event.time_left);
  return std::nullopt;
}

std::optional<Rejection> check_idempotency(const HttpRequest& request, Idempotency idempotency) {
  if (idempotency == Idempotency::kIdempotent) {
    if (request.method() != http::verb::get || !request.body().empty()) {
      return bad_request("GET without a body only");
    }
  } else if (request.method() != http::verb::post) {
    return bad_request("POST only");
  }
  const auto key = single_value(request, "Idempotency-Key");
  const bool has_key = request.count("Idempotency-Key") > 0;
  const bool needs_key = idempotency == Idempotency::kIdempotentWithKey;
  if (needs_key ? !key || key->empty() : has_key) {
    return bad_request("Idempotency-Key does not fit the class");
  }
  return std::nullopt;
}

// Reads optional fields; invalid ones are ignored.
void parse_optional_fields(const HttpRequest& request, const Catalog& catalog, Request& event) {
  const std::vector<std::string>& tenants = catalog.tenant_names;
  const auto tenant = std::find(tenants.begin(), tenants.end(), to_string_view(request["X-Tenant-Id"]));
  event.tenant = static_cast<std::size_t>(tenant - tenants.begin());  // past the end: an unknown tenant
  event.is_client_retry = request["X-Retried"] == "1";
  constexpr double kSecondsPerMicrosecond = 1e-6;
  if (const auto cost = parse_number(to_string_view(request["X-Cost"]))) {
    event.work = static_cast<double>(*cost) * kSecondsPerMicrosecond;
  }
}

}  // namespace

std::string_view path_without_query(const HttpRequest& request) {
  return to_string_view(request.target()).substr(0, request.target().find('?'));
}

bool is_length_ambiguous(const HttpRequest& request) {
  const auto [first, last] = request.equal_range(http::field::transfer_encoding);
  if (first == last) {
    // Repeated Content-Length fields are invalid even if their values are equal.
    const std::string_view length = to_string_view(request[http::field::content_length]);
    return request.count(http::field::content_length) > 1 ||
           length.find_first_not_of("0123456789") != std::string_view::npos;
  }
  return std::next(first) != last || request.count(http::field::content_length) > 0 ||
         !boost::beast::iequals(first->value(), "chunked") || request.version() < 11;
}

std::optional<Rejection> parse_request_event(const HttpRequest& request, const Catalog& catalog,
                                             Request& event) {
  if (auto rejection = parse_request_class(request, catalog, event)) return rejection;
  if (auto rejection = parse_request_id(request, event)) return rejection;
  const RequestClass& request_class = catalog.classes[event.request_class];
  if (auto rejection = parse_timeout(request, request_class, event)) return rejection;
  if (auto rejection = check_idempotency(request, request_class.idempotency)) return rejection;
  parse_optional_fields(request, catalog, event);
  return std::nullopt;
}

}  // namespace thymewood::node
