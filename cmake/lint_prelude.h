#pragma once

// Force-included by clang-tidy only. capnp/blob.h of Cap'n Proto 0.9 compares `const char *` with kj::StringPtr, which
// clang rejects in C++20 because it does not use the reversed operator; g++ accepts it.
#include <kj/string.h>

namespace kj
{
inline bool operator==(const char *left, const StringPtr &right)
{
    return right.operator==(StringPtr(left));
}

inline bool operator!=(const char *left, const StringPtr &right)
{
    return !right.operator==(StringPtr(left));
}
} // namespace kj
