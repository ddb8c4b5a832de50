// Reads Settings from JSON. The simulator's protocol and the node's configuration file share this format;
// only this file maps its keys to fields of Settings.
#pragma once

#include <stdexcept>
#include <string>

#include "field_reader.h"
#include "thymewood/settings.h"

namespace thymewood::json {

// The value of a key is none of the strings that are defined for it.
class UnknownEnumValue : public std::invalid_argument {
 public:
  UnknownEnumValue(const std::string& key, const std::string& value);
  [[nodiscard]] const std::string& key() const { return key_; }
  [[nodiscard]] const std::string& value() const { return value_; }

 private:
  std::string key_;
  std::string value_;
};

// Throws FieldError or UnknownEnumValue. Does not check ranges; validate_settings() does.
[[nodiscard]] Settings read_settings(const Value& in);

// Like thymewood::validate(), but the InvalidSettings that it throws names the JSON key, not the field of
// Settings.
void validate_settings(const Settings& settings);

}  // namespace thymewood::json
