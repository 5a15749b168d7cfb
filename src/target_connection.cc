// Parses responses incrementally with Boost.Beast and passes body chunks on as
// they arrive. A read is pending on an idle connection too, which detects that
// the target closes it.
#include "figstall/target_connection.h"

#include <fmt/format.h>

#include <boost/asio/write.hpp>
#include <charconv>

#include "figstall/http_channel.h"
#include "figstall/transfer_coding.h"

namespace figstall {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::size_t kReadBufferBytes = 32'768;
constexpr std::size_t kMaxHeadBytes = 65'536;
// Number of interim responses and of responses to other requests that are
// discarded while one request waits for its own. A target that sends more is
// treated as one that sends no valid response.
constexpr std::uint32_t kMaxDiscardedResponses = 16;
// Bytes of the bodies of such responses, with what of their heads was read
// along.
constexpr std::size_t kMaxDiscardedBytes = 1'048'576;
// A chunk line with its extensions, or the trailers. The parser keeps them
// until they are complete.
constexpr std::size_t kMaxChunkLineBytes = 65'536;
// Chunk lines may have this many bytes for each byte of the body, beside
// kMaxHeadBytes and kMaxChunkLineBytes.
constexpr std::size_t kMaxFramingPerBodyByte = 16;
// Fraction of the target's idle timeout during which an idle connection is
// used. In the rest of the timeout the target's close may already be in
// transit.
constexpr double kUsableIdleFraction = 0.6;
// Applies if the target states no idle timeout. Source: targets close idle
// connections after a timeout, which they state in whole seconds if it has any.
constexpr Duration kDefaultIdleTimeout = std::chrono::milliseconds(900);

// The `timeout` parameter of a Keep-Alive header, or the default without one.
Duration KeepAliveTimeout(std::string_view value) {
  const std::size_t found = value.find("timeout=");
  if (found == std::string_view::npos)
    return kDefaultIdleTimeout;
  int seconds = 0;
  const char* first = value.data() + found + sizeof("timeout=") - 1;
  std::from_chars(first, value.data() + value.size(), seconds);
  return std::chrono::seconds(seconds);
}

// Whether a body may follow a response that has none by its status, and which
// the parser does not read.
template <typename Response>
bool AnnouncesSkippedBody(const Response& response) {
  const auto status = response.result();
  // The length in a 304 is that of the response which it stands for.
  return (status == http::status::no_content && response.has_content_length() &&
          response[http::field::content_length] != "0") ||
         ((status == http::status::no_content ||
           status == http::status::not_modified) &&
          response.chunked());
}

}  // namespace

TargetConnection::TargetConnection(boost::asio::io_context& io,
                                   Endpoint target,
                                   std::function<void()> on_closed)
    : socket_(io),
      connect_timer_(io),
      target_(std::move(target)),
      on_closed_(std::move(on_closed)) {}

void TargetConnection::Send(std::shared_ptr<const TargetRequest> request,
                            ResponseObserver observer,
                            Duration connect_timeout) {
  request_ = std::move(request);
  observer_ = std::move(observer);
  busy_ = true;
  request_written_ = send_started_ = head_seen_ = response_started_ = paused_ =
      false;
  discarding_ = saw_mismatched_response_ = false;
  discarded_responses_ = 0;
  discarded_bytes_ = 0;
  write_error_ = {};
  ResetParser();
  if (open_)
    return Write();
  Connect(connect_timeout);
}

void TargetConnection::Connect(Duration timeout) {
  opening_since_ = BootNow();
  connect_timer_.expires_after(timeout);
  connect_timer_.async_wait([self = shared_from_this()](error_code stopped) {
    if (!stopped && !self->closed_ && !self->open_)
      self->Fail("connect timeout");
  });
  error_code error;
  const auto address = boost::asio::ip::make_address(target_.address, error);
  socket_.async_connect(
      Tcp::endpoint(address, target_.port),
      [self = shared_from_this()](error_code failed) {
        if (self->closed_)
          return;
        self->connect_timer_.cancel();
        if (failed)
          return self->Fail(failed.message());
        self->opening_since_.reset();
        TuneSocket(self->socket_);
        self->open_ = true;
        if (self->observer_.may_send && !self->observer_.may_send())
          return self->Fail("withdrawn");
        self->Write();
      });
}

void TargetConnection::Write() {
  send_started_ = true;
  serializer_.emplace(*request_);
  http::async_write(
      socket_, *serializer_,
      [self = shared_from_this()](error_code failed, std::size_t) {
        // The target may have responded before it read the whole request, so
        // the response is read on.
        if (failed)
          self->write_error_ = failed;
        else
          self->request_written_ = true;
      });
  Read();
}

void TargetConnection::Read() {
  if (reading_ || paused_ || closed_)
    return;
  reading_ = true;
  socket_.async_read_some(
      buffer_.prepare(kReadBufferBytes),
      [self = shared_from_this()](error_code error, std::size_t size) {
        self->reading_ = false;
        if (!self->closed_)
          self->OnRead(error, size);
      });
}

void TargetConnection::OnRead(const error_code& error, std::size_t size) {
  buffer_.commit(size);
  if (!busy_) {
    // The target closed the idle connection or sent bytes without a request.
    Close();
    return;
  }
  if (error) {
    error_code eof_error;
    if (error == boost::asio::error::eof && head_seen_ && !discarding_ &&
        parser_->need_eof() && EndedInOrder()) {
      parser_->put_eof(eof_error);
      if (!eof_error && parser_->is_done())
        return FinishResponse();
    }
    return Fail((write_error_ ? write_error_ : error).message());
  }
  response_started_ = true;
  Parse();
}

bool TargetConnection::EndedInOrder() const {
  return !write_error_ || write_error_ == boost::asio::error::broken_pipe;
}

void TargetConnection::ResetParser() {
  body_bytes_ = framing_bytes_ = 0;
  parser_.emplace();
  parser_->header_limit(kMaxHeadBytes);
  parser_->body_limit(boost::none);
  parser_->eager(true);
  if (request_->method() == http::verb::head)
    parser_->skip(true);
}

void TargetConnection::OnHead() {
  head_seen_ = true;
  const auto& head = parser_->get().base();
  const TransferCoding coding = TransferCodingOf(head);
  // Without a known end, the response may be cut, and what follows it may be
  // taken for the next one.
  if (coding != TransferCoding::kNone && coding != TransferCoding::kChunked)
    return Fail("transfer coding not known");
  // An interim response is discarded as well; the final one follows.
  discarding_ = head.result_int() / 100 == 1;
  if (discarding_)
    return;
  // The parser takes any three digits. What else the response says, such as
  // that the request was not run, is not relied on.
  if (!IsFinalStatus(head.result_int()))
    return Fail(
        fmt::format("status {:03} is outside 200 to 599", head.result_int()));
  const auto observer = observer_.on_head;
  discarding_ = !observer(head);
  saw_mismatched_response_ = saw_mismatched_response_ || discarding_;
}

void TargetConnection::Parse() {
  const auto self = shared_from_this();
  char chunk[kReadBufferBytes];
  while (!closed_ && busy_ && !paused_) {
    error_code error;
    auto& body = parser_->get().body();
    body.data = chunk;
    body.size = sizeof chunk;
    body.more = true;
    const std::size_t parsed = parser_->put(buffer_.data(), error);
    buffer_.consume(parsed);
    const bool needs_more = error == http::error::need_more;
    if (error == http::error::header_limit)
      return FailOverLimit({"head", kMaxHeadBytes});
    if (error && !needs_more && error != http::error::need_buffer)
      return Fail(error.message());
    if (parser_->is_header_done() && !head_seen_)
      OnHead();
    if (closed_ || !busy_)
      return;
    const std::size_t body_bytes = head_seen_ ? sizeof chunk - body.size : 0;
    if (const auto limit = CountParsed(parsed, body_bytes, needs_more))
      return FailOverLimit(*limit);
    if (body_bytes > 0 && !discarding_) {
      const auto observer = observer_.on_body;
      observer(std::string_view(chunk, body_bytes));
      if (closed_ || !busy_)
        return;
    }
    if (head_seen_ && parser_->is_done()) {
      if (!discarding_)
        return FinishResponse();
      if (++discarded_responses_ > kMaxDiscardedResponses)
        return FailOverLimit(
            {"discarded responses", kMaxDiscardedResponses, "responses"});
      ResetParser();
      head_seen_ = discarding_ = false;
      if (buffer_.size() == 0)
        break;
      continue;
    }
    if (needs_more || buffer_.size() == 0)
      break;
  }
  Read();
}

std::optional<ExceededLimit> TargetConnection::CountParsed(
    std::size_t parsed,
    std::size_t body_bytes,
    bool needs_more) {
  body_bytes_ += body_bytes;
  framing_bytes_ += parsed - body_bytes;
  if (discarding_) {
    discarded_bytes_ += parsed;
    if (discarded_bytes_ > kMaxDiscardedBytes)
      return ExceededLimit{"discarded responses", kMaxDiscardedBytes};
  }
  if (!head_seen_)
    return std::nullopt;
  if (needs_more && buffer_.size() > kMaxChunkLineBytes)
    return ExceededLimit{
        PlaceOfChunkLine(
            {static_cast<const char*>(buffer_.data().data()), buffer_.size()}),
        kMaxChunkLineBytes};
  const std::size_t max_framing_bytes =
      kMaxHeadBytes + kMaxChunkLineBytes + kMaxFramingPerBodyByte * body_bytes_;
  if (framing_bytes_ > max_framing_bytes)
    return ExceededLimit{"chunk lines", max_framing_bytes};
  return std::nullopt;
}

void TargetConnection::FinishResponse() {
  const auto self = shared_from_this();
  const auto& response = parser_->get();
  // The state of the connection is uncertain if bytes follow the response, or
  // if the target responded before it was sent the whole request.
  const bool reusable = request_written_ && !saw_mismatched_response_ &&
                        response.keep_alive() && buffer_.size() == 0 &&
                        !parser_->need_eof() && !AnnouncesSkippedBody(response);
  const Duration idle_timeout = KeepAliveTimeout(
      std::string_view(response[http::field::keep_alive].data(),
                       response[http::field::keep_alive].size()));
  ++completed_responses_;
  const ResponseObserver observer = std::move(observer_);
  observer_ = {};
  busy_ = false;
  if (reusable) {
    usable_until_ = BootNow() + Scaled(idle_timeout, kUsableIdleFraction);
    paused_ = false;
    Read();
  } else {
    Close();
  }
  observer.on_end();
}

void TargetConnection::Fail(const std::string& reason) {
  const auto self = shared_from_this();
  const FailureStage stage = !send_started_       ? FailureStage::kNotSent
                             : !response_started_ ? FailureStage::kNoResponse
                                                  : FailureStage::kAnswerCut;
  const ResponseObserver observer = std::move(observer_);
  observer_ = {};
  busy_ = false;
  Close();
  if (observer.on_error)
    observer.on_error(stage, reason);
}

void TargetConnection::FailOverLimit(const ExceededLimit& limit) {
  const auto on_limit = std::move(observer_.on_limit);
  if (on_limit)
    on_limit(limit);
  Fail(limit.ToString());
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
  opening_since_.reset();
  connect_timer_.cancel();
  ResetOnClose(socket_);
  error_code ignored;
  socket_.close(ignored);
  on_closed_();
}

}  // namespace figstall
