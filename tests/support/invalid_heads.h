// Parts of answers' heads that HTTP/1.1 doesn't allow, for tests of all who
// read answers.
#pragma once

#include <string>
#include <vector>

namespace balsamwheel::tests {

/// What follows the version in a status line.
inline const std::vector<std::string> InvalidStatuses{
    "000 X", "001 X", "099 X", "101 X",  "600 X", "999 X", "20 X", "2000 X",
    "+20 X", "-20 X", "2a0 X", " 200 X", "abc X", "",      " ",    "X"};

/// Without their line endings.
inline const std::vector<std::string> InvalidFieldLines{
    "X Y: 1",
    "X : 1",
    "X\tY: 1",
    "X\x01: 1",
    "X\x7f: 1",
    "X\xe9: 1",
    ": 1",
    "X",
    "X\rY: 1",
    "X: a\rb",
    std::string("X\0: 1", 6),
    std::string("X: a\0b", 6),
    "X: a\x01",
    "X: a\r\n b",
    "X: a\r\n\tb",
    "Content-Length : 5",
    " Content-Length: 5",
    "\tContent-Length: 5",
    "Content-Length\x01: 5",
    "X: a\rContent-Length: 5",
    "Transfer-Encoding : chunked"};

/// Values of Transfer-Encoding; some of them are those of two fields.
inline const std::vector<std::string> InvalidCodings{
    "gzip",
    "gzip, chunked",
    "chunked, gzip",
    "chunked, chunked",
    "identity",
    "identity, chunked",
    "xchunked",
    "chunked;q=1",
    "chunked,",
    "",
    "gzip\r\nTransfer-Encoding: chunked",
    "chunked\r\nTransfer-Encoding: chunked",
    "chunked\r\nTransfer-Encoding: gzip"};

/// Values of Content-Length; some of them are those of two fields.
inline const std::vector<std::string> InvalidLengths{
    "5\r\nContent-Length: 6",
    "6\r\nContent-Length: 5",
    "5, 6",
    "5,",
    "+5",
    "-5",
    "0x5",
    "5 5",
    "5.0",
    "",
    "18446744073709551621",
    "9223372036854775813",
    "99999999999999999999999",
    "5\r\nTransfer-Encoding: chunked"};

} // namespace balsamwheel::tests
