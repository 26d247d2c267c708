#pragma once

#include "milliclock.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace mimosatally
{

/// \brief Writes lines to a descriptor without ever waiting for its reader.
///
/// Lines that the reader does not take are held up to a limit; beyond it, lines are dropped, and the next line that fits is preceded
/// by one that states their number.
class BoundedOutput
{
public:
    /// \brief Lines are written together once so many bytes wait, or with flush().
    static constexpr std::size_t WRITE_BYTES = std::size_t(4) * 1024;
    /// \brief Some seconds of log lines under full load.
    static constexpr std::size_t MAX_HELD_BYTES = std::size_t(512) * 1024;
    /// \brief Lines beyond this volume are dropped, so that a storm of calls does not become a storm of log lines.
    static constexpr std::size_t MAX_BYTES_PER_SECOND = std::size_t(1024) * 1024;

    /// \param descriptor is set to non-blocking mode.
    explicit BoundedOutput(int descriptor);

    /// \brief Adds a line; its end of line is added. \param now only lines with the same time share the volume of a second.
    /// \return whether the line was not dropped.
    bool write(std::string_view line, Time now = MilliClock::now());

    /// \brief Writes what the reader takes now.
    void flush();

    [[nodiscard]] std::uint64_t droppedLines() const;

private:
    int descriptor_;
    std::string held_;
    std::uint64_t dropped_ = 0;
    std::uint64_t unreportedDrops_ = 0;
    std::int64_t second_ = 0;
    std::size_t bytesInSecond_ = 0;
};

} // namespace mimosatally
