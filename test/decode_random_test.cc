// Decoding in one pass against decoding by the schema, with desired states and
// target entries that were changed at random.
#include <array>
#include <catch2/catch.hpp>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "iteration_factor.h"
#include "platform/decode.h"
#include "platform/plain_decode.h"

namespace figstall {
namespace {

constexpr char kDesiredStateJson[] = R"({"version":7,"routes":{
  "r1":{"host":"a.example","prefix":"/x/","kind":"safe","timeoutS":1,
        "sloS":0.4,"priority":2,"attempts":2,
        "split":[{"service":"one","weight":90},{"service":"two","weight":10}]},
  "r3":{"host":"c.example","prefix":"/","kind":"download","service":"one",
        "allowedRegions":[]},
  "r2":{"host":"b.example","prefix":"/y/z/","kind":"unsafe","service":"two",
        "allowedRegions":["north","south"],
        "note":[null,true,{"more":"text"},-1.5e3]}},
  "services":{"one":{"maxConns":120,"sharded":true,"warmS":3.0,
                     "warmupS":3.0,"warmupPerS":4.5},"two":{}},
  "tenants":{"acme":{"allowedRegions":["north"]},"beta":{}},
  "limits":{"maxHeaderBytes":1000,"maxBodyBytes":0,"headerTimeoutS":2.5,
            "idleTimeoutS":15}})";

constexpr char kTargetJson[] = R"({"addr":"10.0.0.1:80","born":5,
  "info":{"service":"s","zone":"z","slots":4,"note":{}},
  "status":{"state":"ready","seq":1,"warmupLeftS":0.5}})";

// What replaces a token: values and keys of all kinds, and odd ones.
constexpr std::array kReplacements = {"0",
                                      "1",
                                      "-1",
                                      "-0",
                                      "1.0",
                                      "1.5",
                                      "1e2",
                                      "1e400",
                                      "1e-400",
                                      "01",
                                      "1.",
                                      "+1",
                                      ".5",
                                      "4294967295",
                                      "4294967296",
                                      "9007199254740991",
                                      "1e300",
                                      "1e9",
                                      "86400",
                                      "86400.5",
                                      "1000000",
                                      "1000001",
                                      "true",
                                      "false",
                                      "null",
                                      "tru",
                                      "nulll",
                                      "[]",
                                      "{}",
                                      "[1]",
                                      R"([{}])",
                                      R"([{"service":"one","weight":1}])",
                                      R"("")",
                                      R"("a")",
                                      R"("/")",
                                      R"("//")",
                                      R"("/a")",
                                      R"("a/")",
                                      R"("/a/b/")",
                                      R"("/\n/")",
                                      R"("\/")",
                                      R"("\u0041")",
                                      R"("\u00e9")",
                                      R"("\ud800")",
                                      R"("\x")",
                                      "\"/\t/\"",
                                      "\"\xc3\xa9\"",
                                      "\"\xff\"",
                                      R"("safe")",
                                      R"("draining")",
                                      R"("ready")",
                                      R"("one")",
                                      R"("two")",
                                      R"("three")",
                                      R"("host")",
                                      R"("prefix")",
                                      R"("kind")",
                                      R"("service")",
                                      R"("split")",
                                      R"("version")",
                                      R"("routes")",
                                      R"("services")",
                                      R"("r1")",
                                      R"("r2")",
                                      R"("1.2.3.4:5")",
                                      R"("1.2.3.4:0")",
                                      R"("1.2.3.4")",
                                      "\xef\xbb\xbf",
                                      "18446744073709551615",
                                      "18446744073709551616",
                                      "\"no end",
                                      "9007199254740992",
                                      "9223372036854775808"};

std::vector<std::string> Tokens(const std::string& text) {
  std::vector<std::string> tokens;
  for (std::size_t i = 0; i < text.size();) {
    std::size_t end = i + 1;
    if (text[i] == '"')
      end = text.find('"', i + 1) + 1;
    else if (std::string("{}[],: \n").find(text[i]) == std::string::npos)
      end = text.find_first_of("{}[],: \n", i);
    tokens.push_back(text.substr(i, end - i));
    i = end;
  }
  return tokens;
}

class Mutator {
 public:
  Mutator(std::uint32_t seed, const std::string& text)
      : random_(seed), tokens_(Tokens(text)) {}

  std::string Make() {
    std::vector<std::string> tokens = tokens_;
    const std::size_t changes = random_() % 4;
    for (std::size_t i = 0; i < changes; ++i)
      Change(tokens);
    std::string text;
    for (const std::string& token : tokens)
      text += token;
    if (random_() % 16 == 0 && !text.empty())
      text[random_() % text.size()] = static_cast<char>(random_() % 256);
    return text;
  }

 private:
  void Change(std::vector<std::string>& tokens) {
    const std::size_t at = random_() % tokens.size();
    const auto position = tokens.begin() + static_cast<std::ptrdiff_t>(at);
    const bool is_value =
        std::string("{}[],: \n").find(tokens[at].front()) == std::string::npos;
    switch (random_() % 8) {
      case 0:
        tokens.erase(position);
        if (tokens.empty())
          tokens.emplace_back(" ");
        return;
      case 1:
        return std::swap(tokens[at], tokens[random_() % tokens.size()]);
      case 2: {
        // Often makes a key repeat, or a value one of another key.
        const std::size_t from = random_() % tokens.size();
        const std::size_t length =
            std::min<std::size_t>(tokens.size() - from, random_() % 12);
        const std::vector<std::string> copied(
            tokens.begin() + static_cast<std::ptrdiff_t>(from),
            tokens.begin() + static_cast<std::ptrdiff_t>(from + length));
        tokens.insert(position, copied.begin(), copied.end());
        return;
      }
      default:
        if (is_value)
          tokens[at] = kReplacements.at(random_() % kReplacements.size());
    }
  }

  std::mt19937 random_;
  const std::vector<std::string> tokens_;
};

template <typename Value>
std::optional<Value> Try(const std::function<Result<Value>()>& decode) {
  return HandleError(
      [&]() -> Result<std::optional<Value>> {
        BOOST_LEAF_AUTO(value, decode());
        return std::optional(std::move(value));
      },
      [](const Error&) { return std::optional<Value>(); });
}

}  // namespace

// Guards against a desired state that is taken, refused or read differently
// than the schema says, since it is decoded without the schema.
TEST_CASE("desired states changed at random are decoded as by the schema") {
  constexpr int kDocuments = 40'000;
  Mutator mutator(1, kDesiredStateJson);
  int accepted = 0;
  int decoded_plainly = 0;
  for (int i = 0; i < kDocuments * IterationFactor("FIGSTALL_WALKS"); ++i) {
    const std::string text = mutator.Make();
    const auto expected = Try<DesiredState>(
        [&] { return platform::DecodeDesiredStateBySchema(text); });
    const auto plain = platform::DecodePlainDesiredState(text);
    const auto decoded =
        Try<DesiredState>([&] { return platform::DecodeDesiredState(text); });
    accepted += expected ? 1 : 0;
    decoded_plainly += plain ? 1 : 0;
    if (decoded != expected || (plain && plain != expected))
      FAIL(text);
  }
  CAPTURE(accepted, decoded_plainly);
  CHECK(accepted > kDocuments / 4);
  CHECK(decoded_plainly > accepted * 9 / 10);
}

// As above, for the entries of targets.
TEST_CASE("target entries changed at random are decoded as by the schema") {
  constexpr int kDocuments = 40'000;
  Mutator mutator(2, kTargetJson);
  int accepted = 0;
  int decoded_plainly = 0;
  for (int i = 0; i < kDocuments * IterationFactor("FIGSTALL_WALKS"); ++i) {
    const std::string text = mutator.Make();
    const auto expected = Try<TargetEntry>(
        [&] { return platform::DecodeTargetEntryBySchema("i-1", text); });
    const auto plain = platform::DecodePlainTargetEntry("i-1", text);
    const auto decoded = Try<TargetEntry>(
        [&] { return platform::DecodeTargetEntry("i-1", text); });
    accepted += expected ? 1 : 0;
    decoded_plainly += plain ? 1 : 0;
    if (decoded != expected || (plain && plain != expected))
      FAIL(text);
  }
  CAPTURE(accepted, decoded_plainly);
  CHECK(accepted > kDocuments / 4);
  CHECK(decoded_plainly > accepted * 9 / 10);
}

// Guards against a loop that stands still while a schema is checked: what
// operators and targets write needs none.
TEST_CASE("usual documents are decoded without a schema") {
  CHECK(platform::DecodePlainDesiredState(kDesiredStateJson));
  CHECK(platform::DecodePlainTargetEntry("i-1", kTargetJson));
  const std::string nested = R"({"version":1,"routes":{},"services":{},"x":)";
  constexpr int kLevels = 63;
  CHECK(platform::DecodePlainDesiredState(nested + std::string(kLevels, '[') +
                                          std::string(kLevels, ']') + "}"));
  CHECK_FALSE(
      platform::DecodePlainDesiredState(nested + std::string(kLevels + 1, '[') +
                                        std::string(kLevels + 1, ']') + "}"));
}

}  // namespace figstall
