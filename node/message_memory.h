// Measures the heap memory that HTTP messages occupy while they are received and after that. A field of a few
// bytes occupies a list node of its own, so the memory of a head can be twenty times its size on the wire.
#pragma once

#include <boost/beast/http.hpp>
#include <cstddef>
#include <utility>

#include "message.h"

namespace thymewood::node {

// Bytes that a field occupies beyond its text: the node of the field container and the allocator's header.
constexpr std::size_t kFieldOverhead = 80;

[[nodiscard]] constexpr std::size_t field_memory(std::size_t name_size, std::size_t value_size) {
  return kFieldOverhead + name_size + value_size;
}

// Frees the heap memory of a string or a message. An assignment from an empty one would keep its buffer.
template <class Value>
void release_memory(Value& value) {
  const Value released(std::move(value));
  value = {};
}

// The bytes of a complete message.
template <bool is_request>
[[nodiscard]] std::size_t message_memory(
    const boost::beast::http::message<is_request, boost::beast::http::string_body>& message) {
  std::size_t bytes = message.body().capacity();
  for (const auto& field : message) bytes += field_memory(field.name_string().size(), field.value().size());
  return bytes;
}

// A parser that knows the memory of the message that it has received so far, at no cost for each read.
template <bool is_request>
class MeasuringParser : public boost::beast::http::parser<is_request, boost::beast::http::string_body> {
 public:
  [[nodiscard]] std::size_t message_memory() const { return fields_memory_ + this->get().body().capacity(); }

 private:
  void on_field_impl(boost::beast::http::field name, boost::beast::string_view name_text,
                     boost::beast::string_view value, boost::beast::error_code&) override {
    this->get().insert(name, name_text, value);
    fields_memory_ += field_memory(name_text.size(), value.size());
  }

  std::size_t fields_memory_ = 0;
};

}  // namespace thymewood::node
