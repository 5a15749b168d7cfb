// A caller's socket: what a close that has already come means for the requests
// before it.
#include "figstall/caller_connection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

namespace figstall {
namespace {

using boost::asio::ip::tcp;

constexpr char kRequest[] = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

// A caller whose bytes and close wait in the socket before the process looks.
class Late {
 public:
  Late()
      : acceptor_(io_, {boost::asio::ip::address_v4::loopback(), 0}),
        caller_(io_) {
    caller_.connect(acceptor_.local_endpoint());
  }

  void Write(const std::string& bytes) {
    boost::asio::write(caller_, boost::asio::buffer(bytes));
  }
  void Close() { caller_.close(); }
  void Serve() {
    CallerConnection::Handlers handlers;
    handlers.on_request = [this](const ResponseWriter& slot,
                                 const CallerRequest&) {
      ++requests_;
      if (!answer_)
        return;
      HttpResponse answer;
      answer.version(11);
      answer.body() = "done";
      slot.Reply(std::move(answer));
    };
    handlers.on_closed = [this](const CallerConnection*) { closed_ = true; };
    handlers.stopping = [] { return false; };
    handlers.is_idempotent = [](const HttpRequest&) { return true; };
    connection_ = std::make_shared<CallerConnection>(
        acceptor_.accept(), CallerLimits{}, std::move(handlers));
    connection_->Start();
    Settle();
  }
  void Settle() {
    io_.run_for(std::chrono::milliseconds(20));
    io_.restart();
  }
  std::string ReadAll() {
    std::string bytes;
    boost::system::error_code error;
    std::array<char, 1000> chunk;
    caller_.non_blocking(true);
    const std::size_t size =
        caller_.read_some(boost::asio::buffer(chunk), error);
    bytes.append(chunk.data(), size);
    return bytes;
  }

  int requests() const { return requests_; }
  bool closed() const { return closed_; }
  void SetAnswer() { answer_ = true; }

 private:
  boost::asio::io_context io_;
  tcp::acceptor acceptor_;
  tcp::socket caller_;
  std::shared_ptr<CallerConnection> connection_;
  int requests_ = 0;
  bool answer_ = false;
  bool closed_ = false;
};

}  // namespace

// Load: a process on a tenth of a core that runs a second late, callers that
// give up a request which is not read after a second.
TEST_CASE("a request whose caller has already left is not passed on") {
  Late late;
  late.Write(kRequest);
  late.Close();
  late.Serve();
  CHECK(late.requests() == 0);
  CHECK(late.closed());
}

TEST_CASE("a request whose caller waits is passed on and answered") {
  Late late;
  late.SetAnswer();
  late.Write(kRequest);
  late.Serve();
  CHECK(late.requests() == 1);
  CHECK(late.ReadAll().find("done") != std::string::npos);
  late.Close();
  late.Settle();
  CHECK(late.closed());
}

}  // namespace figstall
