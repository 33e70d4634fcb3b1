#ifndef ALMOND_CORE_DIGEST_H_
#define ALMOND_CORE_DIGEST_H_

#include <initializer_list>
#include <string>
#include <string_view>

namespace almond {

/// SHA-256 over the parts, each prefixed with its length, so that moving
/// bytes from one part to the next changes the digest.
/// @param parts content in a fixed order
/// @returns 64 hexadecimal digits
std::string Sha256(std::initializer_list<std::string_view> parts);

}  // namespace almond

#endif  // ALMOND_CORE_DIGEST_H_
