// Parses and serializes with Boost.Beast. Unanswered requests are kept in a
// deque indexed by request number, and only the front one writes to the output.
// A non-idempotent request is never served concurrently with another request.
#include "figstall/caller_session.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "figstall/transfer_coding.h"

namespace figstall {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

constexpr int kBadRequest = 400;
constexpr int kContentTooLarge = 413;
constexpr int kHeadersTooLarge = 431;
constexpr int kNotImplemented = 501;
constexpr int kUnavailable = 503;
// Retry-After of a request for which there is no memory. Retries reach other
// processes.
constexpr Duration kRetryAfterNoMemory = std::chrono::milliseconds(100);
// An empty input buffer with more capacity than this is freed.
constexpr std::size_t kMaxIdleInputBytes = 32'768;
// Largest number of bytes that one write passes to the socket.
constexpr std::size_t kMaxWriteBytes = 65'536;
// Requests wait unparsed while more bytes than this are unsent to the caller.
constexpr std::size_t kMaxUnsentBytes = 262'144;
// A chunk line with its extensions, or the trailers, of a request. The parser
// leaves them in the input until they are complete.
constexpr std::size_t kMaxChunkLineBytes = 16'384;
// Chunk lines may have this many bytes for each byte of the body, beside
// kMaxChunkLineBytes and the limit of the head.
constexpr std::size_t kMaxFramingPerBodyByte = 16;
// The connection is reset if one write to the caller takes longer than this.
constexpr Duration kWriteTimeout = std::chrono::seconds(15);
// A stopping process keeps a new connection open for this long if no request
// was read on it, since the first request may be in transit.
constexpr Duration kFirstRequestTimeout = std::chrono::seconds(1);
constexpr char kContinueResponse[] = "HTTP/1.1 100 Continue\r\n\r\n";

int StatusOf(const error_code& error) {
  if (error == http::error::header_limit)
    return kHeadersTooLarge;
  if (error == http::error::body_limit)
    return kContentTooLarge;
  return kBadRequest;
}

// The status of a request for which it is not known where its body ends or how
// it is coded.
std::optional<int> StatusOf(TransferCoding coding) {
  switch (coding) {
    case TransferCoding::kNone:
    case TransferCoding::kChunked:
      return std::nullopt;
    case TransferCoding::kUnknownInChunks:
      return kNotImplemented;
    case TransferCoding::kInvalid:
      return kBadRequest;
  }
  return kBadRequest;
}

bool HasNoBody(http::status status) {
  return status == http::status::no_content ||
         status == http::status::not_modified;
}

template <typename Buffers>
void Append(std::string& out, const Buffers& buffers) {
  for (auto each = boost::asio::buffer_sequence_begin(buffers);
       each != boost::asio::buffer_sequence_end(buffers); ++each) {
    const boost::asio::const_buffer bytes(*each);
    out.append(static_cast<const char*>(bytes.data()), bytes.size());
  }
}

// Appends the whole message, or only its head if `head` is set.
template <typename Body>
void Serialize(std::string& out, http::response<Body>& message, bool head) {
  http::response_serializer<Body> serializer(message);
  serializer.split(head);
  error_code error;
  while (!error && !(head ? serializer.is_header_done() : serializer.is_done()))
    serializer.next(error, [&](error_code& /*failed*/, const auto& buffers) {
      Append(out, buffers);
      serializer.consume(boost::asio::buffer_size(buffers));
    });
}

}  // namespace

const char* ToString(SessionEndReason reason) {
  switch (reason) {
    case SessionEndReason::kLastResponse:
      return "last-response";
    case SessionEndReason::kInvalidRequest:
      return "invalid-request";
    case SessionEndReason::kResponseCut:
      return "response-cut";
    case SessionEndReason::kCallerClosed:
      return "caller-closed";
    case SessionEndReason::kIdleTimeout:
      return "idle-timeout";
    case SessionEndReason::kHeadTimeout:
      return "head-timeout";
    case SessionEndReason::kBodyTimeout:
      return "body-timeout";
    case SessionEndReason::kWriteTimeout:
      return "write-timeout";
    case SessionEndReason::kStopping:
      return "stopping";
  }
  return "";
}

CallerSession::CallerSession(CallerSessionLimits limits,
                             IdempotentPredicate is_idempotent,
                             Instant now,
                             std::shared_ptr<RequestMemory> memory)
    : limits_(std::move(limits)),
      is_idempotent_(std::move(is_idempotent)),
      memory_(std::move(memory)),
      opened_at_(now),
      idle_since_(now),
      request_started_at_(now),
      last_read_at_(now),
      write_started_at_(now) {
  ResetParser();
}

CallerSession::PendingRequest* CallerSession::Find(RequestNumber number) {
  return const_cast<PendingRequest*>(std::as_const(*this).Find(number));
}

const CallerSession::PendingRequest* CallerSession::Find(
    RequestNumber number) const {
  return number >= first_number_ &&
                 number - first_number_ < pending_requests_.size()
             ? &pending_requests_[number - first_number_]
             : nullptr;
}

void CallerSession::ResetParser() {
  parser_.emplace();
  parser_->eager(true);
  reading_request_ = false;
  parsed_bytes_ = 0;
}

void CallerSession::ApplySizeLimits() {
  const CallerLimits limits = limits_.caller->Since(request_started_at_);
  max_header_bytes_ = limits.max_header_bytes;
  parser_->header_limit(static_cast<std::uint32_t>(limits.max_header_bytes));
  parser_->body_limit(limits.max_body_bytes);
}

void CallerSession::OnBytes(Instant now, std::string_view bytes) {
  if (state_ != SessionState::kOpen || closing_)
    return;
  last_read_at_ = now;
  input_ += bytes;
  Parse(now);
  UpdateMemory();
}

std::size_t CallerSession::ReadingBytes() const {
  if (!reading_request_)
    return 0;
  std::size_t body_bytes = 0;
  if (parser_->is_header_done()) {
    const std::size_t capacity = parser_->get().body().capacity();
    const auto length = parser_->content_length();
    // A body without a length may be copied to a larger buffer.
    body_bytes =
        length ? std::max<std::size_t>(capacity, *length) : 2 * capacity;
  }
  return body_bytes + std::min<std::size_t>(parsed_bytes_, max_header_bytes_);
}

bool CallerSession::UpdateMemory() {
  std::size_t bytes = input_.size() + ReadingBytes();
  for (const PendingRequest& pending : pending_requests_)
    bytes += pending.kept_bytes;
  if (deferred_request_)
    bytes += deferred_request_->kept_bytes;
  return memory_.Set(bytes);
}

bool CallerSession::CanParse() const {
  if (state_ != SessionState::kOpen || closing_ || deferred_request_ ||
      input_.empty() || output_.size() > kMaxUnsentBytes)
    return false;
  // A stopping process parses one request at a time, since the last response
  // must announce that the connection closes.
  return pending_requests_.size() <
         (stopping_ ? 1 : limits_.max_concurrent_requests);
}

void CallerSession::Parse(Instant now) {
  while (CanParse()) {
    if (!reading_request_) {
      reading_request_ = true;
      request_started_at_ = now;
      ApplySizeLimits();
    }
    continue_pending_ = false;
    error_code error;
    const std::size_t parsed = parser_->put(
        boost::asio::const_buffer(input_.data(), input_.size()), error);
    input_.erase(0, parsed);
    if (input_.empty() && input_.capacity() > kMaxIdleInputBytes)
      input_.shrink_to_fit();
    parsed_bytes_ += parsed;
    if (error && error != http::error::need_more)
      return RefuseInput(StatusOf(error));
    if (parser_->is_header_done()) {
      if (const auto status = StatusOf(TransferCodingOf(parser_->get())))
        return RefuseInput(*status);
    }
    if (!UpdateMemory())
      return RefuseInput(kUnavailable);
    if (parser_->is_done()) {
      OnRequestParsed(now, parser_->release());
      continue;
    }
    if (parser_->is_header_done() && ExceedsFramingLimit())
      return RefuseInput(kBadRequest);
    if (parser_->is_header_done() && input_.empty() &&
        parser_->get()[http::field::expect] == "100-continue") {
      continue_pending_ = true;
      WriteReadyResponses();
    }
    if (error || parsed == 0)
      return;
  }
}

bool CallerSession::ExceedsFramingLimit() const {
  const std::size_t body_bytes = parser_->get().body().size();
  return input_.size() > kMaxChunkLineBytes ||
         parsed_bytes_ - body_bytes > max_header_bytes_ + kMaxChunkLineBytes +
                                          kMaxFramingPerBodyByte * body_bytes;
}

void CallerSession::OnRequestParsed(Instant now, HttpRequest request) {
  const std::size_t kept_bytes =
      request.body().capacity() +
      std::min<std::size_t>(parsed_bytes_, max_header_bytes_);
  ResetParser();
  received_request_ = true;
  // Nothing that follows a request without keep-alive is read.
  closing_ = !request.keep_alive();
  const bool non_idempotent = !is_idempotent_(request);
  const bool exclusive =
      non_idempotent ||
      (!pending_requests_.empty() && pending_requests_.back().non_idempotent);
  if (exclusive && !pending_requests_.empty()) {
    deferred_request_ = CallerRequest{0, now, std::move(request), kept_bytes};
    return;
  }
  Enqueue({0, now, std::move(request), kept_bytes}, non_idempotent);
}

void CallerSession::Enqueue(CallerRequest request, bool non_idempotent) {
  PendingRequest pending;
  pending.kept_bytes = request.kept_bytes;
  pending.keep_alive = request.message.keep_alive();
  pending.non_idempotent = non_idempotent;
  pending.http_1_0 = request.message.version() < 11;
  pending.head_only = request.message.method() == http::verb::head;
  pending_requests_.push_back(std::move(pending));
  request.number = first_number_ + pending_requests_.size() - 1;
  ready_requests_.push_back(std::move(request));
}

void CallerSession::RefuseInput(int status) {
  refused_status_ = status;
  refused_input_ = true;
  HttpResponse response;
  response.result(static_cast<unsigned>(status));
  response.version(11);
  if (status == kUnavailable) {
    response.set(
        http::field::retry_after,
        fmt::format(
            "{:.3f}",
            std::chrono::duration<double>(kRetryAfterNoMemory).count()));
  }
  PendingRequest pending;
  pending.keep_alive = false;
  pending.full_response = std::move(response);
  pending_requests_.push_back(std::move(pending));
  ResetParser();
  closing_ = true;
  input_.clear();
  UpdateMemory();
  WriteReadyResponses();
}

std::optional<CallerRequest> CallerSession::NextRequest() {
  if (ready_requests_.empty())
    return std::nullopt;
  CallerRequest next = std::move(ready_requests_.front());
  ready_requests_.pop_front();
  return next;
}

void CallerSession::SetCancelHandler(RequestNumber number,
                                     std::function<void()> handler) {
  if (PendingRequest* pending = Find(number))
    pending->on_cancel = std::move(handler);
}

void CallerSession::Reply(RequestNumber number, HttpResponse response) {
  PendingRequest* pending = Find(number);
  if (!pending || pending->full_response || pending->streaming)
    return;
  pending->on_cancel = nullptr;
  pending->full_response = std::move(response);
  WriteReadyResponses();
}

void CallerSession::BeginResponse(RequestNumber number,
                                  ResponseHead head,
                                  std::function<void()> on_drained) {
  PendingRequest* pending = Find(number);
  if (!pending || pending->full_response || pending->streaming)
    return;
  pending->streaming = true;
  pending->head = std::move(head);
  pending->on_drained = std::move(on_drained);
  WriteReadyResponses();
}

void CallerSession::SendBody(RequestNumber number,
                             std::string_view bytes,
                             bool last) {
  PendingRequest* pending = Find(number);
  if (!pending || !pending->streaming || pending->body_complete)
    return;
  pending->body += bytes;
  pending->body_complete = last;
  if (last)
    pending->on_cancel = nullptr;
  WriteReadyResponses();
}

void CallerSession::Truncate(RequestNumber number) {
  PendingRequest* pending = Find(number);
  if (!pending)
    return;
  pending->truncated = true;
  pending->on_cancel = nullptr;
  closing_ = true;
  input_.clear();
  unanswered_ += pending_requests_.size() - (number - first_number_) +
                 (deferred_request_ ? 1 : 0);
  deferred_request_.reset();
  std::erase_if(ready_requests_, [number](const CallerRequest& each) {
    return each.number > number;
  });
  std::vector<std::function<void()>> cancel_handlers;
  for (std::size_t each = number - first_number_ + 1;
       each < pending_requests_.size(); ++each)
    cancel_handlers.push_back(std::move(pending_requests_[each].on_cancel));
  pending_requests_.resize(number - first_number_ + 1);
  UpdateMemory();
  WriteReadyResponses();
  for (const auto& handler : cancel_handlers) {
    if (handler)
      handler();
  }
}

std::size_t CallerSession::unsent(RequestNumber number) const {
  const PendingRequest* pending = Find(number);
  if (!pending)
    return 0;
  const std::size_t ahead = number == first_number_
                                ? output_.size() + bytes_in_write_
                                : std::size_t{0};
  return pending->body.size() + ahead;
}

void CallerSession::WriteReadyResponses() {
  while (state_ == SessionState::kOpen && !pending_requests_.empty()) {
    PendingRequest& front = pending_requests_.front();
    if (!WriteFront(front))
      return;
    const bool closes = front.truncated || !front.keep_alive;
    const bool must_reset =
        front.truncated && front.framing == BodyFraming::kConnectionEnd;
    const SessionEndReason reason =
        front.truncated  ? SessionEndReason::kResponseCut
        : refused_input_ ? SessionEndReason::kInvalidRequest
                         : SessionEndReason::kLastResponse;
    pending_requests_.pop_front();
    ++first_number_;
    UpdateMemory();
    if (must_reset)
      return Reset(reason);
    if (closes)
      return End(SessionState::kCloseAfterOutput, reason);
    if (pending_requests_.empty() && deferred_request_) {
      CallerRequest deferred = std::move(*deferred_request_);
      deferred_request_.reset();
      const bool non_idempotent = !is_idempotent_(deferred.message);
      Enqueue(std::move(deferred), non_idempotent);
      UpdateMemory();
    }
  }
  if (state_ == SessionState::kOpen && continue_pending_ &&
      pending_requests_.empty()) {
    continue_pending_ = false;
    output_ += kContinueResponse;
  }
}

bool CallerSession::WriteFront(PendingRequest& front) {
  if (front.full_response || front.head) {
    // While the process stops, the response to the last request that was read
    // announces the close. Earlier responses don't.
    if (stopping_ && pending_requests_.size() == 1 && !deferred_request_ &&
        !reading_request_ && input_.empty())
      front.keep_alive = false;
    closing_ = closing_ || !front.keep_alive;
  }
  if (front.full_response) {
    WriteFullResponse(front);
    return true;
  }
  if (front.head)
    WriteHead(front);
  if (front.streaming)
    WriteBody(front);
  return front.truncated || front.body_complete;
}

void CallerSession::WriteFullResponse(PendingRequest& front) {
  HttpResponse& response = *front.full_response;
  response.keep_alive(front.keep_alive);
  if (!front.head_only && !HasNoBody(response.result()) &&
      !response.has_content_length())
    response.content_length(response.body().size());
  Serialize(output_, response, /*head=*/false);
}

BodyFraming CallerSession::FramingFor(
    const PendingRequest& pending,
    const http::response<http::empty_body>& message) {
  if (pending.head_only || HasNoBody(message.result()))
    return BodyFraming::kNone;
  if (message.has_content_length())
    return BodyFraming::kContentLength;
  return pending.http_1_0 ? BodyFraming::kConnectionEnd : BodyFraming::kChunks;
}

void CallerSession::WriteHead(PendingRequest& front) {
  http::response<http::empty_body> message(std::move(*front.head));
  front.head.reset();
  message.version(11);
  front.framing = FramingFor(front, message);
  if (front.framing == BodyFraming::kConnectionEnd) {
    front.keep_alive = false;
    closing_ = true;
  }
  message.keep_alive(front.keep_alive);
  // chunked(false) would remove the Content-Length.
  if (front.framing == BodyFraming::kChunks)
    message.chunked(true);
  Serialize(output_, message, /*head=*/true);
}

void CallerSession::WriteBody(PendingRequest& front) {
  const bool chunks = front.framing == BodyFraming::kChunks;
  if (!front.body.empty() && front.framing != BodyFraming::kNone) {
    if (chunks)
      Append(output_, http::make_chunk(boost::asio::const_buffer(
                          front.body.data(), front.body.size())));
    else
      output_ += front.body;
  }
  front.body.clear();
  if (front.body_complete && chunks)
    Append(output_, http::make_chunk_last());
}

std::string CallerSession::TakeOutput(Instant now) {
  if (bytes_in_write_ > 0 || output_.empty())
    return {};
  std::string next;
  if (output_.size() <= kMaxWriteBytes) {
    next.swap(output_);
  } else {
    next = output_.substr(0, kMaxWriteBytes);
    output_.erase(0, kMaxWriteBytes);
  }
  bytes_in_write_ = next.size();
  write_started_at_ = now;
  return next;
}

void CallerSession::OnWritten(Instant now) {
  bytes_in_write_ = 0;
  if (state_ != SessionState::kOpen)
    return;
  if (idle())
    idle_since_ = now;
  Parse(now);
  if (pending_requests_.empty() || !output_.empty())
    return;
  const auto on_drained = pending_requests_.front().body_complete
                              ? nullptr
                              : pending_requests_.front().on_drained;
  if (on_drained)
    on_drained();
}

void CallerSession::OnReadClosed() {
  if (state_ == SessionState::kOpen)
    End(SessionState::kCloseAfterOutput, SessionEndReason::kCallerClosed);
}

void CallerSession::Reset(SessionEndReason reason) {
  output_.clear();
  End(SessionState::kReset, reason);
}

void CallerSession::End(SessionState state, SessionEndReason reason) {
  if (!end_) {
    end_ = SessionEnd{
        reason,
        unanswered_ + pending_requests_.size() + (deferred_request_ ? 1 : 0),
        input_.size() + (reading_request_ ? parsed_bytes_ : 0)};
  }
  state_ = state;
  closing_ = true;
  input_.clear();
  deferred_request_.reset();
  ready_requests_.clear();
  const std::deque<PendingRequest> cancelled = std::move(pending_requests_);
  pending_requests_.clear();
  first_number_ += cancelled.size();
  ResetParser();
  UpdateMemory();
  for (const PendingRequest& pending : cancelled) {
    if (pending.on_cancel)
      pending.on_cancel();
  }
}

void CallerSession::CloseIfIdle(Instant now) {
  if (state_ == SessionState::kOpen && idle() &&
      (received_request_ || now - opened_at_ > kFirstRequestTimeout))
    End(SessionState::kCloseAfterOutput, SessionEndReason::kStopping);
}

std::optional<SessionEndReason> CallerSession::ExceededTimeout(
    Instant now) const {
  if (writing()) {
    return bytes_in_write_ > 0 && now - write_started_at_ > kWriteTimeout
               ? std::optional(SessionEndReason::kWriteTimeout)
               : std::nullopt;
  }
  if (state_ != SessionState::kOpen || !pending_requests_.empty() ||
      deferred_request_)
    return std::nullopt;
  if (!reading_request_) {
    return now - idle_since_ > idle_timeout()
               ? std::optional(SessionEndReason::kIdleTimeout)
               : std::nullopt;
  }
  if (!parser_->is_header_done() &&
      now - request_started_at_ >
          limits_.caller->Since(request_started_at_).header_timeout)
    return SessionEndReason::kHeadTimeout;
  if (now - last_read_at_ > limits_.caller->Since(last_read_at_).idle_timeout)
    return SessionEndReason::kBodyTimeout;
  return std::nullopt;
}

void CallerSession::EnforceTimeouts(Instant now) {
  const auto exceeded = ExceededTimeout(now);
  if (exceeded == SessionEndReason::kWriteTimeout)
    Reset(*exceeded);
  else if (exceeded)
    End(SessionState::kCloseAfterOutput, *exceeded);
}

}  // namespace figstall
