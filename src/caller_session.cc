// Implements the HTTP of a caller's connection.
#include "figstall/caller_session.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace figstall {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

constexpr int kBadRequest = 400;
constexpr int kContentTooLarge = 413;
constexpr int kHeadersTooLarge = 431;
// Bytes given to the socket at once.
constexpr std::size_t kWriteBytes = 65'536;
// A caller that takes nothing of an answer for this long is given up.
constexpr Duration kWriteStall = std::chrono::seconds(15);
// A new connection that has carried no request yet is left open for this long
// by a process that stops: its first request may be on the way.
constexpr Duration kFirstRequestTime = std::chrono::seconds(1);
constexpr char kContinue[] = "HTTP/1.1 100 Continue\r\n\r\n";

int StatusOf(const error_code& error) {
  if (error == http::error::header_limit)
    return kHeadersTooLarge;
  if (error == http::error::body_limit)
    return kContentTooLarge;
  return kBadRequest;
}

template <typename Buffers>
void Append(std::string& out, const Buffers& buffers) {
  for (auto each = boost::asio::buffer_sequence_begin(buffers);
       each != boost::asio::buffer_sequence_end(buffers); ++each) {
    const boost::asio::const_buffer bytes(*each);
    out.append(static_cast<const char*>(bytes.data()), bytes.size());
  }
}

// Appends a message, or its head only.
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

CallerSession::CallerSession(CallerSessionLimits limits,
                             IdempotentPredicate is_idempotent,
                             Instant now)
    : limits_(limits),
      is_idempotent_(std::move(is_idempotent)),
      opened_(now),
      idle_since_(now),
      request_began_(now),
      last_bytes_(now),
      write_began_(now) {
  ResetParser();
}

CallerSession::Slot* CallerSession::Find(RequestNumber number) {
  return const_cast<Slot*>(std::as_const(*this).Find(number));
}

const CallerSession::Slot* CallerSession::Find(RequestNumber number) const {
  return number >= first_ && number - first_ < slots_.size()
             ? &slots_[number - first_]
             : nullptr;
}

void CallerSession::ResetParser() {
  parser_.emplace();
  parser_->header_limit(
      static_cast<std::uint32_t>(limits_.caller.max_header_bytes));
  parser_->body_limit(limits_.caller.max_body_bytes);
  parser_->eager(true);
  reading_request_ = false;
}

void CallerSession::OnBytes(Instant now, std::string_view bytes) {
  if (end_ != SessionState::kOpen || closing_)
    return;
  last_bytes_ = now;
  input_ += bytes;
  Parse(now);
}

bool CallerSession::MayParse() const {
  if (end_ != SessionState::kOpen || closing_ || deferred_request_ ||
      input_.empty())
    return false;
  // The last answer of a process that stops closes the connection.
  return slots_.size() < (stopping_ ? 1 : limits_.max_concurrent_requests);
}

void CallerSession::Parse(Instant now) {
  while (MayParse()) {
    if (!reading_request_) {
      reading_request_ = true;
      request_began_ = now;
    }
    continue_due_ = false;
    error_code error;
    const std::size_t used = parser_->put(
        boost::asio::const_buffer(input_.data(), input_.size()), error);
    input_.erase(0, used);
    if (error && error != http::error::need_more)
      return RefuseInput(StatusOf(error));
    if (parser_->is_done()) {
      TakeRequest(now, parser_->release());
      continue;
    }
    if (parser_->is_header_done() && input_.empty() &&
        parser_->get()[http::field::expect] == "100-continue") {
      continue_due_ = true;
      WriteReadyResponses();
    }
    if (error || used == 0)
      return;
  }
}

void CallerSession::TakeRequest(Instant now, HttpRequest request) {
  ResetParser();
  any_request_ = true;
  // What a caller sends behind a request that closes is not read.
  closing_ = !request.keep_alive();
  const bool once = !is_idempotent_(request);
  const bool alone = once || (!slots_.empty() && slots_.back().once);
  if (alone && !slots_.empty()) {
    deferred_request_ = CallerRequest{0, now, std::move(request)};
    return;
  }
  PassOn(now, std::move(request), once);
}

void CallerSession::PassOn(Instant now, HttpRequest request, bool once) {
  Slot slot;
  slot.keep_alive = request.keep_alive();
  slot.once = once;
  slots_.push_back(std::move(slot));
  ready_.push_back({first_ + slots_.size() - 1, now, std::move(request)});
}

void CallerSession::RefuseInput(int status) {
  refused_ = status;
  HttpResponse answer;
  answer.result(static_cast<unsigned>(status));
  answer.version(11);
  Slot slot;
  slot.keep_alive = false;
  slot.whole = std::move(answer);
  slots_.push_back(std::move(slot));
  reading_request_ = false;
  closing_ = true;
  input_.clear();
  WriteReadyResponses();
}

std::optional<CallerRequest> CallerSession::NextRequest() {
  if (ready_.empty())
    return std::nullopt;
  CallerRequest next = std::move(ready_.front());
  ready_.pop_front();
  return next;
}

void CallerSession::SetCancelHandler(RequestNumber number,
                                     std::function<void()> handler) {
  if (Slot* slot = Find(number))
    slot->gone = std::move(handler);
}

void CallerSession::Reply(RequestNumber number, HttpResponse answer) {
  Slot* slot = Find(number);
  if (!slot || slot->whole || slot->streaming)
    return;
  slot->gone = nullptr;
  slot->whole = std::move(answer);
  WriteReadyResponses();
}

void CallerSession::BeginResponse(RequestNumber number,
                                  ResponseHead head,
                                  std::function<void()> drained) {
  Slot* slot = Find(number);
  if (!slot || slot->whole || slot->streaming)
    return;
  slot->streaming = true;
  slot->head = std::move(head);
  slot->drained = std::move(drained);
  WriteReadyResponses();
}

void CallerSession::SendBody(RequestNumber number,
                             std::string_view bytes,
                             bool last) {
  Slot* slot = Find(number);
  if (!slot || !slot->streaming || slot->last)
    return;
  slot->body += bytes;
  slot->last = last;
  if (last)
    slot->gone = nullptr;
  WriteReadyResponses();
}

void CallerSession::Truncate(RequestNumber number) {
  Slot* slot = Find(number);
  if (!slot)
    return;
  slot->cut = true;
  slot->gone = nullptr;
  closing_ = true;
  input_.clear();
  deferred_request_.reset();
  std::erase_if(ready_, [number](const CallerRequest& each) {
    return each.number > number;
  });
  std::vector<std::function<void()>> gone;
  for (std::size_t each = number - first_ + 1; each < slots_.size(); ++each)
    gone.push_back(std::move(slots_[each].gone));
  slots_.resize(number - first_ + 1);
  WriteReadyResponses();
  for (const auto& handler : gone) {
    if (handler)
      handler();
  }
}

std::size_t CallerSession::unsent(RequestNumber number) const {
  const Slot* slot = Find(number);
  if (!slot)
    return 0;
  const std::size_t ahead =
      number == first_ ? output_.size() + in_write_ : std::size_t{0};
  return slot->body.size() + ahead;
}

void CallerSession::WriteReadyResponses() {
  while (end_ == SessionState::kOpen && !slots_.empty()) {
    Slot& front = slots_.front();
    if (!WriteFront(front))
      return;
    const bool ends = front.cut || !front.keep_alive;
    slots_.pop_front();
    ++first_;
    if (ends)
      return End(SessionState::kAfterOutput);
    if (slots_.empty() && deferred_request_) {
      CallerRequest held = std::move(*deferred_request_);
      deferred_request_.reset();
      const bool once = !is_idempotent_(held.message);
      PassOn(held.arrived_at, std::move(held.message), once);
    }
  }
  if (end_ == SessionState::kOpen && continue_due_ && slots_.empty()) {
    continue_due_ = false;
    output_ += kContinue;
  }
}

// Whether nothing more of the first answer follows.
bool CallerSession::WriteFront(Slot& front) {
  if (front.whole || front.head) {
    // A request behind that was read is answered too, and says the close.
    if (stopping_ && slots_.size() == 1 && !deferred_request_)
      front.keep_alive = false;
    closing_ = closing_ || !front.keep_alive;
  }
  if (front.whole) {
    WriteWhole(front);
    return true;
  }
  if (front.head)
    WriteHead(front);
  if (front.streaming)
    WriteBody(front);
  return front.cut || front.last;
}

void CallerSession::WriteWhole(Slot& front) {
  HttpResponse& answer = *front.whole;
  answer.keep_alive(front.keep_alive);
  if (answer.result() != http::status::no_content &&
      answer.result() != http::status::not_modified &&
      !answer.has_content_length())
    answer.content_length(answer.body().size());
  Serialize(output_, answer, /*head=*/false);
}

void CallerSession::WriteHead(Slot& front) {
  http::response<http::empty_body> message(std::move(*front.head));
  front.head.reset();
  message.version(11);
  message.keep_alive(front.keep_alive);
  front.chunked = !message.has_content_length();
  message.chunked(front.chunked);
  Serialize(output_, message, /*head=*/true);
}

void CallerSession::WriteBody(Slot& front) {
  if (!front.body.empty()) {
    if (front.chunked)
      Append(output_, http::make_chunk(boost::asio::const_buffer(
                          front.body.data(), front.body.size())));
    else
      output_ += front.body;
    front.body.clear();
  }
  if (front.last && front.chunked)
    Append(output_, http::make_chunk_last());
}

std::string CallerSession::TakeOutput(Instant now) {
  if (in_write_ > 0 || output_.empty())
    return {};
  std::string next;
  if (output_.size() <= kWriteBytes) {
    next.swap(output_);
  } else {
    next = output_.substr(0, kWriteBytes);
    output_.erase(0, kWriteBytes);
  }
  in_write_ = next.size();
  write_began_ = now;
  return next;
}

void CallerSession::OnWritten(Instant now) {
  in_write_ = 0;
  if (end_ != SessionState::kOpen)
    return;
  if (idle())
    idle_since_ = now;
  Parse(now);
  if (slots_.empty() || !output_.empty())
    return;
  const auto drained = slots_.front().last ? nullptr : slots_.front().drained;
  if (drained)
    drained();
}

void CallerSession::OnReadClosed() {
  if (end_ == SessionState::kOpen)
    End(SessionState::kAfterOutput);
}

void CallerSession::Reset() {
  output_.clear();
  End(SessionState::kReset);
}

void CallerSession::End(SessionState end) {
  end_ = end;
  closing_ = true;
  input_.clear();
  deferred_request_.reset();
  ready_.clear();
  const std::deque<Slot> left = std::move(slots_);
  slots_.clear();
  first_ += left.size();
  for (const Slot& slot : left) {
    if (slot.gone)
      slot.gone();
  }
}

void CallerSession::CloseIfIdle(Instant now) {
  if (end_ == SessionState::kOpen && idle() &&
      (any_request_ || now - opened_ > kFirstRequestTime))
    End(SessionState::kAfterOutput);
}

void CallerSession::EnforceTimeouts(Instant now) {
  if (writing()) {
    if (in_write_ > 0 && now - write_began_ > kWriteStall)
      Reset();
    return;
  }
  if (end_ != SessionState::kOpen || !slots_.empty() || deferred_request_)
    return;
  if (!reading_request_) {
    if (now - idle_since_ > limits_.caller.idle_timeout)
      End(SessionState::kAfterOutput);
    return;
  }
  const bool slow_head = !parser_->is_header_done() &&
                         now - request_began_ > limits_.caller.header_timeout;
  if (slow_head || now - last_bytes_ > limits_.caller.idle_timeout)
    End(SessionState::kAfterOutput);
}

}  // namespace figstall
