#pragma once

#include <arpa/inet.h>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace review
{

using Milliseconds = std::chrono::milliseconds;

/// \brief Milliseconds of the monotonic clock, which all processes of one machine share.
inline std::int64_t nowMs()
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

inline void pauseFor(Milliseconds duration)
{
    std::this_thread::sleep_for(duration);
}

/// \brief Loopback address of a stand-in or of a process of the system.
struct Address {
    std::string host = "127.0.0.1";
    std::uint16_t port = 0;

    [[nodiscard]] std::string text() const
    {
        return host + ':' + std::to_string(port);
    }

    [[nodiscard]] sockaddr_in socketAddress() const
    {
        sockaddr_in result = {};
        result.sin_family = AF_INET;
        result.sin_port = htons(port);
        inet_pton(AF_INET, host.c_str(), &result.sin_addr);
        return result;
    }
};

/// \brief Start line and fields of an HTTP message, with the names of the fields in lower case.
struct HttpHead {
    std::string startLine;
    std::map<std::string, std::string> fields;

    [[nodiscard]] std::string field(const std::string &name) const
    {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string() : found->second;
    }

    /// \brief Returns a word of the start line; 0 is the first one.
    [[nodiscard]] std::string word(int index) const
    {
        std::size_t begin = 0;
        for (int i = 0; i < index; ++i) {
            begin = startLine.find(' ', begin);
            if (begin == std::string::npos) {
                return {};
            }
            ++begin;
        }
        return startLine.substr(begin, startLine.find(' ', begin) - begin);
    }
};

/// \brief One TCP connection with a read buffer.
class Connection
{
public:
    explicit Connection(int descriptor)
        : descriptor_(descriptor)
    {
        const int on = 1;
        setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }

    ~Connection()
    {
        if (descriptor_ >= 0) {
            close(descriptor_);
        }
    }

    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    Connection(Connection &&other) noexcept
        : descriptor_(std::exchange(other.descriptor_, -1))
        , buffer_(std::move(other.buffer_))
    {
    }

    Connection &operator=(Connection &&) = delete;

    /// \brief Connects to \a address. \return empty if it refuses.
    static std::optional<Connection> open(const Address &address)
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in target = address.socketAddress();
        if (connect(descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof(target)) != 0) {
            close(descriptor);
            return std::nullopt;
        }
        return Connection(descriptor);
    }

    bool send(const std::string &bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count = ::send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    /// \brief Reads what arrives next into the buffer. \return false at the end of the connection or after \a timeout.
    bool receive(Milliseconds timeout)
    {
        pollfd wait = {descriptor_, POLLIN, 0};
        if (poll(&wait, 1, static_cast<int>(timeout.count())) <= 0) {
            return false;
        }
        char data[16384];
        const ssize_t count = recv(descriptor_, data, sizeof(data), 0);
        if (count <= 0) {
            return false;
        }
        buffer_.append(data, static_cast<std::size_t>(count));
        return true;
    }

    /// \brief Returns whether the peer has closed the connection; does not wait.
    [[nodiscard]] bool peerClosed() const
    {
        char byte = 0;
        return recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
    }

    std::optional<std::string> readUntil(const std::string &mark, Milliseconds timeout)
    {
        const std::int64_t end = nowMs() + timeout.count();
        for (;;) {
            const std::size_t found = buffer_.find(mark);
            if (found != std::string::npos) {
                return take(found + mark.size());
            }
            if (!receive(Milliseconds(std::max<std::int64_t>(0, end - nowMs())))) {
                return std::nullopt;
            }
        }
    }

    std::optional<std::string> readBytes(std::size_t count, Milliseconds timeout)
    {
        const std::int64_t end = nowMs() + timeout.count();
        while (buffer_.size() < count) {
            if (!receive(Milliseconds(std::max<std::int64_t>(0, end - nowMs())))) {
                return std::nullopt;
            }
        }
        return take(count);
    }

    std::optional<HttpHead> readHead(Milliseconds timeout)
    {
        const std::optional<std::string> text = readUntil("\r\n\r\n", timeout);
        if (!text) {
            return std::nullopt;
        }
        HttpHead head;
        std::size_t begin = 0;
        for (std::size_t end = text->find("\r\n"); end != begin && end != std::string::npos; end = text->find("\r\n", begin)) {
            const std::string line = text->substr(begin, end - begin);
            const std::size_t colon = line.find(':');
            if (begin == 0) {
                head.startLine = line;
            } else if (colon != std::string::npos) {
                std::string name = line.substr(0, colon);
                for (char &c : name) {
                    c = static_cast<char>(tolower(static_cast<unsigned char>(c)));
                }
                const std::size_t value = line.find_first_not_of(' ', colon + 1);
                head.fields[name] = value == std::string::npos ? std::string() : line.substr(value);
            }
            begin = end + 2;
        }
        return head;
    }

private:
    std::string take(std::size_t count)
    {
        std::string result = buffer_.substr(0, count);
        buffer_.erase(0, count);
        return result;
    }

    int descriptor_;
    std::string buffer_;
};

/// \brief Listener that serves each connection on a thread of its own until the process ends.
class Listener
{
public:
    using Handler = std::function<void(Connection &)>;

    /// \brief Binds \a address; port 0 chooses a free one. \throws nothing; port() is 0 if the address is in use.
    explicit Listener(Address address)
        : descriptor_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const int on = 1;
        setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        sockaddr_in own = address.socketAddress();
        socklen_t size = sizeof(own);
        if (bind(descriptor_, reinterpret_cast<const sockaddr *>(&own), size) == 0 && listen(descriptor_, 512) == 0) {
            getsockname(descriptor_, reinterpret_cast<sockaddr *>(&own), &size);
            port_ = ntohs(own.sin_port);
        }
    }

    [[nodiscard]] std::uint16_t port() const
    {
        return port_;
    }

    /// \brief Accepts connections; does not return.
    void serve(const Handler &handler) const
    {
        for (;;) {
            const int accepted = accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                pauseFor(Milliseconds(10));
                continue;
            }
            std::thread([handler, accepted] {
                Connection connection(accepted);
                handler(connection);
            }).detach();
        }
    }

private:
    int descriptor_;
    std::uint16_t port_ = 0;
};

/// \brief Returns a port that is free on \a host now.
inline std::uint16_t freePort(const std::string &host)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in own = Address {host, 0}.socketAddress();
    socklen_t size = sizeof(own);
    bind(descriptor, reinterpret_cast<const sockaddr *>(&own), size);
    getsockname(descriptor, reinterpret_cast<sockaddr *>(&own), &size);
    close(descriptor);
    return ntohs(own.sin_port);
}

} // namespace review
