#include "validation.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <iterator>

namespace thymewood::node {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t kLongestId = 128;
constexpr double kLongestWait = 3600;  // s; whatever the settings say, and within what a timer can hold

std::string_view view(boost::beast::string_view text) { return {text.data(), text.size()}; }

std::optional<std::uint64_t> whole(std::string_view digits) {
  constexpr std::size_t kMostDigits = 9;
  std::uint64_t out = 0;
  const auto [end, problem] = std::from_chars(digits.data(), digits.data() + digits.size(), out);
  if (problem != std::errc() || end != digits.data() + digits.size() || digits.size() > kMostDigits) {
    return std::nullopt;
  }
  return out;
}

// A field that stands there just once.
std::optional<std::string_view> only(const HttpRequest& request, boost::beast::string_view name) {
  const auto [first, last] = request.equal_range(name);
  if (first == last || std::next(first) != last) return std::nullopt;
  return view(first->value());
}

}  // namespace

std::string_view path_of(const HttpRequest& request) {
  return view(request.target()).substr(0, request.target().find('?'));
}

bool is_length_ambiguous(const HttpRequest& request) {
  const auto [first, last] = request.equal_range(http::field::transfer_encoding);
  if (first == last) {
    // A list of lengths is one too many, though they may be alike.
    const std::string_view length = view(request[http::field::content_length]);
    return request.count(http::field::content_length) > 1 ||
           length.find_first_not_of("0123456789") != std::string_view::npos;
  }
  return std::next(first) != last || request.count(http::field::content_length) > 0 ||
         !boost::beast::iequals(first->value(), "chunked") || request.version() < 11;
}

std::optional<Rejected> read_request(const HttpRequest& request, const Catalog& catalog, Request& event) {
  const auto bad = [](const char* text) { return Rejected{http::status::bad_request, text}; };
  const std::vector<std::string>& names = catalog.class_names;
  const std::string_view path = path_of(request);
  if (path.empty() || path.front() != '/') return bad("not a path");
  const std::string_view first = path.substr(1, path.find('/', 1) - 1);
  const auto named = std::find(names.begin(), names.end(), first);
  if (request.count("X-Priority-Class") == 0) {
    if (named == names.end()) return Rejected{http::status::not_found, "no such path"};
    return bad("X-Priority-Class is missing");
  }
  const auto told = only(request, "X-Priority-Class");
  if (!told || std::find(names.begin(), names.end(), *told) == names.end()) {
    return bad("X-Priority-Class is unknown");
  }
  if (first != *told) return bad("X-Priority-Class is not that of the path");
  event.request_class = static_cast<std::size_t>(named - names.begin());

  const auto id = only(request, "X-Request-ID");
  if (!id || id->empty() || id->size() > kLongestId) return bad("X-Request-ID is missing or unfit");
  event.id = *id;

  const RequestClass& c = catalog.classes[event.request_class];
  event.time_left = std::min(c.client_timeout, kLongestWait);
  if (request.count("X-Timeout-Ms") > 0) {
    const auto text = only(request, "X-Timeout-Ms");
    const auto ms = text ? whole(*text) : std::nullopt;
    // None left is a number too: such a caller gave his last millisecond to the way. He is refused at once.
    if (!ms) return bad("X-Timeout-Ms is not a number of milliseconds");
    // Danger: whoever asks for days would hold a place for as long.
    event.time_left = std::min(static_cast<double>(*ms) / 1000, event.time_left);
  }

  const auto key = only(request, "Idempotency-Key");
  const bool has_key = request.count("Idempotency-Key") > 0;
  if (c.idempotency == Idempotency::kIdempotent) {
    if (request.method() != http::verb::get || !request.body().empty()) return bad("GET without a body only");
  } else if (request.method() != http::verb::post) {
    return bad("POST only");
  }
  if (c.idempotency == Idempotency::kIdempotentWithKey ? !key || key->empty() : has_key) {
    return bad("Idempotency-Key does not fit the class");
  }

  const std::vector<std::string>& tenants = catalog.tenant_names;
  const auto tenant = std::find(tenants.begin(), tenants.end(), view(request["X-Tenant-Id"]));
  event.tenant = static_cast<std::size_t>(tenant - tenants.begin());  // past the end: untold traffic
  event.is_client_retry = request["X-Retried"] == "1";
  constexpr double kMicroseconds = 1e-6;
  if (const auto cost = whole(view(request["X-Cost"]))) {
    event.work = static_cast<double>(*cost) * kMicroseconds;
  }
  return std::nullopt;
}

}  // namespace thymewood::node
