#include "libalmond/core/digest.h"

#include <openssl/evp.h>

#include <array>
#include <cstdint>
#include <memory>

namespace almond {

std::string Sha256(std::initializer_list<std::string_view> parts) {
  const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(
      EVP_MD_CTX_new(), &EVP_MD_CTX_free);
  EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
  for (const std::string_view part : parts) {
    const std::uint64_t length = part.size();
    EVP_DigestUpdate(context.get(), &length, sizeof(length));
    EVP_DigestUpdate(context.get(), part.data(), part.size());
  }
  std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
  unsigned int size = 0;
  EVP_DigestFinal_ex(context.get(), bytes.data(), &size);
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (unsigned int i = 0; i < size; ++i) {
    text.push_back(kDigits[bytes[i] >> 4U]);
    text.push_back(kDigits[bytes[i] & 0x0FU]);
  }
  return text;
}

}  // namespace almond
