#ifndef APPLEHALL_STANDINS_ANSWER_TEXT_H_
#define APPLEHALL_STANDINS_ANSWER_TEXT_H_

#include <string>

#include "core/hash.h"

namespace applehall {

// Returns token `index` of a stand-in engine's answer. It depends on model and
// prompt only, so that a caller can verify that it received the complete answer
// to its own request.
inline std::string AnswerToken(const std::string& model,
                               const std::string& prompt, int index) {
  const uint64_t hash =
      StableHash(model + "\n" + prompt, static_cast<uint64_t>(index) + 1);
  return "w" + std::to_string(hash % 100000) + " ";
}

inline std::string WholeAnswer(const std::string& model,
                               const std::string& prompt, int tokens) {
  std::string text;
  for (int i = 0; i < tokens; ++i) text += AnswerToken(model, prompt, i);
  return text;
}

}  // namespace applehall

#endif  // APPLEHALL_STANDINS_ANSWER_TEXT_H_
