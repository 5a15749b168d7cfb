// What the previous owner of a key range passes on to the next one.
#ifndef FIGSTALL_HANDOVER_H_
#define FIGSTALL_HANDOVER_H_

#include <string>
#include <utility>
#include <variant>

namespace figstall {

// Why a handover cannot be kept.
enum class HandoverFault { kTooLong, kNotUtf8 };

const char* ToString(HandoverFault fault);

// A text that a table of key ranges and a grant can hold, both of which are
// JSON. Targets choose it freely, so only Parse makes one.
class Handover {
 public:
  // A table has up to some thousand handovers and must fit into one value of
  // the store.
  static constexpr std::size_t kMaxBytes = 256;

  // No handover.
  Handover() = default;
  // An empty text is no handover.
  static std::variant<Handover, HandoverFault> Parse(std::string text);

  const std::string& text() const { return text_; }
  bool empty() const { return text_.empty(); }

  friend auto operator<=>(const Handover&, const Handover&) = default;

 private:
  explicit Handover(std::string text) : text_(std::move(text)) {}

  std::string text_;
};

}  // namespace figstall

#endif  // FIGSTALL_HANDOVER_H_
