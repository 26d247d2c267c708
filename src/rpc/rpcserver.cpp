#include <mimosatally/Rpc>

#include <boost/asio/post.hpp>
#include <capnp/rpc-twoparty.h>
#include <list>

namespace mimosatally
{

using boost::asio::ip::tcp;

/// \brief State shared by the acceptor's handlers and the connections.
class RpcServer::Impl : public std::enable_shared_from_this<RpcServer::Impl>
{
public:
    Impl(RpcContext &context, const tcp::endpoint &address, capnp::Capability::Client bootstrap, std::size_t maxMessageBytes)
        : acceptor_(context.io(), address)
        , bootstrap_(kj::mv(bootstrap))
        , maxMessageBytes_(maxMessageBytes)
    {
    }

    void acceptNext()
    {
        acceptor_.async_accept([self = shared_from_this()](const boost::system::error_code &error, tcp::socket socket) {
            if (!self->acceptor_.is_open()) {
                return;
            }
            if (!error) {
                self->serve(std::move(socket));
            }
            self->acceptNext();
        });
    }

    void close()
    {
        stopAccepting();
        connections_.clear();
    }

    void stopAccepting()
    {
        boost::system::error_code ignored;
        acceptor_.close(ignored);
    }

    [[nodiscard]] tcp::endpoint address() const
    {
        return acceptor_.local_endpoint();
    }

private:
    /// \brief One accepted connection; members are destroyed in reverse order.
    struct Connection {
        Connection(tcp::socket socket, capnp::Capability::Client bootstrap, const capnp::ReaderOptions &options)
            : stream(newAsioStream(std::move(socket)))
            , network(*stream, capnp::rpc::twoparty::Side::SERVER, options)
            , system(capnp::makeRpcServer(network, kj::mv(bootstrap)))
        {
        }

        kj::Own<kj::AsyncIoStream> stream;
        capnp::TwoPartyVatNetwork network;
        capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;
        kj::Promise<void> disconnectTask = nullptr;
    };

    void serve(tcp::socket socket)
    {
        capnp::ReaderOptions options;
        options.traversalLimitInWords = maxMessageBytes_ / sizeof(capnp::word);
        const auto position = connections_.insert(connections_.end(), std::make_unique<Connection>(std::move(socket), bootstrap_, options));
        (*position)->disconnectTask = (*position)
                                          ->network.onDisconnect()
                                          .then([self = weak_from_this(), position] {
                                              // The task must not destroy itself, so the connection is removed in a later turn of the loop.
                                              if (const auto server = self.lock()) {
                                                  boost::asio::post(server->acceptor_.get_executor(), [self, position] {
                                                      if (const auto alive = self.lock()) {
                                                          alive->connections_.erase(position);
                                                      }
                                                  });
                                              }
                                          })
                                          .eagerlyEvaluate(nullptr);
    }

    tcp::acceptor acceptor_;
    capnp::Capability::Client bootstrap_;
    std::size_t maxMessageBytes_;
    std::list<std::unique_ptr<Connection>> connections_;
};

RpcServer::RpcServer(RpcContext &context, const tcp::endpoint &address, capnp::Capability::Client bootstrap, std::size_t maxMessageBytes)
    : impl_(std::make_shared<Impl>(context, address, kj::mv(bootstrap), maxMessageBytes))
{
    impl_->acceptNext();
}

RpcServer::~RpcServer()
{
    impl_->close();
}

tcp::endpoint RpcServer::address() const
{
    return impl_->address();
}

void RpcServer::stopAccepting()
{
    impl_->stopAccepting();
}

} // namespace mimosatally
