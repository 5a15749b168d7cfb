// Decoding of what targets say of themselves, and how long it is remembered.
#include "figstall/target_notices.h"

#include <catch2/catch.hpp>

#include "platform/target_notice.h"

namespace figstall {
namespace {

constexpr int kOk = 200;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;

using Kind = NoticeChange::Kind;

HttpFields Fields(
    const std::vector<std::pair<std::string, std::string>>& fields) {
  HttpFields result;
  for (const auto& [name, value] : fields)
    result.insert(name, value);
  return result;
}

TargetNotice Decode(
    int status,
    const std::vector<std::pair<std::string, std::string>>& fields) {
  return platform::DecodeTargetNotice(status, Fields(fields));
}

Instant At(double seconds) {
  return Instant(Duration(static_cast<Duration::rep>(seconds * 1e6)));
}

const TargetIncarnation kTarget{TargetId("t-1"), 1000};
const TargetIncarnation kRestarted{TargetId("t-1"), 2000};

std::vector<Kind> Kinds(const std::vector<NoticeChange>& changes) {
  std::vector<Kind> kinds;
  kinds.reserve(changes.size());
  for (const NoticeChange& change : changes)
    kinds.push_back(change.kind);
  return kinds;
}

}  // namespace

TEST_CASE("a target's notices are read from the head of its answers") {
  CHECK(Decode(kOk, {}) == TargetNotice{false, {}, {}, true, {}});
  CHECK(Decode(kOk, {{"Server-Leaving", "1"}}).leaving);
  CHECK(Decode(kOk, {{"server-limit", "3.8"}}).rate_limit == 3.8);
  CHECK(Decode(kOk, {{"Server-Limit", "0"}}).rate_limit == 0);
  CHECK(Decode(kUnavailable, {{"Retry-After", "1.5"}}).retry_after ==
        std::chrono::milliseconds(1500));
  // Only an answer that turns a request away asks for a pause.
  CHECK_FALSE(Decode(kOk, {{"Retry-After", "1"}}).retry_after);
  // An answer to a request that was not run need not name the limit.
  CHECK_FALSE(Decode(kUnavailable, {{"Not-Executed", "1"}}).complete);
}

// Guards against a value that no target can mean and that would hold requests
// up, or end a limit that still applies.
TEST_CASE("invalid notices are listed and otherwise ignored") {
  for (const char* value :
       {"", "-1", "-0", "inf", "nan", "1e3", "1.2.3", "0x10", "1 2", "4,5",
        "Fri, 31 Dec 1999 23:59:59 GMT", "."}) {
    CAPTURE(value);
    const TargetNotice notice =
        Decode(kUnavailable, {{"Server-Limit", value},
                              {"Retry-After", value},
                              {"Server-Leaving", value}});
    CHECK(notice.invalid_fields.size() == 3);
    CHECK_FALSE(notice.rate_limit);
    CHECK_FALSE(notice.retry_after);
    CHECK_FALSE(notice.leaving);
    CHECK_FALSE(notice.complete);
  }
  CHECK(Decode(kOk, {{"Server-Leaving", "0"}}).invalid_fields.size() == 1);
  const TargetNotice repeated =
      Decode(kOk, {{"Server-Limit", "4"}, {"Server-Limit", "5"}});
  CHECK_FALSE(repeated.rate_limit);
  CHECK(repeated.invalid_fields == std::vector<std::string>{"Server-Limit: 4"});
  // Too long for a Duration.
  CHECK(Decode(kUnavailable, {{"Retry-After", std::string(300, '9')}})
            .retry_after == std::chrono::hours(24));
}

TEST_CASE("a target states its load and its warm-up") {
  CHECK(Decode(kOk, {{"Backend-Load", "3,12,4"}}).load ==
        StatedLoad{3, 12, 4, 1});
  CHECK(Decode(kUnavailable, {{"backend-load", "4,16,4,285"}}).load ==
        StatedLoad{4, 16, 4, 2.85});
  CHECK(Decode(kOk, {{"Backend-Load", "0,0,1,1"}}).load ==
        StatedLoad{0, 0, 1, 0.01});
  CHECK(Decode(kOk, {{"Warmup-Ms", "1500"}}).warm_up_left ==
        std::chrono::milliseconds(1500));
  CHECK(Decode(kOk, {{"warmup-ms", "0.5"}}).warm_up_left ==
        std::chrono::microseconds(500));
  CHECK(Decode(kOk, {{"Warmup-Ms", "0"}}).warm_up_left == Duration{0});
  // Too long for a Duration.
  CHECK(Decode(kOk, {{"Warmup-Ms", std::string(300, '9')}}).warm_up_left ==
        std::chrono::hours(24));
  const TargetNotice none = Decode(kOk, {});
  CHECK_FALSE(none.load);
  CHECK_FALSE(none.warm_up_left);
  // Neither says anything of a limit.
  CHECK(Decode(kOk, {{"Backend-Load", "1,2"}, {"Warmup-Ms", "x"}}).complete);
}

// Guards against a load or a warm-up that no target has, which would draw all
// requests to it or keep them away.
TEST_CASE("an invalid load or warm-up is listed and otherwise ignored") {
  for (const char* value : {"",
                            ",",
                            "3",
                            "3,1",
                            "3,1,4,100,0",
                            "3,1,4,",
                            ",1,4",
                            "3,,4",
                            "3;1;4",
                            "3, 1, 4",
                            "-3,1,4",
                            "3,-1,4",
                            "3,1,-4",
                            "3,1,4,-100",
                            "+3,1,4",
                            "3.5,1,4",
                            "3,1,4,99.5",
                            "3,1,4,1e2",
                            "nan,1,4",
                            "3,inf,4",
                            "a,b,c",
                            "3,1,0",
                            "3,1,1000001",
                            "3,1,4,0",
                            "4294967296,1,4",
                            "3,1,4,99999999999",
                            "0x3,1,4",
                            "3,1,4 100"}) {
    CAPTURE(value);
    const TargetNotice notice = Decode(kOk, {{"Backend-Load", value}});
    CHECK_FALSE(notice.load);
    CHECK(notice.invalid_fields ==
          std::vector{"Backend-Load: " + std::string(value)});
    // The other fields count.
    CHECK(Decode(kOk, {{"Backend-Load", value}, {"Warmup-Ms", "20"}})
              .warm_up_left == std::chrono::milliseconds(20));
  }
  for (const char* value : {"", "-1", "nan", "inf", "1e3", "2 s", "1,5"}) {
    CAPTURE(value);
    const TargetNotice notice = Decode(kOk, {{"Warmup-Ms", value}});
    CHECK_FALSE(notice.warm_up_left);
    CHECK(notice.invalid_fields ==
          std::vector{"Warmup-Ms: " + std::string(value)});
  }
  const TargetNotice repeated = Decode(kOk, {{"Backend-Load", "3,1,4"},
                                             {"Backend-Load", "0,0,4"},
                                             {"Warmup-Ms", "0"},
                                             {"Warmup-Ms", "900"}});
  CHECK_FALSE(repeated.load);
  CHECK_FALSE(repeated.warm_up_left);
  CHECK(repeated.invalid_fields.size() == 2);
}

// Guards against taking the word of another target at the same address.
TEST_CASE("an answer that the request reached the wrong target says nothing") {
  CHECK(Decode(kMisdirected, {{"Server-Leaving", "1"},
                              {"Server-Limit", "2"},
                              {"Retry-After", "9"},
                              {"Backend-Load", "0,0,4"},
                              {"Warmup-Ms", "900"}}) == TargetNotice{});
}

TEST_CASE("a target that said it leaves never comes back, its restart does") {
  TargetNotices notices;
  CHECK(Kinds(notices.OnAnswer(At(1), kTarget,
                               Decode(kOk, {{"Server-Leaving", "1"}}))) ==
        std::vector{Kind::kLeaving});
  CHECK(notices.OnAnswer(At(2), kTarget, Decode(kOk, {})).empty());
  notices.OnListed(At(3), kTarget, /*leaving=*/false);
  CHECK(notices.SaidLeaving(kTarget));
  CHECK(notices.LeavingSince(kTarget) == At(1));
  CHECK_FALSE(notices.LeavingSince(kRestarted));
  // Forgotten only once it is gone from the directory for long.
  notices.Prune(At(100), {});
  CHECK(notices.SaidLeaving(kTarget));
  notices.Prune(At(1000), {});
  CHECK_FALSE(notices.SaidLeaving(kTarget));
}

// Guards against counting the drain time anew when a target's entry comes back.
TEST_CASE("a listed target leaves from when its entry first said so") {
  TargetNotices notices;
  notices.OnListed(At(1), kTarget, true);
  notices.OnListed(At(2), kTarget, true);
  CHECK(notices.LeavingSince(kTarget) == At(1));
  CHECK_FALSE(notices.SaidLeaving(kTarget));
  notices.OnListed(At(3), kTarget, false);
  CHECK_FALSE(notices.LeavingSince(kTarget));
}

// Guards against a relay source that does not publish a changed entry to its
// subscribers because the target's own answers had said the same to it alone.
TEST_CASE("a change of a target's entry is one whatever its answers said") {
  TargetNotices notices;
  notices.OnAnswer(At(1), kTarget, Decode(kOk, {{"Server-Leaving", "1"}}));
  CHECK(notices.OnListed(At(2), kTarget, true));
  CHECK_FALSE(notices.OnListed(At(3), kTarget, true));
  CHECK(notices.OnListed(At(4), kTarget, false));
  CHECK_FALSE(notices.OnListed(At(5), kRestarted, false));
}

TEST_CASE("a pause that a target asks for ends at its latest end") {
  TargetNotices notices;
  notices.OnAnswer(At(1), kTarget,
                   Decode(kUnavailable, {{"Retry-After", "3"}}));
  notices.OnAnswer(At(2), kTarget,
                   Decode(kUnavailable, {{"Retry-After", "1"}}));
  CHECK(notices.RetryNotBefore(At(2), kTarget) == At(4));
  CHECK_FALSE(notices.RetryNotBefore(At(4), kTarget));
  CHECK_FALSE(notices.RetryNotBefore(At(2), kRestarted));
}

TEST_CASE("the newest statement about a limit applies, whoever heard it") {
  TargetNotices notices;
  CHECK(Kinds(notices.OnAnswer(At(1), kTarget,
                               Decode(kOk, {{"Server-Limit", "4"}}))) ==
        std::vector{Kind::kRateLimit});
  CHECK(notices.OnReportedLimit(kTarget, {std::nullopt, At(0.5)}).empty());
  CHECK(notices.LimitOf(kTarget)->per_second == 4);
  // A rejection without a limit does not end it, an answer does.
  notices.OnAnswer(At(2), kTarget,
                   Decode(kUnavailable, {{"Not-Executed", "1"}}));
  CHECK(notices.LimitOf(kTarget)->per_second == 4);
  const auto ended = notices.OnAnswer(At(3), kTarget, Decode(kOk, {}));
  REQUIRE(Kinds(ended) == std::vector{Kind::kRateLimitEnded});
  CHECK(ended[0].lasted == std::chrono::seconds(2));
  CHECK_FALSE(notices.LimitOf(kTarget)->per_second);
}

// Guards against a log line for each answer of a faulty target.
TEST_CASE("invalid fields of one target are reported once in ten seconds") {
  TargetNotices notices;
  const TargetNotice notice = Decode(kOk, {{"Server-Limit", "-1"}});
  CHECK(Kinds(notices.OnAnswer(At(1), kTarget, notice)) ==
        std::vector{Kind::kInvalid});
  CHECK(notices.OnAnswer(At(2), kTarget, notice).empty());
  const TargetNotice other = Decode(kOk, {{"Server-Limit", "many"}});
  CHECK(notices.OnAnswer(At(10.9), kTarget, other).empty());
  CHECK(Kinds(notices.OnAnswer(At(11), kTarget, other)) ==
        std::vector{Kind::kInvalid});
  // Whichever field it is, for each target on its own.
  const TargetNotice load = Decode(kOk, {{"Backend-Load", "1,2"}});
  CHECK(notices.OnAnswer(At(12), kTarget, load).empty());
  const auto changes = notices.OnAnswer(At(12), kRestarted, load);
  REQUIRE(Kinds(changes) == std::vector{Kind::kInvalid});
  CHECK(changes[0].text == "Backend-Load: 1,2");
}

}  // namespace figstall
