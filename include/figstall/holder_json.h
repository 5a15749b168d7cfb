// The JSON form of orders to targets and of the statuses that targets return.
#ifndef FIGSTALL_HOLDER_JSON_H_
#define FIGSTALL_HOLDER_JSON_H_

#include <string>

#include "figstall/error.h"
#include "figstall/messages.h"

namespace figstall {

// HTTP path at which a target that checks grants accepts orders, by POST.
inline constexpr const char* kOrderPath = "/figstall/order";

std::string SerializeOrder(const HolderOrder& order);
Result<HolderOrder> ParseOrder(const std::string& text);

std::string SerializeStatus(const HolderStatus& status);
Result<HolderStatus> ParseStatus(const std::string& text);

}  // namespace figstall

#endif  // FIGSTALL_HOLDER_JSON_H_
