#include "core/byte_patch.h"

#include <gtest/gtest.h>

#include <string>

#include "core/random.h"

namespace applehall {
namespace {

constexpr size_t kMaxBytes = 1 << 20;
constexpr uint64_t kSeed = 20261203;

std::string RandomBytes(Random& random, size_t size, uint64_t alphabet) {
  std::string bytes;
  while (bytes.size() < size) {
    bytes += static_cast<char>(random.Below(alphabet));
  }
  return bytes;
}

TEST(BytePatchTest, PatchSizeDependsOnTheChangeOnly) {
  Random random(kSeed);
  const std::string base = RandomBytes(random, 96'000, 256);
  std::string target = base;
  target.replace(3, 2, "one");
  target.insert(50'000, "a route that was added");
  target.erase(90'000, 700);
  const std::string patch = MakeBytePatch(base, target);
  EXPECT_EQ(ApplyBytePatch(base, patch, kMaxBytes), target);
  EXPECT_LT(patch.size(), 300u);
}

TEST(BytePatchTest, RoundTripRestoresAnyTarget) {
  Random random(kSeed);
  for (int round = 0; round < 500; ++round) {
    // A small alphabet produces repeated blocks.
    const uint64_t alphabet = round % 2 == 0 ? 2 : 200;
    const std::string base = RandomBytes(random, random.Below(600), alphabet);
    std::string target = base;
    for (uint64_t i = random.Below(4); i > 0; --i) {
      const size_t at = random.Below(target.size() + 1);
      const size_t size = random.Below(80);
      target.replace(at, random.Below(80), RandomBytes(random, size, alphabet));
    }
    if (random.Below(10) == 0) target.clear();
    const std::string patch = MakeBytePatch(base, target);
    ASSERT_EQ(ApplyBytePatch(base, patch, kMaxBytes), target)
        << "seed " << kSeed << " round " << round;
  }
}

// Guards against a patch from another host that reads beyond its base or
// exhausts this host's memory.
TEST(BytePatchTest, MalformedPatchesAreRejected) {
  Random random(kSeed);
  const std::string base = RandomBytes(random, 500, 256);
  const std::string target = base + "and more";
  const std::string patch = MakeBytePatch(base, target);
  EXPECT_FALSE(ApplyBytePatch("short", patch, kMaxBytes));
  EXPECT_FALSE(ApplyBytePatch(base, patch, target.size() - 1));
  EXPECT_FALSE(ApplyBytePatch(base, patch.substr(0, 5), kMaxBytes));
  for (int round = 0; round < 2000; ++round) {
    std::string damaged = patch;
    damaged[random.Below(damaged.size())] =
        static_cast<char>(random.Below(256));
    const auto made = ApplyBytePatch(base, damaged, kMaxBytes);
    if (made) EXPECT_LE(made->size(), kMaxBytes);
  }
}

}  // namespace
}  // namespace applehall
