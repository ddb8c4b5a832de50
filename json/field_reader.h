// Typed access to the fields of JSON objects.
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

// The text is not valid JSON.
class SyntaxError : public MessageError {
 public:
  SyntaxError(const std::string& error, std::size_t offset);
  [[nodiscard]] std::size_t offset() const { return offset_; }  // of the error, in bytes

 private:
  std::size_t offset_;
};

// A field is missing, or its value has the wrong type or is out of range.
class FieldError : public MessageError {
 public:
  // `message`: the complete text that what() returns.
  FieldError(std::string field, std::string reason, const std::string& message);
  [[nodiscard]] const std::string& field() const { return field_; }
  [[nodiscard]] const std::string& reason() const { return reason_; }

 private:
  std::string field_;
  std::string reason_;
};

// Throws SyntaxError if parsing the document failed.
void require_valid(const rapidjson::Document& document);

// Returns nullptr if the field is absent or null. This and all readers below throw FieldError.
[[nodiscard]] const Value* find_field(const Value& object, const char* field);
const Value& required_field(const Value& object, const char* field);
// Throws FieldError. `expected`: what the value must be.
[[noreturn]] void throw_invalid_field(const char* field, const char* expected);

double number(const Value& object, const char* field);
double number_or(const Value& object, const char* field, double default_value);
int integer(const Value& object, const char* field);
int integer_or(const Value& object, const char* field, int default_value);
std::size_t index_or_zero(const Value& object, const char* field);
bool boolean_or_false(const Value& object, const char* field);  // false if the field is absent
std::string_view string(const Value& object, const char* field);
std::uint64_t unsigned_integer(const Value& object, const char* field);
const Value& array(const Value& object, const char* field);

}  // namespace thymewood::json
