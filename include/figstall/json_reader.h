// Reads JSON text from front to back without building a tree of it. The caller
// names what it expects next. Reads only what is plain: callers parse a text
// that it refuses with ParseJson(), which may accept it.
#ifndef FIGSTALL_JSON_READER_H_
#define FIGSTALL_JSON_READER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace figstall {

// After a call that returned nullopt or false, the text is refused and the
// position is unspecified; ended() returns false. What is accepted is JSON by
// RFC 8259 as ParseJson() takes it.
class JsonReader {
 public:
  explicit JsonReader(std::string_view text) : rest_(text) {}

  // Calls on_member(key) for each member, which reads the value, and returns
  // false to refuse the text. Keys may repeat.
  template <typename OnMember>
  [[nodiscard]] bool ReadObject(const OnMember& on_member) {
    if (!Enter('{'))
      return false;
    while (!Leave('}')) {
      std::string key;
      if (!ReadSeparator() || !ReadString(key) || !Consume(':') ||
          !on_member(key))
        return false;
    }
    return !failed_;
  }
  // Calls on_element() for each element, which reads it, and returns false to
  // refuse the text.
  template <typename OnElement>
  [[nodiscard]] bool ReadArray(const OnElement& on_element) {
    if (!Enter('['))
      return false;
    while (!Leave(']')) {
      if (!ReadSeparator() || !on_element())
        return false;
    }
    return !failed_;
  }

  [[nodiscard]] bool ReadString(std::string& value);
  [[nodiscard]] bool ReadBool(bool& value);
  // Any number that a double holds.
  [[nodiscard]] bool ReadNumber(double& value);
  // A number of digits alone.
  [[nodiscard]] bool ReadUnsigned(std::uint64_t& value);
  // Reads a value of any type.
  [[nodiscard]] bool SkipValue();
  // Whether the whole text was read.
  [[nodiscard]] bool ended();

 private:
  void SkipSpace();
  // Reads the character after any white space.
  bool Consume(char expected);
  bool ConsumeWord(std::string_view word);
  bool Enter(char bracket);
  bool Leave(char bracket);
  bool ReadSeparator();
  bool Refuse();
  // Returns the text of a number, empty if there is none.
  std::string_view ReadNumberText();
  bool ReadEscape(std::string& value);

  std::string_view rest_;
  std::size_t depth_ = 0;
  // Whether the object or array that was entered last has no value yet.
  bool first_ = false;
  bool failed_ = false;
};

}  // namespace figstall

#endif  // FIGSTALL_JSON_READER_H_
