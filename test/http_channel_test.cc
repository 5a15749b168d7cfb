// Tests which response HttpChannel takes for the response to a call, and which
// answers count for grants and releases. The peer is a loopback server that
// writes bytes given by the test.
#include "figstall/http_channel.h"

#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <csignal>
#include <thread>

#include "platform/target_orders.h"

namespace figstall {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using platform::ReleaseOutcome;
using std::chrono::milliseconds;

constexpr Duration kCallTimeout = milliseconds(400);
// Long enough for bytes to pass over loopback.
constexpr Duration kLoopbackDelay = milliseconds(5);

// A request as the peer received it: the index of its connection, its index
// there, both from 0, and its head.
struct ReceivedRequest {
  std::size_t connection = 0;
  std::size_t index = 0;
  std::string head;

  std::string Header(const std::string& name) const {
    const std::size_t found = head.find("\r\n" + name + ": ");
    if (found == std::string::npos)
      return "";
    const std::size_t first = found + name.size() + 4;
    return head.substr(first, head.find("\r\n", first) - first);
  }
};

// Accepts any number of connections and writes what `respond` returns.
class RawServer {
 public:
  using Respond = std::function<std::string(const ReceivedRequest&)>;

  RawServer(boost::asio::io_context& io, Respond respond)
      : acceptor_(io, {boost::asio::ip::address_v4::loopback(), 0}),
        respond_(std::move(respond)) {
    Accept();
  }

  Endpoint address() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }
  std::size_t connection_count() const { return connections_.size(); }
  void Write(std::size_t connection, const std::string& bytes) {
    error_code ignored;
    boost::asio::write(connections_.at(connection)->socket,
                       boost::asio::buffer(bytes), ignored);
  }

 private:
  struct Connection {
    explicit Connection(tcp::socket accepted) : socket(std::move(accepted)) {}

    tcp::socket socket;
    boost::asio::streambuf buffer;
    std::size_t request_count = 0;
  };

  void Accept() {
    acceptor_.async_accept([this](error_code error, tcp::socket socket) {
      if (error)
        return;
      connections_.push_back(std::make_unique<Connection>(std::move(socket)));
      Read(connections_.size() - 1);
      Accept();
    });
  }

  // The bodies of requests are small JSON objects, which end with a brace.
  void Read(std::size_t i) {
    Connection& connection = *connections_[i];
    boost::asio::async_read_until(
        connection.socket, connection.buffer, "\r\n\r\n",
        [this, i](error_code error, std::size_t size) {
          if (error)
            return;
          Connection& ready = *connections_[i];
          const std::string head(
              boost::asio::buffers_begin(ready.buffer.data()),
              boost::asio::buffers_begin(ready.buffer.data()) +
                  static_cast<std::ptrdiff_t>(size));
          ready.buffer.consume(size);
          if (head.rfind("POST", 0) != 0)
            return Answer(i, head);
          boost::asio::async_read_until(
              ready.socket, ready.buffer, '}',
              [this, i, head](error_code failed, std::size_t body_size) {
                if (failed)
                  return;
                connections_[i]->buffer.consume(body_size);
                Answer(i, head);
              });
        });
  }

  void Answer(std::size_t i, const std::string& head) {
    const std::size_t index = connections_[i]->request_count++;
    Write(i, respond_({i, index, head}));
    Read(i);
  }

  tcp::acceptor acceptor_;
  const Respond respond_;
  std::vector<std::unique_ptr<Connection>> connections_;
};

std::string ResponseText(const std::string& body,
                         const std::string& fields = "",
                         const std::string& status = "200 OK") {
  return "HTTP/1.1 " + status + "\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

GrantRequest MakeGrant(const Endpoint& address) {
  return {ServiceId("accounts"), {0, 65'535}, {TargetId("t1"), 1}, address, 7,
          milliseconds(2500),    {}};
}

ReleaseRequest MakeRelease(const Endpoint& address) {
  ReleaseRequest request;
  request.range = {0, 65'535};
  request.owner = {TargetId("t1"), 1};
  request.address = address;
  request.fence = 8;
  return request;
}

class ChannelFixture {
 public:
  explicit ChannelFixture(RawServer::Respond respond)
      : server(io, std::move(respond)),
        channel(HttpChannel::Make(io, server.address(), 16)) {}
  ~ChannelFixture() { channel->Close(); }

  // Runs both sides until `count` outcomes are there.
  void RunUntilCount(const std::vector<std::string>& outcomes,
                     std::size_t count) {
    const Instant until = BootNow() + std::chrono::seconds(5);
    while (outcomes.size() < count && BootNow() < until) {
      io.run_for(milliseconds(1));
      io.restart();
    }
    REQUIRE(outcomes.size() == count);
  }
  void Call(
      std::vector<std::string>& bodies,
      const std::function<void()>& then = [] {}) {
    ChannelRequest call;
    call.target = "/a";
    call.limit = kCallTimeout;
    channel->Call(call, [&bodies, then](const ChannelResponse& response) {
      bodies.push_back(response.status ? response.body : "none");
      then();
    });
  }
  void Grant(std::vector<std::string>& outcomes) {
    platform::SendGrant(
        *channel, MakeGrant(server.address()), kCallTimeout,
        [](Instant) { return true; },
        [&outcomes](GrantOutcome outcome, auto&&...) {
          outcomes.push_back(outcome == GrantOutcome::kGranted   ? "granted"
                             : outcome == GrantOutcome::kRefused ? "refused"
                                                                 : "unknown");
        });
  }
  void Release(std::vector<std::string>& outcomes) {
    platform::SendRelease(
        *channel, MakeRelease(server.address()), kCallTimeout,
        [this] { return may_release; },
        [&outcomes](ReleaseOutcome outcome, const std::string& handover,
                    auto&&...) {
          outcomes.push_back(
              outcome == ReleaseOutcome::kReleased    ? "released " + handover
              : outcome == ReleaseOutcome::kOwnerGone ? "owner-gone"
              : outcome == ReleaseOutcome::kWithdrawn ? "withdrawn"
                                                      : "unknown");
        });
  }

  boost::asio::io_context io;
  RawServer server;
  std::shared_ptr<HttpChannel> channel;
  bool may_release = true;
};

// A process of its own that sends a long request to a peer that reads nothing,
// so that most of the request stays in the sender's kernel.
class BlockedSender {
 public:
  explicit BlockedSender(bool delivery_limited) : acceptor_(io_), socket_(io_) {
    const tcp::endpoint any(boost::asio::ip::address_v4::loopback(), 0);
    acceptor_.open(any.protocol());
    acceptor_.set_option(
        boost::asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
    acceptor_.bind(any);
    acceptor_.listen();
    const Endpoint address{"127.0.0.1", acceptor_.local_endpoint().port()};
    process_ = fork();
    REQUIRE(process_ >= 0);
    if (process_ == 0)
      Send(address, delivery_limited);
    acceptor_.accept(socket_);
    socket_.wait(tcp::socket::wait_read);
    std::this_thread::sleep_for(kSendTime);
  }
  ~BlockedSender() {
    kill(process_, SIGKILL);
    waitpid(process_, nullptr, 0);
  }
  BlockedSender(const BlockedSender&) = delete;
  BlockedSender& operator=(const BlockedSender&) = delete;

  void Signal(int signal) {
    kill(process_, signal);
    if (signal == SIGKILL) {
      siginfo_t info;
      waitid(P_PID, static_cast<id_t>(process_), &info, WEXITED | WNOWAIT);
    }
  }
  // Reads until the connection ends or pauses, and returns why.
  error_code ReadAll() {
    std::string bytes;
    error_code result = boost::asio::error::would_block;
    boost::asio::async_read(
        socket_, boost::asio::dynamic_buffer(bytes),
        [&](error_code error, std::size_t) { result = error; });
    io_.run_for(kReadTime);
    received_ = bytes.size();
    socket_.close();
    io_.restart();
    const error_code seen = result;
    io_.run();
    return seen;
  }
  std::size_t received() const { return received_; }

  static constexpr Duration kCallLimit = milliseconds(300);
  static constexpr int kReceiveBufferBytes = 4096;
  // More than the receive buffer takes, less than the request has.
  static constexpr std::size_t kMaxReceivedBytes = 65'536;

 private:
  static constexpr Duration kSendTime = milliseconds(50);
  static constexpr Duration kReadTime = milliseconds(1000);
  static constexpr std::size_t kRequestBytes = 1'000'000;

  [[noreturn]] static void Send(const Endpoint& address,
                                bool delivery_limited) {
    boost::asio::io_context io;
    const auto channel = HttpChannel::Make(io, address, 1);
    if (delivery_limited)
      channel->LimitDelivery();
    ChannelRequest call;
    call.method = "POST";
    call.target = "/grant";
    call.body.assign(kRequestBytes, 'x');
    call.limit = kCallLimit;
    channel->Call(call, [](const ChannelResponse&) {});
    io.run();
    _exit(0);
  }

  boost::asio::io_context io_;
  tcp::acceptor acceptor_;
  tcp::socket socket_;
  pid_t process_ = -1;
  std::size_t received_ = 0;
};

}  // namespace

// Guards against a call that times out while the loop stands still, although
// its response lies in the socket: what a watch brought is lost.
TEST_CASE("a response that arrived during a standstill is read") {
  constexpr std::size_t kBodyBytes = 20'000;
  boost::asio::io_context server_io;
  RawServer server(server_io, [](const ReceivedRequest&) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kBodyBytes) +
           "\r\n\r\n" + std::string(kBodyBytes, 'x');
  });
  boost::asio::io_context io;
  const auto channel = HttpChannel::Make(io, server.address(), 1);
  std::optional<ChannelResponse> received;
  ChannelRequest call;
  call.limit = milliseconds(100);
  channel->Call(call, [&received](const ChannelResponse& response) {
    received = response;
  });
  io.run_for(milliseconds(20));
  server_io.run_for(milliseconds(20));
  std::this_thread::sleep_for(milliseconds(400));
  io.restart();
  io.run_for(milliseconds(300));
  REQUIRE(received);
  CHECK(received->failure == "");
  CHECK(received->body.size() == kBodyBytes);
  channel->Close();
}

// Guards against a release that reaches its owner once the move has ended,
// since its connection opened late: the owner may hold the range again.
TEST_CASE("a release that is not awaited any more leaves no byte") {
  std::size_t received = 0;
  ChannelFixture fixture([&received](const ReceivedRequest&) {
    ++received;
    return std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  });
  std::vector<std::string> outcomes;
  fixture.Release(outcomes);
  fixture.may_release = false;
  fixture.RunUntilCount(outcomes, 1);
  CHECK(outcomes.front() == "withdrawn");
  CHECK(received == 0);
}

// Guards against OWNER: a second answer to one call was read as the answer to
// the next one, although it had come before that was sent.
TEST_CASE("an answer that came before its call was sent answers nothing") {
  ChannelFixture fixture([](const ReceivedRequest& request) {
    return ResponseText(std::to_string(request.connection) + "/" +
                        std::to_string(request.index));
  });
  std::vector<std::string> bodies;
  fixture.Call(bodies, [&] {
    fixture.server.Write(0, ResponseText("second"));
    std::this_thread::sleep_for(kLoopbackDelay);
    fixture.Call(bodies);
  });
  fixture.RunUntilCount(bodies, 2);
  CHECK(bodies == std::vector<std::string>{"0/0", "1/0"});
}

TEST_CASE("an answer that comes as a connection opens answers nothing") {
  boost::asio::io_context server_io;
  tcp::acceptor acceptor(server_io,
                         {boost::asio::ip::address_v4::loopback(), 0});
  boost::asio::io_context io;
  const auto channel =
      HttpChannel::Make(io, {"127.0.0.1", acceptor.local_endpoint().port()}, 1);
  std::vector<std::string> bodies;
  ChannelRequest call;
  call.target = "/a";
  call.limit = kCallTimeout;
  channel->Call(call, [&](const ChannelResponse& response) {
    bodies.push_back(response.status ? response.body : "none");
    CHECK_FALSE(response.sent);
  });
  // The kernel opens the connection; the channel learns of it when it runs.
  tcp::socket socket = acceptor.accept();
  boost::asio::write(socket, boost::asio::buffer(ResponseText("early")));
  std::this_thread::sleep_for(kLoopbackDelay);
  io.run_for(kCallTimeout);
  CHECK(bodies == std::vector<std::string>{"none"});
  channel->Close();
}

// Guards against OWNER: bytes behind a complete response stayed in the buffer
// and were read as the response to the next call.
TEST_CASE("an answer behind a complete response answers nothing") {
  ChannelFixture fixture([](const ReceivedRequest& request) {
    const std::string body = std::to_string(request.connection) + "/" +
                             std::to_string(request.index);
    return request.connection == 0 ? ResponseText(body) + ResponseText("second")
                                   : ResponseText(body);
  });
  std::vector<std::string> bodies;
  fixture.Call(bodies);
  fixture.Call(bodies);
  fixture.RunUntilCount(bodies, 2);
  CHECK(bodies == std::vector<std::string>{"0/0", "1/0"});
}

// Guards against calls that are not sent, or not ended, after an exception.
TEST_CASE("a handler that throws holds no later call up") {
  ChannelFixture fixture(
      [](const ReceivedRequest&) { return ResponseText("done"); });
  std::vector<std::string> bodies;
  fixture.Call(bodies, [] { throw std::runtime_error("handler"); });
  fixture.Call(bodies);
  CHECK_THROWS(fixture.RunUntilCount(bodies, 2));
  fixture.RunUntilCount(bodies, 2);
  CHECK(bodies.back() == "done");
}

TEST_CASE("a close ends all calls, also if a handler throws") {
  ChannelFixture fixture([](const ReceivedRequest&) { return ""; });
  std::vector<std::string> bodies;
  fixture.Call(bodies, [] { throw std::runtime_error("handler"); });
  fixture.Call(bodies);
  fixture.Call(bodies);
  CHECK_THROWS(fixture.channel->Close());
  CHECK(bodies == std::vector<std::string>(3, "none"));
}

TEST_CASE("an interim response is not the response to a call") {
  ChannelFixture fixture([](const ReceivedRequest& request) {
    return "HTTP/1.1 100 Continue\r\n\r\n" +
           ResponseText(std::to_string(request.index));
  });
  std::vector<std::string> bodies;
  fixture.Call(bodies);
  fixture.Call(bodies);
  fixture.RunUntilCount(bodies, 2);
  CHECK(bodies == std::vector<std::string>{"0", "1"});
}

// Guards against a status that HTTP does not have, which says nothing of what
// the store or a target did.
TEST_CASE("a status outside 200 to 599 is the response to no call") {
  const std::string status = GENERATE("000 X", "099 X", "777 X");
  ChannelFixture fixture(
      [&](const ReceivedRequest&) { return ResponseText("body", "", status); });
  std::vector<std::string> outcomes;
  fixture.Call(outcomes);
  fixture.Grant(outcomes);
  fixture.RunUntilCount(outcomes, 2);
  CHECK(outcomes == std::vector<std::string>{"none", "unknown"});
}

// Guards against OWNER (review/4): the late second answer to a grant was taken
// for the answer to a release, and the range moved while its owner worked.
TEST_CASE("a late second answer to a grant is no answer to a release") {
  // The first connection answers each request with one more answer to a grant.
  ChannelFixture fixture([](const ReceivedRequest& request) {
    return request.head.rfind("POST /grant", 0) == 0 || request.index > 0
               ? ResponseText("")
               : ResponseText("", "Handover: h1\r\n");
  });
  std::vector<std::string> outcomes;
  fixture.Grant(outcomes);
  fixture.RunUntilCount(outcomes, 1);
  fixture.Release(outcomes);
  fixture.RunUntilCount(outcomes, 2);
  CHECK(outcomes == std::vector<std::string>{"granted", "released h1"});
}

// Guards against OWNER: a misdirected answer to an earlier grant was taken for
// the sign that the owner no longer runs.
TEST_CASE("a late 421 to a grant says nothing about a release") {
  ChannelFixture fixture([](const ReceivedRequest& request) {
    return request.head.rfind("POST /grant", 0) == 0 ? ResponseText("")
           : request.index > 0 ? ResponseText("", "", "421 Misdirected Request")
                               : ResponseText("", "Handover: h1\r\n");
  });
  std::vector<std::string> outcomes;
  fixture.Grant(outcomes);
  fixture.RunUntilCount(outcomes, 1);
  fixture.Release(outcomes);
  fixture.RunUntilCount(outcomes, 2);
  CHECK(outcomes == std::vector<std::string>{"granted", "released h1"});
}

// Guards against OWNER: an answer with content that this order cannot have was
// taken for its answer.
TEST_CASE("an answer with a handover is no answer to a grant") {
  ChannelFixture fixture([](const ReceivedRequest&) {
    return ResponseText("", "Handover: h1\r\n") +
           ResponseText("", "", "409 Conflict");
  });
  std::vector<std::string> outcomes;
  fixture.Grant(outcomes);
  fixture.RunUntilCount(outcomes, 1);
  CHECK(outcomes == std::vector<std::string>{"refused"});
}

TEST_CASE("an answer with a target's proof is no answer to an order") {
  ChannelFixture fixture([](const ReceivedRequest&) {
    return ResponseText("payload", "Backend-Signature: s\r\n");
  });
  std::vector<std::string> outcomes;
  fixture.Grant(outcomes);
  fixture.RunUntilCount(outcomes, 1);
  fixture.Release(outcomes);
  fixture.RunUntilCount(outcomes, 2);
  CHECK(outcomes == std::vector<std::string>{"unknown", "unknown"});
}

TEST_CASE("an answer with another call's id is no answer to an order") {
  ChannelFixture fixture([](const ReceivedRequest&) {
    return ResponseText("", "Request-Id: other\r\n");
  });
  std::vector<std::string> outcomes;
  fixture.Grant(outcomes);
  fixture.RunUntilCount(outcomes, 1);
  fixture.Release(outcomes);
  fixture.RunUntilCount(outcomes, 2);
  CHECK(outcomes == std::vector<std::string>{"unknown", "unknown"});
}

TEST_CASE("an answer with the id of its order counts behind other answers") {
  ChannelFixture fixture([](const ReceivedRequest& request) {
    return ResponseText("", "Request-Id: other\r\n") +
           ResponseText("", "Handover: h1\r\nRequest-Id: " +
                                request.Header("Request-Id") + "\r\n");
  });
  std::vector<std::string> outcomes;
  fixture.Release(outcomes);
  fixture.RunUntilCount(outcomes, 1);
  CHECK(outcomes == std::vector<std::string>{"released h1"});
}

// Guards against OWNER: the kernel of a member that was killed delivered its
// grants after the time from which the mover took them for expired.
TEST_CASE("bytes not sent yet are discarded when the process is killed") {
  BlockedSender sender(/*delivery_limited=*/true);
  sender.Signal(SIGKILL);
  CHECK(sender.ReadAll() == boost::asio::error::connection_reset);
  CHECK(sender.received() < BlockedSender::kMaxReceivedBytes);
}

// Guards against OWNER: a member that was stopped, or got no processor, reset
// its connection too late, and its grants arrived meanwhile.
TEST_CASE("bytes are not delivered after the timeout of a stopped process") {
  BlockedSender sender(/*delivery_limited=*/true);
  sender.Signal(SIGSTOP);
  std::this_thread::sleep_for(4 * BlockedSender::kCallLimit);
  CHECK(sender.ReadAll() == boost::asio::error::connection_reset);
  CHECK(sender.received() < BlockedSender::kMaxReceivedBytes);
}

// Shows that the two tests above fail without the limit.
TEST_CASE("without a limit the kernel delivers what a process left") {
  for (const int signal : {SIGKILL, SIGSTOP}) {
    CAPTURE(signal);
    BlockedSender sender(/*delivery_limited=*/false);
    sender.Signal(signal);
    std::this_thread::sleep_for(4 * BlockedSender::kCallLimit);
    CHECK(sender.ReadAll() != boost::asio::error::connection_reset);
    CHECK(sender.received() >= BlockedSender::kMaxReceivedBytes);
  }
}

}  // namespace figstall
