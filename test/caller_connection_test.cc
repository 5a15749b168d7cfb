// Tests that the caller's close cancels requests which arrived before it but
// were not yet passed on.
#include "figstall/caller_connection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

namespace figstall {
namespace {

using boost::asio::ip::tcp;

constexpr char kRequest[] = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

// A caller and its connection, which reads for the first time after the
// caller's bytes, and perhaps its close, have arrived.
class DelayedConnection {
 public:
  DelayedConnection()
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
    handlers.on_request = [this](const ResponseWriter& writer,
                                 const CallerRequest&) {
      ++requests_;
      if (!respond_)
        return;
      HttpResponse response;
      response.version(11);
      response.body() = "done";
      writer.Reply(std::move(response));
    };
    handlers.on_closed = [this](const CallerConnection*) { closed_ = true; };
    handlers.stopping = [] { return false; };
    handlers.is_idempotent = [](const HttpRequest&) { return true; };
    connection_ = std::make_shared<CallerConnection>(
        acceptor_.accept(), std::make_shared<const CallerLimitsHistory>(),
        std::move(handlers));
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
  void EnableResponses() { respond_ = true; }

 private:
  boost::asio::io_context io_;
  tcp::acceptor acceptor_;
  tcp::socket caller_;
  std::shared_ptr<CallerConnection> connection_;
  int requests_ = 0;
  bool respond_ = false;
  bool closed_ = false;
};

}  // namespace

// Guards against serving requests whose callers have disconnected. On a tenth
// of a CPU core, the process can read a request a second after its arrival.
// Callers abandon a request that is not read within a second.
TEST_CASE("a request whose caller has already disconnected is not passed on") {
  DelayedConnection delayed;
  delayed.Write(kRequest);
  delayed.Close();
  delayed.Serve();
  CHECK(delayed.requests() == 0);
  CHECK(delayed.closed());
}

TEST_CASE("a request whose caller still waits is passed on and responded to") {
  DelayedConnection delayed;
  delayed.EnableResponses();
  delayed.Write(kRequest);
  delayed.Serve();
  CHECK(delayed.requests() == 1);
  CHECK(delayed.ReadAll().find("done") != std::string::npos);
  delayed.Close();
  delayed.Settle();
  CHECK(delayed.closed());
}

}  // namespace figstall
