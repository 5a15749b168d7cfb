// Base64 encoding and decoding (RFC 4648).
#ifndef FIGSTALL_BASE64_H_
#define FIGSTALL_BASE64_H_

#include <optional>
#include <string>

namespace figstall {

std::string EncodeBase64(const std::string& bytes);
// Returns nothing if `text` is not valid base64.
std::optional<std::string> DecodeBase64(const std::string& text);

}  // namespace figstall

#endif  // FIGSTALL_BASE64_H_
