// ProcessSession() runs after each event and does what the session's state then
// allows. At most one read and one write of the socket are pending.
#include "figstall/caller_connection.h"

#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <boost/asio/write.hpp>
#include <string_view>

#include "figstall/http_channel.h"
#include "figstall/scoped_flag.h"

namespace figstall {
namespace {

using boost::system::error_code;

// After the last response only the sending side is closed, and the caller has
// this time to close once it has received the response. Bytes that arrive at a
// closed socket reset the connection and discard what is on the way.
constexpr Duration kCloseTimeout = std::chrono::milliseconds(500);
// A response of which the caller receives nothing for this long is given up.
constexpr Duration kMaxDeliveryPause = std::chrono::seconds(15);
// Reads of one connection before other connections have their turn.
constexpr int kMaxReadsAtOnce = 8;

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

CallerConnection::CallerConnection(
    Tcp::socket socket,
    std::shared_ptr<const CallerLimitsHistory> limits,
    Handlers handlers)
    : socket_(std::move(socket)),
      handlers_(std::move(handlers)),
      session_({.caller = std::move(limits)},
               handlers_.is_idempotent,
               BootNow(),
               handlers_.request_memory),
      delivery_(kMaxDeliveryPause),
      last_read_at_(BootNow()) {}

void CallerConnection::Start() {
  TuneSocket(socket_);
  error_code ignored;
  socket_.non_blocking(true, ignored);
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
  // The bytes stay in the kernel until ReadArrived takes them. A pending
  // async_read_some could have taken some when a time limit is enforced.
  socket_.async_wait(Tcp::socket::wait_read,
                     [self = shared_from_this()](error_code error) {
                       self->reading_ = false;
                       if (self->closed_)
                         return;
                       if (error)
                         return self->Abort();
                       self->ReadArrived(BootNow());
                       self->ProcessSession();
                     });
}

// Reading until nothing is left before requests are passed on detects what has
// arrived after them, especially the caller's close, even if the process is
// delayed.
void CallerConnection::ReadArrived(Instant now) {
  for (int i = 0; i < kMaxReadsAtOnce && !closed_ && !read_closed_ &&
                  (session_.WantsBytes() || send_closed_at_);
       ++i) {
    error_code error;
    const std::size_t size =
        socket_.read_some(boost::asio::buffer(read_buffer_), error);
    if (error == boost::asio::error::would_block)
      return;
    if (error)
      return OnReadClosed(error);
    if (session_.end())
      bytes_after_close_ += size;
    else
      last_read_at_ = now;
    session_.OnBytes(now, std::string_view(read_buffer_.data(), size));
  }
}

short CallerConnection::Poll(short events) {
  pollfd descriptor{};
  descriptor.fd = socket_.native_handle();
  descriptor.events = events;
  return ::poll(&descriptor, 1, 0) > 0 ? descriptor.revents : short{0};
}

std::size_t CallerConnection::UnacknowledgedBytes() {
  // The kernel keeps the number for a connection that has failed.
  if ((Poll(0) & POLLERR) != 0)
    return 0;
  int bytes = 0;
  return ::ioctl(socket_.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0
             ? static_cast<std::size_t>(bytes)
             : 0;
}

DeliveryState CallerConnection::UpdateDelivery(Instant now) {
  return delivery_.Update(now, UnacknowledgedBytes());
}

void CallerConnection::OnReadClosed(const error_code& error) {
  read_closed_ = true;
  session_.OnReadClosed();
  if (error != boost::asio::error::eof)
    Abort();
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
        self->last_written_at_ = BootNow();
        self->session_.OnWritten(*self->last_written_at_);
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
  if (send_closed_at_)
    return EnforceCloseTimeout(now);
  // A process that was delayed may run this before it reads and writes.
  const auto exceeded = session_.ExceededTimeout(now);
  if (exceeded == SessionEndReason::kIdleTimeout &&
      UpdateDelivery(now) == DeliveryState::kUnderWay) {
    // A caller that is still receiving a response is not idle yet.
    session_.RestartIdleTime(now);
  } else if (exceeded == SessionEndReason::kWriteTimeout) {
    if (Poll(POLLOUT) == 0)
      session_.EnforceTimeouts(now);
  } else if (exceeded) {
    ReadArrived(now);
    if (closed_)
      return;
    session_.EnforceTimeouts(now);
  }
  ProcessSession();
}

void CallerConnection::CloseIfIdle() {
  if (closed_)
    return;
  const Instant now = BootNow();
  if (session_.idle() && !send_closed_at_)
    ReadArrived(now);
  if (closed_)
    return;
  session_.CloseIfIdle(now);
  ProcessSession();
}

void CallerConnection::CloseGracefully() {
  if (send_closed_at_ || closed_)
    return;
  // Bytes that arrive at a socket that was closed reset the connection, so that
  // the caller of a request that was not read learns of it at once. A reset
  // destroys what the caller has not received.
  const bool awaits_close = !read_closed_ && last_written_at_ &&
                            BootNow() - *last_written_at_ <= kCloseTimeout;
  if (!awaits_close && UnacknowledgedBytes() == 0)
    return Close();
  error_code ignored;
  socket_.shutdown(Tcp::socket::shutdown_send, ignored);
  send_closed_at_ = BootNow();
}

void CallerConnection::EnforceCloseTimeout(Instant now) {
  switch (UpdateDelivery(now)) {
    case DeliveryState::kUnderWay:
      return;
    case DeliveryState::kStalled:
      undelivered_bytes_ = UnacknowledgedBytes();
      return Abort();
    case DeliveryState::kDelivered:
      break;
  }
  const Instant delivered_at = std::max(
      *send_closed_at_, delivery_.last_undelivered_at().value_or(Instant{}));
  if (read_closed_ || now - delivered_at > kCloseTimeout)
    Close();
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
  end.undelivered_bytes = undelivered_bytes_;
  handlers_.on_end(end);
}

}  // namespace figstall
