// Tests that a peer which sends bytes without end exceeds a limit of the
// channel that called it, wherever in a response these bytes are.
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "figstall/http_channel.h"

namespace figstall {
namespace {

using boost::asio::ip::tcp;

constexpr std::size_t kMaxResponseBytes = 65'536;
// The peer stops after this many bytes. A channel that reads all of them fails
// the test.
constexpr std::size_t kMaxEndlessBytes = 64 * 1024 * 1024;

// Answers a request with `before`, then `repeated` again and again until the
// other side closes.
class EndlessPeer {
 public:
  EndlessPeer(boost::asio::io_context& io,
              std::string before,
              std::string repeated)
      : acceptor_(io, {boost::asio::ip::address_v4::loopback(), 0}),
        socket_(io),
        next_(std::move(before)),
        repeated_(std::move(repeated)) {
    acceptor_.async_accept(socket_, [this](boost::system::error_code) {
      socket_.async_read_some(
          boost::asio::buffer(request_),
          [this](boost::system::error_code, std::size_t) { WriteMore(); });
    });
  }

  Endpoint address() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }
  bool closed() const { return closed_; }

 private:
  void WriteMore() {
    boost::asio::async_write(
        socket_, boost::asio::buffer(next_),
        [this](boost::system::error_code error, std::size_t size) {
          written_ += size;
          closed_ = static_cast<bool>(error);
          next_ = repeated_;
          if (!error && written_ < kMaxEndlessBytes)
            WriteMore();
        });
  }

  tcp::acceptor acceptor_;
  tcp::socket socket_;
  std::array<char, 4096> request_;
  std::string next_;
  const std::string repeated_;
  std::size_t written_ = 0;
  bool closed_ = false;
};

}  // namespace

// Guards against a call to a target or the store whose endless answer is kept
// in memory until the call's timeout.
TEST_CASE("bytes without end at any place of an answer end its call") {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string x(1000, 'x');
  struct Case {
    const char* place;
    std::string before;
    std::string repeated;
  };
  const Case cases[] = {
      {"head", "HTTP/1.1 200 ", x},
      {"head", head + "X-More: ", x},
      {"head", head, "X-More: " + x + "\r\n"},
      {"chunk line", chunked, std::string(1000, '0')},
      {"chunk line", chunked + "5;a=", x},
      {"chunk line", chunked + "1\r\nx\r\n5;a=", x},
      {"trailers", chunked + "0\r\nX-More: ", x},
      {"trailers", chunked + "0\r\n", "X-More: " + x + "\r\n"},
      {"body", head + "Content-Length: 99999999999\r\n\r\n", x},
      {"body", chunked, "3e8\r\n" + x + "\r\n"},
      {"body", head + "\r\n", x}};
  for (const Case& each : cases) {
    CAPTURE(each.place, each.before, each.repeated.substr(0, 20));
    boost::asio::io_context io;
    EndlessPeer peer(io, each.before, each.repeated);
    const auto channel = HttpChannel::Make(io, peer.address(), 4);
    std::string exceeded;
    channel->SetLimitHandler(
        [&](const ExceededLimit& limit) { exceeded += limit.place; });
    ChannelRequest call;
    call.target = "/grant";
    call.max_response_bytes = kMaxResponseBytes;
    call.limit = std::chrono::seconds(2);
    std::optional<ChannelResponse> answer;
    channel->Call(call,
                  [&](const ChannelResponse& response) { answer = response; });
    io.run_for(std::chrono::seconds(3));
    REQUIRE(answer);
    CHECK(answer->sent);
    CHECK_FALSE(answer->status);
    CHECK_THAT(answer->failure,
               Catch::Matchers::StartsWith(std::string(each.place) + " over "));
    CHECK(exceeded == each.place);
    CHECK(peer.closed());
  }
}

}  // namespace figstall
