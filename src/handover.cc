// Implements handover.h. The JSON library decides which texts it can write.
#include "figstall/handover.h"

#include <nlohmann/json.hpp>

namespace figstall {
namespace {

bool IsUtf8(const std::string& text) try {
  static_cast<void>(nlohmann::json(text).dump());
  return true;
} catch (const nlohmann::json::type_error&) {
  return false;
}

}  // namespace

const char* ToString(HandoverFault fault) {
  switch (fault) {
    case HandoverFault::kTooLong:
      return "too-long";
    case HandoverFault::kNotUtf8:
      return "not-utf-8";
  }
  return "";
}

std::variant<Handover, HandoverFault> Handover::Parse(std::string text) {
  if (text.size() > kMaxBytes)
    return HandoverFault::kTooLong;
  if (!IsUtf8(text))
    return HandoverFault::kNotUtf8;
  return Handover(std::move(text));
}

}  // namespace figstall
