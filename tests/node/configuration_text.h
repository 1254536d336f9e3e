// Generates configurations of a given size and small changes to them.

#ifndef APPLEHALL_TESTS_NODE_CONFIGURATION_TEXT_H_
#define APPLEHALL_TESTS_NODE_CONFIGURATION_TEXT_H_

#include <string>

#include "core/random.h"

namespace applehall {

// A configuration whose versions differ in the version number and one route.
class ConfigurationText {
 public:
  explicit ConfigurationText(size_t bytes) {
    Random random(20261203);
    while (text_.size() < bytes) {
      text_ += R"({"name":"r-)" + std::to_string(random.Below(1'000'000'000)) +
               R"(","timeout_ms":15000},)";
    }
  }
  std::string Version(int version) const {
    std::string text = text_;
    text.replace(text.size() / 3, 40, "changed in " + std::to_string(version));
    return R"({"version":)" + std::to_string(version) + "," + text;
  }

 private:
  std::string text_;
};

}  // namespace applehall

#endif  // APPLEHALL_TESTS_NODE_CONFIGURATION_TEXT_H_
