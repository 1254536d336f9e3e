#include "core/byte_patch.h"

#include <cstdint>
#include <unordered_map>

namespace applehall {
namespace {

// Common parts that are shorter do not pay for the 8 bytes that encode a copy.
constexpr size_t kBlock = 32;
constexpr uint32_t kLiteral = 0xffffffff;
constexpr size_t kNumberBytes = 4;
// Base of the polynomial rolling hash over a window of kBlock bytes.
constexpr uint64_t kFactor = 0x100000001b3;

constexpr uint64_t HighestPower() {
  uint64_t power = 1;
  for (size_t i = 1; i < kBlock; ++i) power *= kFactor;
  return power;
}

uint64_t Byte(std::string_view bytes, size_t at) {
  return static_cast<unsigned char>(bytes[at]);
}

// Requires: at least kBlock bytes from `at`.
uint64_t HashOfBlock(std::string_view bytes, size_t at) {
  uint64_t hash = 0;
  for (size_t i = 0; i < kBlock; ++i) {
    hash = hash * kFactor + Byte(bytes, at + i);
  }
  return hash;
}

void AppendNumber(uint32_t number, std::string& patch) {
  for (size_t i = 0; i < kNumberBytes; ++i) {
    patch += static_cast<char>(number >> (8 * i) & 0xff);
  }
}

void AppendLiteral(std::string_view bytes, std::string& patch) {
  if (bytes.empty()) return;
  AppendNumber(kLiteral, patch);
  AppendNumber(static_cast<uint32_t>(bytes.size()), patch);
  patch += bytes;
}

void AppendCopy(size_t from, size_t size, std::string& patch) {
  AppendNumber(static_cast<uint32_t>(from), patch);
  AppendNumber(static_cast<uint32_t>(size), patch);
}

// Reads a number and removes it from the front. Requires: at least kNumberBytes
// bytes.
uint32_t ConsumeNumber(std::string_view& patch) {
  uint32_t number = 0;
  for (size_t i = 0; i < kNumberBytes; ++i) {
    number |= static_cast<uint32_t>(Byte(patch, i)) << (8 * i);
  }
  patch.remove_prefix(kNumberBytes);
  return number;
}

size_t CommonPrefix(std::string_view a, std::string_view b) {
  size_t size = 0;
  while (size < a.size() && size < b.size() && a[size] == b[size]) ++size;
  return size;
}

size_t CommonSuffix(std::string_view a, std::string_view b) {
  size_t size = 0;
  while (size < a.size() && size < b.size() &&
         a[a.size() - 1 - size] == b[b.size() - 1 - size]) {
    ++size;
  }
  return size;
}

}  // namespace

std::string MakeBytePatch(std::string_view base, std::string_view target) {
  std::unordered_map<uint64_t, size_t> blocks;
  for (size_t at = 0; at + kBlock <= base.size(); at += kBlock) {
    blocks.emplace(HashOfBlock(base, at), at);
  }
  constexpr uint64_t kHighest = HighestPower();
  std::string patch;
  size_t written = 0;  // Bytes of the target that the patch covers so far.
  size_t at = 0;
  uint64_t hash = target.size() >= kBlock ? HashOfBlock(target, 0) : 0;
  while (at + kBlock <= target.size()) {
    const auto block = blocks.find(hash);
    const bool is_same =
        block != blocks.end() &&
        base.substr(block->second, kBlock) == target.substr(at, kBlock);
    if (!is_same) {
      if (at + kBlock < target.size()) {
        hash = (hash - Byte(target, at) * kHighest) * kFactor +
               Byte(target, at + kBlock);
      }
      ++at;
      continue;
    }
    // Extends the match to both sides of the block.
    const size_t before = CommonSuffix(base.substr(0, block->second),
                                       target.substr(written, at - written));
    const size_t from = block->second - before;
    const size_t begin = at - before;
    const size_t size = CommonPrefix(base.substr(from), target.substr(begin));
    AppendLiteral(target.substr(written, begin - written), patch);
    AppendCopy(from, size, patch);
    at = written = begin + size;
    if (at + kBlock <= target.size()) hash = HashOfBlock(target, at);
  }
  AppendLiteral(target.substr(written), patch);
  return patch;
}

std::optional<std::string> ApplyBytePatch(std::string_view base,
                                          std::string_view patch,
                                          size_t max_bytes) {
  std::string target;
  while (!patch.empty()) {
    if (patch.size() < 2 * kNumberBytes) return std::nullopt;
    const uint32_t from = ConsumeNumber(patch);
    const uint32_t size = ConsumeNumber(patch);
    if (size > max_bytes - target.size()) return std::nullopt;
    const bool is_literal = from == kLiteral;
    const std::string_view source = is_literal ? patch : base;
    const size_t begin = is_literal ? 0 : from;
    if (begin > source.size() || size > source.size() - begin) {
      return std::nullopt;
    }
    target += source.substr(begin, size);
    if (is_literal) patch.remove_prefix(size);
  }
  return target;
}

}  // namespace applehall
