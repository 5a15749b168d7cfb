// Implements the relay of what was read of the store.
#include "figstall/store_relay.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include <algorithm>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "figstall/http_channel.h"
#include "peer.capnp.h"

namespace figstall {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

// Longer than any state of the store that is told at once.
constexpr std::size_t kMaxMessageBytes = 32'000'000;
constexpr std::size_t kMaxOutgoingBytes = 16'000'000;
// Between two tries to reach the same sender.
constexpr Duration kTryAgain = std::chrono::milliseconds(500);

constexpr std::uint32_t kNeverMillis = 0xFFFFFFFFU;

std::string ToBytes(capnp::MessageBuilder& message) {
  kj::VectorOutputStream stream;
  capnp::writePackedMessage(stream, message);
  const auto bytes = stream.getArray();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

kj::ArrayPtr<const kj::byte> Bytes(const std::string& text) {
  return kj::arrayPtr(reinterpret_cast<const kj::byte*>(text.data()),
                      text.size());
}

// A message may hold as many words as its largest list needs.
capnp::ReaderOptions LargeMessages() {
  capnp::ReaderOptions options;
  options.traversalLimitInWords = kMaxMessageBytes;
  return options;
}

void Write(const std::vector<ItemDelta>& deltas,
           capnp::List<wire::RelayDelta>::Builder list) {
  unsigned index = 0;
  for (const ItemDelta& delta : deltas) {
    auto out = list[index++];
    out.setKey(delta.key);
    out.setRevision(delta.revision);
    out.setBaseRevision(delta.base);
    auto parts = out.initParts(static_cast<unsigned>(delta.parts.size()));
    unsigned place = 0;
    for (const DeltaPart& part : delta.parts) {
      auto to = parts[place++];
      to.setFrom(part.from);
      to.setLength(part.length);
      to.setText(Bytes(part.text));
    }
  }
}

std::string Text(capnp::Data::Reader data) {
  return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

std::vector<ItemDelta> ReadDeltas(capnp::List<wire::RelayDelta>::Reader list) {
  std::vector<ItemDelta> deltas;
  for (const auto in : list) {
    ItemDelta delta{in.getKey(), in.getRevision(), in.getBaseRevision(), {}};
    for (const auto part : in.getParts())
      delta.parts.push_back(
          {part.getFrom(), part.getLength(), Text(part.getText())});
    deltas.push_back(std::move(delta));
  }
  return deltas;
}

std::string Encode(const RelayUpdate& update) {
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<wire::RelayUpdate>();
  root.setCursor(update.cursor);
  root.setAgeMillis(update.age
                        ? static_cast<std::uint32_t>(std::min<std::int64_t>(
                              update.age->count() / 1000, kNeverMillis - 1))
                        : kNeverMillis);
  root.setComplete(update.complete);
  root.setQuestion(update.question);
  auto items = root.initItems(static_cast<unsigned>(update.items.size()));
  unsigned index = 0;
  for (const StoreItem& item : update.items) {
    auto out = items[index++];
    out.setKey(item.key);
    out.setValue(Bytes(item.value));
    out.setRevision(item.revision);
    out.setDeleted(item.deleted);
  }
  Write(update.deltas,
        root.initDeltas(static_cast<unsigned>(update.deltas.size())));
  return ToBytes(message);
}

RelayUpdate DecodeUpdate(const std::string& bytes) {
  kj::ArrayInputStream stream(Bytes(bytes));
  capnp::PackedMessageReader message(stream, LargeMessages());
  const auto root = message.getRoot<wire::RelayUpdate>();
  RelayUpdate update;
  update.cursor = root.getCursor();
  if (root.getAgeMillis() != kNeverMillis)
    update.age = std::chrono::milliseconds(root.getAgeMillis());
  update.complete = root.getComplete();
  update.question = root.getQuestion();
  for (const auto item : root.getItems()) {
    update.items.push_back({item.getKey(), Text(item.getValue()),
                            item.getRevision(), item.getDeleted()});
  }
  update.deltas = ReadDeltas(root.getDeltas());
  return update;
}

}  // namespace

MessageStream::MessageStream(asio::ip::tcp::socket socket, Handlers handlers)
    : socket_(std::move(socket)), handlers_(std::move(handlers)) {}

void MessageStream::Start() {
  TuneSocket(socket_);
  ReadLength();
}

void MessageStream::ReadLength() {
  asio::async_read(socket_, asio::buffer(length_),
                   [self = shared_from_this()](error_code error, std::size_t) {
                     if (self->closed_)
                       return;
                     if (error)
                       return self->Fail();
                     std::size_t size = 0;
                     for (std::size_t i = self->length_.size(); i > 0; --i)
                       size = size << 8U | self->length_[i - 1];
                     if (size > kMaxMessageBytes)
                       return self->Fail();
                     self->body_.resize(size);
                     self->ReadBody();
                   });
}

void MessageStream::ReadBody() {
  asio::async_read(socket_, asio::buffer(body_),
                   [self = shared_from_this()](error_code error, std::size_t) {
                     if (self->closed_)
                       return;
                     if (error)
                       return self->Fail();
                     self->handlers_.on_message(std::move(self->body_));
                     if (!self->closed_)
                       self->ReadLength();
                   });
}

void MessageStream::Send(const std::string& message) {
  if (closed_)
    return;
  std::string framed;
  for (unsigned shift = 0; shift < 32; shift += 8)
    framed += static_cast<char>(message.size() >> shift & 0xFFU);
  framed += message;
  outgoing_bytes_ += framed.size();
  outgoing_.push_back(std::move(framed));
  if (outgoing_bytes_ > kMaxOutgoingBytes)
    return Fail();
  if (outgoing_.size() == 1)
    Write();
}

void MessageStream::Write() {
  asio::async_write(socket_, asio::buffer(outgoing_.front()),
                    [self = shared_from_this()](error_code error, std::size_t) {
                      if (self->closed_)
                        return;
                      if (error)
                        return self->Fail();
                      self->outgoing_bytes_ -= self->outgoing_.front().size();
                      self->outgoing_.pop_front();
                      if (!self->outgoing_.empty())
                        self->Write();
                    });
}

void MessageStream::Fail() {
  if (closed_)
    return;
  const auto self = shared_from_this();
  const auto on_closed = handlers_.on_closed;
  Close();
  on_closed();
}

void MessageStream::Close() {
  closed_ = true;
  ResetOnClose(socket_);
  error_code ignored;
  socket_.close(ignored);
}

RelayPublisher::RelayPublisher(asio::io_context& io,
                               const Endpoint& listen,
                               ChangesSince changes_since,
                               State state)
    : io_(io),
      changes_since_(std::move(changes_since)),
      state_(std::move(state)),
      acceptor_(io) {
  const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(listen.address),
                                         listen.port);
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  acceptor_.bind(endpoint);
  acceptor_.listen();
  Accept();
}

void RelayPublisher::Accept() {
  acceptor_.async_accept(
      [this](error_code error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted)
          return;
        if (!error) {
          const auto slot = std::make_shared<std::weak_ptr<MessageStream>>();
          MessageStream::Handlers handlers;
          handlers.on_message = [this, slot](const std::string& message) {
            OnMessage(*slot, message);
          };
          handlers.on_closed = [this, slot] {
            const auto stream = slot->lock();
            streams_.erase(stream);
            subscribers_.erase(stream);
          };
          const auto stream = std::make_shared<MessageStream>(
              std::move(socket), std::move(handlers));
          *slot = stream;
          streams_.insert(stream);
          stream->Start();
        }
        Accept();
      });
}

void RelayPublisher::OnMessage(const std::weak_ptr<MessageStream>& from,
                               const std::string& message) {
  const auto stream = from.lock();
  if (!stream)
    return;
  try {
    kj::ArrayInputStream bytes(Bytes(message));
    capnp::PackedMessageReader reader(bytes);
    const auto root = reader.getRoot<wire::RelaySubscribe>();
    RelayUpdate update =
        root.getQuestion() != 0 ? state_() : changes_since_(root.getCursor());
    update.question = root.getQuestion();
    stream->Send(Encode(update));
    subscribers_.insert(stream);
  } catch (const kj::Exception&) {
    // A peer of another version; it reads the store for itself.
    stream->Close();
    streams_.erase(stream);
    subscribers_.erase(stream);
  }
}

void RelayPublisher::Publish(const RelayUpdate& update) {
  if (subscribers_.empty())
    return;
  const std::string message = Encode(update);
  const auto subscribers = subscribers_;
  for (const auto& subscriber : subscribers)
    subscriber->Send(message);
}

RelaySubscriber::RelaySubscriber(asio::io_context& io,
                                 VmId self,
                                 Handler on_update)
    : io_(io), self_(std::move(self)), on_update_(std::move(on_update)) {}

bool RelaySubscriber::Subscribe(const Endpoint& sender, Revision cursor) {
  const Instant now = BootNow();
  if (sender_ == sender &&
      (stream_ || connecting_ || now - tried_at_ < kTryAgain))
    return false;
  Stop();
  sender_ = sender;
  tried_at_ = now;
  const std::uint64_t generation = ++generation_;
  connecting_ = std::make_shared<asio::ip::tcp::socket>(io_);
  const auto socket = connecting_;
  socket->async_connect(
      {asio::ip::make_address(sender.address), sender.port},
      [this, generation, socket, cursor](error_code error) {
        if (generation != generation_)
          return;
        connecting_.reset();
        if (error)
          return;
        MessageStream::Handlers handlers;
        handlers.on_message = [this](const std::string& message) {
          OnMessage(message);
        };
        handlers.on_closed = [this] {
          stream_.reset();
          asked_at_.reset();
        };
        stream_ = std::make_shared<MessageStream>(std::move(*socket),
                                                  std::move(handlers));
        stream_->Start();
        Send(cursor, 0);
      });
  return true;
}

void RelaySubscriber::Send(Revision cursor, std::uint32_t question) {
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<wire::RelaySubscribe>();
  root.setVm(self_.value());
  root.setCursor(cursor);
  root.setQuestion(question);
  stream_->Send(ToBytes(message));
}

void RelaySubscriber::Poll(Instant now) {
  if (!stream_ || asked_at_)
    return;
  asked_at_ = now;
  Send(0, ++question_);
}

void RelaySubscriber::Stop() {
  ++generation_;
  sender_.reset();
  asked_at_.reset();
  if (connecting_) {
    error_code ignored;
    connecting_->close(ignored);
    connecting_.reset();
  }
  if (stream_)
    stream_->Close();
  stream_.reset();
}

void RelaySubscriber::OnMessage(const std::string& message) {
  try {
    const RelayUpdate update = DecodeUpdate(message);
    on_update_(update);
    if (update.question == 0 || update.question != question_ || !asked_at_)
      return;
    if (update.age) {
      const Instant confirmed = *asked_at_ - *update.age;
      confirmed_at_ = std::max(confirmed, confirmed_at_.value_or(confirmed));
    }
    asked_at_.reset();
  } catch (const kj::Exception&) {
    // A sender of another version; this member reads the store for itself.
    Stop();
  }
}

}  // namespace figstall
