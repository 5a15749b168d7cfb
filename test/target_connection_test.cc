// A connection to a target that answers with too much, too late or without end.
// The target is a socket on loopback that writes what a test says.
#include "figstall/target_connection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

namespace figstall {
namespace {

using boost::asio::ip::tcp;
namespace http = boost::beast::http;

// Bytes of a target that never ends; a connection that took them all would fail
// the test by its count.
constexpr std::size_t kEndless = 64 * 1024 * 1024;

class RawTarget {
 public:
  explicit RawTarget(boost::asio::io_context& io)
      : acceptor_(io, {boost::asio::ip::address_v4::loopback(), 0}),
        socket_(io) {
    acceptor_.async_accept(socket_, [](boost::system::error_code) {});
  }

  Endpoint address() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }
  // False once the other side has closed.
  bool Write(const std::string& bytes) {
    boost::system::error_code error;
    boost::asio::write(socket_, boost::asio::buffer(bytes), error);
    return !error;
  }
  // Writes this again and again until the other side closes.
  void WriteEndlessly(const std::string& bytes) {
    endless_ = bytes;
    WriteMore();
  }
  std::size_t written() const { return written_; }
  bool closed() const { return closed_; }

 private:
  void WriteMore() {
    boost::asio::async_write(
        socket_, boost::asio::buffer(endless_),
        [this](boost::system::error_code error, std::size_t size) {
          written_ += size;
          closed_ = static_cast<bool>(error);
          if (!error && written_ < kEndless)
            WriteMore();
        });
  }

  tcp::acceptor acceptor_;
  tcp::socket socket_;
  std::string endless_;
  std::size_t written_ = 0;
  bool closed_ = false;
};

std::shared_ptr<const HttpRequest> Request() {
  auto request = std::make_shared<HttpRequest>(http::verb::get, "/a", 11);
  request->set(http::field::host, "h");
  return request;
}

std::string Answer(const std::string& id, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

// What came of one request on a connection.
struct Seen {
  std::string body;
  bool ended = false;
  std::optional<FailureStage> broken;
};

class Pair {
 public:
  Pair() : target_(io_) {
    connection_ = std::make_shared<TargetConnection>(
        io_, target_.address(), [this] { closed_ = true; });
  }

  std::shared_ptr<Seen> Send(const std::string& id) {
    auto seen = std::make_shared<Seen>();
    ResponseObserver observer;
    observer.on_head = [id](const ResponseHead& head) {
      return View(head["Request-Id"]) == id;
    };
    observer.on_body = [seen](std::string_view bytes) { seen->body += bytes; };
    observer.on_end = [seen] { seen->ended = true; };
    observer.on_error = [seen](FailureStage point, const std::string&) {
      seen->broken = point;
    };
    connection_->Send(Request(), observer);
    Settle();
    return seen;
  }
  // Handles everything that has happened on both sides.
  void Settle() {
    for (int quiet = 0; quiet < 5;) {
      const bool worked = io_.run_for(std::chrono::milliseconds(4)) > 0;
      quiet = worked ? 0 : quiet + 1;
      io_.restart();
    }
  }

  RawTarget& target() { return target_; }
  TargetConnection& connection() { return *connection_; }
  bool closed() const { return closed_; }

 private:
  boost::asio::io_context io_;
  RawTarget target_;
  std::shared_ptr<TargetConnection> connection_;
  bool closed_ = false;
};

}  // namespace

TEST_CASE("a late second copy of an answer is nobody's answer") {
  Pair pair;
  const auto first = pair.Send("one");
  pair.target().Write(Answer("one", "1"));
  pair.Settle();
  REQUIRE(first->ended);
  REQUIRE(pair.connection().idle());
  SECTION("while the connection is idle, it is closed") {
    pair.target().Write(Answer("one", "1"));
    pair.Settle();
    CHECK(pair.closed());
  }
  SECTION("where the next answer is due, it is read past") {
    const auto second = pair.Send("two");
    pair.target().Write(Answer("one", "1") + Answer("two", "2"));
    pair.Settle();
    CHECK(second->ended);
    CHECK(second->body == "2");
    CHECK(pair.closed());
  }
}

TEST_CASE("bytes behind a whole answer close the connection") {
  Pair pair;
  const auto seen = pair.Send("one");
  pair.target().Write(Answer("one", "1") + "surplus");
  pair.Settle();
  CHECK(seen->ended);
  CHECK(seen->body == "1");
  CHECK(pair.closed());
}

TEST_CASE("a head without end is no answer") {
  Pair pair;
  const auto seen = pair.Send("one");
  pair.target().Write("HTTP/1.1 200 OK\r\n");
  pair.target().WriteEndlessly("X-More: " + std::string(1000, 'x') + "\r\n");
  pair.Settle();
  CHECK(seen->broken == FailureStage::kAnswerCut);
  CHECK(pair.closed());
  CHECK(pair.target().closed());
}

TEST_CASE("bytes that are no answer end the connection at once") {
  Pair pair;
  const auto seen = pair.Send("one");
  pair.target().WriteEndlessly(std::string(1000, '\x01'));
  pair.Settle();
  CHECK(seen->broken == FailureStage::kAnswerCut);
  CHECK(pair.target().closed());
}

TEST_CASE("a body without end can be paused and given up") {
  Pair pair;
  const auto seen = pair.Send("one");
  pair.connection().Pause();
  pair.target().Write("HTTP/1.1 200 OK\r\nRequest-Id: one\r\n\r\n");
  pair.target().WriteEndlessly(std::string(1000, 'x'));
  pair.Settle();
  // Only what the sockets hold was taken.
  CHECK(pair.target().written() < kEndless);
  CHECK(seen->body.size() < 1'000'000);
  pair.connection().Cancel();
  pair.Settle();
  CHECK(pair.target().closed());
}

TEST_CASE("answers of others without end are read past until given up") {
  Pair pair;
  const auto seen = pair.Send("one");
  pair.target().WriteEndlessly(Answer("other", "2"));
  pair.Settle();
  CHECK(seen->body.empty());
  CHECK_FALSE(seen->ended);
  CHECK(seen->broken == FailureStage::kAnswerCut);
  CHECK(pair.target().closed());
}

}  // namespace figstall
