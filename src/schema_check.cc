// Schema checks with the valijson library.
#include "figstall/schema_check.h"

#include <fmt/format.h>

#include <fstream>
#include <sstream>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include "figstall/json_bounds.h"

namespace figstall {
namespace {

using JsonAdapter = valijson::adapters::NlohmannJsonAdapter;

// The line and column of a byte of `text`. All three count from 1, as the byte
// of nlohmann's parse_error does.
std::string LineAndColumn(const std::string& text, std::size_t byte) {
  std::size_t line = 1;
  std::size_t column = 1;
  for (std::size_t i = 0; i + 1 < byte && i < text.size(); ++i) {
    ++column;
    if (text[i] != '\n')
      continue;
    ++line;
    column = 1;
  }
  return fmt::format("line {}, column {}", line, column);
}

// Turns valijson's context into a JSON pointer below `pointer`. Each part of a
// context is "<root>" or a field name or array index in brackets.
std::string JsonPointerOf(const std::vector<std::string>& context,
                          const std::string& pointer) {
  std::string result = pointer;
  for (const std::string& part : context) {
    if (part == "<root>")
      continue;
    if (part.size() < 2)
      continue;
    result += "/" + part.substr(1, part.size() - 2);
  }
  return result;
}

}  // namespace

Result<nlohmann::json> ParseJson(const std::string& text,
                                 const std::string& source) {
  if (text.size() > kMaxDocumentBytes) {
    return Fail(ErrorCode::kInvalidInput, "document too large",
                {{source, "",
                  fmt::format("{} bytes; at most {} are accepted", text.size(),
                              kMaxDocumentBytes)}});
  }
  // Copies and comparisons of a parsed value recurse, so deep nesting could
  // exhaust the stack.
  if (const auto exceeded = FindExceededBound(text, JsonBounds{})) {
    return Fail(
        ErrorCode::kInvalidInput, "document over a bound",
        {{source, LineAndColumn(text, exceeded->byte),
          fmt::format("more than {} {}", exceeded->bound, exceeded->what)}});
  }
  try {
    return nlohmann::json::parse(text);
  } catch (const nlohmann::json::parse_error& error) {
    return Fail(ErrorCode::kInvalidInput, "malformed JSON",
                {{source, LineAndColumn(text, error.byte), error.what()}});
  } catch (const nlohmann::json::out_of_range& error) {
    return Fail(ErrorCode::kInvalidInput, "number out of range",
                {{source, "", error.what()}});
  }
}

struct JsonSchema::Compiled {
  valijson::Schema schema;
};

JsonSchema::JsonSchema(const char* text) {
  const nlohmann::json document = nlohmann::json::parse(text);
  const auto compiled = std::make_shared<Compiled>();
  valijson::SchemaParser parser;
  parser.populateSchema(JsonAdapter(document), compiled->schema);
  compiled_ = compiled;
}

bool JsonSchema::Check(const nlohmann::json& value,
                       const std::string& source,
                       const std::string& pointer,
                       Findings& findings) const {
  valijson::Validator validator;
  valijson::ValidationResults results;
  if (validator.validate(compiled_->schema, JsonAdapter(value), &results))
    return true;
  valijson::ValidationResults::Error error;
  while (results.popError(error)) {
    findings.push_back(
        {source, JsonPointerOf(error.context, pointer), error.description});
  }
  return false;
}

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream stream(path, std::ios::binary);
  if (!stream) {
    return Fail(ErrorCode::kInvalidInput, "cannot read file",
                {{path, "", "the file cannot be opened"}});
  }
  std::ostringstream content;
  content << stream.rdbuf();
  return content.str();
}

}  // namespace figstall
