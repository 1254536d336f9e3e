#ifndef APPLEHALL_CORE_BYTE_PATCH_H_
#define APPLEHALL_CORE_BYTE_PATCH_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace applehall {

// A byte patch is a binary delta that turns a base string into a target string:
// copied ranges of the base and literal bytes between them. Its size grows with
// the change, not with the strings, wherever in the string the changes are.
//
// A patch is a sequence of operations. Each starts with two little-endian
// 32-bit numbers: the offset of a copy in the base and its length, or kLiteral
// and the length of the literal bytes that follow.

// Returns a patch from `base` to `target`. Requires: both shorter than 4 GB.
// Thread-safe.
std::string MakeBytePatch(std::string_view base, std::string_view target);

// Returns the target; nothing if the patch is malformed, does not fit the base
// or yields more than `max_bytes`. Thread-safe.
std::optional<std::string> ApplyBytePatch(std::string_view base,
                                          std::string_view patch,
                                          size_t max_bytes);

}  // namespace applehall

#endif  // APPLEHALL_CORE_BYTE_PATCH_H_
