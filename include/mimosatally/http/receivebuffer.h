#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <cstddef>
#include <functional>

namespace mimosatally
{

/// \brief Bytes of a connection that were received and not parsed yet.
///
/// Beast reads into it until a head, the length of a chunk with its extension, or a trailer is complete, so its limit bounds all of these. A read beyond the
/// limit fails with `buffer_overflow`.
class ReceiveBuffer : public boost::beast::flat_buffer
{
public:
    using GrownHandler = std::function<void()>;

    /// \param maxBytes limit in bytes; more than the largest head, so that a head that is too large is reported as such.
    explicit ReceiveBuffer(std::size_t maxBytes);

    /// \brief Sets what is called after bytes were received; empty for none.
    void onGrown(GrownHandler handler);

    /// \brief Hides the function of the base class, which Beast calls after each read.
    void commit(std::size_t count);

    /// \brief Frees the memory of a buffer that is empty, unless it is small.
    void trim();

private:
    GrownHandler grown_;
};

} // namespace mimosatally
