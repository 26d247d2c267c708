#pragma once

#include "gatewayfixture.h"

#include "gateway/peerdatagram.h"

#include <array>
#include <optional>
#include <thread>

namespace mimosatally::test
{

/// \brief Stand-in for another gateway that only exchanges datagrams, with its own address on the loopback network.
class PeerStandin
{
public:
    /// \param port 0 for a free one.
    explicit PeerStandin(const std::string &host, unsigned short port = 0)
        : socket_(io_, boost::asio::ip::udp::endpoint(boost::asio::ip::make_address(host), port))
    {
    }

    [[nodiscard]] unsigned short port() const
    {
        return socket_.local_endpoint().port();
    }

    void sendTo(const std::string &host, const std::string &bytes)
    {
        socket_.send_to(boost::asio::buffer(bytes), boost::asio::ip::udp::endpoint(boost::asio::ip::make_address(host), port()));
    }

    /// \brief Returns the next datagram that \a matches accepts; fails after two seconds.
    template<class Predicate>
    internal::PeerDatagram await(Predicate matches)
    {
        std::optional<internal::PeerDatagram> found;
        std::array<char, 2000> buffer {};
        socket_.non_blocking(true);
        waitUntil("a matching datagram is received", [&] {
            boost::system::error_code error;
            const std::size_t size = socket_.receive(boost::asio::buffer(buffer), 0, error);
            if (!error) {
                internal::PeerDatagram datagram = internal::decodeDatagram(std::string_view(buffer.data(), size));
                if (matches(datagram)) {
                    found = std::move(datagram);
                }
            }
            return found.has_value();
        });
        return *found;
    }

    /// \brief Returns whether a datagram that \a matches accepts is received within \a time.
    template<class Predicate>
    bool receivesWithin(Duration time, Predicate matches)
    {
        const Time end = MilliClock::now() + time;
        std::array<char, 2000> buffer {};
        socket_.non_blocking(true);
        bool found = false;
        while (!found && MilliClock::now() < end) {
            boost::system::error_code error;
            const std::size_t size = socket_.receive(boost::asio::buffer(buffer), 0, error);
            if (error) {
                std::this_thread::sleep_for(Duration(2));
            } else {
                found = matches(internal::decodeDatagram(std::string_view(buffer.data(), size)));
            }
        }
        return found;
    }

private:
    boost::asio::io_context io_;
    boost::asio::ip::udp::socket socket_;
};

} // namespace mimosatally::test
