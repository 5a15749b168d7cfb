// Tells what was read of the store from one member to others, by Cap'n Proto
// messages over TCP, so that one reader serves a region. Who is worth listening
// to is the listener's decision.
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
#include "figstall/store_mirror.h"
#include "figstall/text_delta.h"

namespace figstall {

// A change of a long value, for listeners that have it as of `base`.
struct ItemDelta {
  std::string key;
  Revision revision = 0;
  Revision base = 0;
  std::vector<DeltaPart> parts;

  friend bool operator==(const ItemDelta&, const ItemDelta&) = default;
};

struct RelayUpdate {
  std::vector<StoreItem> items;
  std::vector<ItemDelta> deltas;
  // All changes up to here have been told; zero says nothing.
  Revision cursor = 0;
  // How long ago the sender's copy was confirmed. None: never.
  std::optional<Duration> age;
  // The question that this answers; zero for news.
  std::uint32_t question = 0;
  // Keys that are not among the items do not exist.
  bool complete = false;

  friend bool operator==(const RelayUpdate&, const RelayUpdate&) = default;
};

// Messages behind their length, over one connection.
class MessageStream : public std::enable_shared_from_this<MessageStream> {
 public:
  struct Handlers {
    std::function<void(std::string message)> on_message;
    std::function<void()> on_closed;
  };

  MessageStream(boost::asio::ip::tcp::socket socket, Handlers handlers);

  void Start();
  // A peer that takes nothing is closed once too much waits for it.
  void Send(const std::string& message);
  // Closes without a word to the handlers.
  void Close();

 private:
  void ReadLength();
  void ReadBody();
  void Write();
  void Fail();

  boost::asio::ip::tcp::socket socket_;
  Handlers handlers_;
  bool closed_ = false;
  std::array<unsigned char, 4> length_{};
  std::string body_;
  std::deque<std::string> outgoing_;
  std::size_t outgoing_bytes_ = 0;
};

// Serves listeners.
class RelayPublisher {
 public:
  using ChangesSince = std::function<RelayUpdate(Revision)>;
  // Cursor and age alone.
  using State = std::function<RelayUpdate()>;

  // Throws boost::system::system_error if the address cannot be listened on.
  RelayPublisher(boost::asio::io_context& io,
                 const Endpoint& listen,
                 ChangesSince changes_since,
                 State state);

  void Publish(const RelayUpdate& update);
  std::size_t subscribers() const { return subscribers_.size(); }

 private:
  void Accept();
  void OnMessage(const std::weak_ptr<MessageStream>& from,
                 const std::string& message);

  boost::asio::io_context& io_;
  const ChangesSince changes_since_;
  const State state_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::set<std::shared_ptr<MessageStream>> streams_;
  // Those that have said from which revision on.
  std::set<std::shared_ptr<MessageStream>> subscribers_;
};

// Listens to one sender at a time.
class RelaySubscriber {
 public:
  using Handler = std::function<void(const RelayUpdate&)>;

  RelaySubscriber(boost::asio::io_context& io, VmId self, Handler on_update);

  // Listens to `sender` from now on; another call with the same one changes
  // nothing, and gives false, while its connection stands.
  bool Subscribe(const Endpoint& sender, Revision cursor);
  void Stop();
  // Asks how old the sender's copy is, unless it still owes an answer.
  void Poll(Instant now);
  // Changes until then have been told. It counts from the asking, so that a
  // sender that is slow to tell does not look fresh.
  std::optional<Instant> confirmed_at() const { return confirmed_at_; }

 private:
  void OnMessage(const std::string& message);
  void Send(Revision cursor, std::uint32_t question);

  boost::asio::io_context& io_;
  const VmId self_;
  const Handler on_update_;
  std::optional<Endpoint> sender_;
  std::uint64_t generation_ = 0;
  std::shared_ptr<boost::asio::ip::tcp::socket> connecting_;
  std::shared_ptr<MessageStream> stream_;
  std::optional<Instant> confirmed_at_;
  std::uint32_t question_ = 0;
  // While an answer is owed.
  std::optional<Instant> asked_at_;
  Instant tried_at_{};
};

}  // namespace figstall

#endif  // FIGSTALL_STORE_RELAY_H_
