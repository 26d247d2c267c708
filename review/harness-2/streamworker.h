#pragma once

/// \file
/// \brief Stand-in of a worker whose answers are streams of events, each with the version of the software that wrote it, and of a consumer of such streams.

#include "worker.h"

namespace review
{

/// \brief Worker that can start again under its id and address.
class StreamWorker
{
public:
    struct Shape {
        int events = 80;
        Milliseconds gap = Milliseconds(25);
    };

    StreamWorker(std::string id, std::string version, Shape shape, Record &record)
        : id_(std::move(id))
        , shape_(shape)
        , record_(record)
        , version_(std::move(version))
        , server_([this](Channel &channel, const Message &request) {
            return handle(channel, request);
        })
    {
    }

    [[nodiscard]] const std::string &id() const
    {
        return id_;
    }

    [[nodiscard]] std::string heartbeat()
    {
        const std::lock_guard lock(mutex_);
        const nlohmann::json entry = {{"service", "notes"},
                                      {"address", addressOf(server_.port())},
                                      {"zone", "here"},
                                      {"version", version_},
                                      {"slots", 128},
                                      {"state", "ready"},
                                      {"coldLeftMs", 0},
                                      {"seqNum", ++number_},
                                      {"born", born_}};
        return entry.dump();
    }

    void stop()
    {
        record_.line(id_ + " of version " + version() + " ends");
        server_.stop();
    }

    /// \brief Starts again with another version.
    void start(const std::string &version)
    {
        {
            const std::lock_guard lock(mutex_);
            version_ = version;
            born_ = unixMs();
            number_ = 0;
        }
        server_.start();
        record_.line(id_ + " starts again as version " + version);
    }

    [[nodiscard]] std::string version() const
    {
        const std::lock_guard lock(mutex_);
        return version_;
    }

private:
    bool handle(Channel &channel, const Message &request)
    {
        const std::string target = request.field("X-Mimosatally-Target-Instance");
        if (!target.empty() && target != id_) {
            return channel.send(answer(421, "X-Mimosatally-Instance-Id: " + id_ + "\r\n", ""));
        }
        if (request.target == "/-/report") {
            const std::lock_guard lock(mutex_);
            return channel.send(jsonAnswer(200, {{"born", born_}}));
        }
        return sendStream(channel, request);
    }

    bool sendStream(Channel &channel, const Message &request)
    {
        const std::string writer = version();
        const int after = std::atoi(request.field("Last-Event-Id").c_str());
        record_.line(id_ + " of version " + writer + " runs " + request.field("X-Mimosatally-Request-Id")
                     + (after > 0 ? ", goes on after event " + std::to_string(after) : ""));
        bool sent = channel.send("HTTP/1.1 200 OK\r\n" + Worker::headFields(request) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int event = after + 1; sent && event <= shape_.events; ++event) {
            sent = channel.send(chunk("id: " + std::to_string(event) + "\ndata: " + writer + (event == shape_.events ? " last" : "") + "\n\n"));
            pauseFor(shape_.gap);
        }
        return sent && channel.send("0\r\n\r\n");
    }

    static std::string chunk(const std::string &bytes)
    {
        std::array<char, 20> size {};
        std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
        return size.data() + bytes + "\r\n";
    }

    std::string id_;
    Shape shape_;
    Record &record_;
    mutable std::mutex mutex_;
    std::string version_;
    std::int64_t born_ = unixMs();
    int number_ = 0;
    Server server_;
};

/// \brief What a consumer has of a stream.
struct ReceivedStream {
    int status = 0;
    bool complete = false;
    /// \brief Id of the last event; 0 before the first.
    int lastEvent = 0;
    std::vector<std::string> versions;
};

/// \brief Sends one attempt for a stream and reads it to its end. \param resumes id of the attempt that brought the first event, if there was one.
/// \param leaves the consumer reads for \a budget and closes its channel; the time budget that it states is longer.
inline ReceivedStream readStream(
    const Gateway &gateway, const std::string &id, const std::string &resumes, int lastEvent, Milliseconds budget, bool leaves = false)
{
    ReceivedStream result;
    result.lastEvent = lastEvent;
    const auto channel = gateway.connect();
    std::string request = "POST /notes/draft HTTP/1.1\r\nHost: h.example\r\nX-Mimosatally-Request-Id: " + id + "\r\nX-Mimosatally-Request-Deadline: "
                          + std::to_string((leaves ? Milliseconds(15'000) : budget).count()) + "\r\nContent-Length: 0\r\n";
    if (!resumes.empty()) {
        request += "Resumes: " + resumes + "\r\nLast-Event-Id: " + std::to_string(lastEvent) + "\r\n";
    }
    if (!channel || !channel->send(request + "\r\n")) {
        return result;
    }
    const std::optional<Message> reply = channel->read(leaves ? budget : budget + Milliseconds(1000));
    if (!reply) {
        return result;
    }
    result.status = reply->status;
    bool last = false;
    std::size_t begin = 0;
    for (std::size_t end = reply->body.find("\n\n"); reply->status == 200 && end != std::string::npos; end = reply->body.find("\n\n", begin)) {
        int event = 0;
        std::array<char, 20> version {};
        std::array<char, 20> mark {};
        const int fields = std::sscanf(reply->body.substr(begin, end - begin).c_str(), "id: %d\ndata: %19s %19s", &event, version.data(), mark.data());
        if (fields >= 2) {
            result.lastEvent = event;
            if (result.versions.empty() || result.versions.back() != version.data()) {
                result.versions.emplace_back(version.data());
            }
            last = fields == 3;
        }
        begin = end + 2;
    }
    result.complete = reply->complete && last;
    return result;
}

} // namespace review
