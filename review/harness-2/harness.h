#pragma once

/// \file
/// \brief Stand-ins and helpers of the scripts of this review: a channel with HTTP/1.1 on it, a server, the platform's store and a program under test.

#include <nlohmann/json.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <stdexcept>
#include <string>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <tuple>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review
{

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

inline void pauseFor(Milliseconds duration)
{
    std::this_thread::sleep_for(duration);
}

inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/// \brief File with what was sent, answered and run, each line with the milliseconds since the start.
class Record
{
public:
    explicit Record(const std::string &path)
        : file_(path, std::ios::trunc)
        , started_(Clock::now())
    {
    }

    [[nodiscard]] std::int64_t nowMs() const
    {
        return std::chrono::duration_cast<Milliseconds>(Clock::now() - started_).count();
    }

    void line(const std::string &text)
    {
        const std::lock_guard lock(mutex_);
        file_ << nowMs() << " ms  " << text << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
    Clock::time_point started_;
};

/// \brief Request or answer of HTTP/1.1.
struct Message {
    /// \brief Method of a request.
    std::string method;
    std::string target;
    /// \brief Status of an answer.
    int status = 0;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    /// \brief The message was read as far as its framing says.
    bool complete = false;

    [[nodiscard]] std::string field(const std::string &name) const
    {
        for (const auto &[key, value] : fields) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return {};
    }
};

/// \brief Connected TCP channel with a read buffer. Closes on destruction.
class Channel
{
public:
    explicit Channel(int descriptor)
        : descriptor_(descriptor)
    {
        const int on = 1;
        setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }

    ~Channel()
    {
        close();
    }

    Channel(const Channel &) = delete;
    Channel &operator=(const Channel &) = delete;

    static std::unique_ptr<Channel> connect(int port, const std::string &host = "127.0.0.1")
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, host.c_str(), &address.sin_addr);
        if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
            ::close(descriptor);
            return nullptr;
        }
        return std::make_unique<Channel>(descriptor);
    }

    void close()
    {
        if (descriptor_ >= 0) {
            ::close(descriptor_);
            descriptor_ = -1;
        }
    }

    /// \brief Closes with a reset.
    void reset()
    {
        if (descriptor_ >= 0) {
            const linger abort {1, 0};
            setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
            close();
        }
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

    /// \brief Waits for more bytes. \return false at the end of the channel or of \a wait.
    bool receive(Milliseconds wait)
    {
        pollfd entry {descriptor_, POLLIN, 0};
        if (poll(&entry, 1, static_cast<int>(wait.count())) <= 0) {
            timedOut_ = true;
            return false;
        }
        std::array<char, 16384> data {};
        const ssize_t count = recv(descriptor_, data.data(), data.size(), 0);
        if (count <= 0) {
            ended_ = true;
            return false;
        }
        buffer_.append(data.data(), static_cast<std::size_t>(count));
        return true;
    }

    [[nodiscard]] bool hasEnded() const
    {
        return ended_;
    }

    [[nodiscard]] bool hasTimedOut() const
    {
        return timedOut_;
    }

    /// \brief Reads one message; empty if its head does not arrive. \a headOnly leaves the body in the buffer.
    std::optional<Message> read(Milliseconds wait)
    {
        timedOut_ = false;
        const Clock::time_point end = Clock::now() + wait;
        std::size_t headEnd = std::string::npos;
        while ((headEnd = buffer_.find("\r\n\r\n")) == std::string::npos) {
            if (!receive(left(end))) {
                return std::nullopt;
            }
        }
        Message message = parseHead(buffer_.substr(0, headEnd));
        buffer_.erase(0, headEnd + 4);
        message.complete = readBody(message, end);
        return message;
    }

    std::string takeBuffer()
    {
        return std::exchange(buffer_, {});
    }

private:
    static Milliseconds left(Clock::time_point end)
    {
        return std::max(Milliseconds(0), std::chrono::duration_cast<Milliseconds>(end - Clock::now()));
    }

    static Message parseHead(const std::string &head)
    {
        Message message;
        std::size_t lineEnd = std::min(head.find("\r\n"), head.size());
        const std::string first = head.substr(0, lineEnd);
        if (first.starts_with("HTTP/")) {
            message.status = std::atoi(first.substr(std::min<std::size_t>(9, first.size())).c_str());
        } else {
            const std::size_t blank = first.find(' ');
            message.method = first.substr(0, blank);
            message.target = blank == std::string::npos ? "" : first.substr(blank + 1, first.rfind(' ') - blank - 1);
        }
        while (lineEnd < head.size()) {
            const std::size_t begin = lineEnd + 2;
            lineEnd = std::min(head.find("\r\n", begin), head.size());
            const std::string line = head.substr(begin, lineEnd - begin);
            const std::size_t colon = line.find(':');
            if (colon != std::string::npos) {
                const std::size_t value = line.find_first_not_of(' ', colon + 1);
                message.fields.emplace_back(line.substr(0, colon), value == std::string::npos ? "" : line.substr(value));
            }
        }
        return message;
    }

    bool require(std::size_t count, Clock::time_point end)
    {
        while (buffer_.size() < count) {
            if (!receive(left(end))) {
                return false;
            }
        }
        return true;
    }

    bool readBody(Message &message, Clock::time_point end)
    {
        if (strcasecmp(message.field("Transfer-Encoding").c_str(), "chunked") == 0) {
            return readChunks(message, end);
        }
        const std::string length = message.field("Content-Length");
        if (!length.empty()) {
            const auto count = static_cast<std::size_t>(std::atoll(length.c_str()));
            const bool whole = require(count, end);
            message.body = buffer_.substr(0, count);
            buffer_.erase(0, message.body.size());
            return whole;
        }
        if (message.status == 0 || message.status == 204 || message.status == 304 || message.status < 200) {
            return true;
        }
        while (receive(left(end))) {
        }
        message.body = takeBuffer();
        return ended_;
    }

    bool readChunks(Message &message, Clock::time_point end)
    {
        for (;;) {
            std::size_t lineEnd = std::string::npos;
            while ((lineEnd = buffer_.find("\r\n")) == std::string::npos) {
                if (!receive(left(end))) {
                    return false;
                }
            }
            const std::size_t size = std::strtoul(buffer_.c_str(), nullptr, 16);
            buffer_.erase(0, lineEnd + 2);
            if (!require(size + 2, end)) {
                message.body += buffer_.substr(0, size);
                return false;
            }
            message.body += buffer_.substr(0, size);
            buffer_.erase(0, size + 2);
            if (size == 0) {
                return true;
            }
        }
    }

    int descriptor_;
    std::string buffer_;
    bool ended_ = false;
    bool timedOut_ = false;
};

inline std::string answer(int status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string jsonAnswer(int status, const nlohmann::json &body)
{
    return answer(status, "Content-Type: application/json\r\n", body.dump());
}

/// \brief Returns a listening socket on a free port of the loopback address, and its port.
inline std::pair<int, int> listenOnLoopback(int port = 0)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    if (bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 || listen(descriptor, 512) != 0
        || getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size) != 0) {
        throw std::runtime_error("cannot listen on the loopback address");
    }
    return {descriptor, ntohs(address.sin_port)};
}

/// \brief Returns a port that is free now, for a program that is started later.
inline int freePort()
{
    const auto [descriptor, port] = listenOnLoopback();
    ::close(descriptor);
    return port;
}

inline std::string addressOf(int port, const std::string &host = "127.0.0.1")
{
    return host + ':' + std::to_string(port);
}

/// \brief HTTP server with a thread for each channel. The handler returns whether the channel stays open. It can end and start again at its port, as its
/// process would; the threads run until the process ends.
class Server
{
public:
    using Handler = std::function<bool(Channel &, const Message &)>;

    explicit Server(Handler handler)
        : state_(std::make_shared<State>())
    {
        state_->handler = std::move(handler);
        start();
    }

    [[nodiscard]] int port() const
    {
        return state_->port;
    }

    /// \brief Closes the listener and all channels, as the end of the process does: the peers see a close, and new channels are refused.
    void stop()
    {
        const std::lock_guard lock(state_->mutex);
        ++state_->lifetime;
        shutdown(state_->listener, SHUT_RDWR);
        ::close(state_->listener);
        for (const int descriptor : state_->channels) {
            shutdown(descriptor, SHUT_RDWR);
        }
    }

    /// \brief Listens again at the same port.
    void start()
    {
        const std::lock_guard lock(state_->mutex);
        std::tie(state_->listener, state_->port) = listenOnLoopback(state_->port);
        std::thread([state = state_, listener = state_->listener, lifetime = state_->lifetime] {
            accept(state, listener, lifetime);
        }).detach();
    }

private:
    struct State {
        std::mutex mutex;
        Handler handler;
        int listener = -1;
        int port = 0;
        int lifetime = 0;
        std::set<int> channels;
    };

    static void accept(const std::shared_ptr<State> &state, int listener, int lifetime)
    {
        for (;;) {
            const int descriptor = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            {
                const std::lock_guard lock(state->mutex);
                if (state->lifetime != lifetime) {
                    if (descriptor >= 0) {
                        ::close(descriptor);
                    }
                    return;
                }
                if (descriptor >= 0) {
                    state->channels.insert(descriptor);
                }
            }
            if (descriptor < 0) {
                pauseFor(Milliseconds(10));
                continue;
            }
            std::thread([descriptor, state] {
                serve(descriptor, state);
            }).detach();
        }
    }

    static void serve(int descriptor, const std::shared_ptr<State> &state)
    {
        Channel channel(descriptor);
        bool open = true;
        while (open) {
            const std::optional<Message> request = channel.read(Milliseconds(60'000));
            open = request && state->handler(channel, *request);
        }
        const std::lock_guard lock(state->mutex);
        state->channels.erase(descriptor);
        channel.close();
    }

    std::shared_ptr<State> state_;
};

/// \brief The platform's store: keyed topics and the groups that members join.
class Store
{
public:
    Store()
        : server_([this](Channel &channel, const Message &request) {
            return handle(channel, request);
        })
    {
    }

    [[nodiscard]] int port() const
    {
        return server_.port();
    }

    void put(const std::string &topic, const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(mutex_);
        topics_[topic].emplace_back(key, value);
    }

    /// \brief Deals the only partition of the group anew: to another member, if there is one. \return the member that has it now.
    std::string dealAnew()
    {
        const std::lock_guard lock(mutex_);
        for (const auto &[member, expires] : members_) {
            if (member != owner_ && expires > Clock::now()) {
                owner_ = member;
                ++generation_;
                return owner_;
            }
        }
        return owner_;
    }

    [[nodiscard]] std::string owner() const
    {
        const std::lock_guard lock(mutex_);
        return owner_;
    }

    [[nodiscard]] std::size_t members() const
    {
        const std::lock_guard lock(mutex_);
        return members_.size();
    }

    [[nodiscard]] std::int64_t generation() const
    {
        const std::lock_guard lock(mutex_);
        return generation_;
    }

    /// \brief Called after each join with the member and whether it holds the partition.
    void onJoin(std::function<void(const std::string &, std::int64_t, bool)> action)
    {
        onJoin_ = std::move(action);
    }

private:
    static std::string parameter(const std::string &target, const std::string &name)
    {
        const std::size_t start = target.find(name + '=');
        if (start == std::string::npos) {
            return {};
        }
        const std::string value = target.substr(start + name.size() + 1);
        return value.substr(0, value.find('&'));
    }

    static std::string base64(const std::string &text)
    {
        constexpr const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string result;
        for (std::size_t i = 0; i < text.size(); i += 3) {
            std::uint32_t bits = 0;
            for (std::size_t j = 0; j < 3; ++j) {
                bits = (bits << 8U) | (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0U);
            }
            for (std::size_t j = 0; j < 4; ++j) {
                result += i + j > text.size() ? '=' : digits[(bits >> (18 - 6 * j)) & 63U];
            }
        }
        return result;
    }

    static void appendNumber(std::string &out, std::uint64_t number, int bytes)
    {
        for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8) {
            out += static_cast<char>((number >> static_cast<unsigned>(shift)) & 255U);
        }
    }

    bool handle(Channel &channel, const Message &request)
    {
        // The sheets of the deployments give 4 ms for an answer.
        pauseFor(Milliseconds(4));
        const std::string &target = request.target;
        if (target.starts_with("/-/log-newest")) {
            return channel.send(newest(parameter(target, "topic")));
        }
        if (target.starts_with("/-/log-read")) {
            return channel.send(readRecords(target));
        }
        if (target.starts_with("/-/log-join")) {
            return channel.send(join(request.body));
        }
        return channel.send(jsonAnswer(404, nlohmann::json::object()));
    }

    std::string newest(const std::string &topic)
    {
        const std::lock_guard lock(mutex_);
        const auto &records = topics_[topic];
        std::map<std::string, std::size_t> last;
        for (std::size_t i = 0; i < records.size(); ++i) {
            last[records[i].first] = i;
        }
        nlohmann::json body = {{"items", nlohmann::json::array()}, {"hasMore", false}, {"endOffset", records.size()}};
        for (const auto &[key, index] : last) {
            if (!records[index].second.empty()) {
                body["items"].push_back({{"key", key}, {"value", base64(records[index].second)}, {"offset", index}});
            }
        }
        return jsonAnswer(200, body);
    }

    std::string readRecords(const std::string &target)
    {
        const std::string topic = parameter(target, "topic");
        const std::size_t from = std::strtoul(parameter(target, "from").c_str(), nullptr, 10);
        const std::string wait = parameter(target, "waitMs");
        const Clock::time_point end = Clock::now() + Milliseconds(wait.empty() ? 0 : std::atoi(wait.c_str()));
        std::unique_lock lock(mutex_);
        while (topics_[topic].size() <= from && Clock::now() < end) {
            lock.unlock();
            pauseFor(Milliseconds(10));
            lock.lock();
        }
        const auto &records = topics_[topic];
        std::string body;
        appendNumber(body, records.size(), 8);
        appendNumber(body, 0, 8);
        for (std::size_t i = from; i < records.size(); ++i) {
            appendNumber(body, 1 + records[i].first.size() + records[i].second.size(), 4);
            body += static_cast<char>(records[i].first.size());
            body += records[i].first + records[i].second;
        }
        return answer(200, "Content-Type: application/octet-stream\r\n", body);
    }

    std::string join(const std::string &text)
    {
        const nlohmann::json body = nlohmann::json::parse(text);
        const std::string member = body.at("member");
        nlohmann::json reply = {{"ttlMs", body.at("ttlMs")}, {"parts", nlohmann::json::array()}};
        bool holds = false;
        std::int64_t generation = 0;
        {
            const std::lock_guard lock(mutex_);
            const Clock::time_point now = Clock::now();
            bool changed = std::erase_if(members_,
                                         [now](const auto &item) {
                                             return item.second <= now;
                                         })
                           > 0;
            changed = changed || !members_.contains(member);
            members_[member] = now + Milliseconds(body.at("ttlMs").get<std::int64_t>());
            generation_ += changed ? 1 : 0;
            owner_ = members_.contains(owner_) ? owner_ : member;
            holds = owner_ == member;
            generation = generation_;
        }
        reply["generation"] = generation;
        if (holds) {
            reply["parts"].push_back({body.at("topics").at(0), 0, 0});
        }
        if (onJoin_) {
            onJoin_(member, generation, holds);
        }
        return jsonAnswer(200, reply);
    }

    mutable std::mutex mutex_;
    std::map<std::string, std::vector<std::pair<std::string, std::string>>> topics_;
    std::map<std::string, Clock::time_point> members_;
    std::string owner_;
    std::int64_t generation_ = 0;
    std::function<void(const std::string &, std::int64_t, bool)> onJoin_;
    Server server_;
};

/// \brief The program under test, started as the deploy file says. The destructor ends it by its process id.
class Gateway
{
public:
    struct Settings {
        std::string process;
        /// \brief Loopback address of its machine. Gateways tell each other notices at one port of their machines.
        std::string host = "127.0.0.1";
        int noticesPort = 0;
        int store = 0;
        /// \brief Control addresses of the seeds.
        std::vector<std::string> peers;
    };

    Gateway(const std::string &directory, Settings settings)
        : settings_(std::move(settings))
        , directory_(directory)
        , front_(freePort())
        , ready_(freePort())
        , control_(freePort())
        , metrics_(freePort())
    {
    }

    ~Gateway()
    {
        if (id_ > 0) {
            signal(SIGKILL);
            waitpid(id_, nullptr, 0);
        }
    }

    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    void start()
    {
        const std::string file = directory_ + "/" + settings_.process + ".toml";
        writeSettings(file);
        const std::string log = directory_ + "/" + settings_.process + ".log";
        const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
        id_ = fork();
        if (id_ == 0) {
            // The program ends with the script, whatever ends the script.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            setenv("MIMOSATALLY_BOOT", file.c_str(), 1);
            dup2(output, STDOUT_FILENO);
            dup2(output, STDERR_FILENO);
            execl("target/mimosatally", "target/mimosatally", "gateway", nullptr);
            _exit(127);
        }
        close(output);
    }

    void signal(int number) const
    {
        if (id_ > 0) {
            kill(id_, number);
        }
    }

    /// \brief Returns the status with which the process has ended; empty while it runs.
    std::optional<int> ended()
    {
        int status = 0;
        if (id_ > 0 && waitpid(id_, &status, WNOHANG) == id_) {
            id_ = -1;
            return status;
        }
        return std::nullopt;
    }

    /// \brief Waits for its readiness. \return false if it does not become ready.
    [[nodiscard]] bool awaitReady(Milliseconds wait = Milliseconds(20'000)) const
    {
        const Clock::time_point end = Clock::now() + wait;
        while (Clock::now() < end) {
            const auto channel = Channel::connect(ready_, settings_.host);
            if (channel && channel->send("GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")) {
                const std::optional<Message> reply = channel->read(Milliseconds(1000));
                if (reply && reply->status == 200) {
                    return true;
                }
            }
            pauseFor(Milliseconds(50));
        }
        return false;
    }

    [[nodiscard]] int front() const
    {
        return front_;
    }

    [[nodiscard]] std::string control() const
    {
        return addressOf(control_, settings_.host);
    }

    [[nodiscard]] std::unique_ptr<Channel> connect() const
    {
        return Channel::connect(front_, settings_.host);
    }

    void setPeers(std::vector<std::string> peers)
    {
        settings_.peers = std::move(peers);
    }

    [[nodiscard]] pid_t id() const
    {
        return id_;
    }

private:
    /// \brief Writes what deploy/gateway.toml.template gives for a small site.
    void writeSettings(const std::string &file) const
    {
        std::string peers;
        for (const std::string &peer : settings_.peers) {
            peers += (peers.empty() ? "\"" : ",\"") + peer + '"';
        }
        const auto own = [this](int port) {
            return addressOf(port, settings_.host);
        };
        std::ofstream(file) << "process = \"" << settings_.process << "\"\ndata_centre = \"here\"\nlisten = \"" << own(front_) << "\"\nreadiness = \""
                            << own(ready_) << "\"\npeer_listen = \"" << own(control_) << "\"\nnotices = \"" << own(settings_.noticesPort) << "\"\nmetrics = \""
                            << own(metrics_) << "\"\nstore = \"" << addressOf(settings_.store) << "\"\npeers = [" << peers
                            << "]\ngrace_time = \"8s\"\norder_lease = \"3000ms\"\nheartbeat_interval = \"1200ms\"\nretry_ratio = 0.2\n"
                            << "retry_slack = 58\nretry_window = \"10s\"\nmemory_limit_mb = 260\n[[data_centres]]\nid = \"here\"\nregion = \"r\"\n";
    }

    Settings settings_;
    std::string directory_;
    int front_;
    int ready_;
    int control_;
    int metrics_;
    pid_t id_ = -1;
};

/// \brief Temporary directory of a script, which is removed at its end.
class Directory
{
public:
    Directory()
    {
        const char *base = std::getenv("TMPDIR");
        std::string pattern = std::string(base == nullptr ? "/tmp" : base) + "/review-XXXXXX";
        if (mkdtemp(pattern.data()) == nullptr) {
            throw std::runtime_error("cannot make a temporary directory");
        }
        path_ = pattern;
    }

    ~Directory()
    {
        if (std::getenv("KEEP") == nullptr) {
            for (const std::string &name : names_) {
                unlink((path_ + '/' + name).c_str());
            }
            rmdir(path_.c_str());
        } else {
            std::fprintf(stderr, "kept: %s\n", path_.c_str());
        }
    }

    Directory(const Directory &) = delete;
    Directory &operator=(const Directory &) = delete;

    /// \brief Names the files of a program that are removed with the directory.
    void expectProgram(const std::string &process)
    {
        names_.push_back(process + ".toml");
        names_.push_back(process + ".log");
    }

    [[nodiscard]] const std::string &path() const
    {
        return path_;
    }

private:
    std::string path_;
    std::vector<std::string> names_;
};

inline bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace review
