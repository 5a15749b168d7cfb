// Feeds random input to a caller's session, split in different ways. The
// session must not crash, must parse the same requests however the input is
// split, and must send no response without a request. The environment variable
// FIGSTALL_FUZZ multiplies the number of inputs.
#include <catch2/catch.hpp>
#include <random>

#include "figstall/caller_session.h"
#include "iteration_factor.h"

namespace figstall {
namespace {

namespace http = boost::beast::http;

constexpr Instant kNow{std::chrono::seconds(100)};

// Inputs are composed of these: valid requests, parts of requests and invalid
// bytes.
constexpr char kChunked[] =
    "POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    "3\r\nabc\r\n0\r\n\r\n";
constexpr char kTwoLengths[] =
    "POST /b HTTP/1.1\r\nContent-Length: 5\r\n"
    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
const char* const kPieces[] = {
    "GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
    "GET /long HTTP/1.1\r\nHost: h\r\nCookie: aaaaaaaaaaaaaaa\r\n\r\n",
    "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello",
    kChunked,
    "POST /e HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nok",
    "GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
    kTwoLengths,
    "HEAD /h HTTP/1.1\r\nHost: h\r\n\r\n",
    "GET /old HTTP/1.0\r\n\r\n",
    "Content-Length: 7\r\n",
    "\r\n\r\n",
    "7\r\n",
    "GET ",
    " HTTP/1.1\r\n",
    "\xff\x00\x01"};

// Number of pieces at the start of kPieces that are valid requests.
constexpr std::size_t kValidPieces = 6;

std::string MakeInput(std::mt19937_64& random) {
  std::string input;
  for (std::uint64_t pieces = 1 + random() % 8; pieces > 0; --pieces)
    input += kPieces[random() %
                     (random() % 4 > 0 ? kValidPieces : std::size(kPieces))];
  for (std::uint64_t changes = random() % 3; changes > 0; --changes) {
    const std::size_t at = random() % input.size();
    switch (random() % 3) {
      case 0:
        input[at] = static_cast<char>(random());
        break;
      case 1:
        input.erase(at, 1 + random() % 5);
        break;
      default:
        input.insert(at, 1, static_cast<char>(random()));
    }
    if (input.empty())
      input = "\n";
  }
  // The parser accepts or refuses a head only when it is complete.
  return input + "\r\n\r\n";
}

// What a session parsed and sent for one input.
struct Outcome {
  std::vector<std::string> requests;
  std::vector<unsigned> statuses;
  bool invalid_output = false;
  SessionState state = SessionState::kOpen;

  friend bool operator==(const Outcome&, const Outcome&) = default;
};

std::ostream& operator<<(std::ostream& out, const Outcome& outcome) {
  for (const std::string& each : outcome.requests)
    out << "[" << each << "] ";
  for (const unsigned each : outcome.statuses)
    out << each << " ";
  return out << (outcome.invalid_output ? "invalid output " : "")
             << static_cast<int>(outcome.state);
}

void ServeRequests(CallerSession& session, Outcome& outcome, std::string& out) {
  for (bool progressed = true; progressed;) {
    progressed = false;
    while (auto request = session.NextRequest()) {
      progressed = true;
      outcome.requests.push_back(
          std::string(View(request->message.method_string())) + " " +
          std::string(View(request->message.target())) + " " +
          request->message.body());
      HttpResponse response;
      response.version(11);
      response.result(204);
      session.Reply(request->number, std::move(response));
    }
    const std::string bytes = session.TakeOutput(kNow);
    if (bytes.empty())
      continue;
    progressed = true;
    out += bytes;
    session.OnWritten(kNow);
  }
}

template <typename NextSize>
Outcome Feed(const std::string& input, NextSize&& next_size) {
  CallerSession session(
      {},
      [](const HttpRequest& request) {
        return request.method() == http::verb::get;
      },
      kNow);
  Outcome outcome;
  std::string out;
  for (std::size_t at = 0; at < input.size();) {
    const std::size_t size = std::min(input.size() - at, next_size());
    session.OnBytes(kNow, std::string_view(input).substr(at, size));
    at += size;
    ServeRequests(session, outcome, out);
  }
  outcome.state = session.state();
  while (!out.empty()) {
    http::response_parser<http::string_body> parser;
    parser.eager(true);
    boost::system::error_code error;
    const std::size_t parsed =
        parser.put(boost::asio::buffer(out.data(), out.size()), error);
    if (error || !parser.is_done()) {
      outcome.invalid_output = true;
      break;
    }
    // Whether an interim response is sent depends on how the input is split.
    if (parser.get().result_int() != 100)
      outcome.statuses.push_back(parser.get().result_int());
    out.erase(0, parsed);
  }
  return outcome;
}

}  // namespace

TEST_CASE(
    "any bytes give the same requests and responses however they are split") {
  const std::uint64_t inputs = 4000U * IterationFactor("FIGSTALL_FUZZ");
  std::size_t requests = 0;
  for (std::uint64_t seed = 1; seed <= inputs; ++seed) {
    std::mt19937_64 random(seed);
    const std::string input = MakeInput(random);
    INFO("seed " << seed << ": " << input);
    const Outcome whole = Feed(input, [&] { return input.size(); });
    const Outcome bytes = Feed(input, [] { return std::size_t{1}; });
    const Outcome pieces =
        Feed(input, [&] { return std::size_t{1 + random() % 30}; });
    REQUIRE_FALSE(whole.invalid_output);
    REQUIRE(whole == bytes);
    REQUIRE(whole == pieces);
    // Each request gets one response. Invalid input after the requests gets one
    // more.
    REQUIRE(whole.statuses.size() >= whole.requests.size());
    REQUIRE(whole.statuses.size() <= whole.requests.size() + 1);
    requests += whole.requests.size();
  }
  CHECK(requests > inputs);
}

}  // namespace figstall
