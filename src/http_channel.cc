// Implements calls over a kept HTTP connection.
#include "figstall/http_channel.h"

#include <netinet/tcp.h>

#include <boost/asio/connect.hpp>

namespace figstall {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::uint64_t kMaxResponseBytes = 8'000'000;
// A silent peer is given up after about these seconds: probes start after the
// first, come each second, and two may stay unanswered.
constexpr int kKeepAliveIdleSeconds = 2;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;
constexpr unsigned kUserTimeoutMs = 4000;

template <typename Value>
void SetTcpOption(boost::asio::ip::tcp::socket& socket, int name, Value value) {
  // An option that is not supported leaves the system's default in force.
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

std::shared_ptr<HttpChannel> HttpChannel::Make(boost::asio::io_context& io,
                                               Endpoint peer,
                                               std::size_t max_queue) {
  return std::shared_ptr<HttpChannel>(
      new HttpChannel(io, std::move(peer), max_queue));
}

void HttpChannel::Call(ChannelRequest call, Handler handler) {
  if (calls_.size() >= max_queue_) {
    ChannelResponse answer;
    answer.failure = "queue full";
    boost::asio::post(
        io_, [handler = std::move(handler), answer] { handler(answer); });
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
  timer_.expires_after(calls_.front().call.limit);
  timer_.async_wait(
      [self = shared_from_this(), generation = generation_](error_code error) {
        if (!error && generation == self->generation_ && self->busy_)
          self->Fail("no answer in time");
      });
  if (connected_)
    Write();
  else
    Connect();
}

void HttpChannel::Connect() {
  socket_.emplace(io_);
  error_code error;
  const auto address = boost::asio::ip::make_address(peer_.address, error);
  if (error)
    return Fail(error.message());
  socket_->async_connect(
      Tcp::endpoint(address, peer_.port),
      [self = shared_from_this(), generation = generation_](error_code failed) {
        if (generation != self->generation_)
          return;
        if (failed)
          return self->Fail(failed.message());
        TuneSocket(*self->socket_);
        self->connected_ = true;
        self->buffer_.clear();
        self->Write();
      });
}

void HttpChannel::Write() {
  const ChannelRequest& call = calls_.front().call;
  if (call.may_send && !call.may_send()) {
    ChannelResponse answer;
    answer.failure = "no longer wanted";
    return Finish(answer);
  }
  request_ = {};
  request_.version(11);
  request_.method_string(call.method);
  request_.target(call.target);
  request_.set(http::field::host, peer_.ToString());
  // A Host among the call's headers replaces the peer's address.
  for (const auto& [name, value] : call.headers)
    request_.set(name, value);
  if (!call.body.empty()) {
    request_.set(http::field::content_type, "application/json");
    request_.body() = call.body;
  }
  request_.prepare_payload();
  sent_ = true;
  http::async_write(*socket_, request_,
                    [self = shared_from_this(), generation = generation_](
                        error_code failed, std::size_t) {
                      if (generation != self->generation_)
                        return;
                      if (failed)
                        return self->Fail(failed.message());
                      self->Read();
                    });
}

void HttpChannel::Read() {
  parser_.emplace();
  parser_->body_limit(kMaxResponseBytes);
  http::async_read(*socket_, buffer_, *parser_,
                   [self = shared_from_this(), generation = generation_](
                       error_code failed, std::size_t) {
                     if (generation != self->generation_)
                       return;
                     if (failed)
                       return self->Fail(failed.message());
                     auto message =
                         std::make_shared<Response>(self->parser_->release());
                     ChannelResponse answer;
                     answer.sent = true;
                     answer.status = static_cast<int>(message->result_int());
                     answer.header = [message](const char* name) {
                       return std::string((*message)[name]);
                     };
                     answer.body = std::move(message->body());
                     if (!message->keep_alive())
                       self->Drop();
                     self->Finish(answer);
                   });
}

void HttpChannel::Finish(const ChannelResponse& answer) {
  const auto self = shared_from_this();
  timer_.cancel();
  busy_ = false;
  Pending done = std::move(calls_.front());
  calls_.pop_front();
  done.handler(answer);
  if (busy_)
    return;
  if (!calls_.empty())
    Start();
  else if (connected_)
    WatchIdle();
}

// Notices that the peer closed an idle connection, or sent what nobody asked.
void HttpChannel::WatchIdle() {
  socket_->async_wait(
      Tcp::socket::wait_read,
      [self = shared_from_this(), generation = generation_](error_code error) {
        if (error || generation != self->generation_ || self->busy_)
          return;
        self->Drop();
        if (self->broken_)
          self->broken_();
      });
}

void HttpChannel::Fail(const std::string& why) {
  const auto self = shared_from_this();
  const bool was_open = connected_;
  ChannelResponse answer;
  answer.sent = sent_;
  answer.failure = why;
  Drop();
  Finish(answer);
  if (was_open && broken_)
    broken_();
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
  for (Pending& each : dropped) {
    ChannelResponse answer;
    answer.sent = sent_ && &each == &dropped.front();
    answer.failure = "closed";
    each.handler(answer);
  }
}

}  // namespace figstall
