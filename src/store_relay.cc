// Implements store_relay.h. Messages are packed Cap'n Proto, each preceded by
// its length in four bytes, least significant first.
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

// More bytes than these are never queued for a peer, so no update is larger.
constexpr std::size_t kMaxOutgoingBytes = 16'000'000;
constexpr std::size_t kMaxUpdateBytes = kMaxOutgoingBytes;
// Of what a subscriber sends: its name and a cursor.
constexpr std::size_t kMaxSubscribeBytes = 65'536;
// Words of eight bytes of a message when it is unpacked.
constexpr std::uint64_t kMaxUpdateWords = 4'000'000;
constexpr std::uint64_t kMaxSubscribeWords = 131'072;
// Minimum interval between attempts to connect to the same publisher.
constexpr Duration kReconnectInterval = std::chrono::milliseconds(500);
// A connection that is not open by then is given up. The kernel sends a SYN
// that was dropped again after a second, and less often later.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(900);

// Wire value of an age that was never confirmed.
constexpr std::uint32_t kNeverConfirmedMillis = 0xFFFFFFFFU;

// Bytes of a message's length.
constexpr std::size_t kLengthBytes = 4;

class StringOutputStream : public kj::OutputStream {
 public:
  explicit StringOutputStream(std::string& text) : text_(text) {}
  void write(const void* buffer, std::size_t size) override {
    text_.append(static_cast<const char*>(buffer), size);
  }

 private:
  std::string& text_;
};

FramedMessage Frame(capnp::MessageBuilder& message) {
  const auto framed = std::make_shared<std::string>(kLengthBytes, '\0');
  StringOutputStream stream(*framed);
  capnp::writePackedMessage(stream, message);
  std::size_t length = framed->size() - kLengthBytes;
  for (std::size_t i = 0; i < kLengthBytes; ++i, length >>= 8U)
    (*framed)[i] = static_cast<char>(length & 0xFFU);
  return framed;
}

kj::ArrayPtr<const kj::byte> AsBytes(const std::string& text) {
  return kj::arrayPtr(reinterpret_cast<const kj::byte*>(text.data()),
                      text.size());
}

capnp::ReaderOptions LimitedTo(std::uint64_t words) {
  capnp::ReaderOptions options;
  options.traversalLimitInWords = words;
  return options;
}

void WriteDeltas(const std::vector<ItemDelta>& deltas,
                 capnp::List<wire::RelayDelta>::Builder list) {
  unsigned index = 0;
  for (const ItemDelta& delta : deltas) {
    auto out = list[index++];
    out.setKey(delta.key);
    out.setRevision(delta.revision);
    out.setBaseRevision(delta.base);
    auto parts = out.initParts(static_cast<unsigned>(delta.parts.size()));
    unsigned part_index = 0;
    for (const DeltaPart& part : delta.parts) {
      auto part_out = parts[part_index++];
      part_out.setFrom(part.offset);
      part_out.setLength(part.length);
      part_out.setText(AsBytes(part.text));
    }
  }
}

std::string DataToString(capnp::Data::Reader data) {
  return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

std::vector<ItemDelta> ReadDeltas(capnp::List<wire::RelayDelta>::Reader list) {
  std::vector<ItemDelta> deltas;
  for (const auto in : list) {
    ItemDelta delta{in.getKey(), in.getRevision(), in.getBaseRevision(), {}};
    for (const auto part : in.getParts())
      delta.parts.push_back(
          {part.getFrom(), part.getLength(), DataToString(part.getText())});
    deltas.push_back(std::move(delta));
  }
  return deltas;
}

FramedMessage Encode(const RelayUpdate& update) {
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<wire::RelayUpdate>();
  root.setCursor(update.cursor);
  root.setAgeMillis(update.age
                        ? static_cast<std::uint32_t>(std::min<std::int64_t>(
                              ToMillis(*update.age), kNeverConfirmedMillis - 1))
                        : kNeverConfirmedMillis);
  root.setComplete(update.complete);
  root.setQuestion(update.poll_id);
  root.setDeletionsFrom(update.deletions_from);
  auto items = root.initItems(static_cast<unsigned>(update.items.size()));
  unsigned index = 0;
  for (const StoreItem& item : update.items) {
    auto out = items[index++];
    out.setKey(item.key);
    out.setValue(AsBytes(item.value));
    out.setRevision(item.revision);
    out.setDeleted(item.deleted);
  }
  WriteDeltas(update.deltas,
              root.initDeltas(static_cast<unsigned>(update.deltas.size())));
  return Frame(message);
}

RelayUpdate DecodeUpdate(const std::string& bytes) {
  kj::ArrayInputStream stream(AsBytes(bytes));
  capnp::PackedMessageReader message(stream, LimitedTo(kMaxUpdateWords));
  const auto root = message.getRoot<wire::RelayUpdate>();
  RelayUpdate update;
  update.cursor = root.getCursor();
  if (root.getAgeMillis() != kNeverConfirmedMillis)
    update.age = std::chrono::milliseconds(root.getAgeMillis());
  update.complete = root.getComplete();
  update.poll_id = root.getQuestion();
  update.deletions_from = root.getDeletionsFrom();
  for (const auto item : root.getItems()) {
    update.items.push_back({item.getKey(), DataToString(item.getValue()),
                            item.getRevision(), item.getDeleted()});
  }
  update.deltas = ReadDeltas(root.getDeltas());
  return update;
}

}  // namespace

MessageStream::MessageStream(asio::ip::tcp::socket socket,
                             std::size_t max_message_bytes,
                             Handlers handlers)
    : socket_(std::move(socket)),
      max_message_bytes_(max_message_bytes),
      handlers_(std::move(handlers)) {}

void MessageStream::Start() {
  TuneSocket(socket_);
  ReadLength();
}

void MessageStream::ReadLength() {
  asio::async_read(socket_, asio::buffer(length_prefix_),
                   [self = shared_from_this()](error_code error, std::size_t) {
                     if (self->closed_)
                       return;
                     if (error)
                       return self->Fail();
                     std::size_t size = 0;
                     for (std::size_t i = self->length_prefix_.size(); i > 0;
                          --i)
                       size = size << 8U | self->length_prefix_[i - 1];
                     if (size > self->max_message_bytes_)
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

void MessageStream::Send(FramedMessage message) {
  if (closed_)
    return;
  outgoing_bytes_ += message->size();
  outgoing_.push_back(std::move(message));
  if (outgoing_bytes_ > kMaxOutgoingBytes)
    return Fail();
  if (outgoing_.size() == 1)
    Write();
}

void MessageStream::Write() {
  asio::async_write(socket_, asio::buffer(*outgoing_.front()),
                    [self = shared_from_this()](error_code error, std::size_t) {
                      if (self->closed_)
                        return;
                      if (error)
                        return self->Fail();
                      self->outgoing_bytes_ -= self->outgoing_.front()->size();
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
                               const Endpoint& listen_address,
                               ChangesSince changes_since,
                               Freshness freshness)
    : io_(io),
      changes_since_(std::move(changes_since)),
      freshness_(std::move(freshness)),
      acceptor_(io) {
  const asio::ip::tcp::endpoint endpoint(
      asio::ip::make_address(listen_address.address), listen_address.port);
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  acceptor_.bind(endpoint);
  acceptor_.listen();
  Accept();
}

void RelayPublisher::Accept() {
  acceptor_.async_accept([this](error_code error,
                                asio::ip::tcp::socket socket) {
    if (error == asio::error::operation_aborted)
      return;
    if (!error) {
      const auto stream_ref = std::make_shared<std::weak_ptr<MessageStream>>();
      MessageStream::Handlers handlers;
      handlers.on_message = [this, stream_ref](const std::string& message) {
        OnMessage(*stream_ref, message);
      };
      handlers.on_closed = [this, stream_ref] {
        const auto stream = stream_ref->lock();
        streams_.erase(stream);
        subscribers_.erase(stream);
      };
      const auto stream = std::make_shared<MessageStream>(
          std::move(socket), kMaxSubscribeBytes, std::move(handlers));
      *stream_ref = stream;
      streams_.insert(stream);
      stream->Start();
    }
    Accept();
  });
}

void RelayPublisher::OnMessage(const std::weak_ptr<MessageStream>& sender,
                               const std::string& message) {
  const auto stream = sender.lock();
  if (!stream)
    return;
  try {
    kj::ArrayInputStream bytes(AsBytes(message));
    capnp::PackedMessageReader reader(bytes, LimitedTo(kMaxSubscribeWords));
    const auto root = reader.getRoot<wire::RelaySubscribe>();
    RelayUpdate update = root.getQuestion() != 0
                             ? freshness_()
                             : changes_since_(root.getCursor());
    update.poll_id = root.getQuestion();
    stream->Send(Encode(update));
    subscribers_.insert(stream);
  } catch (const kj::Exception&) {
    // The peer runs another version and reads the store itself instead.
    stream->Close();
    streams_.erase(stream);
    subscribers_.erase(stream);
  }
}

void RelayPublisher::Publish(const RelayUpdate& update) {
  if (subscribers_.empty())
    return;
  const FramedMessage message = Encode(update);
  // A copy, since a failed Send() removes its stream from subscribers_.
  const auto subscribers = subscribers_;
  for (const auto& subscriber : subscribers)
    subscriber->Send(message);
}

RelaySubscriber::RelaySubscriber(asio::io_context& io,
                                 VmId self,
                                 Handler on_update)
    : io_(io), self_(std::move(self)), on_update_(std::move(on_update)) {}

bool RelaySubscriber::Subscribe(const Endpoint& publisher, Revision cursor) {
  const Instant now = BootNow();
  const Duration attempt_age = now - connect_attempted_at_;
  if (publisher_ == publisher &&
      (stream_ || attempt_age < kReconnectInterval ||
       (connecting_ && attempt_age < kConnectTimeout)))
    return false;
  Stop();
  publisher_ = publisher;
  connect_attempted_at_ = now;
  error_code invalid;
  const auto address = asio::ip::make_address(publisher.address, invalid);
  if (invalid)
    return false;
  const std::uint64_t connection_generation = ++connection_generation_;
  connecting_ = std::make_shared<asio::ip::tcp::socket>(io_);
  const auto socket = connecting_;
  socket->async_connect(
      {address, publisher.port},
      [this, connection_generation, socket, cursor](error_code error) {
        if (connection_generation != connection_generation_)
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
          poll_sent_at_.reset();
        };
        stream_ = std::make_shared<MessageStream>(
            std::move(*socket), kMaxUpdateBytes, std::move(handlers));
        stream_->Start();
        Send(cursor, 0);
      });
  return true;
}

void RelaySubscriber::Send(Revision cursor, std::uint32_t poll_id) {
  capnp::MallocMessageBuilder message;
  auto root = message.initRoot<wire::RelaySubscribe>();
  root.setVm(self_.value());
  root.setCursor(cursor);
  root.setQuestion(poll_id);
  stream_->Send(Frame(message));
}

void RelaySubscriber::Poll(Instant now) {
  if (!stream_ || poll_sent_at_)
    return;
  poll_sent_at_ = now;
  Send(0, ++last_poll_id_);
}

void RelaySubscriber::Stop() {
  ++connection_generation_;
  publisher_.reset();
  poll_sent_at_.reset();
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
    if (update.poll_id == 0 || update.poll_id != last_poll_id_ ||
        !poll_sent_at_)
      return;
    if (update.age) {
      const Instant confirmed = *poll_sent_at_ - *update.age;
      confirmed_at_ = std::max(confirmed, confirmed_at_.value_or(confirmed));
    }
    poll_sent_at_.reset();
  } catch (const kj::Exception&) {
    // The publisher runs another version; this member reads the store itself
    // instead.
    Stop();
  }
}

}  // namespace figstall
