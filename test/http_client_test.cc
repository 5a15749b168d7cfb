// The client through which routers and stewards speak to targets and other
// processes, against a loopback socket that writes bytes given by the test.
#include "figstall/http_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <thread>

namespace figstall {
namespace {

using boost::asio::ip::tcp;

// Sends a request to a server that answers with these bytes and closes.
HttpResult ResultOf(const std::string& response_bytes) {
  boost::asio::io_context io;
  tcp::acceptor acceptor(io, {boost::asio::ip::address_v4::loopback(), 0});
  std::thread server([&] {
    tcp::socket socket(io);
    acceptor.accept(socket);
    char request[1024];
    boost::system::error_code ignored;
    socket.read_some(boost::asio::buffer(request), ignored);
    boost::asio::write(socket, boost::asio::buffer(response_bytes), ignored);
  });
  HttpClient client(1);
  HttpClientRequest request;
  request.url =
      "http://127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()) +
      "/a";
  HttpResult result = client.Perform(request);
  server.join();
  return result;
}

}  // namespace

TEST_CASE("a response that is framed by its close is complete") {
  const HttpResult result = ResultOf("HTTP/1.1 200 OK\r\nX: 1\r\n\r\nbody");
  CHECK(result.failure == HttpFailure::kNone);
  CHECK(result.response.body == "body");
}

TEST_CASE("a response with trailer fields is complete") {
  const HttpResult result = ResultOf(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n"
      "4\r\nbody\r\n0\r\nX: 1\r\n\r\n");
  CHECK(result.failure == HttpFailure::kNone);
  CHECK(result.response.body == "body");
}

// Guards against a 200 with an empty body, framed as whole, made from a
// target's response that ended within its head: libcurl reports no error for
// it.
TEST_CASE("a response that ends within its head is invalid") {
  for (const char* bytes :
       {"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Len",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX: 1\r\n"}) {
    CAPTURE(bytes);
    CHECK(ResultOf(bytes).failure == HttpFailure::kInvalidResponse);
  }
}

}  // namespace figstall
