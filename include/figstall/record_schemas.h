// The JSON schemas of all kinds and versions of records.
#ifndef FIGSTALL_RECORD_SCHEMAS_H_
#define FIGSTALL_RECORD_SCHEMAS_H_

#include <string>

#include "figstall/schema_check.h"

namespace figstall {

// Returns the schema of a record kind ("service", "vm" or "key") at a version,
// or null if the kind or the version is unknown.
const JsonSchema* FindRecordSchema(const std::string& kind, int version);

}  // namespace figstall

#endif  // FIGSTALL_RECORD_SCHEMAS_H_
