#include <mimosatally/Rpc>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <capnp/rpc-twoparty.h>

namespace mimosatally
{

using boost::asio::ip::tcp;

struct RpcConnection::Impl {
    Impl(tcp::socket socket, const capnp::ReaderOptions &options)
        : stream(newAsioStream(std::move(socket)))
        , network(*stream, capnp::rpc::twoparty::Side::CLIENT, options)
        , system(capnp::makeRpcClient(network))
        , disconnectTask(network.onDisconnect()
                             .then([flag = disconnected] {
                                 *flag = true;
                             })
                             .eagerlyEvaluate(nullptr))
    {
    }

    std::shared_ptr<bool> disconnected = std::make_shared<bool>(false);
    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;
    kj::Promise<void> disconnectTask;
};

RpcConnection::RpcConnection(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl))
{
}

RpcConnection::~RpcConnection() = default;

boost::asio::awaitable<std::unique_ptr<RpcConnection>> RpcConnection::connect(RpcContext &context,
                                                                              tcp::endpoint address,
                                                                              Duration timeout,
                                                                              std::size_t maxMessageBytes)
{
    const auto socket = std::make_shared<tcp::socket>(context.io());
    boost::asio::steady_timer timer(context.io(), timeout);
    timer.async_wait([weak = std::weak_ptr<tcp::socket>(socket)](const boost::system::error_code &error) {
        const auto openSocket = weak.lock();
        if (!error && openSocket) {
            boost::system::error_code ignored;
            openSocket->close(ignored);
        }
    });
    boost::system::error_code error;
    co_await socket->async_connect(address, boost::asio::redirect_error(boost::asio::use_awaitable, error));
    if (timer.cancel() == 0 && !error) {
        error = boost::asio::error::timed_out;
    }
    if (error) {
        throw UnreachableError("cannot connect to " + address.address().to_string() + ':' + std::to_string(address.port()) + ": " + error.message());
    }
    capnp::ReaderOptions options;
    options.traversalLimitInWords = maxMessageBytes / sizeof(capnp::word);
    co_return std::unique_ptr<RpcConnection>(new RpcConnection(std::make_unique<Impl>(std::move(*socket), options)));
}

capnp::Capability::Client RpcConnection::bootstrap()
{
    capnp::MallocMessageBuilder message(4);
    auto vatId = message.getRoot<capnp::rpc::twoparty::VatId>();
    vatId.setSide(capnp::rpc::twoparty::Side::SERVER);
    return impl_->system.bootstrap(vatId);
}

bool RpcConnection::isDisconnected() const
{
    return *impl_->disconnected;
}

} // namespace mimosatally
