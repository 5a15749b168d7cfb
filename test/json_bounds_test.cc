// Tests the bounds on parsed JSON by the memory that the allocator hands out,
// and through what parses the store's JSON.
#include "figstall/json_bounds.h"

#include <malloc.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>

#include "figstall/schema_check.h"
#include "platform/store_client.h"

namespace figstall {
namespace {

std::string Repeat(const std::string& text, std::size_t bytes) {
  std::string result;
  result.reserve(bytes + text.size());
  while (result.size() < bytes)
    result += text;
  return result;
}

std::size_t AllocatedBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

// Memory of the value that is parsed from `text`.
std::size_t ParsedBytes(const std::string& text) {
  const std::size_t before = AllocatedBytes();
  const nlohmann::json value = nlohmann::json::parse(text);
  const std::size_t after = AllocatedBytes();
  CHECK_FALSE(value.is_discarded());
  return after - before;
}

// A field of /proc/self/status, in bytes.
std::size_t StatusBytes(const std::string& field) {
  std::ifstream status("/proc/self/status");
  std::string name;
  std::size_t value_kb = 0;
  while (status >> name) {
    if (name == field + ":" && status >> value_kb)
      return value_kb * 1024;
  }
  return 0;
}

// A store that answers one call with 8 MB, and what the client made of it.
class AnsweringStore {
 public:
  explicit AnsweringStore(const std::string& body)
      : acceptor_(io_, {boost::asio::ip::address_v4::loopback(), 0}),
        socket_(io_),
        answer_("HTTP/1.1 200 OK\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body) {
    acceptor_.async_accept(socket_, [this](boost::system::error_code) {
      socket_.async_read_some(
          boost::asio::buffer(request_),
          [this](boost::system::error_code, std::size_t) {
            boost::asio::async_write(
                socket_, boost::asio::buffer(answer_),
                [](boost::system::error_code, std::size_t) {});
          });
    });
  }

  platform::StoreResponse Get() {
    platform::StoreClient client(
        io_, {"127.0.0.1", acceptor_.local_endpoint().port()},
        std::chrono::seconds(5));
    std::optional<platform::StoreResponse> response;
    client.Get("op/config",
               [&](const platform::StoreResponse& got) { response = got; });
    while (!response && io_.run_one() > 0) {
    }
    REQUIRE(response);
    return *response;
  }

 private:
  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::socket socket_;
  std::array<char, 4096> request_;
  const std::string answer_;
};

}  // namespace

// Guards against an entry that runs out of memory by 8 MB of the store, which
// its parser turned into many times as much.
TEST_CASE("an answer of the store that takes too much memory is not parsed") {
  constexpr std::size_t kTextBytes = 7'900'000;
  constexpr std::size_t kMaxGrowthBytes = 60'000'000;
  const std::pair<std::string, std::string> cases[] = {
      {Repeat("[", kTextBytes),
       "JSON of the store: levels of nesting over 64 at byte 65"},
      {R"({"items":[)" + Repeat("{},", kTextBytes) + "{}]}",
       "JSON of the store: bytes when parsed over 24000000 at byte "}};
  for (const auto& [body, failure] : cases) {
    CAPTURE(body.substr(0, 20));
    AnsweringStore store(body);
    const std::size_t before = StatusBytes("VmRSS");
    // Resets VmHWM.
    std::ofstream("/proc/self/clear_refs") << "5";
    const platform::StoreResponse response = store.Get();
    CHECK(response.status == platform::StoreStatus::kUnknown);
    CHECK_THAT(response.failure, Catch::Matchers::StartsWith(failure));
    CHECK(StatusBytes("VmHWM") - before < kMaxGrowthBytes);
  }
}

// Guards against an entry that runs out of memory by a few megabytes of the
// store, which take many times as much once they are parsed.
TEST_CASE("JSON that takes many times its bytes is refused unparsed") {
  constexpr std::size_t kTextBytes = 8'000'000;
  const auto nested = FindExceededBound(Repeat("[", kTextBytes), JsonBounds{});
  REQUIRE(nested);
  CHECK(nested->ToString() == "levels of nesting over 64 at byte 65");
  for (const char* repeated : {"{},", "[],", "0,", "\"\",", "{\"\":0},"}) {
    CAPTURE(repeated);
    const auto exceeded = FindExceededBound(
        "[" + Repeat(repeated, kTextBytes) + "0]", JsonBounds{});
    REQUIRE(exceeded);
    CHECK(exceeded->what == std::string("bytes when parsed"));
    CHECK(exceeded->byte < kTextBytes);
  }
}

TEST_CASE("parsed JSON takes no more memory than is estimated") {
  constexpr std::size_t kTextBytes = 300'000;
  const std::string cases[] = {
      "[" + Repeat("{},", kTextBytes) + "0]",
      "[" + Repeat("[],", kTextBytes) + "0]",
      "[" + Repeat("0,", kTextBytes) + "0]",
      "[" + Repeat("\"\",", kTextBytes) + "0]",
      "[" + Repeat("\"12345678901234567890\",", kTextBytes) + "0]",
      "[" + Repeat("{\"\":0},", kTextBytes) + "0]",
      "[" + Repeat("{\"a\":{\"b\":[0]}},", kTextBytes) + "0]",
      "[" + Repeat("{\"12345678901234567890\":\"1\"},", kTextBytes) + "0]",
      Repeat("[", 60) + Repeat("]", 60)};
  for (const std::string& text : cases) {
    CAPTURE(text.substr(0, 40));
    const std::size_t parsed_bytes = ParsedBytes(text);
    CHECK(FindExceededBound(text, {.max_parsed_bytes = parsed_bytes - 1}));
  }
}

TEST_CASE("brackets and commas in strings count as characters only") {
  const std::string text = R"({"a\\":"[[[,,,\"{{{:::","b":["]"]})";
  CHECK_FALSE(FindExceededBound(text, {.max_nesting = 2}));
  CHECK(FindExceededBound(text, {.max_nesting = 1}));
  CHECK_FALSE(FindExceededBound(R"(["\)", {.max_nesting = 1}));
}

// Guards against OWNER and DRAIN: a page of many targets, or a large state,
// that counts as too large.
TEST_CASE("the largest values of the store are within the bounds") {
  const std::string item = R"({"key":"servers/i-7f3a91c2","value":")" +
                           std::string(1000, 'x') +
                           R"(","revision":123456,"created":12345,"lease":0},)";
  CHECK_FALSE(FindExceededBound(
      R"({"items":[)" + Repeat(item, 7'900'000) + "{}]}", JsonBounds{}));
  const std::string route =
      R"("r12":{"host":"a.example","prefix":"/ab/","kind":"safe",)"
      R"("service":"s","attempts":2,"timeoutS":2.5,"sloS":0.5},)";
  CHECK_FALSE(FindExceededBound(
      R"({"routes":{)" + Repeat(route, 990'000) + R"("r":0}})", JsonBounds{}));
  CHECK_FALSE(
      FindExceededBound("[" + Repeat("12345,", 990'000) + "0]", JsonBounds{}));
}

TEST_CASE("the finding of an exceeded bound names the source and the place") {
  for (const auto& [text, message] :
       {std::pair("\n" + Repeat("[", 1000), "more than 64 levels of nesting"),
        std::pair("\n[" + Repeat("{},", 900'000) + "0]",
                  "more than 24000000 bytes when parsed")}) {
    const std::string found = HandleError(
        [&text = text]() -> Result<std::string> {
          BOOST_LEAF_CHECK(ParseJson(text, "op/config"));
          return std::string();
        },
        [](const Error& error) { return error.findings.at(0).ToString(); });
    CHECK_THAT(found, Catch::Matchers::StartsWith("op/config"));
    CHECK_THAT(found, Catch::Matchers::Contains("line 2, column "));
    CHECK_THAT(found, Catch::Matchers::Contains(message));
  }
}

}  // namespace figstall
