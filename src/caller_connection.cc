// Implements a caller's socket.
#include "figstall/caller_connection.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <string_view>

#include "figstall/http_channel.h"
#include "figstall/scoped_flag.h"

namespace figstall {
namespace {

using boost::system::error_code;

// A caller whose connection was closed behind a last answer gets so long to
// read it: closing with unread bytes would reset the connection.
constexpr Duration kLinger = std::chrono::milliseconds(500);

}  // namespace

void ResponseWriter::SetCancelHandler(std::function<void()> handler) const {
  connection_->session_.SetCancelHandler(number_, std::move(handler));
}

void ResponseWriter::Reply(HttpResponse answer) const {
  connection_->session_.Reply(number_, std::move(answer));
  connection_->Pump();
}

void ResponseWriter::BeginResponse(ResponseHead head,
                                   std::function<void()> drained) const {
  connection_->session_.BeginResponse(number_, std::move(head),
                                      std::move(drained));
  connection_->Pump();
}

void ResponseWriter::SendBody(std::string_view bytes, bool last) const {
  connection_->session_.SendBody(number_, bytes, last);
  connection_->Pump();
}

void ResponseWriter::Truncate() const {
  connection_->session_.Truncate(number_);
  connection_->Pump();
}

std::size_t ResponseWriter::unsent() const {
  return connection_->session_.unsent(number_);
}

void ResponseWriter::Abort() const {
  connection_->Abort();
}

CallerConnection::CallerConnection(Tcp::socket socket,
                                   CallerLimits limits,
                                   Handlers handlers)
    : socket_(std::move(socket)),
      handlers_(std::move(handlers)),
      session_({.caller = limits}, handlers_.is_idempotent, BootNow()) {}

void CallerConnection::Start() {
  TuneSocket(socket_);
  Pump();
}

void CallerConnection::Pump() {
  if (pumping_ || closed_)
    return;
  const auto self = shared_from_this();
  PassOn();
  if (session_.end() == SessionState::kReset)
    return Abort();
  Write();
  if (session_.end() != SessionState::kOpen && !session_.writing())
    CloseSoftly();
  Read();
}

void CallerConnection::PassOn() {
  const ScopedFlag pumping(pumping_);
  if (handlers_.stopping())
    session_.Stop();
  while (auto request = session_.NextRequest()) {
    const RequestNumber number = request->number;
    handlers_.on_request(ResponseWriter(shared_from_this(), number),
                         std::move(*request));
  }
  const auto refused = session_.TakeRefusal();
  if (refused && handlers_.on_refused)
    handlers_.on_refused(*refused);
}

void CallerConnection::Read() {
  const bool wanted = session_.WantsBytes() || closing_since_;
  if (reading_ || closed_ || caller_ended_ || !wanted)
    return;
  reading_ = true;
  socket_.async_read_some(
      boost::asio::buffer(incoming_),
      [self = shared_from_this()](error_code error, std::size_t size) {
        self->reading_ = false;
        if (self->closed_)
          return;
        if (error)
          return self->OnReadClosed(error);
        self->session_.OnBytes(BootNow(),
                               std::string_view(self->incoming_.data(), size));
        // What has already come behind, a close above all, is seen before the
        // request is passed on, also by a process that runs late.
        self->Read();
        boost::asio::post(self->socket_.get_executor(),
                          [self] { self->Pump(); });
      });
}

void CallerConnection::OnReadClosed(const error_code& error) {
  caller_ended_ = true;
  session_.OnReadClosed();
  if (error != boost::asio::error::eof)
    return Abort();
  Pump();
}

void CallerConnection::Write() {
  std::string next = session_.TakeOutput(BootNow());
  if (next.empty())
    return;
  outgoing_ = std::move(next);
  boost::asio::async_write(
      socket_, boost::asio::buffer(outgoing_),
      [self = shared_from_this()](error_code error, std::size_t) {
        if (self->closed_)
          return;
        if (error)
          return self->Abort();
        self->session_.OnWritten(BootNow());
        self->Pump();
      });
}

void CallerConnection::Abort() {
  if (closed_)
    return;
  ResetOnClose(socket_);
  Close();
}

void CallerConnection::EnforceTimeouts(Instant now) {
  if (closed_)
    return;
  if (closing_since_) {
    if (now - *closing_since_ > kLinger)
      Close();
    return;
  }
  session_.EnforceTimeouts(now);
  Pump();
}

void CallerConnection::CloseIfIdle() {
  if (closed_)
    return;
  session_.CloseIfIdle(BootNow());
  Pump();
}

void CallerConnection::CloseSoftly() {
  if (closing_since_ || closed_)
    return;
  if (caller_ended_)
    return Close();
  error_code ignored;
  socket_.shutdown(Tcp::socket::shutdown_send, ignored);
  closing_since_ = BootNow();
}

void CallerConnection::Close() {
  if (closed_)
    return;
  const auto self = shared_from_this();
  closed_ = true;
  error_code ignored;
  socket_.close(ignored);
  session_.Reset();
  handlers_.on_closed(this);
}

}  // namespace figstall
