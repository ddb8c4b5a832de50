// Reads fields of JSON objects, and the settings, which the bench's wire and a real node's configuration
// hold in the same form.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string_view>

#include "rapidjson/document.h"
#include "thymewood/balancer.h"

namespace thymewood::json {

using Value = rapidjson::Value;

// What is wrong with a message; the text names the field.
struct BadMessage : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// A field that is missing or null is not there.
const Value* find(const Value& object, const char* field);
const Value& need(const Value& object, const char* field);
[[noreturn]] void wrong(const char* field, const char* wanted);

double number(const Value& object, const char* field);
double number_or(const Value& object, const char* field, double otherwise);
int whole(const Value& object, const char* field);
int whole_or(const Value& object, const char* field, int otherwise);
std::size_t index_or_zero(const Value& object, const char* field);
bool flag(const Value& object, const char* field);
std::string_view text(const Value& object, const char* field);
std::uint64_t token(const Value& object, const char* field);
const Value& array(const Value& object, const char* field);

// Throws BadMessage, or std::invalid_argument for a word that is not known.
Settings read_settings(const Value& in);

}  // namespace thymewood::json
