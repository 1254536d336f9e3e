#include "core/request_fingerprint.h"

#include <gtest/gtest.h>

#include <set>

namespace applehall {
namespace {

TEST(RequestFingerprintTest, SameContentGivesTheSameFingerprint) {
  const RequestContent content{"POST", "shop", "/a/1?q=2", "c", "body"};
  EXPECT_EQ(RequestFingerprint(content), RequestFingerprint(content));
}

TEST(RequestFingerprintTest, EachPartChangesTheFingerprint) {
  const std::set<uint64_t> all = {
      RequestFingerprint({"POST", "shop", "/a", "c", "body"}),
      RequestFingerprint({"GET", "shop", "/a", "c", "body"}),
      RequestFingerprint({"POST", "mill", "/a", "c", "body"}),
      RequestFingerprint({"POST", "shop", "/b", "c", "body"}),
      RequestFingerprint({"POST", "shop", "/a", "d", "body"}),
      RequestFingerprint({"POST", "shop", "/a", "c", "bode"}),
      // The same text with other boundaries between the parts.
      RequestFingerprint({"POST", "sho", "p/a", "c", "body"}),
      RequestFingerprint({"POST", "shop", "/a", "cb", "ody"})};
  EXPECT_EQ(all.size(), 8u);
}

TEST(RequestFingerprintTest, TextHasLeadingZeros) {
  EXPECT_EQ(FingerprintText(0xabc), "0000000000000abc");
}

}  // namespace
}  // namespace applehall
