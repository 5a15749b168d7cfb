// Tests which duties run after one of them has thrown.
#include "figstall/duties.h"

#include <catch2/catch.hpp>
#include <stdexcept>
#include <vector>

namespace figstall {
namespace {

constexpr Duration kRetryDelay = std::chrono::milliseconds(500);

Instant At(int millis) {
  return Instant(std::chrono::milliseconds(millis));
}

struct Fixture {
  std::vector<std::string> errors;
  Duties duties{kRetryDelay,
                [this](const std::string& duty, const std::exception& error) {
                  errors.push_back(duty + ": " + error.what());
                }};
  int runs = 0;

  void Run(Instant now, const std::string& name) {
    duties.Run(now, name, [this] { ++runs; });
  }
  void Throw(Instant now, const std::string& name) {
    duties.Run(now, name, [] { throw std::runtime_error("unreadable"); });
  }
};

}  // namespace

// Guards against one service whose duty throws at each tick and takes the turn
// of all other services and of time limits (review/8).
TEST_CASE("a duty that throws keeps no other one from its turn") {
  Fixture fixture;
  fixture.Throw(At(0), "ranges/a");
  fixture.Run(At(0), "ranges/b");
  fixture.Run(At(0), "traffic");
  CHECK(fixture.runs == 2);
  CHECK(fixture.errors == std::vector<std::string>{"ranges/a: unreadable"});
}

TEST_CASE("a duty that threw is left out for the retry delay") {
  Fixture fixture;
  for (int millis = 0; millis <= 2'000; millis += 25)
    fixture.Throw(At(millis), "ranges/a");
  CHECK(fixture.errors.size() == 4);
  fixture.Run(At(2'050), "ranges/a");
  CHECK(fixture.runs == 0);
  fixture.Run(At(2'600), "ranges/a");
  CHECK(fixture.runs == 1);
}

TEST_CASE("an exception of the error handler leaves the run") {
  Duties duties(kRetryDelay, [](const std::string&, const std::exception&) {
    throw std::runtime_error("too many");
  });
  CHECK_THROWS_WITH(
      duties.Run(At(0), "a", [] { throw std::runtime_error("one"); }),
      "too many");
}

}  // namespace figstall
