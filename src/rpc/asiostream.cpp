#include <mimosatally/Rpc>

#include <kj/debug.h>
#include <sys/uio.h>

namespace mimosatally
{

namespace
{
using boost::asio::ip::tcp;

constexpr std::size_t MAX_PIECES_PER_WRITE = 64;

kj::Exception disconnectedException(const boost::system::error_code &error)
{
    return kj::Exception(kj::Exception::Type::DISCONNECTED, __FILE__, __LINE__, kj::heapString(error.message()));
}

/// \brief Fulfils a promise when the socket is ready; a completion after the promise was destroyed is ignored.
///
/// Waits for readiness instead of data, so that a cancelled operation never writes to its buffer.
class ReadinessAdapter
{
public:
    ReadinessAdapter(kj::PromiseFulfiller<void> &fulfiller, tcp::socket &socket, tcp::socket::wait_type type)
        : alive_(std::make_shared<bool>(true))
    {
        socket.async_wait(type, [alive = std::weak_ptr<bool>(alive_), &fulfiller](const boost::system::error_code &error) {
            if (alive.expired()) {
                return;
            }
            if (error) {
                fulfiller.reject(disconnectedException(error));
            } else {
                fulfiller.fulfill();
            }
        });
    }

private:
    std::shared_ptr<bool> alive_;
};

class AsioStream final : public kj::AsyncIoStream
{
public:
    explicit AsioStream(tcp::socket socket)
        : socket_(std::move(socket))
    {
        boost::system::error_code ignored;
        socket_.set_option(tcp::no_delay(true), ignored);
        socket_.non_blocking(true, ignored);
    }

    ~AsioStream()
    {
        boost::system::error_code ignored;
        socket_.close(ignored);
    }

    kj::Promise<size_t> tryRead(void *buffer, size_t minBytes, size_t maxBytes) override
    {
        return readMore(static_cast<char *>(buffer), minBytes, maxBytes, 0);
    }

    kj::Promise<void> write(const void *buffer, size_t size) override
    {
        return writeMore(static_cast<const char *>(buffer), size);
    }

    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override
    {
        return writePieces(pieces, 0);
    }

    kj::Promise<void> whenWriteDisconnected() override
    {
        return kj::NEVER_DONE;
    }

    void shutdownWrite() override
    {
        boost::system::error_code ignored;
        socket_.shutdown(tcp::socket::shutdown_send, ignored);
    }

    void abortRead() override
    {
        boost::system::error_code ignored;
        socket_.shutdown(tcp::socket::shutdown_receive, ignored);
    }

private:
    kj::Promise<void> whenReady(tcp::socket::wait_type type)
    {
        return kj::newAdaptedPromise<void, ReadinessAdapter>(socket_, type);
    }

    kj::Promise<size_t> readMore(char *buffer, size_t minBytes, size_t maxBytes, size_t done)
    {
        while (true) {
            boost::system::error_code error;
            const size_t count = socket_.read_some(boost::asio::buffer(buffer + done, maxBytes - done), error);
            done += count;
            if (error == boost::asio::error::eof) {
                return done;
            }
            if (error == boost::asio::error::would_block || error == boost::asio::error::try_again) {
                return whenReady(tcp::socket::wait_read).then([this, buffer, minBytes, maxBytes, done] {
                    return readMore(buffer, minBytes, maxBytes, done);
                });
            }
            if (error) {
                return disconnectedException(error);
            }
            if (done >= minBytes) {
                return done;
            }
        }
    }

    kj::Promise<void> writeMore(const char *buffer, size_t size)
    {
        while (size > 0) {
            boost::system::error_code error;
            const size_t count = socket_.write_some(boost::asio::buffer(buffer, size), error);
            buffer += count;
            size -= count;
            if (error == boost::asio::error::would_block || error == boost::asio::error::try_again) {
                return whenReady(tcp::socket::wait_write).then([this, buffer, size] {
                    return writeMore(buffer, size);
                });
            }
            if (error) {
                return disconnectedException(error);
            }
        }
        return kj::READY_NOW;
    }

    kj::Promise<void> writePieces(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces, size_t offset)
    {
        while (pieces.size() > 0) {
            std::vector<boost::asio::const_buffer> buffers;
            for (size_t i = 0; i < pieces.size() && i < MAX_PIECES_PER_WRITE; ++i) {
                const size_t skip = i == 0 ? offset : 0;
                buffers.emplace_back(pieces[i].begin() + skip, pieces[i].size() - skip);
            }
            boost::system::error_code error;
            size_t count = socket_.write_some(buffers, error);
            while (pieces.size() > 0 && count >= pieces[0].size() - offset) {
                count -= pieces[0].size() - offset;
                pieces = pieces.slice(1, pieces.size());
                offset = 0;
            }
            offset += count;
            if (error == boost::asio::error::would_block || error == boost::asio::error::try_again) {
                return whenReady(tcp::socket::wait_write).then([this, pieces, offset] {
                    return writePieces(pieces, offset);
                });
            }
            if (error) {
                return disconnectedException(error);
            }
        }
        return kj::READY_NOW;
    }

    tcp::socket socket_;
};
} // namespace

kj::Own<kj::AsyncIoStream> newAsioStream(tcp::socket socket)
{
    return kj::heap<AsioStream>(std::move(socket));
}

} // namespace mimosatally
