// Publishes the store's contents from one member to others, by Cap'n Proto
// messages over TCP, so that one member reads the store for its whole region.
// Each subscriber chooses the publisher that it trusts.
#ifndef FIGSTALL_STORE_RELAY_H_
#define FIGSTALL_STORE_RELAY_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "figstall/clock.h"
#include "figstall/records.h"
#include "figstall/store_copy.h"

namespace figstall {

// A message with its length before it. Streams that send the same one share it.
using FramedMessage = std::shared_ptr<const std::string>;

// Sends and receives messages, each preceded by its length, over one
// connection.
class MessageStream : public std::enable_shared_from_this<MessageStream> {
 public:
  struct Handlers {
    std::function<void(std::string message)> on_message;
    std::function<void()> on_closed;
  };

  // A peer that announces a longer message than `max_message_bytes` is
  // disconnected.
  MessageStream(boost::asio::ip::tcp::socket socket,
                std::size_t max_message_bytes,
                Handlers handlers);

  void Start();
  // Queues the message. The connection is closed if too many bytes wait for a
  // peer that does not read them.
  void Send(FramedMessage message);
  // Closes the connection without calling `on_closed`.
  void Close();

 private:
  void ReadLength();
  void ReadBody();
  void Write();
  void Fail();

  boost::asio::ip::tcp::socket socket_;
  const std::size_t max_message_bytes_;
  Handlers handlers_;
  bool closed_ = false;
  std::array<unsigned char, 4> length_prefix_{};
  std::string body_;
  std::deque<FramedMessage> outgoing_;
  std::size_t outgoing_bytes_ = 0;
};

// Sends updates to all subscribers.
class RelayPublisher {
 public:
  using ChangesSince = std::function<RelayUpdate(Revision)>;
  // Returns an update that holds only the cursor and the age.
  using Freshness = std::function<RelayUpdate()>;

  // Throws boost::system::system_error if it cannot listen on the address.
  RelayPublisher(boost::asio::io_context& io,
                 const Endpoint& listen_address,
                 ChangesSince changes_since,
                 Freshness freshness);

  void Publish(const RelayUpdate& update);
  std::size_t subscribers() const { return subscribers_.size(); }

 private:
  void Accept();
  void OnMessage(const std::weak_ptr<MessageStream>& sender,
                 const std::string& message);

  boost::asio::io_context& io_;
  const ChangesSince changes_since_;
  const Freshness freshness_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::set<std::shared_ptr<MessageStream>> streams_;
  // Streams whose peer has sent a valid subscription.
  std::set<std::shared_ptr<MessageStream>> subscribers_;
};

// Receives updates from one publisher at a time.
class RelaySubscriber {
 public:
  using Handler = std::function<void(const RelayUpdate&)>;

  RelaySubscriber(boost::asio::io_context& io, VmId self, Handler on_update);

  // Subscribes to `publisher` from `cursor` on, instead of any earlier one.
  // Changes nothing and returns false while a connection to this publisher is
  // open or being opened, and shortly after an attempt to open one.
  bool Subscribe(const Endpoint& publisher, Revision cursor);
  void Stop();
  // Asks the publisher how old its copy is, unless a poll is still unanswered.
  void Poll(Instant now);
  // All changes up to this time have been received; empty if that was never
  // confirmed. It is counted from the sending of the poll, so that a slow
  // publisher's copy does not look more current than it is.
  std::optional<Instant> confirmed_at() const { return confirmed_at_; }

 private:
  void OnMessage(const std::string& message);
  void Send(Revision cursor, std::uint32_t poll_id);

  boost::asio::io_context& io_;
  const VmId self_;
  const Handler on_update_;
  std::optional<Endpoint> publisher_;
  std::uint64_t connection_generation_ = 0;
  std::shared_ptr<boost::asio::ip::tcp::socket> connecting_;
  std::shared_ptr<MessageStream> stream_;
  std::optional<Instant> confirmed_at_;
  std::uint32_t last_poll_id_ = 0;
  // Set while a poll is unanswered.
  std::optional<Instant> poll_sent_at_;
  Instant connect_attempted_at_{};
};

}  // namespace figstall

#endif  // FIGSTALL_STORE_RELAY_H_
