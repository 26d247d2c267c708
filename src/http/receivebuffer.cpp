#include <mimosatally/Http>

#include <utility>

namespace mimosatally
{

namespace
{
/// \brief Memory that an idle connection keeps for its next message; most messages fit into it.
constexpr std::size_t MAX_IDLE_BYTES = std::size_t(4) * 1024;
} // namespace

ReceiveBuffer::ReceiveBuffer(std::size_t maxBytes)
    : boost::beast::flat_buffer(maxBytes)
{
}

void ReceiveBuffer::onGrown(GrownHandler handler)
{
    grown_ = std::move(handler);
}

void ReceiveBuffer::commit(std::size_t count)
{
    boost::beast::flat_buffer::commit(count);
    if (grown_) {
        grown_();
    }
}

void ReceiveBuffer::trim()
{
    if (size() == 0 && capacity() > MAX_IDLE_BYTES) {
        shrink_to_fit();
    }
}

} // namespace mimosatally
