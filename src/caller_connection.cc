// Implements a caller's connection.
#include "figstall/caller_connection.h"

#include <algorithm>

#include "figstall/http_channel.h"

namespace figstall {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::size_t kReadBytes = 16'384;
// Bytes of further requests that are read while one is served; beyond that the
// caller's close is noticed only when its answer is written.
constexpr std::size_t kMaxPipelinedBytes = 65'536;
constexpr int kBadRequest = 400;
constexpr int kContentTooLarge = 413;
constexpr int kHeadersTooLarge = 431;
// A caller that takes nothing of an answer for this long is given up.
constexpr Duration kWriteStall = std::chrono::seconds(15);

int StatusOf(const error_code& error) {
  if (error == http::error::header_limit)
    return kHeadersTooLarge;
  if (error == http::error::body_limit)
    return kContentTooLarge;
  return kBadRequest;
}

}  // namespace

CallerConnection::CallerConnection(Tcp::socket socket,
                                   CallerLimits limits,
                                   Handlers handlers)
    : socket_(std::move(socket)),
      limits_(limits),
      handlers_(std::move(handlers)),
      since_(BootNow()) {}

void CallerConnection::Start() {
  TuneSocket(socket_);
  ResetParser();
  Read();
}

void CallerConnection::ResetParser() {
  parser_.emplace();
  parser_->header_limit(static_cast<std::uint32_t>(limits_.header_bytes));
  parser_->body_limit(limits_.body_bytes);
  parser_->eager(true);
}

void CallerConnection::Read() {
  if (reading_ || closed_ || buffer_.size() >= kMaxPipelinedBytes)
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

void CallerConnection::OnRead(const error_code& error, std::size_t size) {
  buffer_.commit(size);
  if (error)
    return Close();
  if (!serving_)
    return Parse();
  Read();
}

void CallerConnection::Parse() {
  error_code error;
  while (!parser_->is_done() && buffer_.size() > 0) {
    if (!reading_request_) {
      reading_request_ = true;
      since_ = BootNow();
    }
    const std::size_t used = parser_->put(buffer_.data(), error);
    buffer_.consume(used);
    if (error == http::error::need_more || (!error && used == 0))
      break;
    if (error)
      return Refuse(StatusOf(error));
    if (parser_->is_header_done() && !parser_->is_done() &&
        parser_->get()[http::field::expect] == "100-continue" &&
        buffer_.size() == 0 && !answer_) {
      static constexpr char kContinue[] = "HTTP/1.1 100 Continue\r\n\r\n";
      parser_->get().erase(http::field::expect);
      error_code ignored;
      socket_.write_some(boost::asio::buffer(kContinue, sizeof kContinue - 1),
                         ignored);
    }
  }
  if (!parser_->is_done())
    return Read();
  HttpRequest request = parser_->release();
  reading_request_ = false;
  serving_ = true;
  keep_alive_ = request.keep_alive();
  since_ = BootNow();
  Read();
  handlers_.on_request(shared_from_this(), std::move(request));
}

void CallerConnection::Refuse(int status) {
  HttpResponse answer;
  answer.result(static_cast<unsigned>(status));
  answer.version(11);
  reading_request_ = false;
  serving_ = true;
  keep_alive_ = false;
  refused_ = true;
  Reply(std::move(answer));
}

void CallerConnection::Reply(HttpResponse answer) {
  if (closed_)
    return;
  gone_ = nullptr;
  const bool keep = keep_alive_ && !handlers_.stopping();
  answer.keep_alive(keep);
  if (answer.result() != http::status::no_content &&
      answer.result() != http::status::not_modified &&
      !answer.has_content_length())
    answer.content_length(answer.body().size());
  answer_ = std::make_shared<HttpResponse>(std::move(answer));
  unsent_ = answer_->body().size() + 1;
  since_ = BootNow();
  http::async_write(socket_, *answer_,
                    [self = shared_from_this(), answer = answer_, keep](
                        error_code error, std::size_t) {
                      if (self->closed_)
                        return;
                      self->unsent_ = 0;
                      if (error)
                        return self->Close();
                      self->OnWritten(keep);
                    });
}

void CallerConnection::OnWritten(bool keep) {
  answer_.reset();
  stream_.reset();
  if (!keep || refused_) {
    error_code ignored;
    // Unread bytes would reset the connection and lose the answer.
    socket_.shutdown(Tcp::socket::shutdown_send, ignored);
    return Close();
  }
  serving_ = false;
  since_ = BootNow();
  ResetParser();
  if (buffer_.size() > 0)
    Parse();
  else
    Read();
}

void CallerConnection::BeginAnswer(AnswerHead head,
                                   std::function<void()> drained) {
  if (closed_)
    return;
  stream_ = std::make_unique<Stream>();
  stream_->message.base() = std::move(head);
  stream_->message.version(11);
  stream_->message.keep_alive(keep_alive_ && !handlers_.stopping());
  if (!stream_->message.has_content_length())
    stream_->message.chunked(true);
  stream_->message.body().data = nullptr;
  stream_->message.body().more = true;
  stream_->serializer.emplace(stream_->message);
  stream_->drained = std::move(drained);
  unsent_ = 1;
}

void CallerConnection::SendBody(std::string bytes, bool last) {
  if (closed_ || !stream_)
    return;
  unsent_ += bytes.size();
  if (!bytes.empty())
    stream_->chunks.push_back(std::move(bytes));
  stream_->last = last;
  if (!stream_->writing)
    WriteNext();
}

void CallerConnection::WriteNext() {
  auto& body = stream_->message.body();
  if (!stream_->chunks.empty()) {
    body.data = stream_->chunks.front().data();
    body.size = stream_->chunks.front().size();
    body.more = true;
  } else if (stream_->last) {
    body.data = nullptr;
    body.size = 0;
    body.more = false;
  } else {
    if (stream_->drained)
      stream_->drained();
    return;
  }
  stream_->writing = true;
  since_ = BootNow();
  http::async_write(socket_, *stream_->serializer,
                    [self = shared_from_this()](error_code error, std::size_t) {
                      if (self->closed_)
                        return;
                      if (error == http::error::need_buffer)
                        error = {};
                      if (error)
                        return self->Close();
                      Stream& stream = *self->stream_;
                      stream.writing = false;
                      if (stream.chunks.empty()) {
                        self->unsent_ = 0;
                        self->gone_ = nullptr;
                        return self->OnWritten(stream.message.keep_alive());
                      }
                      self->unsent_ -= stream.chunks.front().size();
                      stream.chunks.pop_front();
                      self->WriteNext();
                    });
}

void CallerConnection::Abort() {
  if (closed_)
    return;
  gone_ = nullptr;
  ResetOnClose(socket_);
  Close();
}

void CallerConnection::CheckTimes(Instant now) {
  if (closed_)
    return;
  const Duration age = now - since_;
  if (unsent_ > 0) {
    if (age > kWriteStall)
      Abort();
    return;
  }
  if (serving_)
    return;
  if (reading_request_) {
    if (age > limits_.header_time && !parser_->is_header_done())
      Close();
    return;
  }
  if (age > limits_.idle_time)
    Close();
}

void CallerConnection::CloseIfIdle() {
  if (!serving_ && !reading_request_)
    Close();
}

void CallerConnection::Close() {
  if (closed_)
    return;
  const auto self = shared_from_this();
  closed_ = true;
  error_code ignored;
  socket_.close(ignored);
  handlers_.on_closed(this);
  const auto gone = std::move(gone_);
  gone_ = nullptr;
  if (gone && serving_)
    gone();
}

}  // namespace figstall
