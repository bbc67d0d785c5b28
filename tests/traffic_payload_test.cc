#include <catch2/catch.hpp>

#include "filbertspar/traffic/traffic.h"

namespace filbertspar {
namespace {

// Guards against a start with the payload that another caller submitted under
// the same id.
TEST_CASE("a payload is found only with its own digest") {
  PayloadCache cache;
  cache.m_max_bytes = 1000;
  KeepPayload(cache, JobId("job"), "first");
  REQUIRE(FindPayload(cache, JobId("job"), PayloadDigest("first")) != nullptr);
  KeepPayload(cache, JobId("job"), "second");
  CHECK(FindPayload(cache, JobId("job"), PayloadDigest("first")) == nullptr);
  CHECK(*FindPayload(cache, JobId("job"), PayloadDigest("second")) == "second");
  CHECK(FindPayload(cache, JobId("other"), PayloadDigest("second")) == nullptr);
}

// A job without a payload has nothing to send along. Guards against a relay
// that asks for it again and again.
TEST_CASE("an empty payload need not have been kept") {
  PayloadCache cache;
  cache.m_max_bytes = 1000;
  const std::string* found =
      ResolvePayload(cache, JobId("job"), PayloadDigest(""), "");
  REQUIRE(found != nullptr);
  CHECK(found->empty());
  CHECK(ResolvePayload(cache, JobId("other"), PayloadDigest("x"), "") ==
        nullptr);
  CHECK(ResolvePayload(cache, JobId("other"), PayloadDigest("x"), "y") ==
        nullptr);
  CHECK(*ResolvePayload(cache, JobId("other"), PayloadDigest("x"), "x") == "x");
  CHECK(*ResolvePayload(cache, JobId("other"), PayloadDigest("x"), "") == "x");
}

// Guards against a cache that grows without bound on a VM with little memory.
TEST_CASE("the oldest payloads are dropped") {
  PayloadCache cache;
  cache.m_max_bytes = 100;
  for (int i = 0; i < 50; ++i) {
    KeepPayload(cache, JobId("job" + std::to_string(i)), std::string(30, 'x'));
    CHECK(cache.m_bytes <= 100);
    CHECK(cache.m_bytes == cache.m_payloads.size() * 30);
  }
  CHECK(cache.m_payloads.size() == 3);
  CHECK(FindPayload(cache, JobId("job49"),
                    PayloadDigest(std::string(30, 'x'))) != nullptr);
  KeepPayload(cache, JobId("large"), std::string(101, 'x'));
  CHECK(cache.m_payloads.size() == 3);
  KeepPayload(cache, JobId("job49"), std::string(40, 'y'));
  CHECK(cache.m_bytes == 100);
}

}  // namespace
}  // namespace filbertspar
