// Checks JSON values against JSON schemas, with every finding's place.
#ifndef FIGSTALL_SCHEMA_CHECK_H_
#define FIGSTALL_SCHEMA_CHECK_H_

#include <nlohmann/json.hpp>
#include <string>

#include "figstall/error.h"

namespace figstall {

// Largest JSON text that is accepted; the store holds no larger value.
inline constexpr std::size_t kMaxDocumentBytes = 1'000'000;

// Parses JSON text; a syntax error is reported with line and column.
Result<nlohmann::json> ParseJson(const std::string& text,
                                 const std::string& source);

// Adds a finding for each way in which `value`, found at `pointer` of `source`,
// breaks `schema`. Returns true if there was none.
bool CheckSchema(const nlohmann::json& schema,
                 const nlohmann::json& value,
                 const std::string& source,
                 const std::string& pointer,
                 Findings& findings);

// Reads a whole file.
Result<std::string> ReadFile(const std::string& path);

}  // namespace figstall

#endif  // FIGSTALL_SCHEMA_CHECK_H_
