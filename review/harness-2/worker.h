#pragma once

/// \file
/// \brief Stand-in of a plain worker: it runs each request once and answers with the receipt and the id of the request.

#include "harness.h"

namespace review
{

/// \brief Run of a request at a worker.
struct Run {
    std::int64_t at = 0;
    std::string id;
    std::string method;
    std::string target;
    std::string body;
    std::string deadline;
};

class Worker
{
public:
    /// \brief Takes over a request of the service. \return whether the channel stays open; empty for the usual answer.
    using Script = std::function<std::optional<bool>(Channel &, const Message &)>;

    Worker(std::string id, std::string service, Record &record, Script script = {})
        : id_(std::move(id))
        , service_(std::move(service))
        , record_(record)
        , script_(std::move(script))
        , server_([this](Channel &channel, const Message &request) {
            return handle(channel, request);
        })
    {
    }

    [[nodiscard]] const std::string &id() const
    {
        return id_;
    }

    [[nodiscard]] int port() const
    {
        return server_.port();
    }

    [[nodiscard]] std::vector<Run> runs() const
    {
        const std::lock_guard lock(mutex_);
        return runs_;
    }

    [[nodiscard]] std::string heartbeat(int number, const std::string &state = "ready") const
    {
        const nlohmann::json entry = {{"service", service_},
                                      {"address", addressOf(server_.port())},
                                      {"zone", "here"},
                                      {"version", "v1"},
                                      {"slots", 6},
                                      {"state", state},
                                      {"coldLeftMs", 0},
                                      {"seqNum", number},
                                      {"born", born_}};
        return entry.dump();
    }

    /// \brief Head of an answer to \a request without its framing.
    [[nodiscard]] static std::string headFields(const Message &request)
    {
        return "X-Mimosatally-Request-Id: " + request.field("X-Mimosatally-Request-Id") + "\r\nX-Mimosatally-Response-Seal: s."
               + request.field("X-Mimosatally-Request-Id") + "\r\n";
    }

    /// \brief Records that a request is run.
    void recordRun(const Message &request)
    {
        const std::lock_guard lock(mutex_);
        runs_.push_back({record_.nowMs(),
                         request.field("X-Mimosatally-Request-Id"),
                         request.method,
                         request.target,
                         request.body,
                         request.field("X-Mimosatally-Request-Deadline")});
        record_.line(id_ + " runs " + runs_.back().id + ": " + request.method + ' ' + request.target + ", body of " + std::to_string(request.body.size())
                     + " bytes");
    }

private:
    bool handle(Channel &channel, const Message &request)
    {
        const std::string target = request.field("X-Mimosatally-Target-Instance");
        if (!target.empty() && target != id_) {
            return channel.send(answer(421, "X-Mimosatally-Instance-Id: " + id_ + "\r\n", ""));
        }
        if (request.target == "/-/report") {
            return channel.send(jsonAnswer(200, {{"born", born_}}));
        }
        if (script_) {
            if (const std::optional<bool> open = script_(channel, request)) {
                return *open;
            }
        }
        recordRun(request);
        return channel.send(answer(200, headFields(request), "answer to " + request.field("X-Mimosatally-Request-Id")));
    }

    std::string id_;
    std::string service_;
    Record &record_;
    Script script_;
    mutable std::mutex mutex_;
    std::vector<Run> runs_;
    std::int64_t born_ = unixMs();
    Server server_;
};

/// \brief Route of a configuration.
inline nlohmann::json route(const std::string &name, const std::string &kind, const std::string &service, int timeoutMs, bool resumable = false)
{
    nlohmann::json result = {{"name", name},
                             {"host", "h.example"},
                             {"pathPrefix", '/' + name + '/'},
                             {"kind", kind},
                             {"timeoutMs", timeoutMs},
                             {"targetLatencyMs", 200},
                             {"priority", 2},
                             {"service", service},
                             {"maxAttempts", kind == "unsafe" ? 1 : 2}};
    if (kind == "streaming") {
        result["resumable"] = resumable;
        result["targetGapMs"] = 250;
    }
    return result;
}

inline std::string configuration(int version, const nlohmann::json &routes, const nlohmann::json &services)
{
    const nlohmann::json document = {{"version", version},
                                     {"routes", routes},
                                     {"services", services},
                                     {"limits", {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 4194304}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}}}};
    return document.dump();
}

} // namespace review
