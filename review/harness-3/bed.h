#pragma once

/// \file
/// \brief Small stand-ins for callers, workers and the platform's store, and the gateway as a separate process, for the scripts of this review.

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace bed
{

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;
using nlohmann::json;

constexpr int EXIT_HELD = 0;
constexpr int EXIT_BROKEN = 1;
constexpr int EXIT_NOT_RUN = 2;

inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch()).count();
}

inline void pauseFor(Ms duration)
{
    std::this_thread::sleep_for(duration);
}

/// \brief Lines with times, written to `record.txt` in the folder of the case.
class Record
{
public:
    explicit Record(const std::string &path)
        : file_(path)
        , begun_(Clock::now())
    {
    }

    void line(const std::string &text)
    {
        const std::lock_guard lock(mutex_);
        const auto ms = std::chrono::duration_cast<Ms>(Clock::now() - begun_).count();
        char time[32];
        std::snprintf(time, sizeof(time), "%8.3f ", static_cast<double>(ms) / 1000);
        file_ << time << text << '\n';
        file_.flush();
    }

    [[nodiscard]] double seconds() const
    {
        return std::chrono::duration<double>(Clock::now() - begun_).count();
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
    Clock::time_point begun_;
};

/// \brief Message of HTTP/1.1; the start line is split by its first two blanks.
struct Message {
    std::string first;
    std::string second;
    std::string third;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    [[nodiscard]] std::string field(const std::string &name) const
    {
        for (const auto &[key, value] : fields) {
            if (key.size() == name.size() && strcasecmp(key.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return {};
    }

    [[nodiscard]] int status() const
    {
        return std::atoi(second.c_str());
    }
};

/// \brief Connected socket with a receive buffer.
class Channel
{
public:
    explicit Channel(int socket)
        : socket_(socket)
    {
        const int on = 1;
        ::setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }

    ~Channel()
    {
        close();
    }

    Channel(const Channel &) = delete;
    Channel &operator=(const Channel &) = delete;

    void close()
    {
        const int socket = socket_.exchange(-1);
        if (socket >= 0) {
            ::close(socket);
        }
    }

    /// \brief Ends the connection with a reset.
    void reset()
    {
        const linger hard = {1, 0};
        ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
        close();
    }

    /// \brief Wakes a thread that reads or writes.
    void shutDown()
    {
        ::shutdown(socket_, SHUT_RDWR);
    }

    bool write(std::string_view data)
    {
        while (!data.empty()) {
            const ssize_t count = ::send(socket_, data.data(), data.size(), MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            data.remove_prefix(static_cast<std::size_t>(count));
        }
        return true;
    }

    /// \brief Reads more bytes into the buffer. \return false at the end of the connection or after \a timeout.
    bool fill(Ms timeout)
    {
        pollfd ready = {socket_, POLLIN, 0};
        if (::poll(&ready, 1, static_cast<int>(timeout.count())) <= 0) {
            timedOut_ = true;
            return false;
        }
        char data[16384];
        const ssize_t count = ::recv(socket_, data, sizeof(data), 0);
        if (count <= 0) {
            wasReset_ = count < 0;
            return false;
        }
        buffer.append(data, static_cast<std::size_t>(count));
        return true;
    }

    /// \brief Returns whether the peer has closed the connection.
    [[nodiscard]] bool hasEnded() const
    {
        char byte = 0;
        const ssize_t count = ::recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    [[nodiscard]] bool timedOut() const
    {
        return timedOut_;
    }

    [[nodiscard]] bool wasReset() const
    {
        return wasReset_;
    }

    std::string buffer;

private:
    std::atomic<int> socket_;
    bool timedOut_ = false;
    bool wasReset_ = false;
};

inline bool readHead(Channel &channel, Message &message, Ms timeout)
{
    std::size_t end = channel.buffer.find("\r\n\r\n");
    while (end == std::string::npos) {
        if (!channel.fill(timeout)) {
            return false;
        }
        end = channel.buffer.find("\r\n\r\n");
    }
    const std::string head = channel.buffer.substr(0, end);
    channel.buffer.erase(0, end + 4);
    message = Message();
    std::size_t begin = 0;
    bool isFirst = true;
    while (begin <= head.size()) {
        const std::size_t stop = std::min(head.find("\r\n", begin), head.size());
        const std::string line = head.substr(begin, stop - begin);
        begin = stop + 2;
        if (isFirst) {
            isFirst = false;
            const std::size_t blank = line.find(' ');
            const std::size_t next = blank == std::string::npos ? std::string::npos : line.find(' ', blank + 1);
            message.first = line.substr(0, blank);
            message.second = blank == std::string::npos ? "" : line.substr(blank + 1, next == std::string::npos ? next : next - blank - 1);
            message.third = next == std::string::npos ? "" : line.substr(next + 1);
            continue;
        }
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos) {
            return false;
        }
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        message.fields.emplace_back(line.substr(0, colon), value == std::string::npos ? "" : line.substr(value));
    }
    return true;
}

inline bool readCount(Channel &channel, std::string &body, std::size_t count, Ms timeout)
{
    while (channel.buffer.size() < count) {
        if (!channel.fill(timeout)) {
            body += channel.buffer;
            channel.buffer.clear();
            return false;
        }
    }
    body += channel.buffer.substr(0, count);
    channel.buffer.erase(0, count);
    return true;
}

inline bool readChunks(Channel &channel, std::string &body, Ms timeout)
{
    for (;;) {
        std::size_t end = channel.buffer.find("\r\n");
        while (end == std::string::npos) {
            if (!channel.fill(timeout)) {
                return false;
            }
            end = channel.buffer.find("\r\n");
        }
        const std::size_t size = std::strtoul(channel.buffer.c_str(), nullptr, 16);
        channel.buffer.erase(0, end + 2);
        if (!readCount(channel, body, size, timeout)) {
            return false;
        }
        std::string lineEnd;
        if (!readCount(channel, lineEnd, 2, timeout)) {
            return false;
        }
        if (size == 0) {
            return true;
        }
    }
}

/// \brief Reads a message. \param noBody the message is an answer to HEAD.
inline bool readMessage(Channel &channel, Message &message, Ms timeout, bool noBody = false)
{
    if (!readHead(channel, message, timeout)) {
        return false;
    }
    if (noBody) {
        return true;
    }
    if (message.field("Transfer-Encoding") == "chunked") {
        return readChunks(channel, message.body, timeout);
    }
    const std::string length = message.field("Content-Length");
    return length.empty() || readCount(channel, message.body, std::stoul(length), timeout);
}

using Fields = std::vector<std::pair<std::string, std::string>>;

inline std::string answerText(int status, const Fields &fields, const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Answer\r\n";
    for (const auto &[name, value] : fields) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string requestText(const std::string &method, const std::string &target, const Fields &fields, const std::string &body)
{
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : fields) {
        text += name + ": " + value + "\r\n";
    }
    if (!body.empty() || method == "POST") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

inline sockaddr_in addressOf(const std::string &ip, int port)
{
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/// \brief Connects. \return null if that fails.
inline std::unique_ptr<Channel> connectTo(const std::string &ip, int port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = addressOf(ip, port);
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        ::close(socket);
        return nullptr;
    }
    return std::make_unique<Channel>(socket);
}

/// \brief Returns a port that is free for TCP and UDP on all of \a ips.
inline int freePort(const std::vector<std::string> &ips)
{
    static std::mt19937 random(std::random_device {}());
    static std::set<int> given;
    for (int attempt = 0; attempt < 500; ++attempt) {
        const int port = std::uniform_int_distribution<int>(20000, 30000)(random);
        bool isFree = given.insert(port).second;
        for (const std::string &ip : ips) {
            for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
                const int socket = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
                const sockaddr_in address = addressOf(ip, port);
                isFree = isFree && ::bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
                ::close(socket);
            }
        }
        if (isFree) {
            return port;
        }
    }
    throw std::runtime_error("no free port");
}

/// \brief Server with a thread for each connection.
class Server
{
public:
    using Handler = std::function<void(Channel &)>;

    Server(std::string ip, int port, Handler handler)
        : ip_(std::move(ip))
        , port_(port)
        , handler_(std::move(handler))
    {
        open();
    }

    ~Server()
    {
        stop();
        for (std::thread &thread : threads_) {
            thread.join();
        }
    }

    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    [[nodiscard]] std::string address() const
    {
        return ip_ + ":" + std::to_string(port_);
    }

    /// \brief Ends as a process does: its connections are closed and new ones are refused.
    void stop()
    {
        {
            const std::lock_guard lock(mutex_);
            if (listener_ < 0) {
                return;
            }
            isOpen_ = false;
            ::shutdown(listener_, SHUT_RDWR);
        }
        acceptor_.join();
        const std::lock_guard lock(mutex_);
        ::close(listener_);
        listener_ = -1;
        for (Channel *channel : channels_) {
            channel->shutDown();
        }
    }

    /// \brief Listens at the same address, also again after stop().
    void open()
    {
        listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        const sockaddr_in address = addressOf(ip_, port_);
        if (::bind(listener_, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0 || ::listen(listener_, 512) != 0) {
            throw std::runtime_error("cannot listen on " + this->address());
        }
        isOpen_ = true;
        acceptor_ = std::thread([this] {
            accept();
        });
    }

private:
    void accept()
    {
        while (isOpen_) {
            const int socket = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0) {
                continue;
            }
            const std::lock_guard lock(mutex_);
            threads_.emplace_back([this, socket] {
                serve(socket);
            });
        }
    }

    void serve(int socket)
    {
        Channel channel(socket);
        {
            const std::lock_guard lock(mutex_);
            if (!isOpen_) {
                return;
            }
            channels_.insert(&channel);
        }
        try {
            handler_(channel);
        } catch (const std::exception &error) {
            std::cerr << "stand-in: " << error.what() << '\n';
        }
        const std::lock_guard lock(mutex_);
        channels_.erase(&channel);
    }

    std::string ip_;
    int port_;
    Handler handler_;
    int listener_ = -1;
    std::atomic<bool> isOpen_ = false;
    std::thread acceptor_;
    std::mutex mutex_;
    std::set<Channel *> channels_;
    std::vector<std::thread> threads_;
};

/// \brief Passes connections on to another address, and can fall silent as the channels to a machine without power do.
class Relay
{
public:
    Relay(std::string ip, int port, std::string targetIp, int targetPort)
        : targetIp_(std::move(targetIp))
        , targetPort_(targetPort)
        , server_(std::move(ip), port, [this](Channel &channel) {
            pass(channel);
        })
    {
    }

    /// \brief Passes nothing on from now on, neither bytes nor the ends of connections.
    void fallSilent()
    {
        silent_ = true;
    }

    /// \brief Falls silent when the connection after the next \a count ones comes, and calls \a then.
    void fallSilentAfter(int count, std::function<void()> then)
    {
        then_ = std::move(then);
        left_ = count;
    }

    /// \brief Passes new connections on again; those that fell silent stay so.
    void passAgain()
    {
        silent_ = false;
    }

    /// \brief Takes back fallSilentAfter().
    void stayOpen()
    {
        left_ = -1;
    }

private:
    void pass(Channel &near)
    {
        if (left_ >= 0 && left_-- == 0) {
            silent_ = true;
            then_();
        }
        const auto far = connectTo(targetIp_, targetPort_);
        if (!far) {
            // A machine without power does not refuse the connection.
            while (silent_ && near.fill(Ms(60'000))) {
            }
            return;
        }
        std::thread back([this, &near, &far] {
            copy(*far, near);
        });
        copy(near, *far);
        back.join();
    }

    void copy(Channel &from, Channel &to)
    {
        constexpr Ms longest(60'000);
        bool open = true;
        while (open) {
            open = from.fill(longest);
            if (silent_) {
                // The caller's side ends when the caller closes; the other one is not told.
                while (&from != &to && open) {
                    open = from.fill(longest);
                }
                return;
            }
            open = to.write(from.buffer) && open;
            from.buffer.clear();
        }
        to.shutDown();
    }

    std::string targetIp_;
    int targetPort_;
    std::atomic<bool> silent_ = false;
    /// \brief Connections that are still passed on; below zero if it does not matter.
    std::atomic<int> left_ = -1;
    std::function<void()> then_;
    Server server_;
};

inline std::string base64(const std::string &bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const int count =
        EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()), reinterpret_cast<const unsigned char *>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(count));
    return text;
}

/// \brief The platform's store: keyed topics and groups. Each gateway has a port of its own, so that the store can be cut off from one of them.
class Store
{
public:
    enum class Mode {
        Serving,
        /// \brief Calls are read and not answered.
        Silent,
    };

    /// \brief Appends a record as the operator or a worker does; without a value the key is dropped.
    void put(const std::string &topic, const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(mutex_);
        topics_[topic].push_back({key, value});
        changed_.notify_all();
    }

    /// \brief Opens the port of one gateway.
    std::string openFor(const std::string &ip, int port)
    {
        auto door = std::make_unique<Door>();
        Door *const raw = door.get();
        door->server = std::make_unique<Server>(ip, port, [this, raw](Channel &channel) {
            serve(channel, *raw);
        });
        doors_.push_back(std::move(door));
        return doors_.back()->server->address();
    }

    void setMode(std::size_t door, Mode mode)
    {
        doors_.at(door)->mode = mode;
    }

    /// \brief Returns whether a read of one gateway waits for records.
    [[nodiscard]] bool waits(std::size_t door) const
    {
        return doors_.at(door)->waits;
    }

    /// \brief Ends all channels of one gateway; new ones are accepted at once.
    void endChannels(std::size_t door)
    {
        doors_.at(door)->server->stop();
        doors_.at(door)->server->open();
    }

    /// \brief Deals the partitions of all groups to other members at once, without any request of a member.
    void rebalance()
    {
        const std::lock_guard lock(mutex_);
        for (auto &[name, group] : groups_) {
            // The member that has not joined for longest joins again first.
            auto next = group.members.end();
            for (auto member = group.members.begin(); member != group.members.end(); ++member) {
                const bool lives = Clock::now() - member->second.joined < member->second.ttl;
                if (lives && member->first != group.holder && (next == group.members.end() || member->second.joined < next->second.joined)) {
                    next = member;
                }
            }
            if (next != group.members.end()) {
                group.holder = next->first;
                ++group.generation;
            }
        }
    }

    [[nodiscard]] std::string holder(const std::string &group)
    {
        const std::lock_guard lock(mutex_);
        return groups_[group].holder;
    }

private:
    struct Member {
        Clock::time_point joined;
        Ms ttl {};
    };

    struct Group {
        std::int64_t generation = 0;
        std::string holder;
        std::map<std::string, Member> members;
    };

    struct Door {
        std::unique_ptr<Server> server;
        std::atomic<Mode> mode = Mode::Serving;
        std::atomic<bool> waits = false;
    };

    static std::string parameter(const std::string &target, const std::string &name)
    {
        const std::size_t begin = target.find_first_of("?&", 0) == std::string::npos ? std::string::npos : target.find(name + "=");
        if (begin == std::string::npos) {
            return {};
        }
        const std::size_t value = begin + name.size() + 1;
        return target.substr(value, target.find('&', value) - value);
    }

    void serve(Channel &channel, Door &door)
    {
        constexpr Ms idle(60'000);
        Message request;
        while (readMessage(channel, request, idle)) {
            door.waits = request.second.find("waitMs=") != std::string::npos;
            const std::string answer = answerTo(request);
            door.waits = false;
            if (door.mode == Mode::Silent) {
                // A channel on which an answer is lost returns nothing further.
                while (channel.fill(idle)) {
                }
                return;
            }
            if (!channel.write(answer)) {
                return;
            }
        }
    }

    std::string answerTo(const Message &request)
    {
        const std::string path = request.second.substr(0, request.second.find('?'));
        if (path == "/-/log-read") {
            return read(request.second);
        }
        if (path == "/-/log-newest") {
            return newest(request.second);
        }
        if (path == "/-/log-join") {
            return join(json::parse(request.body));
        }
        return answerText(404, {}, "{}");
    }

    static void appendNumber(std::string &out, std::uint64_t number, int bytes)
    {
        for (int i = bytes - 1; i >= 0; --i) {
            out += static_cast<char>((number >> (8 * i)) & 255U);
        }
    }

    std::string read(const std::string &target)
    {
        const std::string topic = parameter(target, "topic");
        const std::size_t from = std::stoul(parameter(target, "from"));
        const std::string wait = parameter(target, "waitMs");
        std::unique_lock lock(mutex_);
        if (!wait.empty()) {
            changed_.wait_for(lock, Ms(std::stoi(wait)), [&] {
                return topics_[topic].size() > from;
            });
        }
        const auto &records = topics_[topic];
        std::string body;
        appendNumber(body, records.size(), 8);
        appendNumber(body, 0, 8);
        for (std::size_t i = from; i < records.size(); ++i) {
            const auto &[key, value] = records[i];
            appendNumber(body, 1 + key.size() + value.size(), 4);
            body += static_cast<char>(key.size());
            body += key + value;
        }
        return answerText(200, {{"Content-Type", "application/octet-stream"}}, body);
    }

    std::string newest(const std::string &target)
    {
        const std::lock_guard lock(mutex_);
        const auto &records = topics_[parameter(target, "topic")];
        std::map<std::string, std::size_t> last;
        for (std::size_t i = 0; i < records.size(); ++i) {
            last[records[i].first] = i;
        }
        json items = json::array();
        for (const auto &[key, index] : last) {
            if (!records[index].second.empty()) {
                items.push_back({{"key", key}, {"value", base64(records[index].second)}, {"offset", index}});
            }
        }
        const json body = {{"items", items}, {"hasMore", false}, {"endOffset", records.size()}};
        return answerText(200, {{"Content-Type", "application/json"}}, body.dump());
    }

    std::string join(const json &body)
    {
        const std::lock_guard lock(mutex_);
        Group &group = groups_[body.at("group").get<std::string>()];
        const std::string member = body.at("member").get<std::string>();
        const Clock::time_point now = Clock::now();
        const bool isNew = !group.members.contains(member);
        group.members[member] = {now, Ms(body.at("ttlMs").get<std::int64_t>())};
        std::erase_if(group.members, [now](const auto &item) {
            return now - item.second.joined >= item.second.ttl;
        });
        const bool holderGone = !group.members.contains(group.holder);
        if (holderGone) {
            group.holder = member;
        }
        group.generation += isNew || holderGone ? 1 : 0;
        json parts = json::array();
        if (group.holder == member) {
            parts.push_back(json::array({body.at("topics").at(0), 0, 0}));
        }
        const json answer = {{"generation", group.generation}, {"parts", parts}};
        return answerText(200, {{"Content-Type", "application/json"}}, answer.dump());
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::vector<std::pair<std::string, std::string>>> topics_;
    std::map<std::string, Group> groups_;
    std::vector<std::unique_ptr<Door>> doors_;
};

/// \brief Worker with an entry in the store. Consumers' requests go to a handler of the case.
class Worker
{
public:
    struct Order {
        double at = 0;
        std::string holder;
        std::int64_t fence = 0;
    };

    /// \brief Answers a request. \return false if the connection has ended.
    using Handler = std::function<bool(Worker &, Channel &, const Message &)>;
    /// \brief Returns whether an order gets its answer; otherwise it is carried out late.
    using OrderHandler = std::function<bool(Worker &, const Order &)>;

    Worker(Store &store, Record &record, std::string name, std::string serviceName, const std::string &ip, std::string phaseName, Handler handler)
        : id(std::move(name))
        , service(std::move(serviceName))
        , store_(store)
        , record_(record)
        , handler_(std::move(handler))
        , phase_(std::move(phaseName))
        , server_(ip, freePort({ip}), [this](Channel &channel) {
            serve(channel);
        })
    {
    }

    ~Worker()
    {
        isRegistered_ = false;
        if (heartbeats_.joinable()) {
            heartbeats_.join();
        }
        for (std::thread &thread : late_) {
            thread.join();
        }
        server_.stop();
    }

    /// \brief Begins to write status reports.
    void start()
    {
        isRegistered_ = true;
        heartbeats_ = std::thread([this] {
            while (isRegistered_) {
                if (reachesStore) {
                    writeEntry();
                }
                for (int i = 0; i < 24 && isRegistered_; ++i) {
                    pauseFor(Ms(50));
                }
            }
        });
    }

    void writeEntry()
    {
        const std::lock_guard lock(mutex_);
        json entry = {{"service", service},
                      {"address", server_.address()},
                      {"zone", zone},
                      {"version", version},
                      {"slots", slots},
                      {"state", "ready"},
                      {"coldLeftMs", 0},
                      {"seqNum", ++heartbeat_},
                      {"born", born}};
        if (!phase_.empty()) {
            entry["phase"] = phase_;
        }
        store_.put("keyed.servers", id, entry.dump());
    }

    void removeEntry()
    {
        store_.put("keyed.servers", id, "");
    }

    /// \brief Ends the process of the worker.
    void crash()
    {
        server_.stop();
    }

    /// \brief Starts it again, at its address and under its id.
    void restart()
    {
        {
            const std::lock_guard lock(mutex_);
            born = unixMs();
            heartbeat_ = 0;
            ordersAccepted_ = 0;
        }
        server_.open();
    }

    void onOrder(OrderHandler handler)
    {
        orderHandler_ = std::move(handler);
    }

    std::vector<Order> orders()
    {
        const std::lock_guard lock(mutex_);
        return orders_;
    }

    [[nodiscard]] std::string address() const
    {
        return server_.address();
    }

    const std::string id;
    const std::string service;
    std::string zone = "z1";
    std::string version = "s1";
    int slots = 64;
    std::int64_t born = unixMs();
    std::atomic<bool> reachesStore = true;

private:
    void serve(Channel &channel)
    {
        constexpr Ms idle(20'000);
        Message request;
        while (readMessage(channel, request, idle)) {
            bool open = true;
            const std::string target = request.field("X-Mimosatally-Target-Instance");
            if (!target.empty() && target != id) {
                open = channel.write(
                    answerText(421, {{"X-Mimosatally-Not-Executed", "1"}, {"X-Mimosatally-Request-Id", request.field("X-Mimosatally-Request-Id")}}, ""));
            } else if (request.second == "/-/report") {
                open = channel.write(reportAnswer());
            } else if (request.second == "/-/order") {
                open = takeOrder(channel, json::parse(request.body));
            } else {
                open = handler_(*this, channel, request);
            }
            if (!open) {
                return;
            }
        }
    }

    std::string reportAnswer()
    {
        const std::lock_guard lock(mutex_);
        const bool busy = Clock::now() < busyUntil_;
        const json body = {{"phase", phase_},
                           {"models", json::array()},
                           {"busy", busy},
                           {"seqNum", ordersAccepted_},
                           {"queued", 0},
                           {"active", 0},
                           {"kvUsed", 0},
                           {"kvTotal", 100000},
                           {"kvHandles", 0},
                           {"born", born}};
        return answerText(200, {{"Content-Type", "application/json"}, {"X-Mimosatally-Instance-Id", id}}, body.dump());
    }

    bool takeOrder(Channel &channel, const json &body)
    {
        const Order order = {record_.seconds(), body.value("holder", ""), body.value("fence", std::int64_t(0))};
        {
            const std::lock_guard lock(mutex_);
            orders_.push_back(order);
        }
        const bool answers = !orderHandler_ || orderHandler_(*this, order);
        record_.line("order at " + id + " phase=" + body.value("phase", "") + " holder=" + order.holder + " fence=" + std::to_string(order.fence)
                     + (answers ? " answered" : " gets no answer, carried out in 5 s"));
        if (!answers) {
            {
                const std::lock_guard lock(mutex_);
                late_.emplace_back([this, body] {
                    for (int i = 0; i < 100 && isRegistered_; ++i) {
                        pauseFor(Ms(50));
                    }
                    record_.line("late order at " + id + ": " + std::to_string(carryOut(body)));
                });
            }
            // The caller waits in vain.
            while (channel.fill(Ms(20'000))) {
            }
            return false;
        }
        return channel.write(answerText(carryOut(body), {}, ""));
    }

    int carryOut(const json &body)
    {
        constexpr Ms switchTime(3000);
        const std::lock_guard lock(mutex_);
        if (body.value("phase", "") == phase_ && Clock::now() >= busyUntil_) {
            return 200;
        }
        if (Clock::now() < busyUntil_ || body.value("precondition", ordersAccepted_) != ordersAccepted_) {
            return 409;
        }
        ++ordersAccepted_;
        phase_ = body.value("phase", "");
        busyUntil_ = Clock::now() + switchTime;
        return 202;
    }

    Store &store_;
    Record &record_;
    Handler handler_;
    OrderHandler orderHandler_;
    std::mutex mutex_;
    std::string phase_;
    std::int64_t heartbeat_ = 0;
    std::int64_t ordersAccepted_ = 0;
    Clock::time_point busyUntil_;
    std::vector<Order> orders_;
    std::atomic<bool> isRegistered_ = false;
    std::thread heartbeats_;
    std::vector<std::thread> late_;
    Server server_;
};

/// \brief One gateway process, started with the command of the deploy file.
class Gateway
{
public:
    struct Place {
        std::string name;
        std::string ip;
        int front = 0;
        int ready = 0;
        int control = 0;
        int notices = 0;
        std::string zone = "z1";
    };

    Gateway(Place gatewayPlace, std::string folder, const std::string &settings)
        : place(std::move(gatewayPlace))
        , folder_(std::move(folder))
    {
        std::ofstream(settingsFile()) << settings;
        start();
    }

    ~Gateway()
    {
        kill(SIGKILL);
        wait();
    }

    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    void start()
    {
        process_ = ::fork();
        if (process_ == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const std::string log = folder_ + "/" + place.name + ".log";
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, STDOUT_FILENO);
            ::dup2(out, STDERR_FILENO);
            ::setenv("MIMOSATALLY_BOOT", settingsFile().c_str(), 1);
            ::execl("target/mimosatally", "target/mimosatally", "gateway", nullptr);
            ::_exit(127);
        }
    }

    void kill(int signal) const
    {
        if (process_ > 0) {
            ::kill(process_, signal);
        }
    }

    /// \brief Waits for the end of the process. \return its status.
    int wait()
    {
        int status = 0;
        if (process_ > 0) {
            ::waitpid(process_, &status, 0);
            process_ = -1;
        }
        return status;
    }

    [[nodiscard]] bool isRunning()
    {
        int status = 0;
        if (process_ > 0 && ::waitpid(process_, &status, WNOHANG) == process_) {
            process_ = -1;
        }
        return process_ > 0;
    }

    [[nodiscard]] bool isReady() const
    {
        const auto channel = connectTo(place.ip, place.ready);
        Message answer;
        return channel && channel->write(requestText("GET", "/-/readiness", {{"Host", place.ip}, {"Connection", "close"}}, ""))
               && readMessage(*channel, answer, Ms(1000)) && answer.status() == 200;
    }

    bool awaitReady(Ms timeout)
    {
        const Clock::time_point end = Clock::now() + timeout;
        while (Clock::now() < end) {
            if (!isRunning()) {
                return false;
            }
            if (isReady()) {
                return true;
            }
            pauseFor(Ms(50));
        }
        return false;
    }

    const Place place;

private:
    [[nodiscard]] std::string settingsFile() const
    {
        return folder_ + "/" + place.name + ".toml";
    }

    std::string folder_;
    pid_t process_ = -1;
};

/// \brief Temporary folder that is removed at the end.
class Folder
{
public:
    Folder()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "review3-XXXXXX").string();
        path = ::mkdtemp(pattern.data());
    }

    ~Folder()
    {
        if (std::getenv("KEEP") == nullptr) {
            std::error_code ignored;
            std::filesystem::remove_all(path, ignored);
        }
    }

    Folder(const Folder &) = delete;
    Folder &operator=(const Folder &) = delete;

    std::string path;
};

/// \brief Returns the places of \a count gateways on loopback addresses, with the same ports on all of them.
inline std::vector<Gateway::Place> placesOf(int count)
{
    std::vector<std::string> ips;
    for (int i = 0; i < count; ++i) {
        ips.push_back("127.0.0." + std::to_string(11 + i));
    }
    const int front = freePort(ips);
    const int ready = freePort(ips);
    const int control = freePort(ips);
    const int notices = freePort(ips);
    std::vector<Gateway::Place> places;
    for (int i = 0; i < count; ++i) {
        places.push_back({"front-" + std::to_string(i + 1), ips[static_cast<std::size_t>(i)], front, ready, control, notices, "z1"});
    }
    return places;
}

/// \brief Settings as the template of the deploy file gives them for a small deployment without the platform's API.
inline std::string settingsFor(const Gateway::Place &place, const std::vector<Gateway::Place> &all, const std::string &store)
{
    std::string peers;
    for (std::size_t i = 0; i < std::min<std::size_t>(3, all.size()); ++i) {
        peers += (peers.empty() ? "\"" : ",\"") + all[i].ip + ":" + std::to_string(all[i].control) + "\"";
    }
    const auto at = [&place](int port) {
        return "\"" + place.ip + ":" + std::to_string(port) + "\"\n";
    };
    return "process = \"" + place.name + "\"\ndata_centre = \"" + place.zone + "\"\nlisten = " + at(place.front) + "readiness = " + at(place.ready)
           + "peer_listen = " + at(place.control) + "notices = " + at(place.notices) + "metrics = \"\"\nstore = \"" + store + "\"\npeers = [" + peers
           + "]\ngrace_time = \"8s\"\norder_lease = \"3000ms\"\nheartbeat_interval = \"1200ms\"\nretry_ratio = 0.2\nretry_slack = 58\nretry_window = \"10s\"\n"
             "memory_limit_mb = 260\n[[data_centres]]\nid = \"z1\"\nregion = \"r1\"\n";
}

inline bool troubleIsOn()
{
    const char *text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

/// \brief Runs a case. \return its exit code, 2 if it could not run.
template<class Case>
int runCase(int argc, char **argv, Case run)
{
    if (argc != 2) {
        std::cerr << "usage: case FOLDER\n";
        return EXIT_NOT_RUN;
    }
    ::signal(SIGPIPE, SIG_IGN);
    Record record(std::string(argv[1]) + "/record.txt");
    try {
        const int result = run(record);
        record.line("exit " + std::to_string(result));
        return result;
    } catch (const std::exception &error) {
        record.line(std::string("could not run: ") + error.what());
        std::cerr << error.what() << '\n';
        return EXIT_NOT_RUN;
    }
}

} // namespace bed
