// Tests the HTTP of a caller's connection without a socket: pipelined requests,
// input that is split at every byte, and closes and stops at various points.
#include "figstall/caller_session.h"

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <map>
#include <optional>
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

HttpResponse MakeResponse(const std::string& body) {
  HttpResponse response;
  response.result(http::status::ok);
  response.version(11);
  response.body() = body;
  return response;
}

// Whether a caller may take these bytes, followed by the end of the connection,
// for one complete response.
bool LooksComplete(const std::string& bytes, bool to_head_request) {
  http::response_parser<http::string_body> parser;
  parser.eager(true);
  parser.skip(to_head_request);
  boost::system::error_code error;
  parser.put(boost::asio::buffer(bytes.data(), bytes.size()), error);
  if (error && error != http::error::need_more)
    return false;
  if (!parser.is_done())
    parser.put_eof(error);
  return !error && parser.is_done();
}

// A session, the requests that it passed on and the output that it wrote.
class SessionHarness {
 public:
  explicit SessionHarness(CallerSessionLimits limits = {})
      : session_(std::move(limits), IsGet, kStart) {}

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
            number, [this, at = passed_.back()] { cancelled_.push_back(at); });
      }
      const std::string next = session_.TakeOutput(now_);
      if (next.empty())
        continue;
      more = true;
      out_ += next;
      session_.OnWritten(now_);
    }
  }
  void Respond(const std::string& request, const std::string& body) {
    session_.Reply(numbers_.at(request), MakeResponse(body));
    Drain();
  }
  void Begin(const std::string& request,
             std::function<void()> drained,
             std::optional<std::size_t> length = std::nullopt) {
    ResponseHead head;
    head.result(http::status::ok);
    if (length)
      head.set(http::field::content_length, std::to_string(*length));
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

  // The responses so far, as a caller parses them: "status body", "cut" for an
  // incomplete response, "unframed" for one whose end only the connection
  // marks, "junk" for bytes that are not HTTP. " close" is appended if the
  // response announces that the connection closes.
  std::vector<std::string> Responses() const {
    std::vector<std::string> responses;
    std::string left = out_;
    while (!left.empty()) {
      http::response_parser<http::string_body> parser;
      parser.eager(true);
      boost::system::error_code error;
      const std::size_t parsed =
          parser.put(boost::asio::buffer(left.data(), left.size()), error);
      if (error && error != http::error::need_more) {
        responses.push_back("junk");
        break;
      }
      if (!parser.is_done()) {
        responses.push_back(
            parser.is_header_done() && parser.need_eof() ? "unframed" : "cut");
        break;
      }
      const auto& response = parser.get();
      responses.push_back(fmt::format("{} {}{}", response.result_int(),
                                      response.body(),
                                      response.keep_alive() ? "" : " close"));
      left.erase(0, parsed);
    }
    return responses;
  }

  CallerSession& session() { return session_; }
  const std::vector<std::string>& passed() const { return passed_; }
  const std::vector<std::string>& cancelled() const { return cancelled_; }
  const std::string& out() const { return out_; }
  void SetNow(Instant now) { now_ = now; }

 private:
  CallerSession session_;
  Instant now_ = kStart;
  std::string out_;
  std::vector<std::string> passed_;
  std::vector<std::string> cancelled_;
  std::map<std::string, RequestNumber> numbers_;
};

using Texts = std::vector<std::string>;

}  // namespace

TEST_CASE(
    "pipelined requests are served concurrently and responded to in order") {
  SessionHarness harness;
  harness.Send(Get("a") + Get("b") + Get("c"));
  CHECK(harness.passed() == Texts{"/a", "/b", "/c"});
  harness.Respond("/c", "C");
  harness.Respond("/b", "B");
  CHECK(harness.out().empty());
  harness.Respond("/a", "A");
  CHECK(harness.Responses() == Texts{"200 A", "200 B", "200 C"});
  CHECK(harness.session().idle());
}

TEST_CASE("heads and bodies may be split at every byte") {
  const std::string all = Get("a") + Get("b") + Post("p", "pay 10") + Get("c");
  for (std::size_t first = 0; first <= all.size(); ++first) {
    for (const std::size_t step : {std::size_t{1}, all.size()}) {
      SessionHarness harness;
      harness.Send(all.substr(0, first));
      for (std::size_t at = first; at < all.size(); at += step)
        harness.Send(all.substr(at, step));
      for (const char* each : {"/a", "/b", "/ppay 10", "/c"}) {
        REQUIRE(harness.passed().back() >= each);
        harness.Respond(each, each);
      }
      REQUIRE(harness.Responses() ==
              Texts{"200 /a", "200 /b", "200 /ppay 10", "200 /c"});
    }
  }
}

TEST_CASE("bytes that arrive while a response is written change no request") {
  // Guards against a read that is pending while its buffer is parsed. It would
  // take old bytes for new ones, so that requests are served twice or changed.
  SessionHarness harness;
  harness.Send(Get("a"));
  harness.Send(Get("b").substr(0, 9));
  harness.Respond("/a", "A");
  harness.Send(Get("b").substr(9) + Get("c"));
  harness.Respond("/b", "B");
  harness.Send(Get("d"));
  harness.Respond("/c", "C");
  harness.Respond("/d", "D");
  CHECK(harness.passed() == Texts{"/a", "/b", "/c", "/d"});
  CHECK(harness.Responses() == Texts{"200 A", "200 B", "200 C", "200 D"});
}

TEST_CASE("a non-idempotent request is served alone") {
  SessionHarness harness;
  harness.Send(Get("a") + Post("p", "1") + Get("b"));
  CHECK(harness.passed() == Texts{"/a"});
  harness.Respond("/a", "A");
  CHECK(harness.passed() == Texts{"/a", "/p1"});
  harness.Respond("/p1", "P");
  CHECK(harness.passed() == Texts{"/a", "/p1", "/b"});
  harness.Respond("/b", "B");
  CHECK(harness.Responses() == Texts{"200 A", "200 P", "200 B"});
}

TEST_CASE("an interim response waits for the responses before it") {
  const std::string post =
      "POST /p HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
      "Content-Length: 2\r\n\r\n";
  SessionHarness harness;
  harness.Send(Get("a") + post);
  CHECK(harness.out().empty());
  harness.Respond("/a", "A");
  CHECK(harness.out().find("100 Continue") != std::string::npos);
  harness.Send("xy");
  CHECK(harness.passed() == Texts{"/a", "/pxy"});

  SessionHarness eager;
  eager.Send(post + "xy" + Get("b"));
  CHECK(eager.out().empty());
  CHECK(eager.passed() == Texts{"/pxy"});
}

TEST_CASE("an invalid request is refused after the responses to earlier ones") {
  SessionHarness harness;
  harness.Send(Get("a") + Get("b") + "no request\r\n\r\n" + Get("c"));
  CHECK(harness.passed() == Texts{"/a", "/b"});
  harness.Respond("/b", "B");
  harness.Respond("/a", "A");
  CHECK(harness.Responses() == Texts{"200 A", "200 B", "400  close"});
  CHECK(harness.session().state() == SessionState::kCloseAfterOutput);

  CallerSessionLimits limits;
  limits.caller = std::make_shared<const CallerLimitsHistory>(
      CallerLimits{.max_body_bytes = 10});
  SessionHarness large(limits);
  large.Send(Get("a") + Post("p", std::string(11, 'x')));
  large.Respond("/a", "A");
  CHECK(large.Responses() == Texts{"200 A", "413  close"});
}

TEST_CASE("nothing after a request with Connection: close is passed on") {
  SessionHarness harness;
  harness.Send(Get("a") +
               "GET /b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" +
               Get("c") + Post("p", "1"));
  CHECK(harness.passed() == Texts{"/a", "/b"});
  harness.Respond("/b", "B");
  harness.Respond("/a", "A");
  harness.Send(Get("d"));
  CHECK(harness.passed() == Texts{"/a", "/b"});
  CHECK(harness.Responses() == Texts{"200 A", "200 B close"});
  CHECK(harness.session().state() == SessionState::kCloseAfterOutput);
}

TEST_CASE(
    "a stopping session responds to what was read; the last response closes") {
  SessionHarness harness;
  harness.Send(Get("a") + Get("b") + Post("p", "1") + Get("z"));
  harness.session().Stop();
  harness.Respond("/a", "A");
  harness.Respond("/b", "B");
  CHECK(harness.passed() == Texts{"/a", "/b", "/p1"});
  harness.Respond("/p1", "P");
  CHECK(harness.passed() == Texts{"/a", "/b", "/p1", "/z"});
  harness.Respond("/z", "Z");
  CHECK(harness.Responses() == Texts{"200 A", "200 B", "200 P", "200 Z close"});
  CHECK(harness.session().state() == SessionState::kCloseAfterOutput);
}

// Guards against requests that were read and are dropped at a planned stop:
// those behind the request that was being served.
TEST_CASE("a stopping session responds to requests that it has not parsed") {
  SessionHarness harness;
  harness.Send(Get("a"));
  harness.session().Stop();
  const std::string post = Post("p", "12345");
  SECTION("whole ones") {
    harness.Send(post + Get("b"));
    harness.Respond("/a", "A");
    harness.Respond("/p12345", "P");
    harness.Respond("/b", "B");
    CHECK(harness.Responses() == Texts{"200 A", "200 P", "200 B close"});
  }
  SECTION("one that is read in part") {
    harness.Send(post.substr(0, post.size() - 1));
    harness.Respond("/a", "A");
    harness.Send(post.substr(post.size() - 1));
    harness.Respond("/p12345", "P");
    CHECK(harness.Responses() == Texts{"200 A", "200 P close"});
  }
  SECTION("a part that was parsed before the stop") {
    SessionHarness parsed;
    parsed.Send(Get("a") + post.substr(0, post.size() - 1));
    parsed.session().Stop();
    parsed.Respond("/a", "A");
    parsed.Send(post.substr(post.size() - 1));
    parsed.Respond("/p12345", "P");
    CHECK(parsed.Responses() == Texts{"200 A", "200 P close"});
  }
}

TEST_CASE("a stop keeps a new connection open for its first request") {
  SessionHarness harness;
  harness.session().Stop();
  harness.session().CloseIfIdle(At(300));
  REQUIRE(harness.session().state() == SessionState::kOpen);
  harness.Send(Get("a"));
  harness.session().CloseIfIdle(At(5000));
  harness.Respond("/a", "A");
  CHECK(harness.Responses() == Texts{"200 A close"});

  SessionHarness unused;
  unused.session().Stop();
  unused.session().CloseIfIdle(At(1100));
  CHECK(unused.session().state() == SessionState::kCloseAfterOutput);
}

TEST_CASE(
    "a response that waits for a streamed one is held in bounded memory") {
  SessionHarness harness;
  harness.Send(Get("a") + Get("b"));
  int drained = 0;
  harness.Begin("/b", [&drained] { ++drained; });
  harness.Body("/b", std::string(300'000, 'b'), false);
  CHECK(harness.session().unsent(harness.number("/b")) == 300'000);
  CHECK(drained == 0);
  harness.Begin("/a", nullptr);
  harness.Body("/a", std::string(10, 'a'), false);
  CHECK(harness.Responses() == Texts{"cut"});
  harness.Body("/a", "", true);
  CHECK(drained > 0);
  CHECK(harness.session().unsent(harness.number("/b")) == 0);
  harness.Body("/b", "!", true);
  CHECK(harness.Responses() ==
        Texts{"200 aaaaaaaaaa", "200 " + std::string(300'000, 'b') + "!"});
}

TEST_CASE("a truncated response is incomplete and follows the complete ones") {
  SessionHarness harness;
  harness.Send(Get("a") + Get("b") + Get("c") + Get("d"));
  harness.Begin("/b", nullptr);
  harness.Body("/b", "half", false);
  harness.session().Truncate(harness.number("/b"));
  harness.Drain();
  // Responses to them could not follow the truncated one.
  CHECK(harness.cancelled() == Texts{"/c", "/d"});
  CHECK(harness.session().state() == SessionState::kOpen);
  harness.Respond("/a", "A");
  CHECK(harness.Responses() == Texts{"200 A", "cut"});
  CHECK(harness.session().state() == SessionState::kCloseAfterOutput);
}

// Guards against MIXED: streamed responses lost their Content-Length, so that
// one that broke off looked complete, and the end of a complete one could not
// be told on a connection that is kept.
TEST_CASE("a streamed response keeps its length, and a cut one looks cut") {
  SessionHarness whole;
  whole.Send(Get("a") + Get("b"));
  whole.Begin("/a", nullptr, 6);
  whole.Body("/a", "abc", false);
  whole.Body("/a", "def", true);
  whole.Respond("/b", "B");
  CHECK(whole.out().find("Content-Length: 6") != std::string::npos);
  CHECK(whole.out().find("Transfer-Encoding") == std::string::npos);
  CHECK(whole.Responses() == Texts{"200 abcdef", "200 B"});

  SessionHarness cut;
  cut.Send(Get("a"));
  cut.Begin("/a", nullptr, 6);
  cut.Body("/a", "abc", false);
  cut.session().Truncate(cut.number("/a"));
  cut.Drain();
  CHECK(cut.session().state() == SessionState::kCloseAfterOutput);
  CHECK_FALSE(LooksComplete(cut.out(), false));
}

// The same for all that marks the end of a body. HTTP/1.0 callers know no
// chunks, so a body without a length ends with the connection, and is reset if
// it is cut.
TEST_CASE("the end of a streamed body is marked for each kind of request") {
  const bool both[] = {false, true};
  for (const char* method : {"GET", "HEAD"}) {
    for (const char* version : {"1.0", "1.1"}) {
      for (const http::status status :
           {http::status::ok, http::status::no_content,
            http::status::not_modified}) {
        for (const bool has_length : both) {
          for (const bool cut : both) {
            const bool head = std::string(method) == "HEAD";
            const bool no_body = head || status != http::status::ok;
            CAPTURE(method, version, static_cast<int>(status), has_length, cut);
            CallerSession session(
                {}, [](const HttpRequest&) { return true; }, kStart);
            session.OnBytes(
                kStart, fmt::format("{} /a HTTP/{}\r\nHost: h\r\n\r\n", method,
                                    version));
            const auto request = session.NextRequest();
            REQUIRE(request);
            ResponseHead response;
            response.result(status);
            if (has_length)
              response.set(http::field::content_length, "6");
            session.BeginResponse(request->number, std::move(response),
                                  nullptr);
            if (!no_body)
              session.SendBody(request->number, "abc", false);
            std::string out = session.TakeOutput(kStart);
            session.OnWritten(kStart);
            if (cut)
              session.Truncate(request->number);
            else
              session.SendBody(request->number, no_body ? "" : "def", true);
            out += session.TakeOutput(kStart);
            CHECK(View(request->message.target()) == "/a");
            CHECK((out.find("Content-Length: 6") != std::string::npos) ==
                  has_length);
            CHECK((out.find("chunked") != std::string::npos) ==
                  (!no_body && !has_length && std::string(version) == "1.1"));
            if (!cut)
              CHECK(LooksComplete(out, head));
            else if (!no_body)
              CHECK((session.state() == SessionState::kReset ||
                     !LooksComplete(out, head)));
            if (!cut && !no_body)
              CHECK(out.find("def") != std::string::npos);
          }
        }
      }
    }
  }
}

// Guards against a Content-Length that is not that of the body.
TEST_CASE("a response to a HEAD request gets no length of its own") {
  SessionHarness harness;
  harness.Send("HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n");
  harness.Respond("/a", "");
  CHECK(harness.out().find("Content-Length") == std::string::npos);
}

TEST_CASE("a caller's close cancels all requests without a response") {
  SessionHarness harness;
  harness.Send(Get("a") + Get("b") + Get("c") + Get("d") + Get("e"));
  harness.Respond("/c", "C");
  harness.session().OnReadClosed();
  CHECK(harness.cancelled() == Texts{"/a", "/b", "/d", "/e"});
  harness.Respond("/a", "A");
  CHECK(harness.out().empty());
}

TEST_CASE(
    "a caller that closes its sending side still gets complete responses") {
  SessionHarness harness;
  harness.Send(Get("a") + Get("b"));
  harness.session().Reply(harness.number("/a"), MakeResponse("A"));
  harness.session().OnReadClosed();
  CHECK(harness.cancelled() == Texts{"/b"});
  harness.Drain();
  CHECK(harness.Responses() == Texts{"200 A"});
}

TEST_CASE("requests and bytes beyond the limits wait unread") {
  CallerSessionLimits limits;
  limits.max_concurrent_requests = 3;
  limits.max_read_ahead_bytes = 100;
  SessionHarness harness(limits);
  for (char each = 'a'; each <= 'k'; ++each)
    harness.Send(Get(std::string(1, each)));
  CHECK(harness.passed() == Texts{"/a", "/b", "/c"});
  CHECK_FALSE(harness.session().WantsBytes());
  harness.Respond("/a", "A");
  CHECK(harness.passed().size() == 4);
  for (const char* each : {"/b", "/c", "/d", "/e", "/f", "/g", "/h", "/i"})
    harness.Respond(each, "x");
  CHECK(harness.session().WantsBytes());
  CHECK(harness.passed().size() == 11);
}

// Guards against a connection that is kept until its idle timeout, or longer,
// for a request that never ends.
TEST_CASE("bytes without end at any place of a request are refused") {
  constexpr std::size_t kMaxEndlessBytes = 4'000'000;
  const std::string head = "POST /a HTTP/1.1\r\nHost: h\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string x(1000, 'x');
  struct Case {
    std::string before;
    std::string repeated;
    const char* status;
  };
  const Case cases[] = {{"GET /", x, "431"},
                        {head + "X-More: ", x, "431"},
                        {head, "X-More: " + x + "\r\n", "431"},
                        {head, "X-More: x\r\n", "431"},
                        {chunked, std::string(1000, '0'), "400"},
                        {chunked + "5;a=", x, "400"},
                        {chunked + "1\r\nx\r\n5;a=", x, "400"},
                        {chunked, "1;a=" + x + "\r\nx\r\n", "400"},
                        {chunked + "0\r\nX-More: ", x, "400"},
                        {chunked + "0\r\n", "X-More: " + x + "\r\n", "400"}};
  for (const Case& each : cases) {
    CAPTURE(each.before, each.repeated.substr(0, 20));
    SessionHarness harness;
    harness.Send(each.before);
    std::size_t sent = 0;
    while (harness.session().WantsBytes() && sent < kMaxEndlessBytes) {
      harness.Send(each.repeated);
      sent += each.repeated.size();
    }
    CHECK(sent < 300'000);
    CHECK(harness.passed().empty());
    CHECK_THAT(harness.out(), Catch::Matchers::StartsWith(
                                  std::string("HTTP/1.1 ") + each.status));
    CHECK(harness.session().state() == SessionState::kCloseAfterOutput);
  }
}

// Guards against responses that pile up for a caller that sends requests
// without end and reads nothing.
TEST_CASE("requests without end of a caller that reads nothing wait unread") {
  constexpr std::size_t kResponseBytes = 100'000;
  constexpr int kRequests = 200;
  constexpr int kMaxWrites = 1000;
  CallerSession session({}, IsGet, kStart);
  int passed_on = 0;
  const auto respond_all = [&] {
    while (auto request = session.NextRequest()) {
      ++passed_on;
      session.Reply(request->number,
                    MakeResponse(std::string(kResponseBytes, 'x')));
    }
  };
  // One write is in progress.
  session.OnBytes(kStart, Get("first"));
  respond_all();
  REQUIRE_FALSE(session.TakeOutput(kStart).empty());
  for (int i = 0; i < kRequests && session.WantsBytes(); ++i) {
    session.OnBytes(kStart, Get(std::to_string(i)));
    respond_all();
  }
  CHECK(passed_on < 40);
  // They are served when the caller reads on.
  const int passed_on_unread = passed_on;
  for (int i = 0; i < kMaxWrites && session.writing(); ++i) {
    session.OnWritten(kStart);
    respond_all();
    session.TakeOutput(kStart);
  }
  CHECK(passed_on > passed_on_unread);
  CHECK_FALSE(session.writing());
  CHECK(session.WantsBytes());
  CHECK(session.idle());
}

TEST_CASE("responses given twice, late or to no request have no effect") {
  SessionHarness harness;
  harness.Send(Get("a"));
  harness.Respond("/a", "A");
  harness.Respond("/a", "again");
  harness.session().Reply(77, MakeResponse("no request"));
  harness.Body("/a", "more", true);
  harness.session().Truncate(1);
  harness.Drain();
  CHECK(harness.Responses() == Texts{"200 A"});
  harness.Send(Get("b"));
  harness.Respond("/b", "B");
  CHECK(harness.Responses() == Texts{"200 A", "200 B"});
}

TEST_CASE("connections of slow and idle callers time out") {
  CallerSessionLimits limits;
  limits.caller = std::make_shared<const CallerLimitsHistory>(
      CallerLimits{.header_timeout = std::chrono::seconds(2),
                   .idle_timeout = std::chrono::seconds(5)});
  SECTION("slow head") {
    SessionHarness harness(limits);
    harness.Send("GET /a HT");
    harness.session().EnforceTimeouts(At(1900));
    CHECK(harness.session().state() == SessionState::kOpen);
    harness.session().EnforceTimeouts(At(2100));
    CHECK(harness.session().state() == SessionState::kCloseAfterOutput);
  }
  SECTION("incomplete body") {
    SessionHarness harness(limits);
    const std::string post = Post("p", "12345");
    harness.Send(post.substr(0, post.size() - 1));
    harness.session().EnforceTimeouts(At(5100));
    CHECK(harness.session().state() == SessionState::kCloseAfterOutput);
  }
  SECTION("idle, but not while a request is served") {
    SessionHarness harness(limits);
    harness.Send(Get("a"));
    harness.session().EnforceTimeouts(At(9000));
    CHECK(harness.session().state() == SessionState::kOpen);
    harness.SetNow(At(9000));
    harness.Respond("/a", "A");
    harness.session().EnforceTimeouts(At(13'900));
    CHECK(harness.session().state() == SessionState::kOpen);
    harness.session().EnforceTimeouts(At(14'100));
    CHECK(harness.session().state() == SessionState::kCloseAfterOutput);
  }
  SECTION("response that is not read") {
    SessionHarness harness(limits);
    harness.Send(Get("a"));
    harness.session().Reply(1, MakeResponse("A"));
    CHECK_FALSE(harness.session().TakeOutput(At(0)).empty());
    harness.session().EnforceTimeouts(At(14'000));
    CHECK(harness.session().state() == SessionState::kOpen);
    harness.session().EnforceTimeouts(At(15'100));
    CHECK(harness.session().state() == SessionState::kReset);
  }
}

// Guards against connections that are closed while their callers may still use
// them: they kept the limits of the moment at which they were accepted.
TEST_CASE("a connection follows the limits that are in force") {
  const auto seconds = [](int count) { return std::chrono::seconds(count); };
  const auto history = std::make_shared<CallerLimitsHistory>(
      CallerLimits{.max_body_bytes = 100,
                   .header_timeout = seconds(2),
                   .idle_timeout = seconds(5)});
  CallerSessionLimits limits;
  limits.caller = history;
  SessionHarness harness(limits);
  SECTION("idle for longer than the earlier limit") {
    history->Set(At(4000), {.idle_timeout = seconds(20)});
    harness.session().EnforceTimeouts(At(19'900));
    CHECK(harness.session().state() == SessionState::kOpen);
    harness.session().EnforceTimeouts(At(20'100));
    CHECK(harness.session().state() == SessionState::kCloseAfterOutput);
  }
  SECTION("idle since before a lower limit") {
    history->Set(At(1000), {.idle_timeout = seconds(2)});
    harness.session().EnforceTimeouts(At(4900));
    CHECK(harness.session().state() == SessionState::kOpen);
    harness.session().EnforceTimeouts(At(5100));
    CHECK(harness.session().state() == SessionState::kCloseAfterOutput);
  }
  SECTION("idle since after a lower limit") {
    harness.SetNow(At(500));
    harness.Send(Get("a"));
    history->Set(At(1000), {.idle_timeout = seconds(2)});
    harness.SetNow(At(1500));
    harness.Respond("/a", "A");
    harness.session().EnforceTimeouts(At(3400));
    CHECK(harness.session().state() == SessionState::kOpen);
    harness.session().EnforceTimeouts(At(3600));
    CHECK(harness.session().state() == SessionState::kCloseAfterOutput);
  }
  SECTION("a head that began under a lower limit") {
    harness.Send("GET /a HT");
    history->Set(At(1000), {.header_timeout = seconds(4)});
    harness.session().EnforceTimeouts(At(3900));
    CHECK(harness.session().state() == SessionState::kOpen);
    harness.session().EnforceTimeouts(At(4100));
    CHECK(harness.session().state() == SessionState::kCloseAfterOutput);
  }
  SECTION("a body that is larger than the earlier limit") {
    history->Set(At(1000), {.max_body_bytes = 1000});
    harness.SetNow(At(2000));
    harness.Send(Post("p", std::string(500, 'x')));
    CHECK(harness.passed().size() == 1);
  }
  SECTION("a body that began under a higher limit") {
    const std::string post = Post("p", std::string(50, 'x'));
    harness.Send(post.substr(0, post.size() - 1));
    history->Set(At(1000), {.max_body_bytes = 10});
    harness.SetNow(At(2000));
    harness.Send("x");
    CHECK(harness.passed().size() == 1);
    harness.Respond(harness.passed().front(), "P");
    harness.Send(post);
    CHECK(harness.Responses() == Texts{"200 P", "413  close"});
  }
}

// Guards against a log from which nobody can tell why a connection was closed
// with a request on it.
TEST_CASE("the end of a session tells its reason and what it leaves") {
  CallerSessionLimits limits;
  limits.caller = std::make_shared<const CallerLimitsHistory>(
      CallerLimits{.idle_timeout = std::chrono::seconds(5)});
  SessionHarness harness(limits);
  CHECK_FALSE(harness.session().end());
  SECTION("idle") {
    harness.session().EnforceTimeouts(At(5100));
    CHECK(harness.session().end() ==
          SessionEnd{SessionEndReason::kIdleTimeout, 0, 0});
  }
  SECTION("an incomplete request") {
    const std::string head = "POST /p HTTP/1.1\r\nContent-Length: 5\r\n\r\n";
    harness.Send(head + "1234");
    harness.session().EnforceTimeouts(At(5100));
    CHECK(harness.session().end() ==
          SessionEnd{SessionEndReason::kBodyTimeout, 0, head.size() + 4});
  }
  SECTION("requests without a response") {
    harness.Send(Get("a") + Get("b") + Post("c", "1"));
    harness.session().OnReadClosed();
    CHECK(harness.session().end() ==
          SessionEnd{SessionEndReason::kCallerClosed, 3, 0});
  }
  SECTION("requests behind a truncated response") {
    harness.Send(Get("a") + Get("b") + Get("c"));
    harness.Respond("/a", "A");
    harness.Begin("/b", nullptr, 10);
    harness.session().Truncate(harness.number("/b"));
    harness.Drain();
    CHECK(harness.session().end() ==
          SessionEnd{SessionEndReason::kResponseCut, 2, 0});
  }
  SECTION("after the last response") {
    harness.Send("GET /a HTTP/1.1\r\nConnection: close\r\n\r\n" + Get("b"));
    harness.Respond("/a", "A");
    CHECK(harness.session().end() ==
          SessionEnd{SessionEndReason::kLastResponse, 0, Get("b").size()});
  }
}

namespace {

// Takes random actions on a session and checks that each request gets its own
// response.
class RandomCaller {
 public:
  explicit RandomCaller(std::uint64_t seed)
      : random_(seed),
        harness_({.max_concurrent_requests = 4, .max_read_ahead_bytes = 2000}) {
  }

  void Run() {
    for (int step = 0; step < 300; ++step)
      Step();
    // Responds to all requests that were passed on and are still open.
    while (!open_.empty())
      RespondToOne();
    Check();
  }

 private:
  std::size_t RandomBelow(std::size_t limit) { return random_() % limit; }
  // Half of the streamed responses state their length.
  std::optional<std::size_t> RandomLength(std::size_t length) {
    return RandomBelow(2) == 0 ? std::optional(length) : std::nullopt;
  }

  void Step() {
    switch (RandomBelow(12)) {
      case 0:
      case 1:
      case 2:
        Write();
        break;
      case 3:
        if (RandomBelow(30) == 0) {
          harness_.session().Stop();
          stopped_ = true;
        }
        break;
      case 4:
        if (RandomBelow(40) == 0)
          harness_.session().OnReadClosed();
        break;
      case 5:
        if (!open_.empty() && RandomBelow(20) == 0)
          TruncateOne();
        break;
      default:
        Feed();
        if (!open_.empty() && RandomBelow(2) == 0)
          RespondToOne();
    }
    CheckPassed();
  }

  void Write() {
    const std::string id = fmt::format("r{}", ++written_);
    const std::string body(RandomBelow(50), 'b');
    if (RandomBelow(60) == 0) {
      unsent_input_ += "\x01 bad\r\n\r\n";
      sent_invalid_ = true;
    } else if (RandomBelow(3) == 0) {
      unsent_input_ += Post(id, body);
      sent_.push_back("/" + id + body);
    } else {
      unsent_input_ += Get(id);
      sent_.push_back("/" + id);
    }
    if (sent_invalid_)
      sent_.resize(
          std::min(sent_.size(), valid_count_ ? *valid_count_ : sent_.size()));
    if (sent_invalid_ && !valid_count_)
      valid_count_ = sent_.size();
  }

  void Feed() {
    if (unsent_input_.empty() || !harness_.session().WantsBytes())
      return;
    const std::size_t size =
        1 + RandomBelow(std::min<std::size_t>(unsent_input_.size(),
                                              RandomBelow(5) ? 40 : 4000));
    harness_.Send(unsent_input_.substr(0, size));
    unsent_input_.erase(0, size);
  }

  // Checks the requests that were passed on since the last call.
  void CheckPassed() {
    for (; checked_ < harness_.passed().size(); ++checked_) {
      const std::string& each = harness_.passed()[checked_];
      REQUIRE(checked_ < sent_.size());
      REQUIRE(each == sent_[checked_]);
      const bool non_idempotent = each.find('b') != std::string::npos;
      // No other request is served concurrently with a non-idempotent one.
      if (non_idempotent || non_idempotent_open_)
        REQUIRE(OutstandingCount() == 0);
      non_idempotent_open_ = non_idempotent;
      open_.push_back(each);
    }
  }

  std::size_t OutstandingCount() const {
    const std::size_t done = harness_.Responses().size();
    return checked_ > done ? checked_ - done : 0;
  }

  void RespondToOne() {
    const std::size_t at = RandomBelow(open_.size());
    const std::string request = open_[at];
    open_.erase(open_.begin() + static_cast<std::ptrdiff_t>(at));
    if (RandomBelow(4) == 0) {
      harness_.Begin(request, nullptr, RandomLength(request.size()));
      harness_.Body(request, request.substr(0, 2), false);
      harness_.Body(request, request.substr(2), true);
    } else {
      harness_.Respond(request, request);
    }
    CheckPassed();
  }

  void TruncateOne() {
    const std::size_t at = RandomBelow(open_.size());
    harness_.Begin(open_[at], nullptr, RandomLength(8));
    harness_.Body(open_[at], "half", false);
    harness_.session().Truncate(harness_.number(open_[at]));
    open_.erase(open_.begin() + static_cast<std::ptrdiff_t>(at));
    harness_.Drain();
  }

  void Check() const {
    const Texts responses = harness_.Responses();
    for (std::size_t each = 0; each < responses.size(); ++each) {
      const std::string& response = responses[each];
      const bool last = each + 1 == responses.size();
      REQUIRE(response != "junk");
      REQUIRE(response != "unframed");
      if (last && (response == "cut" || response == "400  close"))
        return;
      REQUIRE(each < harness_.passed().size());
      const std::string expected = "200 " + harness_.passed()[each];
      REQUIRE(
          (response == expected || (last && response == expected + " close")));
    }
  }

  std::mt19937_64 random_;
  SessionHarness harness_;
  int written_ = 0;
  bool stopped_ = false;
  bool sent_invalid_ = false;
  bool non_idempotent_open_ = false;
  std::optional<std::size_t> valid_count_;
  std::string unsent_input_;
  // Requests in the order of sending, up to the first invalid one.
  Texts sent_;
  std::size_t checked_ = 0;
  std::vector<std::string> open_;
};

}  // namespace

TEST_CASE("random actions give each request its own response in order") {
  for (std::uint64_t seed = 1; seed <= 400; ++seed) {
    INFO("seed " << seed);
    RandomCaller(seed).Run();
  }
}

}  // namespace figstall
