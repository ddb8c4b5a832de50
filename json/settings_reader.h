// Maps the settings' keys on the wire, which the simulator's protocol and a node's configuration share, to
// Settings. The keys' names appear here and nowhere else.
#pragma once

#include <stdexcept>
#include <string>

#include "field_reader.h"
#include "thymewood/settings.h"

namespace thymewood::json {

// A key has a word that is not in its list.
class UnknownWord : public std::invalid_argument {
 public:
  UnknownWord(const std::string& key, const std::string& word);
  [[nodiscard]] const std::string& key() const { return key_; }
  [[nodiscard]] const std::string& word() const { return word_; }

 private:
  std::string key_;
  std::string word_;
};

// Throws FieldError or UnknownWord. Ranges are checked by validate_settings().
[[nodiscard]] Settings read_settings(const Value& in);

// Like thymewood::validate(), but InvalidSettings names the key as it is written on the wire.
void validate_settings(const Settings& settings);

}  // namespace thymewood::json
