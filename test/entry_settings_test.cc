// Tests how the settings of figstall-entry are read.
#include "figstall/entry_settings.h"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

namespace figstall {
namespace {

using nlohmann::json;

json Settings() {
  return {{"vm", "vm-1"},
          {"zone", "z"},
          {"region", "r"},
          {"listen",
           {{"callers", "127.0.0.1:1"},
            {"ready", "127.0.0.1:2"},
            {"metrics", "127.0.0.1:3"},
            {"peers", "127.0.0.1:4"}}},
          {"store", "127.0.0.1:5"},
          {"regions", {{"z", "r"}}}};
}

// Returns the settings read from a file with this content; nullopt if they are
// refused.
std::optional<EntrySettings> Read(const json& content) {
  const auto path = std::filesystem::temp_directory_path() /
                    ("figstall-settings-" + std::to_string(getpid()));
  std::ofstream(path) << content.dump();
  auto settings = HandleError(
      [&]() -> Result<std::optional<EntrySettings>> {
        BOOST_LEAF_AUTO(read, ReadEntrySettings(path));
        return std::optional(read);
      },
      [](const Error&) { return std::optional<EntrySettings>(); });
  std::filesystem::remove(path);
  return settings;
}

}  // namespace

// Guards against OWNER: a process that is started again takes itself for one of
// the system's first start.
TEST_CASE(
    "the settings say whether the whole system starts for the first time") {
  json content = Settings();
  CHECK(Read(content).value().first_start);
  content["first_start"] = false;
  CHECK_FALSE(Read(content).value().first_start);
  content["first_start"] = "false";
  CHECK_FALSE(Read(content));
}

// Guards against connections that are closed by limits of before while a
// version is still on its way, where the platform allows versions more time
// than usual.
TEST_CASE("the settings say how long a version may take to reach all entries") {
  json content = Settings();
  CHECK(Read(content).value().max_version_delay == std::chrono::seconds(7));
  content["version_delay"] = {{"calm_s", 3}, {"disturbed_extra_s", 6.5}};
  CHECK(Read(content).value().max_version_delay ==
        std::chrono::milliseconds(9500));
  content["version_delay"].erase("calm_s");
  CHECK_FALSE(Read(content));
}

// Guards against an entry whose callers' requests take more memory than its VM
// has.
TEST_CASE("a quarter of the VM's memory is for callers' requests") {
  json content = Settings();
  CHECK(Read(content).value().max_request_bytes == 30'000'000);
  content["vm_size"] = {{"memory_mb", 260}};
  CHECK(Read(content).value().max_request_bytes == 65'000'000);
  for (const json& invalid : {json(0), json(-1), json("260"), json(1e300)}) {
    CAPTURE(invalid);
    content["vm_size"]["memory_mb"] = invalid;
    CHECK_FALSE(Read(content));
  }
}

}  // namespace figstall
