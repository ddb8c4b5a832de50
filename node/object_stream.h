// Takes a stream of JSON objects apart, whatever white space stands between them or within (RFC 8259, 2): one
// a line, several on one, or each indented over many lines. It finds where an object ends and checks no more.
//
// Pure: bytes in, whole objects out.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace thymewood::node {

class ObjectStream {
 public:
  explicit ObjectStream(std::size_t longest) : longest_(longest) {}

  // Calls `take` with each object that is whole by now, in order; it says whether to go on. The text is valid
  // for that call alone. False: what came is no object, or one is longer than `longest` bytes; or `take` has
  // said no. Nothing may be fed after that.
  template <typename Take>
  bool feed(std::string_view bytes, const Take& take) {
    for (const char c : bytes) {
      if (depth_ == 0) {
        if (c == ' ' || c == '\t' || c == '\r' || c == '\n') continue;
        if (c != '{') return false;
      }
      const bool begins = c == '{' || c == '[' || c == '"';
      if (begins && !in_text_ && depth_ > 0 && std::string_view(":,[{").find(last_) == std::string_view::npos)
        return false;
      object_ += c;
      if (object_.size() > longest_) return false;
      if (!in_text_ && c != ' ' && c != '\t' && c != '\r' && c != '\n') last_ = c;
      if (in_text_) {
        if (escaped_) {
          escaped_ = false;
        } else if (c == '\\') {
          escaped_ = true;
        } else if (c == '"') {
          in_text_ = false;
          last_ = c;
        }
      } else if (c == '"') {
        in_text_ = true;
      } else if (c == '{' || c == '[') {
        ++depth_;
      } else if ((c == '}' || c == ']') && --depth_ == 0) {
        const std::string whole = std::exchange(object_, {});
        if (!take(std::string_view(whole))) return false;
      }
    }
    return true;
  }

  // An object has begun and not ended.
  bool pending() const { return depth_ > 0; }

 private:
  std::size_t longest_;
  std::string object_;  // what has come of the next one
  std::size_t depth_ = 0;
  char last_ = 0;  // outside of texts, other than white space
  bool in_text_ = false, escaped_ = false;
};

}  // namespace thymewood::node
