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
  void CloseSendingSide() { caller_.shutdown(tcp::socket::shutdown_send); }
  // Lets the time limits act as if this time had passed.
  void EnforceTimeouts(Duration passed) {
    connection_->EnforceTimeouts(BootNow() + passed);
    Settle();
  }
  void CloseIfIdle() {
    connection_->CloseIfIdle();
    Settle();
  }
  void Serve() {
    CallerConnection::Handlers handlers;
    handlers.on_request = [this](const ResponseWriter& writer,
                                 const CallerRequest&) {
      ++requests_;
      if (!respond_)
        return;
      HttpResponse response;
      response.version(11);
      response.body() = body_;
      writer.Reply(std::move(response));
    };
    handlers.on_closed = [this](const CallerConnection*) { closed_ = true; };
    handlers.on_end = [this](const CallerConnectionEnd& end) { end_ = end; };
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
  bool busy() const { return connection_->busy(); }
  const std::optional<CallerConnectionEnd>& end() const { return end_; }
  void EnableResponses(std::string body = "done") {
    respond_ = true;
    body_ = std::move(body);
  }

 private:
  boost::asio::io_context io_;
  tcp::acceptor acceptor_;
  tcp::socket caller_;
  std::shared_ptr<CallerConnection> connection_;
  int requests_ = 0;
  bool respond_ = false;
  std::string body_;
  bool closed_ = false;
  std::optional<CallerConnectionEnd> end_;
};

// A connection whose caller has asked for a response that its kernel takes only
// in part, while that of the connection has taken the whole.
class SlowReader : public DelayedConnection {
 public:
  static constexpr std::size_t kResponseBytes = 1'500'000;

  SlowReader() {
    EnableResponses(std::string(kResponseBytes, 'x'));
    Write(kRequest);
    Serve();
    for (int i = 0; i < 40; ++i)
      Settle();
  }
  // Reads until nothing arrives any more. Returns the number of bytes.
  std::size_t ReadRest() {
    std::size_t size = 0;
    for (int quiet = 0; quiet < 5;) {
      const std::size_t read = ReadAll().size();
      size += read;
      quiet = read > 0 ? 0 : quiet + 1;
      if (read == 0)
        Settle();
    }
    return size;
  }
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

// Guards against limits that end a connection while a request on it lies in the
// kernel: a process that stood still runs its timer before it reads.
TEST_CASE("what has arrived is read before a time limit ends a connection") {
  const std::string get(kRequest);
  const std::string post =
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n12345";
  const auto [request, read_before] = GENERATE_COPY(
      std::pair(get, std::size_t{0}), std::pair(get, get.size() / 2),
      std::pair(post, post.size() - 2));
  INFO(request << " of which " << read_before << " bytes were read before");
  DelayedConnection delayed;
  delayed.EnableResponses();
  if (read_before > 0)
    delayed.Write(request.substr(0, read_before));
  delayed.Serve();
  REQUIRE(delayed.requests() == 0);
  delayed.Write(request.substr(read_before));
  delayed.EnforceTimeouts(std::chrono::seconds(16));
  CHECK(delayed.requests() == 1);
  CHECK(delayed.ReadAll().find("done") != std::string::npos);
  delayed.EnforceTimeouts(std::chrono::seconds(1));
  CHECK_FALSE(delayed.closed());
}

// Guards against a request that is read and dropped after an idle connection
// was closed. Its caller learned of the close half a second later.
TEST_CASE("an idle connection is closed in both directions at once") {
  DelayedConnection delayed;
  delayed.Serve();
  delayed.EnforceTimeouts(std::chrono::seconds(16));
  CHECK(delayed.closed());
}

// The same for a response that the caller reads while the process stands still.
TEST_CASE("a caller that has read what was written is not reset") {
  constexpr std::size_t kResponseBytes = 16'000'000;
  DelayedConnection delayed;
  delayed.EnableResponses(std::string(kResponseBytes, 'x'));
  delayed.Write(kRequest);
  delayed.Serve();
  // Until the kernel takes no more.
  const auto settle = [&] {
    for (int i = 0; i < 20; ++i)
      delayed.Settle();
  };
  settle();
  std::size_t size = 0;
  const auto read = [&] {
    for (std::string bytes = delayed.ReadAll(); !bytes.empty();
         bytes = delayed.ReadAll())
      size += bytes.size();
  };
  read();
  CHECK(size < kResponseBytes);
  delayed.EnforceTimeouts(std::chrono::seconds(16));
  CHECK_FALSE(delayed.closed());
  for (int i = 0; i < 1000 && size < kResponseBytes; ++i) {
    read();
    delayed.Settle();
  }
  CHECK(size > kResponseBytes);
  SECTION("one that reads nothing is") {
    delayed.Write(kRequest);
    settle();
    delayed.EnforceTimeouts(std::chrono::seconds(16));
    CHECK(delayed.closed());
  }
}

TEST_CASE("a caller has time to read the last response") {
  DelayedConnection delayed;
  delayed.EnableResponses();
  delayed.Write("GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  delayed.Serve();
  CHECK_FALSE(delayed.closed());
  // Does not reset the connection.
  delayed.Write(kRequest);
  delayed.Settle();
  CHECK(delayed.ReadAll().find("done") != std::string::npos);
  CHECK_FALSE(delayed.closed());
  delayed.EnforceTimeouts(std::chrono::seconds(1));
  CHECK(delayed.closed());
}

// Guards against a response that is lost on its way: a caller reads it slowly
// and sends again, which resets a connection that was closed meanwhile.
TEST_CASE("a response that its caller has not received survives the close") {
  SlowReader reader;
  reader.CloseIfIdle();
  reader.Write(kRequest);
  CHECK(reader.ReadRest() > SlowReader::kResponseBytes);
}

// Guards against a close, and at a planned stop the end of the process, while
// the kernel still holds a part of the response (review/10).
TEST_CASE("a closed connection is kept until the last response is delivered") {
  SlowReader reader;
  reader.CloseIfIdle();
  CHECK(reader.busy());
  reader.EnforceTimeouts(std::chrono::seconds(2));
  REQUIRE_FALSE(reader.closed());
  reader.Write(kRequest);
  reader.Settle();
  reader.EnforceTimeouts(std::chrono::seconds(4));
  REQUIRE_FALSE(reader.closed());
  CHECK(reader.ReadRest() > SlowReader::kResponseBytes);
  reader.EnforceTimeouts(std::chrono::seconds(6));
  CHECK(reader.closed());
  CHECK(reader.requests() == 1);
}

TEST_CASE("a response of which the caller receives nothing is given up") {
  SlowReader reader;
  reader.CloseIfIdle();
  reader.EnforceTimeouts(std::chrono::seconds(2));
  CHECK_FALSE(reader.closed());
  reader.EnforceTimeouts(std::chrono::seconds(18));
  CHECK(reader.closed());
  REQUIRE(reader.end());
  CHECK(reader.end()->undelivered_bytes > 0);
  CHECK(reader.end()->LostRequests());
}

// Guards against idle time that is counted while a response is under way.
TEST_CASE("a caller that still receives a response is not idle") {
  SlowReader reader;
  reader.EnforceTimeouts(std::chrono::seconds(16));
  CHECK_FALSE(reader.busy());
  reader.Write(kRequest);
  reader.Settle();
  CHECK(reader.requests() == 2);
}

// The same close, begun by a caller that reads on.
TEST_CASE("a caller that closes its sending side receives the response") {
  SlowReader reader;
  reader.CloseSendingSide();
  reader.Settle();
  CHECK_FALSE(reader.closed());
  CHECK(reader.ReadRest() > SlowReader::kResponseBytes);
  reader.EnforceTimeouts(std::chrono::milliseconds(1));
  CHECK(reader.closed());
  CHECK_FALSE(reader.end()->LostRequests());
}

}  // namespace figstall
