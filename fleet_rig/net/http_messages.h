// The HTTP messages that the fake clients and servers of the rigs exchange with a node, as PROTOCOL
// specifies.
#pragma once

#include <boost/beast/http.hpp>
#include <string>

namespace thymewood::fleet {

// The headers of one attempt of a client.
struct RequestHead {
  std::string host, class_name, operation_id;  // `operation_id`: the last path segment
  std::string id;                              // of this attempt
  std::string tenant, idempotency_key;         // if empty, the header is omitted
  long timeout_ms = 0;
  bool has_body = true;  // false: a GET
};

// Serializes the request; a request with a body has one of four bytes.
inline std::string serialize_http_request(const RequestHead& head) {
  std::string text = (head.has_body ? "POST /" : "GET /") + head.class_name + "/" + head.operation_id +
                     " HTTP/1.1\r\nHost: " + head.host + "\r\nX-Request-ID: " + head.id +
                     "\r\nX-Priority-Class: " + head.class_name +
                     "\r\nX-Timeout-Ms: " + std::to_string(head.timeout_ms) + "\r\n";
  if (!head.tenant.empty()) text += "X-Tenant-Id: " + head.tenant + "\r\n";
  if (!head.idempotency_key.empty()) text += "Idempotency-Key: " + head.idempotency_key + "\r\n";
  return text + (head.has_body ? "Content-Length: 4\r\n\r\nbody" : "\r\n");
}

// A server's response with the request ID as its body. A 503 is marked as not processed.
inline boost::beast::http::response<boost::beast::http::string_body> server_response(
    boost::beast::http::status status, const std::string& id) {
  constexpr unsigned kHttp11 = 11;
  boost::beast::http::response<boost::beast::http::string_body> response(status, kHttp11);
  if (status == boost::beast::http::status::service_unavailable) response.set("X-Not-Processed", "1");
  response.body() = id;
  response.prepare_payload();
  return response;
}

}  // namespace thymewood::fleet
