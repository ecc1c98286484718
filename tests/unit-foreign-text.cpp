// Identifiers and tokens that other processes choose, and the library's
// strictness as the reference for valid UTF-8.
#include "balsamwheel/detail/core/foreign_text.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace balsamwheel;

namespace {

bool canBeEncoded(const std::string &Text) {
  try {
    return !nlohmann::json(Text).dump().empty();
  } catch (const nlohmann::json::type_error &) {
    return false;
  }
}

/// Mostly the bytes at which the rules of UTF-8 change.
rc::Gen<std::string> anyBytes() {
  return rc::gen::container<std::string>(rc::gen::oneOf(
      rc::gen::element('a', '\x7f', '\x80', '\x8f', '\x90', '\x9f', '\xa0',
                       '\xbf', '\xc0', '\xc1', '\xc2', '\xdf', '\xe0', '\xe1',
                       '\xed', '\xef', '\xf0', '\xf1', '\xf4', '\xf5', '\xff'),
      rc::gen::arbitrary<char>()));
}

} // namespace

// Guards against an uncaught exception of the JSON library (LOST).
TEST_CASE("a text that can't be encoded counted as valid UTF-8, or the other "
          "way round") {
  CHECK(rc::check([] {
    const std::string Text = *anyBytes();
    RC_ASSERT(isUtf8(Text) == canBeEncoded(Text));
  }));
  for (int Lead = 0; Lead < 256; ++Lead)
    for (int Next = 0; Next < 256; ++Next)
      for (const char *Rest : {"", "\x80", "\x80\x80", "\xbf\xbf\xbf"}) {
        const std::string Text =
            std::string{static_cast<char>(Lead), static_cast<char>(Next)} +
            Rest;
        if (isUtf8(Text) != canBeEncoded(Text))
          FAIL("lead byte ", Lead, ", next byte ", Next, ", and ",
               std::string(Rest).size(), " more");
      }
}

TEST_CASE("an id or a token holds only what can be stored and sent") {
  CHECK(TargetId::fromText("i-7f3a91c2")->value() == "i-7f3a91c2");
  CHECK(TargetId::fromText("")->empty());
  CHECK(TargetId::fromText("f\xc3\xbcnf"));
  CHECK(TargetId::fromText(std::string(MaxForeignTextBytes, 'x')));
  CHECK_FALSE(TargetId::fromText(std::string(MaxForeignTextBytes + 1, 'x')));
  for (const char *Each : {"\xff", "a\x80", "\xc3", "a\r\nb", "a\tb", "\x7f"})
    CHECK_FALSE(HandoverToken::fromText(Each));
  CHECK_FALSE(HandoverToken::fromText(std::string(1, '\0')));
}
