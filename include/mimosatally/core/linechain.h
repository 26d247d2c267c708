#pragma once

#include "digest.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace mimosatally
{

/// \brief Digest over the log lines of one process, in sections that end with a checkpoint.
///
/// The digest of a section covers the digest of the previous section. A single checkpoint therefore suffices to detect whether any line
/// before it was altered, removed, added or moved.
class LineChain
{
public:
    void add(std::string_view line);

    /// \brief Lines since the last checkpoint.
    [[nodiscard]] std::uint64_t lines() const;

    /// \brief Digest of the section so far, as 64 hexadecimal digits.
    [[nodiscard]] std::string digest() const;

    /// \brief Starts the next section after a checkpoint that states \a digest.
    void beginSection(std::string_view digest);

private:
    Sha256 hash_;
    std::uint64_t lines_ = 0;
};

} // namespace mimosatally
