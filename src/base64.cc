// Calls orcania's C functions with buffers of sufficient size.
#include "figstall/base64.h"

#include <orcania.h>

namespace figstall {
namespace {

const unsigned char* Bytes(const std::string& text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

unsigned char* Bytes(std::string& text) {
  return reinterpret_cast<unsigned char*>(text.data());
}

}  // namespace

std::string EncodeBase64(const std::string& bytes) {
  if (bytes.empty())
    return "";
  std::string text(4 * (bytes.size() / 3 + 1) + 1, '\0');
  std::size_t length = 0;
  o_base64_encode(Bytes(bytes), bytes.size(), Bytes(text), &length);
  text.resize(length);
  return text;
}

std::optional<std::string> DecodeBase64(const std::string& text) {
  if (text.empty())
    return "";
  std::string bytes(text.size(), '\0');
  std::size_t length = 0;
  if (!o_base64_decode(Bytes(text), text.size(), Bytes(bytes), &length))
    return std::nullopt;
  bytes.resize(length);
  return bytes;
}

}  // namespace figstall
