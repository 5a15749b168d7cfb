// Parses JSON and checks it against JSON schemas. Each finding names the place
// of the fault.
#ifndef FIGSTALL_SCHEMA_CHECK_H_
#define FIGSTALL_SCHEMA_CHECK_H_

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "figstall/error.h"

namespace figstall {

// Largest JSON text that is accepted; the store holds no larger value.
inline constexpr std::size_t kMaxDocumentBytes = 1'000'000;

// Parses JSON text within the default JsonBounds. The finding of a syntax error
// or of an exceeded bound names its line and column.
Result<nlohmann::json> ParseJson(const std::string& text,
                                 const std::string& source);

// A compiled JSON schema that can check any number of values.
class JsonSchema {
 public:
  // Throws nlohmann::json::parse_error or std::runtime_error if `text` is not a
  // schema. These are exceptions because the text is part of the program.
  explicit JsonSchema(const char* text);

  // Adds a finding for each violation of the schema by `value`, which is found
  // at `pointer` of `source`. Returns true if there is no violation.
  bool Check(const nlohmann::json& value,
             const std::string& source,
             const std::string& pointer,
             Findings& findings) const;

 private:
  struct Compiled;
  std::shared_ptr<const Compiled> compiled_;
};

// Returns the content of a file, or kInvalidInput if it cannot be opened.
Result<std::string> ReadFile(const std::string& path);

}  // namespace figstall

#endif  // FIGSTALL_SCHEMA_CHECK_H_
