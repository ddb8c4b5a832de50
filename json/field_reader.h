// Reads typed fields of JSON objects.
#pragma once

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

#include "rapidjson/document.h"

namespace thymewood::json {

using Value = rapidjson::Value;

// A message that can't be processed.
class MessageError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The text is no JSON.
class SyntaxError : public MessageError {
 public:
  SyntaxError(const std::string& problem, std::size_t offset);
  [[nodiscard]] std::size_t offset() const { return offset_; }  // bytes

 private:
  std::size_t offset_;
};

// A field is missing, or its value has the wrong type or range.
class FieldError : public MessageError {
 public:
  // `message`: the complete text.
  FieldError(std::string field, std::string reason, const std::string& message);
  [[nodiscard]] const std::string& field() const { return field_; }
  [[nodiscard]] const std::string& reason() const { return reason_; }

 private:
  std::string field_;
  std::string reason_;
};

// Throws SyntaxError where the document holds one.
void require_valid(const rapidjson::Document& document);

// Nothing where the field is absent or null. All readers throw FieldError.
[[nodiscard]] const Value* find(const Value& object, const char* field);
const Value& need(const Value& object, const char* field);
// `wanted`: what the field has to be.
[[noreturn]] void wrong(const char* field, const char* wanted);

double number(const Value& object, const char* field);
double number_or(const Value& object, const char* field, double otherwise);
int whole(const Value& object, const char* field);
int whole_or(const Value& object, const char* field, int otherwise);
std::size_t index_or_zero(const Value& object, const char* field);
bool flag(const Value& object, const char* field);  // false where it is absent
std::string_view text(const Value& object, const char* field);
std::uint64_t token(const Value& object, const char* field);
const Value& array(const Value& object, const char* field);

}  // namespace thymewood::json
