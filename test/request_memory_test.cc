// Tests the bound on what is kept of all callers' requests together, alone and
// through the sessions of several callers.
#include "figstall/request_memory.h"

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "figstall/caller_session.h"

namespace figstall {
namespace {

constexpr std::size_t kMaxBytes = 8'000'000;
constexpr Instant kStart{std::chrono::seconds(100)};

std::string PostHead(std::size_t body_bytes) {
  return fmt::format(
      "POST /a HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\n"
      "Content-Length: {}\r\n\r\n",
      body_bytes);
}

std::string Chunk(std::size_t bytes) {
  return fmt::format("{:x}\r\n{}\r\n", bytes, std::string(bytes, 'x'));
}

std::unique_ptr<CallerSession> MakeSession(
    const std::shared_ptr<RequestMemory>& memory) {
  return std::make_unique<CallerSession>(
      CallerSessionLimits{}, [](const HttpRequest&) { return false; }, kStart,
      memory);
}

bool IsRefused(CallerSession& session) {
  const std::string out = session.TakeOutput(kStart);
  return out.starts_with("HTTP/1.1 503") &&
         out.find("\r\nRetry-After: ") != std::string::npos &&
         session.state() == SessionState::kCloseAfterOutput;
}

}  // namespace

TEST_CASE("accounts add up to the kept bytes and return them at their end") {
  const auto memory = std::make_shared<RequestMemory>(kMaxBytes);
  {
    RequestMemoryAccount first(memory);
    RequestMemoryAccount second(memory);
    CHECK(first.Set(1000));
    CHECK(second.Set(500));
    CHECK(memory->kept_bytes() == 1500);
    CHECK(first.Set(200));
    CHECK(memory->kept_bytes() == 700);
  }
  CHECK(memory->kept_bytes() == 0);
}

TEST_CASE("large accounts leave a quarter of the bound to small ones") {
  const auto memory = std::make_shared<RequestMemory>(kMaxBytes);
  RequestMemoryAccount large(memory);
  RequestMemoryAccount refused(memory);
  RequestMemoryAccount small(memory);
  CHECK(large.Set(kMaxBytes / 4 * 3 - 1'000'000));
  CHECK(refused.Set(1'000'000));
  CHECK_FALSE(refused.Set(1'000'001));
  CHECK(refused.Set(0));
  CHECK(small.Set(100'000));
  CHECK_FALSE(small.IsFull());
}

// Guards against a body within maxBodyBytes that each process refuses always.
TEST_CASE("a large account that is alone may take half the bound more") {
  const auto memory = std::make_shared<RequestMemory>(kMaxBytes);
  RequestMemoryAccount large(memory);
  RequestMemoryAccount refused(memory);
  std::vector<std::unique_ptr<RequestMemoryAccount>> small;
  CHECK(large.Set(kMaxBytes / 2 * 3));
  CHECK_FALSE(refused.Set(200'000));
  CHECK(refused.Set(0));
  // Small ones have a quarter of the bound meanwhile.
  for (int i = 0; i < 20; ++i) {
    small.push_back(std::make_unique<RequestMemoryAccount>(memory));
    CHECK(small.back()->Set(100'000));
  }
  small.push_back(std::make_unique<RequestMemoryAccount>(memory));
  CHECK_FALSE(small.back()->Set(100'000));
  CHECK_FALSE(large.Set(kMaxBytes / 2 * 3 + 1));
}

TEST_CASE("an account without a bound takes everything") {
  RequestMemoryAccount account(nullptr);
  CHECK(account.Set(kMaxBytes * 100));
  CHECK_FALSE(account.IsFull());
}

// Guards against bodies of many callers, each within the limit for one, that
// fill the memory together.
TEST_CASE("a body that does not fit beside others is refused by its length") {
  const auto memory = std::make_shared<RequestMemory>(kMaxBytes);
  const auto first = MakeSession(memory);
  const auto second = MakeSession(memory);
  const auto small = MakeSession(memory);
  first->OnBytes(kStart, PostHead(4'000'000));
  CHECK(memory->kept_bytes() >= 4'000'000);
  second->OnBytes(kStart, PostHead(4'000'000));
  CHECK(IsRefused(*second));
  CHECK(second->TakeRefusedStatus() == 503);
  CHECK_FALSE(second->NextRequest());
  small->OnBytes(kStart, PostHead(1000) + std::string(1000, 'x'));
  CHECK(small->NextRequest());
  // The body that was let in completes, and its memory is free again once it
  // was answered.
  first->OnBytes(kStart, std::string(4'000'000, 'x'));
  const auto request = first->NextRequest();
  REQUIRE(request);
  CHECK(request->message.body().size() == 4'000'000);
  HttpResponse response;
  response.version(11);
  first->Reply(request->number, response);
  CHECK(memory->kept_bytes() < 10'000);
  const auto third = MakeSession(memory);
  third->OnBytes(kStart, PostHead(4'000'000));
  CHECK(third->state() == SessionState::kOpen);
}

TEST_CASE("a body in chunks is refused when it outgrows the bound") {
  const auto memory = std::make_shared<RequestMemory>(kMaxBytes);
  RequestMemoryAccount other(memory);
  CHECK(other.Set(200'000));
  const auto session = MakeSession(memory);
  session->OnBytes(kStart,
                   "POST /a HTTP/1.1\r\nHost: h\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n");
  std::size_t sent = 0;
  for (; session->WantsBytes() && sent < 10 * kMaxBytes; sent += 100'000)
    session->OnBytes(kStart, Chunk(100'000));
  CHECK(sent < kMaxBytes);
  CHECK(IsRefused(*session));
  CHECK(memory->kept_bytes() < 210'000);
}

TEST_CASE("bytes behind a waiting request are not read while memory is full") {
  const auto memory = std::make_shared<RequestMemory>(100'000);
  const auto session = MakeSession(memory);
  const std::string post = PostHead(1000) + std::string(1000, 'x');
  session->OnBytes(kStart, post + post);
  CHECK(session->WantsBytes());
  auto other = std::make_unique<RequestMemoryAccount>(memory);
  CHECK_FALSE(other->Set(100'000));
  CHECK_FALSE(session->WantsBytes());
  other.reset();
  CHECK(session->WantsBytes());
}

TEST_CASE("a session that ends returns what it kept") {
  const auto memory = std::make_shared<RequestMemory>(kMaxBytes);
  auto session = MakeSession(memory);
  session->OnBytes(kStart, PostHead(4'000'000) + std::string(2'000'000, 'x'));
  CHECK(memory->kept_bytes() >= 4'000'000);
  SECTION("by the caller") {
    session->OnReadClosed();
  }
  SECTION("by its owner") {
    session.reset();
  }
  CHECK(memory->kept_bytes() == 0);
}

}  // namespace figstall
