// A caller's connection without its socket: requests sent one behind the other,
// cut at every byte, closed and stopped at every point.
#include "figstall/caller_session.h"

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>

namespace figstall {
namespace {

namespace http = boost::beast::http;

constexpr Instant kStart{std::chrono::seconds(100)};

Instant At(std::int64_t millis) {
  return kStart + std::chrono::milliseconds(millis);
}

bool IsGet(const HttpRequest& request) {
  return request.method() == http::verb::get;
}

std::string Get(const std::string& id) {
  return "GET /" + id + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id +
         "\r\n\r\n";
}

std::string Post(const std::string& id, const std::string& body) {
  return fmt::format(
      "POST /{0} HTTP/1.1\r\nHost: h\r\nRequest-Id: {0}\r\n"
      "Content-Length: {1}\r\n\r\n{2}",
      id, body.size(), body);
}

HttpResponse Answer(const std::string& body) {
  HttpResponse answer;
  answer.result(http::status::ok);
  answer.version(11);
  answer.body() = body;
  return answer;
}

// A session, and all that came out of it.
class Line {
 public:
  explicit Line(CallerSessionLimits limits = {})
      : session_(limits, IsGet, kStart) {}

  void Send(const std::string& bytes) {
    session_.OnBytes(now_, bytes);
    Drain();
  }
  void Drain() {
    for (bool more = true; more;) {
      more = false;
      while (auto request = session_.NextRequest()) {
        more = true;
        const RequestNumber number = request->number;
        passed_.push_back(std::string(View(request->message.target())) +
                          request->message.body());
        numbers_[passed_.back()] = number;
        session_.SetCancelHandler(
            number, [this, at = passed_.back()] { gone_.push_back(at); });
      }
      const std::string next = session_.TakeOutput(now_);
      if (next.empty())
        continue;
      more = true;
      out_ += next;
      session_.OnWritten(now_);
    }
  }
  void Answer(const std::string& request, const std::string& body) {
    session_.Reply(numbers_.at(request), figstall::Answer(body));
    Drain();
  }
  void Begin(const std::string& request, std::function<void()> drained) {
    ResponseHead head;
    head.result(http::status::ok);
    session_.BeginResponse(numbers_.at(request), std::move(head),
                           std::move(drained));
    Drain();
  }
  void Body(const std::string& request, const std::string& bytes, bool last) {
    session_.SendBody(numbers_.at(request), bytes, last);
    Drain();
  }
  RequestNumber number(const std::string& request) const {
    return numbers_.at(request);
  }

  // The answers so far, as a caller parses them: "status body", "cut" for one
  // without an end, "junk" for bytes that are no answer.
  std::vector<std::string> Answers() const {
    std::vector<std::string> answers;
    std::string left = out_;
    while (!left.empty()) {
      http::response_parser<http::string_body> parser;
      parser.eager(true);
      boost::system::error_code error;
      const std::size_t used =
          parser.put(boost::asio::buffer(left.data(), left.size()), error);
      if (error && error != http::error::need_more) {
        answers.push_back("junk");
        break;
      }
      if (!parser.is_done()) {
        answers.push_back("cut");
        break;
      }
      const auto& answer = parser.get();
      answers.push_back(fmt::format("{} {}{}", answer.result_int(),
                                    answer.body(),
                                    answer.keep_alive() ? "" : " close"));
      left.erase(0, used);
    }
    return answers;
  }

  CallerSession& session() { return session_; }
  const std::vector<std::string>& passed() const { return passed_; }
  const std::vector<std::string>& gone() const { return gone_; }
  const std::string& out() const { return out_; }
  void SetNow(Instant now) { now_ = now; }

 private:
  CallerSession session_;
  Instant now_ = kStart;
  std::string out_;
  std::vector<std::string> passed_;
  std::vector<std::string> gone_;
  std::map<std::string, RequestNumber> numbers_;
};

using Texts = std::vector<std::string>;

}  // namespace

TEST_CASE("requests sent one behind the other are served at once, in order") {
  Line line;
  line.Send(Get("a") + Get("b") + Get("c"));
  CHECK(line.passed() == Texts{"/a", "/b", "/c"});
  line.Answer("/c", "C");
  line.Answer("/b", "B");
  CHECK(line.out().empty());
  line.Answer("/a", "A");
  CHECK(line.Answers() == Texts{"200 A", "200 B", "200 C"});
  CHECK(line.session().idle());
}

TEST_CASE("heads and bodies may be split at every byte") {
  const std::string all = Get("a") + Get("b") + Post("p", "pay 10") + Get("c");
  for (std::size_t first = 0; first <= all.size(); ++first) {
    for (const std::size_t step : {std::size_t{1}, all.size()}) {
      Line line;
      line.Send(all.substr(0, first));
      for (std::size_t at = first; at < all.size(); at += step)
        line.Send(all.substr(at, step));
      for (const char* each : {"/a", "/b", "/ppay 10", "/c"}) {
        REQUIRE(line.passed().back() >= each);
        line.Answer(each, each);
      }
      REQUIRE(line.Answers() ==
              Texts{"200 /a", "200 /b", "200 /ppay 10", "200 /c"});
    }
  }
}

TEST_CASE("bytes that come while an answer is written change no request") {
  // A read that stays pending while its buffer is parsed took old bytes for new
  // ones: requests were served twice or changed.
  Line line;
  line.Send(Get("a"));
  line.Send(Get("b").substr(0, 9));
  line.Answer("/a", "A");
  line.Send(Get("b").substr(9) + Get("c"));
  line.Answer("/b", "B");
  line.Send(Get("d"));
  line.Answer("/c", "C");
  line.Answer("/d", "D");
  CHECK(line.passed() == Texts{"/a", "/b", "/c", "/d"});
  CHECK(line.Answers() == Texts{"200 A", "200 B", "200 C", "200 D"});
}

TEST_CASE("a request that must not be repeated is served alone") {
  Line line;
  line.Send(Get("a") + Post("p", "1") + Get("b"));
  CHECK(line.passed() == Texts{"/a"});
  line.Answer("/a", "A");
  CHECK(line.passed() == Texts{"/a", "/p1"});
  line.Answer("/p1", "P");
  CHECK(line.passed() == Texts{"/a", "/p1", "/b"});
  line.Answer("/b", "B");
  CHECK(line.Answers() == Texts{"200 A", "200 P", "200 B"});
}

TEST_CASE("an interim answer waits for the answers before it") {
  const std::string post =
      "POST /p HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
      "Content-Length: 2\r\n\r\n";
  Line line;
  line.Send(Get("a") + post);
  CHECK(line.out().empty());
  line.Answer("/a", "A");
  CHECK(line.out().find("100 Continue") != std::string::npos);
  line.Send("xy");
  CHECK(line.passed() == Texts{"/a", "/pxy"});

  Line eager;
  eager.Send(post + "xy" + Get("b"));
  CHECK(eager.out().empty());
  CHECK(eager.passed() == Texts{"/pxy"});
}

TEST_CASE("a bad request behind good ones is refused after their answers") {
  Line line;
  line.Send(Get("a") + Get("b") + "no request\r\n\r\n" + Get("c"));
  CHECK(line.passed() == Texts{"/a", "/b"});
  line.Answer("/b", "B");
  line.Answer("/a", "A");
  CHECK(line.Answers() == Texts{"200 A", "200 B", "400  close"});
  CHECK(line.session().end() == SessionState::kAfterOutput);

  CallerSessionLimits limits;
  limits.caller.max_body_bytes = 10;
  Line large(limits);
  large.Send(Get("a") + Post("p", std::string(11, 'x')));
  large.Answer("/a", "A");
  CHECK(large.Answers() == Texts{"200 A", "413  close"});
}

TEST_CASE("nothing behind a request that closes is passed on") {
  Line line;
  line.Send(Get("a") +
            "GET /b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" +
            Get("c") + Post("p", "1"));
  CHECK(line.passed() == Texts{"/a", "/b"});
  line.Answer("/b", "B");
  line.Answer("/a", "A");
  line.Send(Get("d"));
  CHECK(line.passed() == Texts{"/a", "/b"});
  CHECK(line.Answers() == Texts{"200 A", "200 B close"});
  CHECK(line.session().end() == SessionState::kAfterOutput);
}

TEST_CASE("a stop answers what was read, and only the last answer closes") {
  Line line;
  line.Send(Get("a") + Get("b") + Post("p", "1") + Get("z"));
  line.session().Stop();
  line.Answer("/a", "A");
  line.Answer("/b", "B");
  CHECK(line.passed() == Texts{"/a", "/b", "/p1"});
  line.Answer("/p1", "P");
  // What was not passed on counts as not read.
  CHECK(line.passed() == Texts{"/a", "/b", "/p1"});
  CHECK(line.Answers() == Texts{"200 A", "200 B", "200 P close"});
  CHECK(line.session().end() == SessionState::kAfterOutput);
}

TEST_CASE("a stop leaves a new connection time for its first request") {
  Line line;
  line.session().Stop();
  line.session().CloseIfIdle(At(300));
  REQUIRE(line.session().end() == SessionState::kOpen);
  line.Send(Get("a"));
  line.session().CloseIfIdle(At(5000));
  line.Answer("/a", "A");
  CHECK(line.Answers() == Texts{"200 A close"});

  Line unused;
  unused.session().Stop();
  unused.session().CloseIfIdle(At(1100));
  CHECK(unused.session().end() == SessionState::kAfterOutput);
}

TEST_CASE("a streamed answer holds the others back in bounded memory") {
  Line line;
  line.Send(Get("a") + Get("b"));
  int drained = 0;
  line.Begin("/b", [&drained] { ++drained; });
  line.Body("/b", std::string(300'000, 'b'), false);
  CHECK(line.session().unsent(line.number("/b")) == 300'000);
  CHECK(drained == 0);
  line.Begin("/a", nullptr);
  line.Body("/a", std::string(10, 'a'), false);
  CHECK(line.Answers() == Texts{"cut"});
  line.Body("/a", "", true);
  CHECK(drained > 0);
  CHECK(line.session().unsent(line.number("/b")) == 0);
  line.Body("/b", "!", true);
  CHECK(line.Answers() ==
        Texts{"200 aaaaaaaaaa", "200 " + std::string(300'000, 'b') + "!"});
}

TEST_CASE("an answer that breaks off looks cut, behind whole ones") {
  Line line;
  line.Send(Get("a") + Get("b") + Get("c") + Get("d"));
  line.Begin("/b", nullptr);
  line.Body("/b", "half", false);
  line.session().Truncate(line.number("/b"));
  line.Drain();
  // Their answers could not follow any more.
  CHECK(line.gone() == Texts{"/c", "/d"});
  CHECK(line.session().end() == SessionState::kOpen);
  line.Answer("/a", "A");
  CHECK(line.Answers() == Texts{"200 A", "cut"});
  CHECK(line.session().end() == SessionState::kAfterOutput);
}

TEST_CASE("a caller that leaves takes all its requests with it") {
  Line line;
  line.Send(Get("a") + Get("b") + Get("c") + Get("d") + Get("e"));
  line.Answer("/c", "C");
  line.session().OnReadClosed();
  CHECK(line.gone() == Texts{"/a", "/b", "/d", "/e"});
  line.Answer("/a", "A");
  CHECK(line.out().empty());
}

TEST_CASE("a caller that closes its sending side still gets whole answers") {
  Line line;
  line.Send(Get("a") + Get("b"));
  line.session().Reply(line.number("/a"), Answer("A"));
  line.session().OnReadClosed();
  CHECK(line.gone() == Texts{"/b"});
  line.Drain();
  CHECK(line.Answers() == Texts{"200 A"});
}

TEST_CASE("requests and bytes beyond the bounds wait unread") {
  CallerSessionLimits limits;
  limits.max_concurrent_requests = 3;
  limits.max_read_ahead_bytes = 100;
  Line line(limits);
  for (char each = 'a'; each <= 'k'; ++each)
    line.Send(Get(std::string(1, each)));
  CHECK(line.passed() == Texts{"/a", "/b", "/c"});
  CHECK_FALSE(line.session().WantsBytes());
  line.Answer("/a", "A");
  CHECK(line.passed().size() == 4);
  for (const char* each : {"/b", "/c", "/d", "/e", "/f", "/g", "/h", "/i"})
    line.Answer(each, "x");
  CHECK(line.session().WantsBytes());
  CHECK(line.passed().size() == 11);
}

TEST_CASE("answers twice, late or to no request change nothing") {
  Line line;
  line.Send(Get("a"));
  line.Answer("/a", "A");
  line.Answer("/a", "again");
  line.session().Reply(77, Answer("no request"));
  line.Body("/a", "more", true);
  line.session().Truncate(1);
  line.Drain();
  CHECK(line.Answers() == Texts{"200 A"});
  line.Send(Get("b"));
  line.Answer("/b", "B");
  CHECK(line.Answers() == Texts{"200 A", "200 B"});
}

TEST_CASE("slow and idle callers are closed in time") {
  CallerSessionLimits limits;
  limits.caller.header_timeout = std::chrono::seconds(2);
  limits.caller.idle_timeout = std::chrono::seconds(5);
  SECTION("slow head") {
    Line line(limits);
    line.Send("GET /a HT");
    line.session().EnforceTimeouts(At(1900));
    CHECK(line.session().end() == SessionState::kOpen);
    line.session().EnforceTimeouts(At(2100));
    CHECK(line.session().end() == SessionState::kAfterOutput);
  }
  SECTION("a body that stops") {
    Line line(limits);
    const std::string post = Post("p", "12345");
    line.Send(post.substr(0, post.size() - 1));
    line.session().EnforceTimeouts(At(5100));
    CHECK(line.session().end() == SessionState::kAfterOutput);
  }
  SECTION("idle, but not while served") {
    Line line(limits);
    line.Send(Get("a"));
    line.session().EnforceTimeouts(At(9000));
    CHECK(line.session().end() == SessionState::kOpen);
    line.SetNow(At(9000));
    line.Answer("/a", "A");
    line.session().EnforceTimeouts(At(13'900));
    CHECK(line.session().end() == SessionState::kOpen);
    line.session().EnforceTimeouts(At(14'100));
    CHECK(line.session().end() == SessionState::kAfterOutput);
  }
  SECTION("an answer that is not taken") {
    Line line(limits);
    line.Send(Get("a"));
    line.session().Reply(1, Answer("A"));
    CHECK_FALSE(line.session().TakeOutput(At(0)).empty());
    line.session().EnforceTimeouts(At(14'000));
    CHECK(line.session().end() == SessionState::kOpen);
    line.session().EnforceTimeouts(At(15'100));
    CHECK(line.session().end() == SessionState::kReset);
  }
}

namespace {

// Drives a session at random and knows what each request's own answer is.
class RandomCaller {
 public:
  explicit RandomCaller(std::uint64_t seed)
      : random_(seed),
        line_({.max_concurrent_requests = 4, .max_read_ahead_bytes = 2000}) {}

  void Run() {
    for (int step = 0; step < 300; ++step)
      Step();
    // All that was passed on is answered in the end, if it still can be.
    while (!open_.empty())
      AnswerOne();
    Check();
  }

 private:
  std::size_t Draw(std::size_t below) { return random_() % below; }

  void Step() {
    switch (Draw(12)) {
      case 0:
      case 1:
      case 2:
        Write();
        break;
      case 3:
        if (Draw(30) == 0) {
          line_.session().Stop();
          stopped_ = true;
        }
        break;
      case 4:
        if (Draw(40) == 0)
          line_.session().OnReadClosed();
        break;
      case 5:
        if (!open_.empty() && Draw(20) == 0)
          CutOne();
        break;
      default:
        Feed();
        if (!open_.empty() && Draw(2) == 0)
          AnswerOne();
    }
    Take();
  }

  void Write() {
    const std::string id = fmt::format("r{}", ++written_);
    const std::string body(Draw(50), 'b');
    if (Draw(60) == 0) {
      unsent_ += "\x01 bad\r\n\r\n";
      bad_ = true;
    } else if (Draw(3) == 0) {
      unsent_ += Post(id, body);
      sent_.push_back("/" + id + body);
    } else {
      unsent_ += Get(id);
      sent_.push_back("/" + id);
    }
    if (bad_)
      sent_.resize(std::min(sent_.size(), good_ ? *good_ : sent_.size()));
    if (bad_ && !good_)
      good_ = sent_.size();
  }

  void Feed() {
    if (unsent_.empty() || !line_.session().WantsBytes())
      return;
    const std::size_t size =
        1 + Draw(std::min<std::size_t>(unsent_.size(), Draw(5) ? 40 : 4000));
    line_.Send(unsent_.substr(0, size));
    unsent_.erase(0, size);
  }

  // Notes what was passed on meanwhile.
  void Take() {
    for (; seen_ < line_.passed().size(); ++seen_) {
      const std::string& each = line_.passed()[seen_];
      REQUIRE(seen_ < sent_.size());
      REQUIRE(each == sent_[seen_]);
      const bool once = each.find('b') != std::string::npos;
      // One that must not be repeated has no other beside it.
      if (once || once_open_)
        REQUIRE(OpenAhead() == 0);
      once_open_ = once;
      open_.push_back(each);
    }
  }

  std::size_t OpenAhead() const {
    const std::size_t done = line_.Answers().size();
    return seen_ > done ? seen_ - done : 0;
  }

  void AnswerOne() {
    const std::size_t at = Draw(open_.size());
    const std::string request = open_[at];
    open_.erase(open_.begin() + static_cast<std::ptrdiff_t>(at));
    if (Draw(4) == 0) {
      line_.Begin(request, nullptr);
      line_.Body(request, request.substr(0, 2), false);
      line_.Body(request, request.substr(2), true);
    } else {
      line_.Answer(request, request);
    }
    Take();
  }

  void CutOne() {
    const std::size_t at = Draw(open_.size());
    line_.Begin(open_[at], nullptr);
    line_.Body(open_[at], "half", false);
    line_.session().Truncate(line_.number(open_[at]));
    open_.erase(open_.begin() + static_cast<std::ptrdiff_t>(at));
    line_.Drain();
  }

  void Check() const {
    const Texts answers = line_.Answers();
    for (std::size_t each = 0; each < answers.size(); ++each) {
      const std::string& answer = answers[each];
      const bool last = each + 1 == answers.size();
      REQUIRE(answer != "junk");
      if (last && (answer == "cut" || answer == "400  close"))
        return;
      REQUIRE(each < line_.passed().size());
      const std::string own = "200 " + line_.passed()[each];
      REQUIRE((answer == own || (last && answer == own + " close")));
    }
  }

  std::mt19937_64 random_;
  Line line_;
  int written_ = 0;
  bool stopped_ = false;
  bool bad_ = false;
  bool once_open_ = false;
  std::optional<std::size_t> good_;
  std::string unsent_;
  // Requests in the order of sending, up to the first bad one.
  Texts sent_;
  std::size_t seen_ = 0;
  std::vector<std::string> open_;
};

}  // namespace

TEST_CASE("random mixes get each request's own answer in order") {
  for (std::uint64_t seed = 1; seed <= 400; ++seed) {
    INFO("seed " << seed);
    RandomCaller(seed).Run();
  }
}

}  // namespace figstall
