#pragma once

#include <boost/asio/io_context.hpp>
#include <kj/async.h>
#include <memory>

namespace mimosatally
{

/// \brief Runs a kj event loop inside an io_context, in one thread.
///
/// Create one per thread, before any kj promise, and destroy it after the last one. kj::Promise::wait() must not be
/// called on such a loop; use then() or awaitPromise().
/// \sa awaitPromise
class RpcContext
{
public:
    explicit RpcContext(boost::asio::io_context &io);
    ~RpcContext();
    RpcContext(const RpcContext &) = delete;
    RpcContext &operator=(const RpcContext &) = delete;

    [[nodiscard]] boost::asio::io_context &io();

private:
    class Port;
    boost::asio::io_context &io_;
    std::unique_ptr<Port> port_;
    std::unique_ptr<kj::EventLoop> loop_;
    std::unique_ptr<kj::WaitScope> waitScope_;
};

} // namespace mimosatally
