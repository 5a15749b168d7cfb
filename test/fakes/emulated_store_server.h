// Serves an EmulatedStore over HTTP, at an address of its own for each entry,
// and injects faults into its answers.
#ifndef FIGSTALL_TEST_FAKES_EMULATED_STORE_SERVER_H_
#define FIGSTALL_TEST_FAKES_EMULATED_STORE_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "emulated_store.h"
#include "figstall/caller_connection.h"
#include "figstall/records.h"

namespace figstall::detail {

class EmulatedStoreServer {
 public:
  EmulatedStoreServer(boost::asio::io_context& io,
                      EmulatedStore& store,
                      std::uint64_t seed)
      : io_(io), store_(store), random_(seed) {}

  // Listens at each of the addresses, by the index of the entry that uses it.
  void Listen(const std::vector<Endpoint>& addresses);
  // The kind of a fault of the scenario that holds for all entries, or empty.
  void SetFault(const std::string& kind) { fault_ = kind; }
  // Whether the entry's calls get 503 and are not carried out.
  void Reject(std::size_t entry, bool rejected);
  // Ends the leases that the entry has opened, before their time.
  void RevokeLeasesOf(std::size_t entry);
  // Number of the calls received.
  std::uint64_t calls() const { return calls_; }

 private:
  void Accept(std::size_t entry);
  void OnCall(std::size_t entry,
              const ResponseWriter& caller,
              const HttpRequest& request);
  void SendResponse(const ResponseWriter& caller,
                    const EmulatedResponse& store_response) const;

  boost::asio::io_context& io_;
  EmulatedStore& store_;
  std::mt19937_64 random_;
  // By index of the entry.
  std::deque<boost::asio::ip::tcp::acceptor> acceptors_;
  std::set<std::shared_ptr<CallerConnection>> connections_;
  std::string fault_;
  std::set<std::size_t> rejected_entries_;
  // Leases that each entry has opened, also those that have ended.
  std::map<std::size_t, std::vector<std::uint64_t>> opened_leases_;
  std::uint64_t calls_ = 0;
};

}  // namespace figstall::detail

#endif  // FIGSTALL_TEST_FAKES_EMULATED_STORE_SERVER_H_
