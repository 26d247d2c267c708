#pragma once

#include "rpccontext.h"

#include <boost/asio/ip/tcp.hpp>
#include <capnp/capability.h>
#include <memory>

namespace mimosatally
{

/// \brief Accepts RPC connections and offers one capability on each of them.
class RpcServer
{
public:
    /// \param maxMessageBytes limit of the message size; a longer message closes its connection.
    /// \throws boost::system::system_error if the address cannot be bound.
    RpcServer(RpcContext &context, const boost::asio::ip::tcp::endpoint &address, capnp::Capability::Client bootstrap, std::size_t maxMessageBytes);
    ~RpcServer();
    RpcServer(const RpcServer &) = delete;
    RpcServer &operator=(const RpcServer &) = delete;

    /// \brief Bound address, with the assigned port if port 0 was requested.
    [[nodiscard]] boost::asio::ip::tcp::endpoint address() const;

    /// \brief Stops accepting new connections; existing ones stay open.
    void stopAccepting();

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace mimosatally
