// Implements a connection to a target.
#include "figstall/target_connection.h"

#include <boost/asio/write.hpp>
#include <charconv>

#include "figstall/http_channel.h"

namespace figstall {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::size_t kReadBytes = 32'768;
constexpr std::size_t kMaxHeadBytes = 65'536;
// Answers that belong to another request are read past so often on one
// connection; a target that sends more of them sends no answer.
constexpr std::uint32_t kMaxForeign = 16;
// An idle connection is not used in the last part of the time for which the
// target keeps it, since its close may already be on its way.
constexpr double kUsableShare = 0.6;
// Where the target states no idle time. Source: targets close idle connections
// after a timeout that they state in whole seconds, if it has any.
constexpr Duration kDefaultIdle = std::chrono::milliseconds(900);

// The `timeout` parameter of a Keep-Alive header.
Duration KeepAliveTime(std::string_view value) {
  const std::size_t found = value.find("timeout=");
  if (found == std::string_view::npos)
    return kDefaultIdle;
  int seconds = 0;
  const char* first = value.data() + found + sizeof("timeout=") - 1;
  std::from_chars(first, value.data() + value.size(), seconds);
  return std::chrono::seconds(seconds);
}

}  // namespace

TargetConnection::TargetConnection(boost::asio::io_context& io,
                                   Endpoint target,
                                   std::function<void()> on_closed)
    : socket_(io),
      target_(std::move(target)),
      on_closed_(std::move(on_closed)) {}

void TargetConnection::Send(std::shared_ptr<const HttpRequest> request,
                            ResponseObserver observer) {
  request_ = std::move(request);
  observer_ = std::move(observer);
  busy_ = true;
  written_ = sending_ = head_seen_ = answer_begun_ = paused_ = false;
  foreign_ = saw_foreign_ = false;
  foreign_answers_ = 0;
  ResetParser();
  if (open_)
    return Write();
  error_code error;
  const auto address = boost::asio::ip::make_address(target_.address, error);
  socket_.async_connect(Tcp::endpoint(address, target_.port),
                        [self = shared_from_this()](error_code failed) {
                          if (self->closed_)
                            return;
                          if (failed)
                            return self->Break(failed.message());
                          TuneSocket(self->socket_);
                          self->open_ = true;
                          self->Write();
                        });
}

void TargetConnection::Write() {
  sending_ = true;
  serializer_.emplace(*request_);
  http::async_write(
      socket_, *serializer_,
      [self = shared_from_this()](error_code failed, std::size_t) {
        // The reading side tells how a failed write ended: the
        // target may have answered before it read everything.
        if (!failed)
          self->written_ = true;
      });
  Read();
}

void TargetConnection::Read() {
  if (reading_ || paused_ || closed_)
    return;
  reading_ = true;
  socket_.async_read_some(
      buffer_.prepare(kReadBytes),
      [self = shared_from_this()](error_code error, std::size_t size) {
        self->reading_ = false;
        if (!self->closed_)
          self->OnRead(error, size);
      });
}

void TargetConnection::OnRead(const error_code& error, std::size_t size) {
  buffer_.commit(size);
  if (!busy_) {
    // Closed while idle, or bytes that belong to no request.
    Close();
    return;
  }
  if (error) {
    error_code ended;
    if (error == boost::asio::error::eof && head_seen_ && !foreign_ &&
        parser_->need_eof()) {
      parser_->put_eof(ended);
      if (!ended && parser_->is_done())
        return FinishAnswer();
    }
    return Break(error.message());
  }
  answer_begun_ = true;
  Parse();
}

void TargetConnection::ResetParser() {
  parser_.emplace();
  parser_->header_limit(kMaxHeadBytes);
  parser_->body_limit(boost::none);
  parser_->eager(true);
  if (request_->method() == http::verb::head)
    parser_->skip(true);
}

void TargetConnection::TakeHead() {
  head_seen_ = true;
  const auto& head = parser_->get().base();
  // An interim answer is dropped as well; the final one follows.
  foreign_ = head.result_int() / 100 == 1;
  if (foreign_)
    return;
  const auto observer = observer_.on_head;
  foreign_ = !observer(head);
  saw_foreign_ = saw_foreign_ || foreign_;
}

void TargetConnection::Parse() {
  const auto self = shared_from_this();
  char chunk[kReadBytes];
  while (!closed_ && busy_ && !paused_) {
    error_code error;
    auto& body = parser_->get().body();
    body.data = chunk;
    body.size = sizeof chunk;
    body.more = true;
    const std::size_t used = parser_->put(buffer_.data(), error);
    buffer_.consume(used);
    const bool starved = error == http::error::need_more;
    if (error && !starved && error != http::error::need_buffer)
      return Break(error.message());
    if (parser_->is_header_done() && !head_seen_)
      TakeHead();
    if (closed_ || !busy_)
      return;
    const std::size_t got = head_seen_ ? sizeof chunk - body.size : 0;
    if (got > 0 && !foreign_) {
      const auto observer = observer_.on_body;
      observer(std::string_view(chunk, got));
      if (closed_ || !busy_)
        return;
    }
    if (head_seen_ && parser_->is_done()) {
      if (!foreign_)
        return FinishAnswer();
      if (++foreign_answers_ > kMaxForeign)
        return Break("answers of other requests");
      ResetParser();
      head_seen_ = foreign_ = false;
      if (buffer_.size() == 0)
        break;
      continue;
    }
    if (starved || buffer_.size() == 0)
      break;
  }
  Read();
}

void TargetConnection::FinishAnswer() {
  const auto self = shared_from_this();
  const auto& answer = parser_->get();
  // Bytes beyond an answer, or an answer to a request that was not read to its
  // end, leave the connection in doubt.
  const bool reusable = written_ && !saw_foreign_ && answer.keep_alive() &&
                        buffer_.size() == 0 && !parser_->need_eof();
  const Duration keep =
      KeepAliveTime(std::string_view(answer[http::field::keep_alive].data(),
                                     answer[http::field::keep_alive].size()));
  ++answers_;
  const ResponseObserver observer = std::move(observer_);
  observer_ = {};
  busy_ = false;
  if (reusable) {
    usable_until_ = BootNow() + Scaled(keep, kUsableShare);
    paused_ = false;
    Read();
  } else {
    Close();
  }
  observer.on_end();
}

void TargetConnection::Break(const std::string& why) {
  const auto self = shared_from_this();
  const FailureStage point = !sending_        ? FailureStage::kNotSent
                             : !answer_begun_ ? FailureStage::kNoAnswer
                                              : FailureStage::kAnswerCut;
  const ResponseObserver observer = std::move(observer_);
  observer_ = {};
  busy_ = false;
  Close();
  if (observer.on_error)
    observer.on_error(point, why);
}

void TargetConnection::Resume() {
  if (!paused_)
    return;
  paused_ = false;
  if (busy_ && open_)
    Parse();
}

void TargetConnection::Cancel() {
  observer_ = {};
  busy_ = false;
  Close();
}

void TargetConnection::Close() {
  if (closed_)
    return;
  closed_ = true;
  open_ = false;
  ResetOnClose(socket_);
  error_code ignored;
  socket_.close(ignored);
  on_closed_();
}

}  // namespace figstall
