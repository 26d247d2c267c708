#pragma once

#include "milliclock.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace mimosatally
{

/// \brief Writes lines to a descriptor without ever blocking on its reader.
///
/// Lines that the reader does not accept are buffered up to a limit. Lines beyond it are dropped, and the next line that fits is
/// preceded by one that states the number of dropped lines.
class BoundedOutput
{
public:
    /// \brief Number of buffered bytes from which write() flushes.
    static constexpr std::size_t FLUSH_THRESHOLD_BYTES = std::size_t(4) * 1024;
    /// \brief Holds a few seconds of log lines under full load.
    static constexpr std::size_t MAX_BUFFERED_BYTES = std::size_t(512) * 1024;
    /// \brief Lines beyond this volume are dropped, so that a burst of calls cannot flood the log.
    static constexpr std::size_t MAX_BYTES_PER_SECOND = std::size_t(1024) * 1024;

    /// \param descriptor is set to non-blocking mode.
    explicit BoundedOutput(int descriptor);

    /// \brief Adds a line and its end of line. \param now time of the line, which selects the second that its bytes count towards.
    /// \return true unless the line was dropped.
    bool write(std::string_view line, Time now = MilliClock::now());

    /// \brief Writes as many buffered bytes as the descriptor accepts without blocking.
    void flush();

    [[nodiscard]] std::uint64_t droppedLines() const;

private:
    int descriptor_;
    std::string buffer_;
    std::uint64_t dropped_ = 0;
    std::uint64_t unreportedDrops_ = 0;
    std::int64_t second_ = 0;
    std::size_t bytesInSecond_ = 0;
};

} // namespace mimosatally
