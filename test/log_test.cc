// Lines of the log: what any text looks like in JSON.
#include "figstall/log.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>

namespace figstall {
namespace {

// The lines that `write` logs.
template <typename Write>
std::vector<std::string> LinesOf(const Write& write) {
  std::FILE* const stream = std::tmpfile();
  {
    Log log("process \"1\"", LogLevel::kInfo, LogFormat::kJson, stream);
    write(log);
  }
  std::rewind(stream);
  std::string text;
  for (int c = std::fgetc(stream); c != EOF; c = std::fgetc(stream))
    text += static_cast<char>(c);
  std::fclose(stream);
  std::vector<std::string> lines;
  std::istringstream parts(text);
  for (std::string line; std::getline(parts, line);)
    lines.push_back(line);
  return lines;
}

}  // namespace

TEST_CASE("any text is quoted in a line of the log as JSON") {
  constexpr int kLines = 2000;
  std::mt19937 random(1);
  std::vector<std::string> texts = {"", "plain", "a\"b", "a\\b", "\x7f", "\n"};
  while (texts.size() < kLines) {
    std::string text(random() % 6, '\0');
    for (char& c : text)
      c = static_cast<char>(random() % 256);
    texts.push_back(text);
  }
  const auto lines = LinesOf([&](Log& log) {
    for (const std::string& text : texts)
      log.Write(LogLevel::kInfo, "event", {{"text", text}});
  });
  REQUIRE(lines.size() == texts.size());
  for (std::size_t i = 0; i < lines.size(); ++i) {
    const std::string quoted = nlohmann::json(texts[i]).dump(
        -1, ' ', false, nlohmann::json::error_handler_t::replace);
    const std::string expected = R"("process":"process \"1\"","event":"event",)"
                                 R"("text":)" +
                                 quoted + "}";
    if (!lines[i].ends_with(expected))
      FAIL(lines[i] + " instead of " + expected);
    CHECK(nlohmann::json::parse(lines[i]).at("event") == "event");
  }
}

}  // namespace figstall
