// Splits a byte stream into JSON objects, allowing any white space between and within them (RFC 8259, section
// 2). Only finds the end of each object; does not otherwise validate it.
//
// Performs no I/O.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace thymewood::node {

class ObjectStream {
 public:
  explicit ObjectStream(std::size_t max_object_bytes) : max_object_bytes_(max_object_bytes) {}

  // Calls `on_object` with each completed object, in order. `on_object` returns whether to continue; its
  // argument is valid only during the call. Returns false if the bytes are not an object, an object is too
  // long, or `on_object` returned false; feed() must not be called again after that.
  template <typename OnObject>
  [[nodiscard]] bool feed(std::string_view bytes, const OnObject& on_object) {
    for (const char c : bytes) {
      if (depth_ == 0 && is_space(c)) continue;
      if (!append(c)) return false;
      if (depth_ > 0) continue;
      const std::string object = std::exchange(object_, {});
      if (!on_object(std::string_view(object))) return false;
    }
    return true;
  }

  // Whether an object has started but is not complete.
  bool has_incomplete_object() const { return depth_ > 0; }

 private:
  static bool is_space(char c) { return c == ' ' || c == '\t' || c == '\r' || c == '\n'; }
  static bool starts_value(char c) { return c == '{' || c == '[' || c == '"'; }
  static bool may_precede_value(char c) { return c == ':' || c == ',' || c == '[' || c == '{'; }

  // Returns false if the byte cannot continue the object.
  bool append(char c) {
    if (depth_ == 0 && c != '{') return false;
    if (depth_ > 0 && !in_string_ && starts_value(c) && !may_precede_value(previous_)) return false;
    object_ += c;
    if (object_.size() > max_object_bytes_) return false;
    if (in_string_) {
      append_to_string(c);
      return true;
    }
    if (!is_space(c)) previous_ = c;
    if (c == '"') in_string_ = true;
    if (c == '{' || c == '[') ++depth_;
    if (c == '}' || c == ']') --depth_;
    return true;
  }

  void append_to_string(char c) {
    if (is_escaped_) {
      is_escaped_ = false;
    } else if (c == '\\') {
      is_escaped_ = true;
    } else if (c == '"') {
      in_string_ = false;
      previous_ = c;
    }
  }

  std::size_t max_object_bytes_;
  std::string object_;  // the received part of the current object
  std::size_t depth_ = 0;
  char previous_ = 0;  // last character outside strings that is not white space
  bool in_string_ = false, is_escaped_ = false;
};

}  // namespace thymewood::node
