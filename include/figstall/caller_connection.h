// A caller's socket: carries bytes between it and its CallerSession.
#ifndef FIGSTALL_CALLER_CONNECTION_H_
#define FIGSTALL_CALLER_CONNECTION_H_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "figstall/caller_session.h"
#include "figstall/clock.h"

namespace figstall {

class CallerConnection;

// The place of one request's answer on its connection. Calls for a request that
// is gone or answered have no effect.
class ResponseWriter {
 public:
  ResponseWriter(std::shared_ptr<CallerConnection> connection,
                 RequestNumber number)
      : connection_(std::move(connection)), number_(number) {}

  // As the functions of CallerSession.
  void SetCancelHandler(std::function<void()> handler) const;
  void Reply(HttpResponse answer) const;
  void BeginResponse(ResponseHead head, std::function<void()> drained) const;
  void SendBody(std::string_view bytes, bool last) const;
  void Truncate() const;
  std::size_t unsent() const;
  // Resets the whole connection.
  void Abort() const;

 private:
  std::shared_ptr<CallerConnection> connection_;
  RequestNumber number_;
};

class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  struct Handlers {
    std::function<void(ResponseWriter, CallerRequest)> on_request;
    std::function<void(const CallerConnection*)> on_closed;
    // Whether the process is stopping, so that connections end.
    std::function<bool()> stopping;
    CallerSession::IdempotentPredicate is_idempotent;
    // Bytes that are no proper request were answered with this status; may be
    // empty.
    std::function<void(int status)> on_refused;
  };

  CallerConnection(boost::asio::ip::tcp::socket socket,
                   CallerLimits limits,
                   Handlers handlers);

  void Start();
  // Resets the connection, so that an answer under way looks cut.
  void Abort();
  // Called now and then: ends connections that are idle or slow for too long.
  void EnforceTimeouts(Instant now);
  // Ends the connection if no request is being read or served on it.
  void CloseIfIdle();

  // Whether an answer, or the close behind it, is still on its way.
  bool ending() const { return session_.writing() || closing_since_; }

 private:
  friend class ResponseWriter;
  using Tcp = boost::asio::ip::tcp;

  // Does what the session asks for.
  void Pump();
  void PassOn();
  void Read();
  void OnReadClosed(const boost::system::error_code& error);
  void Write();
  void CloseSoftly();
  void Close();

  Tcp::socket socket_;
  const Handlers handlers_;
  CallerSession session_;
  std::array<char, 16'384> incoming_;
  std::string outgoing_;
  bool reading_ = false;
  bool pumping_ = false;
  bool caller_ended_ = false;
  bool closed_ = false;
  // Since when the sending side is closed and the caller's close is awaited.
  std::optional<Instant> closing_since_;
};

}  // namespace figstall

#endif  // FIGSTALL_CALLER_CONNECTION_H_
