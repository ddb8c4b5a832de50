#include "field_reader.h"

#include <utility>

#include "rapidjson/error/en.h"

namespace thymewood::json {

SyntaxError::SyntaxError(const std::string& error, std::size_t offset)
    : MessageError("not valid JSON: " + error + " at byte " + std::to_string(offset)), offset_(offset) {}

FieldError::FieldError(std::string field, std::string reason, const std::string& message)
    : MessageError(message), field_(std::move(field)), reason_(std::move(reason)) {}

void require_valid(const rapidjson::Document& document) {
  if (document.HasParseError())
    throw SyntaxError(rapidjson::GetParseError_En(document.GetParseError()), document.GetErrorOffset());
}

const Value* find_field(const Value& object, const char* field) {
  if (!object.IsObject())
    throw FieldError(field, "not an object",
                     std::string("not an object: expected one with field '") + field + "'");
  const auto it = object.FindMember(field);
  return it == object.MemberEnd() || it->value.IsNull() ? nullptr : &it->value;
}

const Value& required_field(const Value& object, const char* field) {
  const Value* value = find_field(object, field);
  if (value == nullptr) throw FieldError(field, "missing", std::string("field '") + field + "' is missing");
  return *value;
}

void throw_invalid_field(const char* field, const char* expected) {
  const std::string reason = std::string("is not ") + expected;
  throw FieldError(field, reason, std::string("field '") + field + "' " + reason);
}

double number(const Value& object, const char* field) {
  const Value& value = required_field(object, field);
  if (!value.IsNumber()) throw_invalid_field(field, "a number");
  return value.GetDouble();
}

double number_or(const Value& object, const char* field, double default_value) {
  return find_field(object, field) == nullptr ? default_value : number(object, field);
}

int integer(const Value& object, const char* field) {
  const Value& value = required_field(object, field);
  if (value.IsInt()) return value.GetInt();
  throw_invalid_field(field, "an integer in range");
}

int integer_or(const Value& object, const char* field, int default_value) {
  return find_field(object, field) == nullptr ? default_value : integer(object, field);
}

std::size_t index_or_zero(const Value& object, const char* field) {
  const int value = integer_or(object, field, 0);
  if (value < 0) throw_invalid_field(field, "a non-negative integer");
  return static_cast<std::size_t>(value);
}

bool boolean_or_false(const Value& object, const char* field) {
  const Value* value = find_field(object, field);
  if (value == nullptr) return false;
  if (!value->IsBool()) throw_invalid_field(field, "true or false");
  return value->GetBool();
}

std::string_view string(const Value& object, const char* field) {
  const Value& value = required_field(object, field);
  if (!value.IsString()) throw_invalid_field(field, "a string");
  return {value.GetString(), value.GetStringLength()};
}

std::uint64_t unsigned_integer(const Value& object, const char* field) {
  const Value& value = required_field(object, field);
  if (!value.IsUint64()) throw_invalid_field(field, "an unsigned 64-bit integer");
  return value.GetUint64();
}

const Value& array(const Value& object, const char* field) {
  const Value& value = required_field(object, field);
  if (!value.IsArray()) throw_invalid_field(field, "an array");
  return value;
}

}  // namespace thymewood::json
