#ifndef APPLEHALL_CORE_BYTE_PATCH_H_
#define APPLEHALL_CORE_BYTE_PATCH_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace applehall {

// What turns one byte string into a later one that shares most of it: copies of
// its parts and the bytes between them. Its size grows with the change, not
// with the whole, wherever in the string the changes are.
//
// Encoded as parts of two little-endian 32-bit numbers each, where in the base
// a copy begins and its length, or kLiteral and the length of the bytes that
// follow.

// Requires: both shorter than 4 GB. Thread-safe.
std::string MakeBytePatch(std::string_view base, std::string_view target);

// Nothing if the patch is malformed, does not fit the base or makes more than
// `most_bytes`. Thread-safe.
std::optional<std::string> ApplyBytePatch(std::string_view base,
                                          std::string_view patch,
                                          size_t most_bytes);

}  // namespace applehall

#endif  // APPLEHALL_CORE_BYTE_PATCH_H_
