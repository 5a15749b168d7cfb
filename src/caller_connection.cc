// ProcessSession() runs after each event and does what the session's state then
// allows. At most one read and one write of the socket are pending.
#include "figstall/caller_connection.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <string_view>

#include "figstall/http_channel.h"
#include "figstall/scoped_flag.h"

namespace figstall {
namespace {

using boost::system::error_code;

// After the last response only the sending side is closed, and the caller has
// this time to read the response. Closing the socket while it holds unread
// bytes would reset the connection.
constexpr Duration kCloseTimeout = std::chrono::milliseconds(500);

}  // namespace

void ResponseWriter::SetCancelHandler(std::function<void()> handler) const {
  connection_->session_.SetCancelHandler(number_, std::move(handler));
}

void ResponseWriter::Reply(HttpResponse response) const {
  connection_->session_.Reply(number_, std::move(response));
  connection_->ProcessSession();
}

void ResponseWriter::BeginResponse(ResponseHead head,
                                   std::function<void()> on_drained) const {
  connection_->session_.BeginResponse(number_, std::move(head),
                                      std::move(on_drained));
  connection_->ProcessSession();
}

void ResponseWriter::SendBody(std::string_view bytes, bool last) const {
  connection_->session_.SendBody(number_, bytes, last);
  connection_->ProcessSession();
}

void ResponseWriter::Truncate() const {
  connection_->session_.Truncate(number_);
  connection_->ProcessSession();
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
      session_({.caller = limits},
               handlers_.is_idempotent,
               BootNow(),
               handlers_.request_memory),
      last_read_at_(BootNow()) {}

void CallerConnection::Start() {
  TuneSocket(socket_);
  ProcessSession();
}

void CallerConnection::ProcessSession() {
  if (dispatching_ || closed_)
    return;
  const auto self = shared_from_this();
  DispatchRequests();
  if (session_.end() && !quiet_for_)
    quiet_for_ = BootNow() - last_read_at_;
  if (session_.state() == SessionState::kReset)
    return Abort();
  Write();
  if (session_.state() != SessionState::kOpen && !session_.writing())
    CloseGracefully();
  Read();
}

void CallerConnection::DispatchRequests() {
  const ScopedFlag dispatching(dispatching_);
  if (handlers_.stopping())
    session_.Stop();
  while (auto request = session_.NextRequest()) {
    const RequestNumber number = request->number;
    handlers_.on_request(ResponseWriter(shared_from_this(), number),
                         std::move(*request));
  }
  const auto refused_status = session_.TakeRefusedStatus();
  if (refused_status && handlers_.on_refused)
    handlers_.on_refused(*refused_status);
}

void CallerConnection::Read() {
  const bool wanted = session_.WantsBytes() || send_closed_at_;
  if (reading_ || closed_ || read_closed_ || !wanted)
    return;
  reading_ = true;
  socket_.async_read_some(
      boost::asio::buffer(read_buffer_),
      [self = shared_from_this()](error_code error, std::size_t size) {
        self->reading_ = false;
        if (self->closed_)
          return;
        if (error)
          return self->OnReadClosed(error);
        if (self->session_.end()) {
          self->bytes_after_close_ += size;
        } else {
          self->last_read_at_ = BootNow();
        }
        self->session_.OnBytes(
            BootNow(), std::string_view(self->read_buffer_.data(), size));
        // Reading again before the request is passed on detects what has
        // already arrived after it, especially the caller's close, even if the
        // process is delayed.
        self->Read();
        boost::asio::post(self->socket_.get_executor(),
                          [self] { self->ProcessSession(); });
      });
}

void CallerConnection::OnReadClosed(const error_code& error) {
  read_closed_ = true;
  session_.OnReadClosed();
  if (error != boost::asio::error::eof)
    return Abort();
  ProcessSession();
}

void CallerConnection::Write() {
  std::string next = session_.TakeOutput(BootNow());
  if (next.empty())
    return;
  write_buffer_ = std::move(next);
  boost::asio::async_write(
      socket_, boost::asio::buffer(write_buffer_),
      [self = shared_from_this()](error_code error, std::size_t) {
        if (self->closed_)
          return;
        if (error)
          return self->Abort();
        self->session_.OnWritten(BootNow());
        self->ProcessSession();
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
  if (send_closed_at_) {
    if (now - *send_closed_at_ > kCloseTimeout)
      Close();
    return;
  }
  session_.EnforceTimeouts(now);
  ProcessSession();
}

void CallerConnection::CloseIfIdle() {
  if (closed_)
    return;
  session_.CloseIfIdle(BootNow());
  ProcessSession();
}

void CallerConnection::CloseGracefully() {
  if (send_closed_at_ || closed_)
    return;
  if (read_closed_)
    return Close();
  error_code ignored;
  socket_.shutdown(Tcp::socket::shutdown_send, ignored);
  send_closed_at_ = BootNow();
}

void CallerConnection::Close() {
  if (closed_)
    return;
  const auto self = shared_from_this();
  closed_ = true;
  error_code ignored;
  bytes_after_close_ += socket_.available(ignored);
  socket_.close(ignored);
  session_.Reset(SessionEndReason::kCallerClosed);
  ReportEnd();
  handlers_.on_closed(this);
}

void CallerConnection::ReportEnd() {
  if (!handlers_.on_end)
    return;
  CallerConnectionEnd end;
  end.session = *session_.end();
  end.bytes_after_close = bytes_after_close_;
  end.quiet_for = quiet_for_.value_or(BootNow() - last_read_at_);
  end.idle_timeout = session_.idle_timeout();
  handlers_.on_end(end);
}

}  // namespace figstall
