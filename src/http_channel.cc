// The persistent HTTP connection and its request queue, and the TCP options of
// all connections.
#include "figstall/http_channel.h"

#include <fmt/format.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/connect.hpp>
#include <cerrno>

#include "figstall/transfer_coding.h"

namespace figstall {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::uint32_t kMaxHeadBytes = 8'192;
// A chunk line with its extensions, or the trailers. The parser leaves them in
// the buffer until they are complete.
constexpr std::size_t kMaxChunkLineBytes = 65'536;
// Number of interim responses and of responses to other requests that are
// discarded while one request waits for its own.
constexpr std::uint32_t kMaxDiscardedResponses = 16;
// A connection to an unresponsive peer fails after about the sum of these
// times: keep-alive probes start after the idle time and repeat at the
// probe interval, and the connection fails when this many are unacknowledged.
constexpr int kKeepAliveIdleSeconds = 2;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;
constexpr unsigned kUserTimeoutMs = 4000;

// A timeout that is noticed later than this was held up by the loop, which may
// not have read a response yet that arrived in time. It gets the read time.
constexpr Duration kMaxTimerDelay = std::chrono::milliseconds(100);
constexpr Duration kReadTimeAfterStandstill = std::chrono::milliseconds(100);

template <typename Value>
void SetTcpOption(boost::asio::ip::tcp::socket& socket, int name, Value value) {
  // Errors are ignored: without the option, the system's default applies.
  static_cast<void>(setsockopt(socket.native_handle(), IPPROTO_TCP, name,
                               &value, sizeof value));
}

}  // namespace

void TuneSocket(boost::asio::ip::tcp::socket& socket) {
  error_code ignored;
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  SetTcpOption(socket, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetTcpOption(socket, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  SetTcpOption(socket, TCP_KEEPCNT, kKeepAliveProbes);
  SetTcpOption(socket, TCP_USER_TIMEOUT, kUserTimeoutMs);
}

void ResetOnClose(boost::asio::ip::tcp::socket& socket) {
  error_code ignored;
  socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
}

const char* ToString(StrayBytes where) {
  switch (where) {
    case StrayBytes::kIdleConnection:
      return "idle-connection";
    case StrayBytes::kBeforeRequest:
      return "before-request";
    case StrayBytes::kBehindResponse:
      return "behind-response";
    case StrayBytes::kOtherResponse:
      return "other-response";
  }
  return "";
}

std::shared_ptr<HttpChannel> HttpChannel::Make(boost::asio::io_context& io,
                                               Endpoint peer,
                                               std::size_t max_queue) {
  return std::shared_ptr<HttpChannel>(
      new HttpChannel(io, std::move(peer), max_queue));
}

HttpChannel::HttpChannel(boost::asio::io_context& io,
                         Endpoint peer,
                         std::size_t max_queue)
    : io_(io),
      peer_(std::move(peer)),
      max_queue_(max_queue),
      timer_(io),
      buffer_(kMaxChunkLineBytes) {}

void HttpChannel::Call(ChannelRequest call, Handler handler) {
  if (calls_.size() >= max_queue_) {
    ChannelResponse response;
    response.failure = "request queue full";
    boost::asio::post(
        io_, [handler = std::move(handler), response] { handler(response); });
    return;
  }
  calls_.push_back({std::move(call), std::move(handler), BootNow()});
  if (!busy_)
    Start();
}

void HttpChannel::Start() {
  if (calls_.empty() || busy_)
    return;
  busy_ = true;
  sent_ = false;
  discarded_responses_ = 0;
  saw_other_response_ = false;
  ++call_number_;
  StartTimer(calls_.front().call.limit, /*may_extend=*/true);
  if (calls_.front().call.on_own_connection)
    Drop();
  if (connected_)
    Write();
  else
    Connect();
}

void HttpChannel::StartTimer(Duration limit, bool may_extend) {
  const Instant due = BootNow() + limit;
  timer_.expires_after(limit);
  timer_.async_wait([self = shared_from_this(), number = call_number_, due,
                     may_extend](error_code error) {
    if (error || number != self->call_number_ || !self->busy_)
      return;
    if (may_extend && BootNow() - due > kMaxTimerDelay)
      return self->StartTimer(kReadTimeAfterStandstill, /*may_extend=*/false);
    self->Fail("response timeout");
  });
}

void HttpChannel::Connect() {
  socket_.emplace(io_);
  error_code error;
  const auto address = boost::asio::ip::make_address(peer_.address, error);
  if (error)
    return Fail(error.message());
  const Tcp::endpoint peer(address, peer_.port);
  if (delivery_limited_) {
    socket_->open(peer.protocol(), error);
    if (error)
      return Fail(error.message());
    // Applies to the close at the end of the process too.
    ResetOnClose(*socket_);
  }
  socket_->async_connect(peer, [self = shared_from_this(),
                                generation = generation_](error_code io_error) {
    if (generation != self->generation_)
      return;
    if (io_error)
      return self->Fail(io_error.message());
    TuneSocket(*self->socket_);
    self->connected_ = true;
    self->connected_at_ = BootNow();
    self->requests_on_connection_ = 0;
    self->buffer_.clear();
    self->Write();
  });
}

HttpChannel::Readiness HttpChannel::CheckReadiness() {
  char byte = 0;
  const ssize_t size = recv(socket_->native_handle(), &byte, sizeof byte,
                            MSG_PEEK | MSG_DONTWAIT);
  if (size > 0)
    return Readiness::kBytes;
  const bool nothing_to_read =
      size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
  return nothing_to_read ? Readiness::kQuiet : Readiness::kClosed;
}

void HttpChannel::ReportStrayBytes(StrayBytes where) {
  if (stray_bytes_handler_)
    stray_bytes_handler_(where);
}

bool HttpChannel::PrepareConnection() {
  const Readiness readiness = CheckReadiness();
  if (readiness == Readiness::kQuiet)
    return true;
  if (readiness == Readiness::kBytes)
    ReportStrayBytes(StrayBytes::kBeforeRequest);
  // A peer that does this on a new connection would do it on each.
  if (requests_on_connection_ == 0) {
    Fail("bytes or a close before the request");
    return false;
  }
  Drop();
  if (readiness == Readiness::kClosed && disconnect_handler_)
    disconnect_handler_();
  Connect();
  return false;
}

void HttpChannel::Write() {
  if (!PrepareConnection())
    return;
  const ChannelRequest& call = calls_.front().call;
  if (call.may_send && !call.may_send(connected_at_)) {
    ChannelResponse response;
    response.withdrawn = true;
    response.failure = "request withdrawn before it was sent";
    return Finish(response);
  }
  request_ = {};
  request_.version(11);
  request_.method_string(call.method);
  request_.target(call.target);
  request_.set(http::field::host, peer_.ToString());
  // A Host header of the request replaces the peer's address.
  for (const auto& [name, value] : call.headers)
    request_.set(name, value);
  if (!call.body.empty()) {
    request_.set(http::field::content_type, "application/json");
    request_.body() = call.body;
  }
  request_.prepare_payload();
  if (delivery_limited_)
    SetTcpOption(
        *socket_, TCP_USER_TIMEOUT,
        static_cast<unsigned>(std::max(ToMillis(call.limit), std::int64_t{1})));
  sent_ = true;
  ++requests_on_connection_;
  http::async_write(*socket_, request_,
                    [self = shared_from_this(), generation = generation_](
                        error_code io_error, std::size_t) {
                      if (generation != self->generation_)
                        return;
                      if (io_error)
                        return self->Fail(io_error.message());
                      self->Read();
                    });
}

void HttpChannel::Read() {
  parser_.emplace();
  parser_->header_limit(kMaxHeadBytes);
  parser_->body_limit(calls_.front().call.max_response_bytes);
  http::async_read(*socket_, buffer_, *parser_,
                   [self = shared_from_this(), generation = generation_](
                       error_code io_error, std::size_t) {
                     if (generation != self->generation_)
                       return;
                     if (io_error)
                       return self->FailRead(io_error);
                     self->OnResponse();
                   });
}

void HttpChannel::OnResponse() {
  const auto message = std::make_shared<Response>(parser_->release());
  const TransferCoding coding = TransferCodingOf(*message);
  if (coding != TransferCoding::kNone && coding != TransferCoding::kChunked)
    return Fail("transfer coding not known");
  const ChannelRequest& call = calls_.front().call;
  const int status = static_cast<int>(message->result_int());
  const bool interim = status / 100 == 1;
  if (!interim && !IsFinalStatus(message->result_int()))
    return Fail(fmt::format("status {:03} is outside 200 to 599", status));
  if (interim || (call.is_response && !call.is_response(status, *message))) {
    if (!interim) {
      saw_other_response_ = true;
      ReportStrayBytes(StrayBytes::kOtherResponse);
    }
    if (++discarded_responses_ > kMaxDiscardedResponses)
      return Fail("too many responses to other requests");
    return Read();
  }
  ChannelResponse response;
  response.sent = true;
  response.status = status;
  response.first_on_connection =
      requests_on_connection_ == 1 && !saw_other_response_;
  response.bytes_followed = buffer_.size() > 0;
  response.header = [message](const char* name) {
    return std::string((*message)[name]);
  };
  response.fields = &*message;
  response.body = std::move(message->body());
  if (response.bytes_followed)
    ReportStrayBytes(StrayBytes::kBehindResponse);
  if (!message->keep_alive() || call.on_own_connection || saw_other_response_ ||
      response.bytes_followed)
    Drop();
  Finish(response);
}

void HttpChannel::Finish(const ChannelResponse& response) {
  const auto self = shared_from_this();
  timer_.cancel();
  busy_ = false;
  Pending finished = std::move(calls_.front());
  calls_.pop_front();
  try {
    finished.handler(response);
  } catch (...) {
    // The calls behind this one do not wait for the next one.
    boost::asio::post(io_, [self] { self->Continue(); });
    throw;
  }
  Continue();
}

void HttpChannel::Continue() {
  if (busy_)
    return;
  if (!calls_.empty())
    Start();
  else if (connected_)
    WatchIdle();
}

// Drops an idle connection that the peer closed or on which it sent data
// without a request.
void HttpChannel::WatchIdle() {
  socket_->async_wait(
      Tcp::socket::wait_read,
      [self = shared_from_this(), generation = generation_](error_code error) {
        if (error || generation != self->generation_ || self->busy_)
          return;
        const Readiness readiness = self->CheckReadiness();
        // The bytes that woke this up were read by a call since.
        if (readiness == Readiness::kQuiet)
          return self->WatchIdle();
        self->Drop();
        if (readiness == Readiness::kBytes)
          self->ReportStrayBytes(StrayBytes::kIdleConnection);
        else if (self->disconnect_handler_)
          self->disconnect_handler_();
      });
}

void HttpChannel::FailRead(const error_code& error) {
  std::optional<ExceededLimit> limit;
  if (error == http::error::header_limit)
    limit = {"head", kMaxHeadBytes};
  else if (error == http::error::body_limit)
    limit = {"body", calls_.front().call.max_response_bytes};
  else if (error == http::error::buffer_overflow)
    limit = {PlaceOfChunkLine({static_cast<const char*>(buffer_.data().data()),
                               buffer_.size()}),
             kMaxChunkLineBytes};
  if (!limit)
    return Fail(error.message());
  const auto self = shared_from_this();
  if (limit_handler_)
    limit_handler_(*limit);
  Fail(limit->ToString());
}

void HttpChannel::Fail(const std::string& failure) {
  const auto self = shared_from_this();
  const bool was_open = connected_;
  ChannelResponse response;
  response.sent = sent_;
  response.failure = failure;
  Drop();
  Finish(response);
  if (was_open && disconnect_handler_)
    disconnect_handler_();
}

void HttpChannel::Drop() {
  ++generation_;
  connected_ = false;
  if (!socket_)
    return;
  ResetOnClose(*socket_);
  error_code ignored;
  socket_->close(ignored);
  socket_.reset();
}

void HttpChannel::Close() {
  const auto self = shared_from_this();
  Drop();
  timer_.cancel();
  busy_ = false;
  std::deque<Pending> dropped = std::move(calls_);
  calls_.clear();
  std::exception_ptr thrown;
  for (Pending& pending : dropped) {
    ChannelResponse response;
    response.sent = sent_ && &pending == &dropped.front();
    response.failure = "connection closed";
    try {
      pending.handler(response);
    } catch (...) {
      thrown = std::current_exception();
    }
  }
  if (thrown)
    std::rethrow_exception(thrown);
}

}  // namespace figstall
