#pragma once

#include "rpccontext.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <capnp/capability.h>
#include <memory>
#include <mimosatally/core/milliclock.h>

namespace mimosatally
{

/// \brief Client side of one RPC connection.
class RpcConnection
{
public:
    /// \brief Connects within \a timeout. \throws UnreachableError
    static boost::asio::awaitable<std::unique_ptr<RpcConnection>> connect(RpcContext &context,
                                                                          boost::asio::ip::tcp::endpoint address,
                                                                          Duration timeout,
                                                                          std::size_t maxMessageBytes);

    ~RpcConnection();
    RpcConnection(const RpcConnection &) = delete;
    RpcConnection &operator=(const RpcConnection &) = delete;

    /// \brief Capability that the server offers.
    [[nodiscard]] capnp::Capability::Client bootstrap();

    /// \brief Returns true once the connection has ended; it is not re-established.
    [[nodiscard]] bool isDisconnected() const;

private:
    struct Impl;
    explicit RpcConnection(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl_;
};

} // namespace mimosatally
