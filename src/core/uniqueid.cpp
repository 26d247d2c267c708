#include "core/hex.h"

#include <mimosatally/Core>

#include <array>
#include <openssl/rand.h>

namespace mimosatally
{

std::string newUniqueId()
{
    std::array<unsigned char, 16> bytes;
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        throw Error("the system's random generator failed");
    }
    return internal::toHex(bytes);
}

} // namespace mimosatally
