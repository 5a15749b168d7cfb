// Checks JSON values against JSON schemas, with every finding's place.
#ifndef FIGSTALL_SCHEMA_CHECK_H_
#define FIGSTALL_SCHEMA_CHECK_H_

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "figstall/error.h"

namespace figstall {

// Largest JSON text that is accepted; the store holds no larger value.
inline constexpr std::size_t kMaxDocumentBytes = 1'000'000;

// Parses JSON text; a syntax error is reported with line and column.
Result<nlohmann::json> ParseJson(const std::string& text,
                                 const std::string& source);

// A JSON schema, ready for many checks.
class JsonSchema {
 public:
  // The text is code; throws nlohmann::json::parse_error or std::runtime_error
  // if it is no schema.
  explicit JsonSchema(const char* text);

  // Adds a finding for each way in which `value`, found at `pointer` of
  // `source`, breaks the schema. Returns true if there was none.
  bool Check(const nlohmann::json& value,
             const std::string& source,
             const std::string& pointer,
             Findings& findings) const;

 private:
  struct Compiled;
  std::shared_ptr<const Compiled> compiled_;
};

// Reads a whole file.
Result<std::string> ReadFile(const std::string& path);

}  // namespace figstall

#endif  // FIGSTALL_SCHEMA_CHECK_H_
