#include "AnsweringPeer.h"

#include <cctype>
#include <fmt/format.h>
#include <string>
#include <string_view>
#include <vector>

using namespace tamarackcove;
using test::exchangeWith;

static constexpr std::string_view SizedBody = "Content-Length: 5\r\n\r\nwhole";

static bool isTokenByte(unsigned char byte)
{
    constexpr std::string_view Marks = "!#$%&'*+-.^_`|~";
    return byte < 0x80 && (std::isalnum(byte) != 0 || Marks.find(static_cast<char>(byte)) != std::string_view::npos);
}

static void checkRefused(const std::string &bytes)
{
    CAPTURE(bytes);
    const auto exchanged = exchangeWith("POST", bytes);
    REQUIRE(exchanged.response.has_error());
    CHECK(exchanged.response.error().code == HttpErrorCode::Malformed);
    CHECK_FALSE(exchanged.reusable);
}

static void checkAccepted(const std::string &bytes, int status)
{
    CAPTURE(bytes);
    const auto exchanged = exchangeWith("POST", bytes);
    REQUIRE(exchanged.response.has_value());
    CHECK(exchanged.response.value().status == status);
    CHECK(exchanged.response.value().body == "whole");
    CHECK(exchanged.reusable);
}

// Guards against a status that is no answer: one below 100 would count as an interim response, and the bytes after it
// as the answer.
TEST_CASE("a response whose status HTTP does not allow is refused")
{
    const std::string sound = "HTTP/1.1 200 OK\r\n" + std::string(SizedBody);
    for (int status = 0; status < 1000; ++status) {
        const auto bytes = fmt::format("HTTP/1.1 {:03} Status\r\n", status);
        if (status >= 100 && status < 600) {
            continue;
        }
        checkRefused(bytes + std::string(SizedBody));
        checkRefused(fmt::format("{}\r\n{}", bytes, sound));
    }
    for (const std::string status :
         {"0", "20", "2000", "0200", "+20", "-20", "2e2", "2x0", " 200", "200OK", "\v200", "", "\xb2\xb0\xb0"}) {
        checkRefused(fmt::format("HTTP/1.1 {} Status\r\n{}", status, SizedBody));
        checkRefused(fmt::format("HTTP/1.1 {} Status\r\n\r\n{}", status, sound));
    }
}

// Guards against a refusal of sound answers: HTTP lets a server use statuses that no standard defines, and leave out
// the reason.
TEST_CASE("a response with any final status that HTTP allows is passed on")
{
    for (int status = 200; status < 600; ++status) {
        if (status != 204 && status != 304) {
            checkAccepted(fmt::format("HTTP/1.1 {} Status\r\n{}", status, SizedBody), status);
        }
    }
    checkAccepted("HTTP/1.1 200 \r\n" + std::string(SizedBody), 200);
    checkAccepted("HTTP/1.1 200 Sound and \xe9 whole\r\n" + std::string(SizedBody), 200);
    for (int status = 100; status < 200; ++status) {
        if (status != 101) {
            checkAccepted(fmt::format("HTTP/1.1 {} Status\r\n\r\nHTTP/1.1 200 OK\r\n{}", status, SizedBody), 200);
        }
    }
}

static std::vector<std::string> namesWith(char byte)
{
    return {std::string("X-") + byte + "Field", byte + std::string("X-Field"), std::string("X-Field") + byte,
            std::string("Content-Length") + byte, std::string(1, byte)};
}

// Guards against a line that is passed on with a name that no recipient may accept, or that hides the length of a body.
TEST_CASE("a response with a field whose name holds a byte that no name may hold is refused")
{
    for (int value = 0; value < 256; ++value) {
        const auto byte = static_cast<char>(value);
        // A colon ends the name.
        if (isTokenByte(static_cast<unsigned char>(byte)) || byte == ':') {
            continue;
        }
        for (const auto &name : namesWith(byte)) {
            const auto field = name + ": 3\r\n";
            checkRefused("HTTP/1.1 200 OK\r\n" + field + std::string(SizedBody));
            checkRefused("HTTP/1.1 200 OK\r\n" + field + "Connection: close\r\n\r\nwhole");
            checkRefused("HTTP/1.1 103 Early Hints\r\n" + field + "\r\nHTTP/1.1 200 OK\r\n" + std::string(SizedBody));
        }
    }
    checkRefused("HTTP/1.1 200 OK\r\n: 3\r\n" + std::string(SizedBody));
    checkRefused("HTTP/1.1 200 OK\r\nX-Field\r\n" + std::string(SizedBody));
}

// Guards against trailer fields that are less strictly read than those of the head.
TEST_CASE("a response with a trailer field whose name holds a byte that no name may hold is refused")
{
    for (int value = 0; value < 256; ++value) {
        const auto byte = static_cast<char>(value);
        if (isTokenByte(static_cast<unsigned char>(byte)) || byte == ':') {
            continue;
        }
        const auto bytes = std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX-")
            + byte + "Field: 3\r\n\r\n";
        CAPTURE(bytes);
        const auto exchanged = exchangeWith("POST", bytes);
        CHECK(exchanged.response.has_error());
        CHECK_FALSE(exchanged.reusable);
    }
}

// Guards against a refusal of sound answers.
TEST_CASE("a response with a field of any name that HTTP allows is passed on")
{
    for (int value = 0; value < 256; ++value) {
        const auto byte = static_cast<char>(value);
        if (!isTokenByte(static_cast<unsigned char>(byte))) {
            continue;
        }
        const auto name = std::string("X") + byte + "Field";
        const auto bytes = "HTTP/1.1 200 OK\r\n" + name + ": \ta b\xe9\t \r\n" + std::string(SizedBody);
        checkAccepted(bytes, 200);
        const auto exchanged = exchangeWith("POST", bytes);
        CHECK(exchanged.response.value().headers.find(name) == "a b\xe9");
    }
    checkAccepted("HTTP/1.1 200 OK\r\nX-Empty:\r\n" + std::string(SizedBody), 200);
}
