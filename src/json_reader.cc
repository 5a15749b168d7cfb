// A scanner for JSON. It refuses escapes of characters beyond ASCII, bytes
// beyond ASCII, and numbers that are out of a double's range.
#include "figstall/json_reader.h"

#include <charconv>

#include "figstall/json_bounds.h"

namespace figstall {
namespace {

// Whole numbers of so many digits fit into 64 bits with a sign. The schema
// check takes unsigned ones that don't for negative ones.
constexpr std::size_t kMaxWholeDigits = 18;

bool IsDigit(char c) {
  return c >= '0' && c <= '9';
}

// Length of the digits at the start of `text`.
std::size_t CountDigits(std::string_view text) {
  std::size_t count = 0;
  while (count < text.size() && IsDigit(text[count]))
    ++count;
  return count;
}

// Bytes of a string that stand for themselves.
bool IsPlain(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return byte >= 0x20 && byte < 0x80 && c != '"' && c != '\\';
}

}  // namespace

bool JsonReader::Refuse() {
  failed_ = true;
  rest_ = {};
  return false;
}

void JsonReader::SkipSpace() {
  const auto is_space = [](char c) {
    return c == ' ' || c == '\t' || c == '\n' || c == '\r';
  };
  std::size_t size = 0;
  while (size < rest_.size() && is_space(rest_[size]))
    ++size;
  rest_.remove_prefix(size);
}

bool JsonReader::Consume(char expected) {
  SkipSpace();
  if (rest_.empty() || rest_.front() != expected)
    return Refuse();
  rest_.remove_prefix(1);
  return true;
}

bool JsonReader::ConsumeWord(std::string_view word) {
  if (!rest_.starts_with(word))
    return Refuse();
  rest_.remove_prefix(word.size());
  return true;
}

bool JsonReader::Enter(char bracket) {
  if (depth_ == JsonBounds().max_nesting || !Consume(bracket))
    return Refuse();
  ++depth_;
  first_ = true;
  return true;
}

bool JsonReader::Leave(char bracket) {
  if (failed_)
    return true;
  SkipSpace();
  if (rest_.empty() || rest_.front() != bracket)
    return false;
  rest_.remove_prefix(1);
  --depth_;
  first_ = false;
  return true;
}

bool JsonReader::ReadSeparator() {
  if (first_) {
    first_ = false;
    return true;
  }
  return Consume(',');
}

bool JsonReader::ReadString(std::string& value) {
  if (!Consume('"'))
    return false;
  value.clear();
  for (;;) {
    std::size_t plain = 0;
    while (plain < rest_.size() && IsPlain(rest_[plain]))
      ++plain;
    value += rest_.substr(0, plain);
    rest_.remove_prefix(plain);
    if (rest_.empty())
      return Refuse();
    const char next = rest_.front();
    rest_.remove_prefix(1);
    if (next == '"')
      return true;
    if (next != '\\' || !ReadEscape(value))
      return Refuse();
  }
}

bool JsonReader::ReadEscape(std::string& value) {
  constexpr std::string_view kNames = "\"\\/bfnrt";
  constexpr std::string_view kValues = "\"\\/\b\f\n\r\t";
  if (rest_.empty())
    return false;
  const std::size_t index = kNames.find(rest_.front());
  if (index != std::string_view::npos) {
    value += kValues[index];
    rest_.remove_prefix(1);
    return true;
  }
  constexpr std::size_t kEscapeSize = 5;
  constexpr unsigned kAsciiEnd = 0x80;
  if (rest_.front() != 'u' || rest_.size() < kEscapeSize)
    return false;
  unsigned code = 0;
  const char* const end = rest_.data() + kEscapeSize;
  const auto [parsed_end, error] =
      std::from_chars(rest_.data() + 1, end, code, 16);
  if (error != std::errc() || parsed_end != end || code >= kAsciiEnd)
    return false;
  value += static_cast<char>(code);
  rest_.remove_prefix(kEscapeSize);
  return true;
}

bool JsonReader::ReadBool(bool& value) {
  SkipSpace();
  value = rest_.starts_with('t');
  return ConsumeWord(value ? "true" : "false");
}

std::string_view JsonReader::ReadNumberText() {
  SkipSpace();
  std::size_t size = rest_.starts_with('-') ? 1 : 0;
  const std::size_t whole = CountDigits(rest_.substr(size));
  if (whole == 0 || (whole > 1 && rest_[size] == '0'))
    return {};
  size += whole;
  if (size < rest_.size() && rest_[size] == '.') {
    const std::size_t digits = CountDigits(rest_.substr(size + 1));
    if (digits == 0)
      return {};
    size += 1 + digits;
  }
  if (size < rest_.size() && (rest_[size] == 'e' || rest_[size] == 'E')) {
    ++size;
    if (size < rest_.size() && (rest_[size] == '+' || rest_[size] == '-'))
      ++size;
    const std::size_t digits = CountDigits(rest_.substr(size));
    if (digits == 0)
      return {};
    size += digits;
  }
  const std::string_view text = rest_.substr(0, size);
  rest_.remove_prefix(size);
  return text;
}

bool JsonReader::ReadNumber(double& value) {
  const std::string_view text = ReadNumberText();
  if (text.size() > kMaxWholeDigits && CountDigits(text) == text.size())
    return Refuse();
  const char* const end = text.data() + text.size();
  const auto [parsed_end, error] = std::from_chars(text.data(), end, value);
  return (!text.empty() && error == std::errc() && parsed_end == end) ||
         Refuse();
}

bool JsonReader::ReadUnsigned(std::uint64_t& value) {
  const std::string_view text = ReadNumberText();
  if (text.size() > kMaxWholeDigits)
    return Refuse();
  const char* const end = text.data() + text.size();
  const auto [parsed_end, error] = std::from_chars(text.data(), end, value);
  return (!text.empty() && error == std::errc() && parsed_end == end) ||
         Refuse();
}

bool JsonReader::SkipValue() {
  SkipSpace();
  std::string text;
  double number = 0;
  switch (rest_.empty() ? '\0' : rest_.front()) {
    case '{':
      return ReadObject([this](const std::string&) { return SkipValue(); });
    case '[':
      return ReadArray([this] { return SkipValue(); });
    case '"':
      return ReadString(text);
    case 't':
      return ConsumeWord("true");
    case 'f':
      return ConsumeWord("false");
    case 'n':
      return ConsumeWord("null");
    default:
      return ReadNumber(number);
  }
}

bool JsonReader::ended() {
  SkipSpace();
  return !failed_ && rest_.empty() && depth_ == 0;
}

}  // namespace figstall
