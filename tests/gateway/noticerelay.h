#pragma once

#include "process/testprogram.h"

#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace mimosatally::test
{

/// \brief Forwards the datagrams between gateways, which know each other only by the relay's addresses, so that each gateway can be cut off.
///
/// Gateway \c N listens on 127.0.0.N and is known to the others as 127.0.1.N, with one port for all.
class NoticeRelay
{
public:
    NoticeRelay(unsigned short port, std::size_t count)
        : port_(port)
        , forwarded_(count * count)
        , deaf_(count)
        , mute_(count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            links_.push_back(std::make_unique<Link>(io_, boost::asio::ip::udp::endpoint(boost::asio::ip::make_address(publicHostOf(i)), port)));
        }
        for (std::size_t i = 0; i < count; ++i) {
            receive(i);
        }
        thread_ = std::thread([this] {
            io_.run();
        });
    }

    ~NoticeRelay()
    {
        io_.stop();
        thread_.join();
    }

    NoticeRelay(const NoticeRelay &) = delete;
    NoticeRelay &operator=(const NoticeRelay &) = delete;

    static std::string hostOf(std::size_t index)
    {
        return "127.0.0." + std::to_string(index + 1);
    }

    /// \brief Host by which other gateways know this one.
    static std::string publicHostOf(std::size_t index)
    {
        return "127.0.1." + std::to_string(index + 1);
    }

    /// \brief Drops the datagrams to a gateway.
    void setDeaf(std::size_t index, bool deaf)
    {
        deaf_[index] = deaf;
    }

    /// \brief Drops the datagrams from a gateway.
    void setMute(std::size_t index, bool mute)
    {
        mute_[index] = mute;
    }

    /// \brief Waits until each gateway has sent a datagram to each other one.
    void awaitAllLinks() const
    {
        const std::size_t count = links_.size();
        waitUntil("each gateway has heard each other one", [&] {
            for (std::size_t i = 0; i < forwarded_.size(); ++i) {
                if (i / count != i % count && forwarded_[i] == 0) {
                    return false;
                }
            }
            return true;
        });
    }

private:
    struct Link {
        Link(boost::asio::io_context &io, const boost::asio::ip::udp::endpoint &address)
            : socket(io, address)
        {
        }
        boost::asio::ip::udp::socket socket;
        boost::asio::ip::udp::endpoint sender;
        std::array<char, 2000> buffer {};
    };

    void receive(std::size_t to)
    {
        Link &link = *links_[to];
        link.socket.async_receive_from(boost::asio::buffer(link.buffer), link.sender, [this, to](const boost::system::error_code &error, std::size_t size) {
            if (!error) {
                forward(to, size);
            }
            receive(to);
        });
    }

    void forward(std::size_t to, std::size_t size)
    {
        const Link &link = *links_[to];
        const std::size_t from = static_cast<std::size_t>(link.sender.address().to_v4().to_bytes()[3]) - 1;
        if (from >= links_.size() || from == to || mute_[from] || deaf_[to]) {
            return;
        }
        boost::system::error_code ignored;
        const boost::asio::ip::udp::endpoint target(boost::asio::ip::make_address(hostOf(to)), port_);
        links_[from]->socket.send_to(boost::asio::buffer(link.buffer.data(), size), target, 0, ignored);
        ++forwarded_[from * links_.size() + to];
    }

    boost::asio::io_context io_;
    unsigned short port_;
    std::vector<std::unique_ptr<Link>> links_;
    /// \brief Number of datagrams of each pair, by sender and receiver.
    std::vector<std::atomic<int>> forwarded_;
    std::vector<std::atomic<bool>> deaf_;
    std::vector<std::atomic<bool>> mute_;
    std::thread thread_;
};

} // namespace mimosatally::test
