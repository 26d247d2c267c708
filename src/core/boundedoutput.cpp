#include <mimosatally/core/boundedoutput.h>

#include <fcntl.h>
#include <unistd.h>

namespace mimosatally
{

BoundedOutput::BoundedOutput(int descriptor)
    : descriptor_(descriptor)
{
    const int flags = fcntl(descriptor, F_GETFL);
    if (flags >= 0) {
        fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
    }
}

bool BoundedOutput::write(std::string_view line, Time now)
{
    const std::int64_t second = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    if (second != second_) {
        second_ = second;
        bytesInSecond_ = 0;
    }
    if (bytesInSecond_ + line.size() > MAX_BYTES_PER_SECOND) {
        ++dropped_;
        ++unreportedDrops_;
        return false;
    }
    if (buffer_.size() + line.size() > MAX_BUFFERED_BYTES) {
        flush();
    }
    if (buffer_.size() + line.size() > MAX_BUFFERED_BYTES) {
        ++dropped_;
        ++unreportedDrops_;
        return false;
    }
    if (unreportedDrops_ > 0) {
        buffer_ += "log lines dropped: " + std::to_string(unreportedDrops_) + '\n';
        unreportedDrops_ = 0;
    }
    bytesInSecond_ += line.size() + 1;
    buffer_.append(line);
    buffer_ += '\n';
    if (buffer_.size() >= FLUSH_THRESHOLD_BYTES) {
        flush();
    }
    return true;
}

void BoundedOutput::flush()
{
    std::size_t written = 0;
    while (written < buffer_.size()) {
        const ssize_t count = ::write(descriptor_, buffer_.data() + written, buffer_.size() - written);
        if (count <= 0) {
            break;
        }
        written += static_cast<std::size_t>(count);
    }
    buffer_.erase(0, written);
}

std::uint64_t BoundedOutput::droppedLines() const
{
    return dropped_;
}

} // namespace mimosatally
