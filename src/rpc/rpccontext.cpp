#include <mimosatally/Rpc>

#include <boost/asio/post.hpp>

namespace mimosatally
{

/// \brief Event port that schedules turns of the kj loop on the io_context.
class RpcContext::Port final : public kj::EventPort
{
public:
    explicit Port(boost::asio::io_context &io)
        : io_(io)
        , self_(std::make_shared<Port *>(this))
    {
    }

    ~Port()
    {
        *self_ = nullptr;
    }

    void attach(kj::EventLoop &loop)
    {
        loop_ = &loop;
    }

    bool wait() override
    {
        io_.run_one();
        return false;
    }

    bool poll() override
    {
        io_.poll();
        return false;
    }

    void setRunnable(bool runnable) override
    {
        if (!runnable || scheduled_ || loop_ == nullptr) {
            return;
        }
        scheduled_ = true;
        boost::asio::post(io_, [self = std::weak_ptr<Port *>(self_)] {
            const auto port = self.lock();
            if (port && *port != nullptr) {
                (*port)->runLoop();
            }
        });
    }

private:
    void runLoop()
    {
        scheduled_ = false;
        loop_->run();
    }

    boost::asio::io_context &io_;
    std::shared_ptr<Port *> self_;
    kj::EventLoop *loop_ = nullptr;
    bool scheduled_ = false;
};

RpcContext::RpcContext(boost::asio::io_context &io)
    : io_(io)
    , port_(std::make_unique<Port>(io))
    , loop_(std::make_unique<kj::EventLoop>(*port_))
    , waitScope_(std::make_unique<kj::WaitScope>(*loop_))
{
    port_->attach(*loop_);
}

RpcContext::~RpcContext() = default;

boost::asio::io_context &RpcContext::io()
{
    return io_;
}

} // namespace mimosatally
