#include "receivedelay.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace mimosatally::internal
{

namespace
{
/// \brief The system counts in ticks of up to 10 ms.
constexpr Duration MIN_DELAY = Duration(20);
/// \brief Longer than any request may take to arrive; a larger value is wrong.
constexpr Duration MAX_DELAY = Duration(60'000);
} // namespace

Duration receiveDelay(boost::asio::ip::tcp::socket &socket)
{
    tcp_info info = {};
    socklen_t bytes = sizeof(info);
    if (::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &bytes) != 0) {
        return Duration(0);
    }
    const Duration delay(info.tcpi_last_data_recv);
    return delay >= MIN_DELAY && delay <= MAX_DELAY ? delay : Duration(0);
}

} // namespace mimosatally::internal
