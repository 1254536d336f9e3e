#ifndef APPLEHALL_CORE_HASH_H_
#define APPLEHALL_CORE_HASH_H_

#include <cstdint>
#include <string_view>

namespace applehall {

// 64-bit FNV-1a with a final mix. Every host must compute the same value, which
// rules out std::hash and hashes with a random seed.
constexpr uint64_t StableHash(std::string_view text, uint64_t seed = 0) {
  uint64_t hash = 0xcbf29ce484222325ULL ^ (seed * 0x9e3779b97f4a7c15ULL);
  for (const char c : text) {
    hash ^= static_cast<unsigned char>(c);
    hash *= 0x100000001b3ULL;
  }
  hash ^= hash >> 33;
  hash *= 0xff51afd7ed558ccdULL;
  hash ^= hash >> 33;
  hash *= 0xc4ceb9fe1a85ec53ULL;
  hash ^= hash >> 33;
  return hash;
}

}  // namespace applehall

#endif  // APPLEHALL_CORE_HASH_H_
