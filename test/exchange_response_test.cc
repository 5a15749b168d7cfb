// Tests what a caller gets of a target's malformed response, through a whole
// data path.
#include <catch2/catch.hpp>

#include "fakes/traffic_harness.h"

namespace figstall {
namespace {

constexpr char kState[] = R"({"version":1,"services":{"s":{}},"routes":{
  "safe":{"host":"h","prefix":"/safe/","kind":"safe","service":"s",
          "timeoutS":2,"sloS":0.2,"attempts":3},
  "once":{"host":"h","prefix":"/once/","kind":"unsafe","service":"s",
          "timeoutS":2,"sloS":0.2,"attempts":3},
  "large":{"host":"h","prefix":"/large/","kind":"download","service":"s",
           "timeoutS":2,"sloS":0.2,"attempts":3}}})";

// A body that is streamed to the caller.
constexpr std::size_t kLong = 400'000;

}  // namespace

// Guards against a status that HTTP does not have, which ends the connections
// of some callers and which others take for a success.
TEST_CASE("a status outside 200 to 599 reaches no caller") {
  const std::string status = GENERATE("000", "001", "099", "600", "777", "999");
  const std::string fields = GENERATE("", "Not-Executed: 1\r\n");
  const std::size_t size = GENERATE(std::size_t{0}, kLong);
  CAPTURE(status, fields, size);
  TrafficHarness test(kState);
  const auto malformed = [&](const std::string& request) {
    return ResponseTo(request, status, std::string(size, 'x'), fields);
  };
  ScriptedTarget& a = test.AddTarget("a", "s", "north-a", malformed);
  SECTION("a request that may run once gets 502") {
    ScriptedTarget& b = test.AddTarget("b", "s", "north-a", malformed);
    CHECK(test.Get("/once/")->status() == 502);
    CHECK(a.requests() + b.requests() == 1);
  }
  for (const char* path : {"/safe/", "/large/"}) {
    DYNAMIC_SECTION("another target is tried, " << path) {
      ScriptedTarget& b =
          test.AddTarget("b", "s", "south-a", [](const std::string& request) {
            return ResponseTo(request, "200", "good");
          });
      CHECK(test.Get(path)->status() == 200);
      CHECK(a.requests() == 1);
      CHECK(b.requests() == 1);
    }
    DYNAMIC_SECTION("502 if all are malformed, " << path) {
      test.AddTarget("b", "s", "north-a", malformed);
      CHECK(test.Get(path)->status() == 502);
    }
  }
}

TEST_CASE("a status from 200 to 599 reaches the caller") {
  const std::string status = GENERATE("200", "299", "404", "599");
  TrafficHarness test(kState);
  test.AddTarget("a", "s", "north-a", [&](const std::string& request) {
    return ResponseTo(request, status, "body");
  });
  CHECK(test.Get("/once/")->received.substr(9, 3) == status);
}

// Guards against a request that is held up by interim responses without end.
TEST_CASE("endless interim responses count as a malformed response") {
  TrafficHarness test(kState);
  test.AddTarget("a", "s", "north-a", [](const std::string&) {
    std::string many;
    for (int i = 0; i < 1000; ++i)
      many += "HTTP/1.1 102 X\r\n\r\n";
    return many;
  });
  CHECK(test.Get("/once/")->status() == 502);
}

// Guards against a body that the caller takes for the next response, and
// against a length without the body that it announces.
TEST_CASE("a status without a body is passed on without one") {
  const auto response = GENERATE(table<std::string, std::size_t>(
      {{"204", 5}, {"204", kLong}, {"205", 5}, {"304", 5}, {"304", kLong}}));
  const std::string& status = std::get<0>(response);
  const std::size_t size = std::get<1>(response);
  CAPTURE(status, size);
  TrafficHarness test(kState);
  test.AddTarget("a", "s", "north-a", [&](const std::string& request) {
    return request.find("/bare") != std::string::npos
               ? ResponseTo(request, status, std::string(size, 'x'))
               : ResponseTo(request, "200", "next");
  });
  const auto call = test.SendText(
      "GET /safe/bare HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n\r\n"
      "GET /safe/ HTTP/1.1\r\nHost: h\r\nRequest-Id: r2\r\n"
      "Connection: close\r\n\r\n");
  test.Await(*call);
  const std::string& received = call->received;
  CHECK(received.substr(9, 3) == status);
  const std::size_t end = received.find("\r\n\r\n");
  REQUIRE(end != std::string::npos);
  const std::string length =
      FieldOf(received.substr(0, end + 2), "Content-Length");
  CHECK((length.empty() || length == "0"));
  CHECK(received.substr(end + 4, 12) == "HTTP/1.1 200");
}

// Guards against a body that comes late and is taken for the response to the
// next request on its connection.
TEST_CASE("a connection on which a skipped body may come is not used again") {
  const auto [head, connections] = GENERATE(
      table<std::string, int>({{"204 X\r\n", 1},
                               {"204 X\r\nContent-Length: 0\r\n", 1},
                               {"204 X\r\nContent-Length: 5\r\n", 2},
                               {"304 X\r\nContent-Length: 5\r\n", 1}}));
  CAPTURE(head);
  TrafficHarness test(kState);
  const std::string start = "HTTP/1.1 " + head + "Request-Id: ";
  ScriptedTarget& target =
      test.AddTarget("a", "s", "north-a", [start](const std::string& request) {
        return start + FieldOf(request, "Request-Id") + "\r\n\r\n";
      });
  test.Get("/safe/");
  test.Get("/safe/");
  CHECK(target.requests() == 2);
  CHECK(target.connections() == connections);
}

}  // namespace figstall
