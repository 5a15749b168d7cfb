// One HTTP connection of a caller. Requests are read one after the other; while
// one is served, the caller's close is watched.
#ifndef FIGSTALL_CALLER_CONNECTION_H_
#define FIGSTALL_CALLER_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "figstall/clock.h"
#include "figstall/desired_state.h"
#include "figstall/target_connection.h"

namespace figstall {

using HttpResponse =
    boost::beast::http::response<boost::beast::http::string_body>;

class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  struct Handlers {
    std::function<void(const std::shared_ptr<CallerConnection>&, HttpRequest)>
        on_request;
    std::function<void(const CallerConnection*)> on_closed;
    // Whether the process is stopping, so that connections end.
    std::function<bool()> stopping;
  };

  CallerConnection(boost::asio::ip::tcp::socket socket,
                   CallerLimits limits,
                   Handlers handlers);

  void Start();
  // Called once if the caller leaves while its request is served.
  void OnGone(std::function<void()> handler) { gone_ = std::move(handler); }

  // A whole answer to the request being served.
  void Reply(HttpResponse answer);
  // An answer whose body follows. `drained` is called when more may be given.
  void BeginAnswer(AnswerHead head, std::function<void()> drained);
  void SendBody(std::string bytes, bool last);
  // Ends the connection so that an answer under way looks cut.
  void Abort();
  // Called now and then: ends connections that are idle or slow for too long.
  void CheckTimes(Instant now);
  // Ends the connection if no request is being read or served on it.
  void CloseIfIdle();

  // Bytes of an answer that the caller has not taken yet.
  std::size_t unsent() const { return unsent_; }

 private:
  using Tcp = boost::asio::ip::tcp;
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;
  struct Stream {
    boost::beast::http::response<boost::beast::http::buffer_body> message;
    std::optional<boost::beast::http::response_serializer<
        boost::beast::http::buffer_body>>
        serializer;
    std::deque<std::string> chunks;
    bool last = false;
    bool writing = false;
    std::function<void()> drained;
  };

  void ResetParser();
  void Read();
  void OnRead(const boost::system::error_code& error, std::size_t size);
  void Parse();
  void Refuse(int status);
  void WriteNext();
  void OnWritten(bool keep);
  void Close();

  Tcp::socket socket_;
  const CallerLimits limits_;
  const Handlers handlers_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  bool reading_ = false;
  bool reading_request_ = false;
  bool serving_ = false;
  bool closed_ = false;
  bool keep_alive_ = true;
  bool refused_ = false;
  std::size_t unsent_ = 0;
  Instant since_;
  std::function<void()> gone_;
  std::shared_ptr<HttpResponse> answer_;
  std::unique_ptr<Stream> stream_;
};

}  // namespace figstall

#endif  // FIGSTALL_CALLER_CONNECTION_H_
