#pragma once

#include <string>
#include <vector>

namespace tamarackcove::test {

/// How a message frames its body, and whether a recipient may take it.
struct Framing
{
    std::string what;
    /// Version of the message, as in its start line.
    std::string version;
    /// The field lines that frame the message, each with its line end.
    std::string fields;
    std::string body;
    /// Whether the message has this framing in only one way, and its body is `body` without chunk framing.
    bool accepted = false;
    /// The body that the recipient passes on, if it accepts the message.
    std::string passedOn;
};

/// The framings that a request and a response share (RFC 9112, sections 2.2, 5.1, 5.2, 6.1 to 6.3, 7.1 and 11.2).
inline const std::vector<Framing> &framings()
{
    static const std::vector<Framing> All{
        {"a length", "HTTP/1.1", "Content-Length: 5\r\n", "abcde", true, "abcde"},
        {"a length without a space, with a tab after it", "HTTP/1.1", "Content-Length:5\t\r\n", "abcde", true, "abcde"},
        {"a length of HTTP/1.0", "HTTP/1.0", "Content-Length: 5\r\n", "abcde", true, "abcde"},
        {"chunks", "HTTP/1.1", "Transfer-Encoding: chunked\r\n", "5\r\nabcde\r\n0\r\n\r\n", true, "abcde"},
        {"chunks, in capitals", "HTTP/1.1", "TRANSFER-ENCODING: Chunked\r\n", "5\r\nabcde\r\n0\r\n\r\n", true, "abcde"},
        {"chunks with an extension", "HTTP/1.1", "Transfer-Encoding: chunked\r\n", "5;a=b\r\nabcde\r\n0\r\n\r\n", true,
         "abcde"},
        {"a trailer", "HTTP/1.1", "Transfer-Encoding: chunked\r\n", "5\r\nabcde\r\n0\r\nX-Sum: 1\r\n\r\n", true,
         "abcde"},
        {"identity", "HTTP/1.1", "Transfer-Encoding: identity\r\n", "abcde"},
        {"an unknown coding", "HTTP/1.1", "Transfer-Encoding: xchunked\r\n", "abcde"},
        {"gzip", "HTTP/1.1", "Transfer-Encoding: gzip\r\n", "abcde"},
        {"chunked before identity", "HTTP/1.1", "Transfer-Encoding: chunked, identity\r\n", "5\r\nabcde\r\n0\r\n\r\n"},
        {"gzip before chunked", "HTTP/1.1", "Transfer-Encoding: gzip, chunked\r\n", "5\r\nabcde\r\n0\r\n\r\n"},
        {"chunked twice", "HTTP/1.1", "Transfer-Encoding: chunked, chunked\r\n", "5\r\nabcde\r\n0\r\n\r\n"},
        {"two fields of codings", "HTTP/1.1", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
         "5\r\nabcde\r\n0\r\n\r\n"},
        {"chunked, then a field with identity", "HTTP/1.1",
         "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n", "5\r\nabcde\r\n0\r\n\r\n"},
        {"identity, then a field with chunked", "HTTP/1.1",
         "Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n", "5\r\nabcde\r\n0\r\n\r\n"},
        {"chunked in quotes", "HTTP/1.1", "Transfer-Encoding: \"chunked\"\r\n", "5\r\nabcde\r\n0\r\n\r\n"},
        {"chunked with a parameter", "HTTP/1.1", "Transfer-Encoding: chunked;q=1\r\n", "5\r\nabcde\r\n0\r\n\r\n"},
        {"chunked after a vertical tab", "HTTP/1.1", "Transfer-Encoding: \vchunked\r\n", "5\r\nabcde\r\n0\r\n\r\n"},
        {"no coding", "HTTP/1.1", "Transfer-Encoding:\r\n", "abcde"},
        {"chunked in HTTP/1.0", "HTTP/1.0", "Transfer-Encoding: chunked\r\n", "5\r\nabcde\r\n0\r\n\r\n"},
        {"identity in HTTP/1.0", "HTTP/1.0", "Transfer-Encoding: identity\r\n", "abcde"},
        {"a length and chunks", "HTTP/1.1", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
         "5\r\nabcde\r\n0\r\n\r\n"},
        {"chunks and a length", "HTTP/1.1", "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
         "5\r\nabcde\r\n0\r\n\r\n"},
        {"identity and a length", "HTTP/1.1", "Transfer-Encoding: identity\r\nContent-Length: 5\r\n", "abcde"},
        {"a length and identity", "HTTP/1.1", "Content-Length: 5\r\nTransfer-Encoding: identity\r\n", "abcde"},
        {"two equal lengths", "HTTP/1.1", "Content-Length: 5\r\nContent-Length: 5\r\n", "abcde"},
        {"a list of equal lengths", "HTTP/1.1", "Content-Length: 5, 5\r\n", "abcde"},
        {"contradicting lengths", "HTTP/1.1", "Content-Length: 5\r\nContent-Length: 0\r\n", "abcde"},
        {"contradicting lengths, the other way round", "HTTP/1.1", "Content-Length: 0\r\nContent-Length: 5\r\n",
         "abcde"},
        {"a list of lengths", "HTTP/1.1", "Content-Length: 0, 5\r\n", "abcde"},
        {"a length with a sign", "HTTP/1.1", "Content-Length: +5\r\n", "abcde"},
        {"a negative length", "HTTP/1.1", "Content-Length: -5\r\n", "abcde"},
        {"a hexadecimal length", "HTTP/1.1", "Content-Length: 0x5\r\n", "abcde"},
        {"a length with a space in it", "HTTP/1.1", "Content-Length: 5 0\r\n", "abcde"},
        {"a length that overflows", "HTTP/1.1", "Content-Length: 18446744073709551621\r\n", "abcde"},
        {"an empty length", "HTTP/1.1", "Content-Length:\r\n", "abcde"},
        {"a space before the colon of a length", "HTTP/1.1", "Content-Length : 5\r\n", "abcde"},
        {"a space before the colon of a coding", "HTTP/1.1", "Transfer-Encoding : chunked\r\n",
         "5\r\nabcde\r\n0\r\n\r\n"},
        {"a tab before the colon of a coding", "HTTP/1.1", "Transfer-Encoding\t: chunked\r\n",
         "5\r\nabcde\r\n0\r\n\r\n"},
        {"a space before the name", "HTTP/1.1", " Content-Length: 5\r\n", "abcde"},
        {"a field without a colon", "HTTP/1.1", "Content-Length: 5\r\nx\r\n", "abcde"},
        {"a field without a name", "HTTP/1.1", "Content-Length: 5\r\n: x\r\n", "abcde"},
        {"a folded coding", "HTTP/1.1", "Transfer-Encoding:\r\n chunked\r\n", "5\r\nabcde\r\n0\r\n\r\n"},
        {"a folded length", "HTTP/1.1", "Content-Length: 5\r\n\t0\r\n", "abcde"},
        {"a fold that hides a coding", "HTTP/1.1", "Content-Length: 5\r\nX: y\r\n Transfer-Encoding: chunked\r\n",
         "abcde"},
        {"a line that ends with LF", "HTTP/1.1", "Content-Length: 5\n", "abcde"},
        {"a coding behind a bare LF", "HTTP/1.1", "Content-Length: 5\r\nX: y\nTransfer-Encoding: chunked\r\n", "abcde"},
        {"a coding behind a bare CR", "HTTP/1.1", "Content-Length: 5\r\nX: y\rTransfer-Encoding: chunked\r\n", "abcde"},
        {"a CR before the line end", "HTTP/1.1", "Content-Length: 5\r\r\n", "abcde"},
        {"a head that ends with LF LF", "HTTP/1.1", "Content-Length: 5\n\n", "abcde"},
        {"a NUL in a field", "HTTP/1.1", std::string("Content-Length: 5\r\nX: a\0b\r\n", 27), "abcde"},
        {"a version that is not known", "HTTP/1.2", "Content-Length: 5\r\n", "abcde"},
        {"HTTP/2 in the start line", "HTTP/2.0", "Content-Length: 5\r\n", "abcde"},
        {"a version in small letters", "http/1.1", "Content-Length: 5\r\n", "abcde"},
        {"a chunk size with a sign", "HTTP/1.1", "Transfer-Encoding: chunked\r\n", "+5\r\nabcde\r\n0\r\n\r\n"},
        {"a chunk size with 0x", "HTTP/1.1", "Transfer-Encoding: chunked\r\n", "0x5\r\nabcde\r\n0\r\n\r\n"},
        {"a chunk size that overflows", "HTTP/1.1", "Transfer-Encoding: chunked\r\n",
         "10000000000000005\r\nabcde\r\n0\r\n\r\n"},
        {"a chunk without a line end after it", "HTTP/1.1", "Transfer-Encoding: chunked\r\n",
         "5\r\nabcdeX\r\n0\r\n\r\n"},
        {"a chunk size that ends with LF", "HTTP/1.1", "Transfer-Encoding: chunked\r\n", "5\nabcde\r\n0\r\n\r\n"},
        {"an extension that ends with LF", "HTTP/1.1", "Transfer-Encoding: chunked\r\n", "5;a\nabcde\r\n0\r\n\r\n"},
        {"an extension with a bare CR", "HTTP/1.1", "Transfer-Encoding: chunked\r\n", "5;a\rb\r\nabcde\r\n0\r\n\r\n"},
        {"a length in a trailer", "HTTP/1.1", "Transfer-Encoding: chunked\r\n",
         "5\r\nabcde\r\n0\r\nContent-Length: 0\r\n\r\n"},
        {"a coding in a trailer", "HTTP/1.1", "Transfer-Encoding: chunked\r\n",
         "5\r\nabcde\r\n0\r\nTransfer-Encoding: chunked\r\n\r\n"},
    };
    return All;
}

} // namespace tamarackcove::test
