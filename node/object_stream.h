// Splits a stream of bytes into JSON objects, whatever white space stands between them or within (RFC 8259,
// section 2). Finds where an object ends and validates no more than that.
//
// Pure: bytes in, complete objects out.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace thymewood::node {

class ObjectStream {
 public:
  explicit ObjectStream(std::size_t max_object_bytes) : max_object_bytes_(max_object_bytes) {}

  // Calls `on_object` with each object that is complete by now, in order; it returns whether to go on. The
  // text is valid during that call only. False: the bytes are no object, one is too long, or `on_object` has
  // returned false. Nothing may be fed after that.
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

  // Whether an object has begun and not ended.
  bool pending() const { return depth_ > 0; }

 private:
  static bool is_space(char c) { return c == ' ' || c == '\t' || c == '\r' || c == '\n'; }
  static bool starts_value(char c) { return c == '{' || c == '[' || c == '"'; }
  static bool may_precede_value(char c) { return c == ':' || c == ',' || c == '[' || c == '{'; }

  // False: the byte cannot be the next one of an object.
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
  std::string object_;  // the part of the next object that has come
  std::size_t depth_ = 0;
  char previous_ = 0;  // outside of strings, other than white space
  bool in_string_ = false, is_escaped_ = false;
};

}  // namespace thymewood::node
