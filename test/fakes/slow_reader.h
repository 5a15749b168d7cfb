// A caller of the emulator that reads its response slowly, and sends a further
// request before it has received the response.
#ifndef FIGSTALL_TEST_FAKES_SLOW_READER_H_
#define FIGSTALL_TEST_FAKES_SLOW_READER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

#include "figstall/http_channel.h"

namespace figstall::detail {

struct SlowReaderOptions {
  Endpoint entry;
  double bytes_per_second = 0;
  // The whole texts of the requests. The response to the second is not read.
  std::string request;
  std::string next_request;
  // The caller gives up after this time.
  Duration limit{0};
};

// Sends the request on a connection of its own. The handler is called once.
void ReadSlowly(boost::asio::io_context& io,
                SlowReaderOptions options,
                HttpChannel::Handler handler);

}  // namespace figstall::detail

#endif  // FIGSTALL_TEST_FAKES_SLOW_READER_H_
