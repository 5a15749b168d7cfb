// The figstallctl program, with which operators check, apply and show records.
#include <docopt/docopt.h>
#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <nlohmann/json.hpp>

#include "figstall/configuration.h"
#include "figstall/http_client.h"
#include "figstall/request_explanation.h"
#include "figstall/schema_check.h"
#include "figstall/steward_node.h"
#include "figstall/store.h"
#include "process.h"

namespace figstall {
namespace {

using nlohmann::json;

constexpr const char* kUsage =
    R"(figstallctl: checks, applies and shows figstall's records.

Usage:
  figstallctl validate [--json] FILE...
  figstallctl apply --store URL [--json] [--expect REVISION] FILE...
  figstallctl show --store URL [--json]
  figstallctl history --store URL [--json] [--last N]
  figstallctl (join | leave | lost) VM --store URL [--json]
  figstallctl explain SERVICE KEY --store URL [--json]
  figstallctl explain-request --entry URL --host HOST --path PATH
              [--method METHOD] [--key KEY] [--account NAME] [--json]
  figstallctl --help

Commands:
  validate  Checks record files and reports all findings. Changes nothing.
  apply     Makes the records of all FILEs together the next revision.
  show      Prints the records in force.
  history   Prints the last revisions: number, records and what changed.
  join      Marks a VM as joining: it may be given work.
  leave     Marks a VM as leaving: it gets no new work within 2 seconds.
  lost      Declares a VM lost for good, so that its steward counts as gone.
            Never do this to a VM that may still run.
  explain   Tells which partition a key has, its home zone, its owner, the
            owner's term, and who decided it.
  explain-request
            Asks a running figstall-entry where it would send a request now,
            and what rules out each other target. Sends no request.

Options:
  --store URL        Base URL of the platform's store, as http://IP:PORT.
  --entry URL        Operator endpoint of an entry, as http://IP:PORT: the
                     address of "metrics" in its settings.
  --host HOST        Host of the request.
  --path PATH        Path of the request.
  --method METHOD    Method of the request; a route takes any [default: GET].
  --key KEY          Key of the request, if its service has keys.
  --account NAME     Client account of the request.
  --expect REVISION  Apply only if this revision is in force.
  --last N           How many revisions to print [default: 10].
  --json             Prints JSON instead of text.

Files hold {"records": [...]}; see docs/OPERATING.md for every record.

Exit status: 0 done, 1 the store could not be used, 2 invalid input,
3 somebody else changed the records first (nothing was changed).
)";

constexpr int kExitConflict = 3;
constexpr int kHttpOk = 200;
constexpr Duration kStoreTimeout = std::chrono::seconds(5);

std::string HistoryKey(std::uint64_t revision) {
  return fmt::format("figstall/history/{:012}", revision);
}

// The document of the records in force and its version in the store, which is 0
// if there is none.
struct StoredConfiguration {
  json document = {{"revision", 0}, {"records", json::array()}};
  std::uint64_t version = 0;
};

Result<StoredConfiguration> ReadStoredConfiguration(HttpStore& store) {
  StoredConfiguration current;
  BOOST_LEAF_AUTO(value, store.Read(kConfigurationKey, kStoreTimeout));
  if (!value)
    return current;
  BOOST_LEAF_ASSIGN(current.document,
                    ParseJson(value->value, kConfigurationKey));
  current.version = value->version;
  return current;
}

// Merges and checks the records of all files. Findings name the file and the
// place in it if there is one file. Records of several files may refer to each
// other, so they are checked together and findings name the place among the
// merged records.
Result<json> MergeRecordFiles(const std::vector<std::string>& files) {
  Findings findings;
  json records = json::array();
  for (const std::string& file : files) {
    HandleError(
        [&]() -> Result<int> {
          BOOST_LEAF_AUTO(text, ReadFile(file));
          BOOST_LEAF_AUTO(document, ParseJson(text, file));
          const bool has_records = document.is_object() &&
                                   document.contains("records") &&
                                   document.at("records").is_array();
          if (!has_records)
            return Fail(ErrorCode::kInvalidInput, "invalid records",
                        {{file, "/records", "must be an array of records"}});
          for (const json& record : document.at("records"))
            records.push_back(record);
          if (files.size() == 1)
            ParseRecords(document.at("records"), file, "/records", findings);
          return 0;
        },
        [&](const Error& error) {
          findings.insert(findings.end(), error.findings.begin(),
                          error.findings.end());
          return 0;
        });
  }
  if (files.size() > 1 && findings.empty())
    ParseRecords(records, "merged files", "/records", findings);
  if (!findings.empty())
    return Fail(ErrorCode::kInvalidInput, "invalid records", findings);
  return records;
}

std::string RecordLabel(const json& record) {
  const std::string name = record.contains("name")
                               ? record.at("name").get<std::string>()
                               : record.value("key", "");
  return record.value("kind", "") + " " + name;
}

// Returns a line for each record that was added, changed or removed.
std::vector<std::string> DescribeChanges(const json& before,
                                         const json& after) {
  std::map<std::string, json> old_records;
  std::vector<std::string> lines;
  for (const json& record : before)
    old_records[RecordLabel(record)] = record;
  for (const json& record : after) {
    const std::string label = RecordLabel(record);
    const auto old = old_records.find(label);
    if (old == old_records.end()) {
      lines.push_back("added " + label);
      continue;
    }
    if (old->second != record)
      lines.push_back("changed " + label);
    old_records.erase(old);
  }
  for (const auto& [label, record] : old_records)
    lines.push_back("removed " + label);
  return lines;
}

// Writes `records` as the next revision, and its history entry in the same
// transaction. Fails if the stored document has changed since `before`.
Result<std::uint64_t> WriteRevision(HttpStore& store,
                                    const StoredConfiguration& before,
                                    const json& records) {
  const std::uint64_t revision =
      before.document.value("revision", std::uint64_t{0}) + 1;
  const json document = {{"revision", revision}, {"records", records}};
  const std::string text = document.dump();
  BOOST_LEAF_AUTO(next, Configuration::Parse(text, "new revision"));
  if (before.version != 0) {
    BOOST_LEAF_AUTO(previous, Configuration::Parse(before.document.dump(),
                                                   kConfigurationKey));
    Findings findings =
        CheckTransition(previous->records(), next->records(), "new revision");
    if (!findings.empty())
      return Fail(ErrorCode::kInvalidInput,
                  "this change of the records is not allowed",
                  std::move(findings));
  }
  const json entry = {
      {"revision", revision},
      {"records", records.size()},
      {"changes", DescribeChanges(before.document.at("records"), records)}};
  BOOST_LEAF_CHECK(store.Write({{kConfigurationKey, text, before.version},
                                {HistoryKey(revision), entry.dump(), 0}},
                               kStoreTimeout));
  return revision;
}

void Print(bool as_json, const json& value, const std::string& text) {
  fmt::print("{}\n", as_json ? value.dump(2) : text);
}

Result<int> Validate(const std::vector<std::string>& files, bool as_json) {
  BOOST_LEAF_AUTO(records, MergeRecordFiles(files));
  Print(as_json, json{{"valid", true}, {"records", records.size()}},
        fmt::format("valid: {} records", records.size()));
  return 0;
}

Result<int> Apply(HttpStore& store,
                  const std::vector<std::string>& files,
                  const docopt::value& expect,
                  bool as_json) {
  BOOST_LEAF_AUTO(records, MergeRecordFiles(files));
  BOOST_LEAF_AUTO(before, ReadStoredConfiguration(store));
  const std::uint64_t revision =
      before.document.value("revision", std::uint64_t{0});
  const bool revision_differs =
      expect && static_cast<std::uint64_t>(expect.asLong()) != revision;
  if (revision_differs)
    return Fail(ErrorCode::kConflict,
                fmt::format("revision {} is in force, not {}", revision,
                            expect.asLong()));
  BOOST_LEAF_AUTO(written, WriteRevision(store, before, records));
  Print(as_json, json{{"revision", written}},
        fmt::format("revision {} is written", written));
  return 0;
}

Result<int> Show(HttpStore& store, bool as_json) {
  BOOST_LEAF_AUTO(current, ReadStoredConfiguration(store));
  std::string text = fmt::format(
      "revision {}", current.document.value("revision", std::uint64_t{0}));
  for (const json& record : current.document.at("records"))
    text += "\n" + RecordLabel(record) + " " + record.dump();
  Print(as_json, current.document, text);
  return 0;
}

Result<int> History(HttpStore& store,
                    std::uint64_t max_revisions,
                    bool as_json) {
  BOOST_LEAF_AUTO(current, ReadStoredConfiguration(store));
  const std::uint64_t newest =
      current.document.value("revision", std::uint64_t{0});
  json entries = json::array();
  std::string text;
  const std::uint64_t oldest =
      newest > max_revisions ? newest - max_revisions + 1 : 1;
  for (std::uint64_t revision = newest; revision >= oldest; --revision) {
    BOOST_LEAF_AUTO(value, store.Read(HistoryKey(revision), kStoreTimeout));
    if (!value)
      continue;
    BOOST_LEAF_AUTO(entry, ParseJson(value->value, HistoryKey(revision)));
    text += fmt::format("revision {}: {} records\n", revision,
                        entry.at("records").dump());
    for (const json& change : entry.at("changes"))
      text += "  " + change.get<std::string>() + "\n";
    entries.push_back(std::move(entry));
  }
  Print(as_json, entries, text);
  return 0;
}

Result<int> SetVmState(HttpStore& store,
                       const std::string& vm,
                       const std::string& state,
                       bool as_json) {
  BOOST_LEAF_AUTO(current, ReadStoredConfiguration(store));
  json records = current.document.at("records");
  const auto found =
      std::find_if(records.begin(), records.end(), [&](const json& record) {
        return record.value("kind", "") == "vm" &&
               record.value("name", "") == vm;
      });
  if (found == records.end())
    return Fail(
        ErrorCode::kInvalidInput, "no such VM",
        {{kConfigurationKey, "/records", "VM \"" + vm + "\" is not declared"}});
  (*found)["state"] = state;
  BOOST_LEAF_AUTO(written, WriteRevision(store, current, records));
  Print(as_json, json{{"revision", written}, {"vm", vm}, {"state", state}},
        fmt::format("VM {} is {} from revision {} on", vm, state, written));
  return 0;
}

Result<int> Explain(HttpStore& store,
                    const std::string& service_name,
                    const std::string& key,
                    bool as_json) {
  BOOST_LEAF_AUTO(value, store.Read(kConfigurationKey, kStoreTimeout));
  if (!value)
    return Fail(ErrorCode::kInvalidInput, "no records are in force");
  BOOST_LEAF_AUTO(configuration,
                  Configuration::Parse(value->value, kConfigurationKey));
  const ServiceRecord* service =
      configuration->FindService(ServiceId(service_name));
  if (!service)
    return Fail(ErrorCode::kInvalidInput, "no such service",
                {{kConfigurationKey, "/records",
                  "service \"" + service_name + "\" is not declared"}});
  const std::uint32_t partition = PartitionOf(key, service->partitions);
  json explanation = {{"service", service_name},
                      {"key", key},
                      {"partition", partition},
                      {"revision", configuration->revision()}};
  if (!service->exclusive) {
    explanation["why"] = "shared service: any live target may answer";
    Print(as_json, explanation, explanation.dump(2));
    return 0;
  }
  const ZoneId& home = configuration->HomeZoneOf(*service, partition);
  explanation["home"] = home.value();
  BOOST_LEAF_AUTO(stored, store.Read(ZoneDocumentKey(home), kStoreTimeout));
  explanation["why"] = "no leader of the home zone has written an owner yet";
  if (stored) {
    BOOST_LEAF_AUTO(document, ParseZoneDocument(stored->value));
    for (const PartitionRow& row : document.rows) {
      const bool is_partition = row.key == PartitionKey{service->id, partition};
      if (!is_partition)
        continue;
      explanation["owner"] = row.owner.value();
      explanation["term"] = row.term.ToString();
      explanation["why"] =
          fmt::format("chosen by the leader of epoch {}; {} leads now",
                      row.term.epoch, document.leader.ToString());
    }
  }
  Print(as_json, explanation, explanation.dump(2));
  return 0;
}

std::string PercentEncode(const std::string& text) {
  std::string encoded;
  for (const char each : text) {
    const auto byte = static_cast<unsigned char>(each);
    encoded += std::isalnum(byte) != 0 ? std::string(1, each)
                                       : fmt::format("%{:02X}", byte);
  }
  return encoded;
}

Result<int> ExplainRequest(
    const std::map<std::string, docopt::value>& arguments,
    bool as_json) {
  std::string query;
  for (const char* name : {"host", "path", "key", "account"}) {
    const docopt::value& value = arguments.at(std::string("--") + name);
    if (value)
      query += fmt::format("{}{}={}", query.empty() ? '?' : '&', name,
                           PercentEncode(value.asString()));
  }
  HttpClientRequest request;
  request.url = arguments.at("--entry").asString() + kExplainPath + query;
  const HttpResult result = HttpClient(1).Perform(request);
  if (result.failure != HttpFailure::kNone)
    return Fail(ErrorCode::kUnreachable,
                fmt::format("no answer from {}: {}",
                            arguments.at("--entry").asString(), result.error));
  if (result.response.status != kHttpOk)
    return Fail(ErrorCode::kProtocol,
                fmt::format("{} answered with status {}",
                            arguments.at("--entry").asString(),
                            result.response.status));
  fmt::print("{}\n", as_json ? result.response.body
                             : ExplanationTable(result.response.body));
  return 0;
}

Result<int> Dispatch(const std::map<std::string, docopt::value>& arguments) {
  const auto is_set = [&](const char* name) {
    return arguments.at(name).asBool();
  };
  const bool as_json = is_set("--json");
  if (is_set("validate"))
    return Validate(arguments.at("FILE").asStringList(), as_json);
  if (is_set("explain-request"))
    return ExplainRequest(arguments, as_json);
  HttpStore store(arguments.at("--store").asString());
  if (is_set("apply"))
    return Apply(store, arguments.at("FILE").asStringList(),
                 arguments.at("--expect"), as_json);
  if (is_set("show"))
    return Show(store, as_json);
  if (is_set("history"))
    return History(store,
                   static_cast<std::uint64_t>(arguments.at("--last").asLong()),
                   as_json);
  if (is_set("explain"))
    return Explain(store, arguments.at("SERVICE").asString(),
                   arguments.at("KEY").asString(), as_json);
  const std::string vm = arguments.at("VM").asString();
  if (is_set("join"))
    return SetVmState(store, vm, "joining", as_json);
  if (is_set("leave"))
    return SetVmState(store, vm, "leaving", as_json);
  return SetVmState(store, vm, "lost", as_json);
}

int PrintError(const Error& error, bool as_json) {
  if (as_json) {
    json findings = json::array();
    for (const Finding& finding : error.findings)
      findings.push_back({{"source", finding.source},
                          {"place", finding.place},
                          {"message", finding.message}});
    fmt::print("{}\n",
               json{{"error", error.message}, {"findings", findings}}.dump(2));
  }
  const int status = detail::ReportError(error);
  return error.code == ErrorCode::kConflict ? kExitConflict : status;
}

}  // namespace
}  // namespace figstall

int main(int argc, char** argv) {
  const auto arguments =
      docopt::docopt(figstall::kUsage, {argv + 1, argv + argc}, /*help=*/true);
  const bool as_json = arguments.at("--json").asBool();
  try {
    return figstall::HandleError([&] { return figstall::Dispatch(arguments); },
                                 [&](const figstall::Error& error) {
                                   return figstall::PrintError(error, as_json);
                                 });
  } catch (const std::exception& error) {
    fmt::print(stderr, "error: {}\n", error.what());
    return figstall::detail::kExitFailure;
  }
}
