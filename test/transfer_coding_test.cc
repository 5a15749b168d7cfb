// Tests what is done with requests and responses whose Transfer-Encoding or
// Content-Length does not say where their bodies end: through a caller's
// session, a connection to a target and an HttpChannel.
#include "figstall/transfer_coding.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "figstall/caller_session.h"
#include "figstall/http_channel.h"
#include "figstall/target_connection.h"

namespace figstall {
namespace {

using boost::asio::ip::tcp;
namespace http = boost::beast::http;

constexpr Instant kStart{std::chrono::seconds(100)};

struct Framing {
  std::string version = "1.1";
  // Header lines of the framing.
  std::string fields;
  // 0 if the message is valid.
  int request_status = 0;
};

// The chunks of a body, which a parser that ignores Transfer-Encoding takes for
// the next message or for a body until the close.
const std::string kChunks = "3\r\nabc\r\n0\r\n\r\n";

const std::vector<Framing>& Framings() {
  static const std::vector<Framing> framings = {
      {"1.1", "Transfer-Encoding: chunked\r\n", 0},
      {"1.1", "Transfer-Encoding: Chunked \r\n", 0},
      {"1.1", "Transfer-Encoding: xchunked\r\n", 400},
      {"1.1", "Transfer-Encoding: chunked, identity\r\n", 400},
      {"1.1", "Transfer-Encoding: identity\r\n", 400},
      {"1.1", "Transfer-Encoding: gzip\r\n", 400},
      {"1.1", "Transfer-Encoding: \"chunked\"\r\n", 400},
      {"1.1", "Transfer-Encoding: chunked;a=b\r\n", 400},
      {"1.1", "Transfer-Encoding: \r\n", 400},
      {"1.1", "Transfer-Encoding: chunked,\r\n", 400},
      {"1.1", "Transfer-Encoding: chunked, chunked\r\n", 400},
      {"1.1", "Transfer-Encoding: gzip, chunked\r\n", 501},
      {"1.1", "Transfer-Encoding: identity, chunked\r\n", 501},
      {"1.1", "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n", 501},
      {"1.1", "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n", 400},
      {"1.1", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
       400},
      {"1.1", "Transfer-Encoding: xchunked\r\nTransfer-Encoding: x\r\n", 400},
      {"1.1", "Transfer-Encoding: chunked\r\nContent-Length: 13\r\n", 400},
      {"1.1", "Content-Length: 13\r\nTransfer-Encoding: chunked\r\n", 400},
      {"1.1", "Transfer-Encoding: xchunked\r\nContent-Length: 13\r\n", 400},
      {"1.1", "Content-Length: 13\r\nTransfer-Encoding: xchunked\r\n", 400},
      {"1.0", "Transfer-Encoding: chunked\r\n", 400},
      {"1.0", "Transfer-Encoding: xchunked\r\n", 400},
      {"1.1", "Transfer-Encoding : chunked\r\n", 400},
      {"1.1", "Content-Length : 13\r\n", 400},
      {"1.1", "Content-Length: 13\r\nContent-Length: 14\r\n", 400},
      {"1.1", "Content-Length: 13, 14\r\n", 400},
      {"1.1", "Content-Length: +13\r\n", 400},
      {"1.1", "Content-Length: 13x\r\n", 400},
      {"1.1", "Content-Length: \r\n", 400},
      // A folded line is one value, with a space for the fold.
      {"1.1", "Transfer-Encoding:\r\n chunked\r\n", 0},
      {"1.1", "Transfer-Encoding: x\r\n chunked\r\n", 400},
      {"1.1", "Transfer-Encoding: chunked\r\n ,identity\r\n", 400}};
  return framings;
}

// Answers one request with these bytes.
class Peer {
 public:
  Peer(boost::asio::io_context& io, std::string bytes)
      : acceptor_(io, {boost::asio::ip::address_v4::loopback(), 0}),
        socket_(io),
        bytes_(std::move(bytes)) {
    acceptor_.async_accept(socket_, [this](boost::system::error_code) {
      socket_.async_read_some(
          boost::asio::buffer(buffer_),
          [this](boost::system::error_code, std::size_t) {
            boost::system::error_code ignored;
            boost::asio::write(socket_, boost::asio::buffer(bytes_), ignored);
            ReadEnd();
          });
    });
  }

  Endpoint address() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }
  bool closed_by_other() const { return closed_by_other_; }
  void Close() { socket_.close(); }

 private:
  void ReadEnd() {
    socket_.async_read_some(
        boost::asio::buffer(buffer_),
        [this](boost::system::error_code error, std::size_t) {
          closed_by_other_ = error != boost::asio::error::operation_aborted;
        });
  }

  tcp::acceptor acceptor_;
  tcp::socket socket_;
  std::array<char, 4096> buffer_;
  const std::string bytes_;
  bool closed_by_other_ = false;
};

// Runs both sides until neither has anything left to do.
void Settle(boost::asio::io_context& io) {
  for (int idle_rounds = 0; idle_rounds < 5;) {
    const bool worked = io.run_for(std::chrono::milliseconds(4)) > 0;
    idle_rounds = worked ? 0 : idle_rounds + 1;
    io.restart();
  }
}

std::string Response(const Framing& framing) {
  return "HTTP/" + framing.version + " 200 OK\r\nRequest-Id: one\r\n" +
         framing.fields + "\r\n" + kChunks;
}

}  // namespace

// Guards against a request hidden in another one's body: the parser ignores a
// Transfer-Encoding that it doesn't know, and reads the body as a request.
TEST_CASE("a request whose end is not known is refused and ends its session") {
  for (const Framing& framing : Framings()) {
    for (const std::size_t step : {std::size_t{1}, std::size_t{100'000}}) {
      CAPTURE(framing.version, framing.fields, step);
      CallerSession session(
          {}, [](const HttpRequest&) { return true; }, kStart);
      const std::string bytes = "POST /first HTTP/" + framing.version +
                                "\r\nHost: h\r\nConnection: keep-alive\r\n" +
                                framing.fields + "\r\n" + kChunks +
                                "GET /second HTTP/1.1\r\nHost: h\r\n\r\n";
      for (std::size_t at = 0; at < bytes.size(); at += step)
        session.OnBytes(kStart, std::string_view(bytes).substr(at, step));
      std::vector<std::string> passed_on;
      while (auto request = session.NextRequest())
        passed_on.push_back(std::string(View(request->message.target())) + " " +
                            request->message.body());
      if (framing.request_status == 0) {
        CHECK(passed_on == std::vector<std::string>{"/first abc", "/second "});
        continue;
      }
      CHECK(passed_on.empty());
      CHECK(session.TakeRefusedStatus() == framing.request_status);
      CHECK_THAT(session.TakeOutput(kStart),
                 Catch::Matchers::StartsWith(
                     "HTTP/1.1 " + std::to_string(framing.request_status)) &&
                     Catch::Matchers::Contains("Connection: close"));
      CHECK(session.state() == SessionState::kCloseAfterOutput);
    }
  }
}

// Guards against a response that is passed on as complete although its end, or
// the coding of its body, is not known.
TEST_CASE("a target's response whose end is not known is a failed attempt") {
  for (const Framing& framing : Framings()) {
    CAPTURE(framing.version, framing.fields);
    boost::asio::io_context io;
    Peer target(io, Response(framing));
    bool closed = false;
    const auto connection = std::make_shared<TargetConnection>(
        io, target.address(), [&closed] { closed = true; });
    std::string body;
    bool ended = false;
    std::optional<FailureStage> failure;
    ResponseObserver observer;
    observer.on_head = [](const ResponseHead&) { return true; };
    observer.on_body = [&](std::string_view bytes) { body += bytes; };
    observer.on_end = [&] { ended = true; };
    observer.on_error = [&](FailureStage stage, const std::string&) {
      failure = stage;
    };
    const auto request =
        std::make_shared<TargetRequest>(http::verb::get, "/a", 11);
    connection->Send(request, observer);
    Settle(io);
    target.Close();
    Settle(io);
    CHECK(ended == (framing.request_status == 0));
    CHECK(body == (ended ? "abc" : ""));
    if (framing.request_status != 0) {
      CHECK(failure == FailureStage::kAnswerCut);
      CHECK(closed);
    }
  }
}

// Guards against OWNER: an answer to a grant or release, or of the store, that
// counts although it may have been cut.
TEST_CASE("a channel takes no response whose end is not known") {
  for (const Framing& framing : Framings()) {
    CAPTURE(framing.version, framing.fields);
    boost::asio::io_context io;
    Peer peer(io, Response(framing));
    const auto channel = HttpChannel::Make(io, peer.address(), 4);
    ChannelRequest call;
    call.target = "/a";
    call.limit = std::chrono::milliseconds(400);
    std::optional<bool> answered;
    std::string body;
    channel->Call(call, [&](const ChannelResponse& response) {
      answered = response.status.has_value();
      body = response.body;
      CHECK(response.sent);
    });
    Settle(io);
    peer.Close();
    Settle(io);
    REQUIRE(answered);
    CHECK(*answered == (framing.request_status == 0));
    CHECK(body == (*answered ? "abc" : ""));
    channel->Close();
    Settle(io);
  }
}

}  // namespace figstall
