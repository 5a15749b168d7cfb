// The JSON schemas of every record kind and version.
#ifndef FIGSTALL_RECORD_SCHEMAS_H_
#define FIGSTALL_RECORD_SCHEMAS_H_

#include <nlohmann/json.hpp>
#include <string>

namespace figstall {

// The schema of a record kind ("service", "vm", "key") at a version, or null
// if that version is not known here.
const nlohmann::json* FindRecordSchema(const std::string& kind, int version);

}  // namespace figstall

#endif  // FIGSTALL_RECORD_SCHEMAS_H_
