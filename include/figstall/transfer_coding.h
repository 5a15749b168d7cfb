// Whether the Transfer-Encoding of an HTTP message says where its body ends.
#ifndef FIGSTALL_TRANSFER_CODING_H_
#define FIGSTALL_TRANSFER_CODING_H_

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>

namespace figstall {

enum class TransferCoding {
  kNone,
  kChunked,
  // The body is in chunks, and what they carry has a coding that is not known.
  kUnknownInChunks,
  // Where the body ends is not known: chunked is not the last coding, or it
  // occurs twice, or the version has no transfer codings.
  kInvalid,
};

// Of the head of a message, as RFC 9112 6.1 and 6.3 define it. The parser
// ignores a Transfer-Encoding whose last coding is not chunked.
template <typename Head>
TransferCoding TransferCodingOf(const Head& head) {
  namespace http = boost::beast::http;
  constexpr unsigned kHttp11 = 11;
  int chunked = 0;
  int others = 0;
  bool last_is_chunked = false;
  bool found = false;
  const auto [first, last] = head.equal_range(http::field::transfer_encoding);
  for (auto field = first; field != last; ++field) {
    found = true;
    boost::beast::string_view rest = field->value();
    for (bool more = true; more;) {
      const auto comma = rest.find(',');
      more = comma != boost::beast::string_view::npos;
      boost::beast::string_view coding = rest.substr(0, comma);
      while (!coding.empty() &&
             (coding.front() == ' ' || coding.front() == '\t'))
        coding.remove_prefix(1);
      while (!coding.empty() && (coding.back() == ' ' || coding.back() == '\t'))
        coding.remove_suffix(1);
      last_is_chunked = boost::beast::iequals(coding, "chunked");
      ++(last_is_chunked ? chunked : others);
      if (more)
        rest = rest.substr(comma + 1);
    }
  }
  if (!found)
    return TransferCoding::kNone;
  if (head.version() < kHttp11 || !last_is_chunked || chunked > 1)
    return TransferCoding::kInvalid;
  return others > 0 ? TransferCoding::kUnknownInChunks
                    : TransferCoding::kChunked;
}

}  // namespace figstall

#endif  // FIGSTALL_TRANSFER_CODING_H_
