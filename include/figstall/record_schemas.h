// The JSON schemas of every record kind and version.
#ifndef FIGSTALL_RECORD_SCHEMAS_H_
#define FIGSTALL_RECORD_SCHEMAS_H_

#include <string>

#include "figstall/schema_check.h"

namespace figstall {

// The schema of a record kind ("service", "vm", "key") at a version, or null
// if that version is not known here.
const JsonSchema* FindRecordSchema(const std::string& kind, int version);

}  // namespace figstall

#endif  // FIGSTALL_RECORD_SCHEMAS_H_
